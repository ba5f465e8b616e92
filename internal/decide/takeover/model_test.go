package takeover

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path"
	"slices"
	"strings"
	"testing"

	"cherryrelay/internal/modelcheck"
)

// node is a file or directory. A pointer to it stays valid when it is renamed, as an open descriptor does.
type node struct {
	dir  map[string]*node // nil for a file
	text string
}

func (n *node) find(p string) *node {
	for part := range strings.SplitSeq(path.Clean(p), "/") {
		if part == "." {
			continue
		}
		if n == nil || n.dir == nil {
			return nil
		}
		n = n.dir[part]
	}
	return n
}

func (n *node) String() string {
	if n.dir == nil {
		return n.text
	}
	var all []string
	for _, name := range slices.Sorted(maps.Keys(n.dir)) {
		all = append(all, name+":"+n.dir[name].String())
	}
	return "{" + strings.Join(all, ",") + "}"
}

// steppedFiles implements Files in memory. Each operation is one step of a process.
type steppedFiles struct {
	root *node
	t    *modelcheck.Stepper
}

func (f steppedFiles) List(dir string) ([]string, error) {
	f.t.Step()
	var names []string
	if n := f.root.find(dir); n != nil {
		names = slices.Sorted(maps.Keys(n.dir))
	}
	f.t.Observe(names)
	return names, nil
}

func (f steppedFiles) Read(file string) ([]byte, error) {
	f.t.Step()
	n := f.root.find(file)
	f.t.Observe(n)
	if n == nil {
		return nil, ErrNotFound
	}
	return []byte(n.text), nil
}

func (f steppedFiles) Write(file string, data []byte) error {
	return f.put(file, &node{text: string(data)})
}

func (f steppedFiles) Mkdir(dir string) error { return f.put(dir, &node{dir: map[string]*node{}}) }

func (f steppedFiles) put(p string, n *node) error {
	f.t.Step()
	parent := f.root.find(path.Dir(p))
	f.t.Observe(parent != nil)
	if parent == nil {
		return ErrNotFound
	}
	parent.dir[path.Base(p)] = n
	return nil
}

func (f steppedFiles) Rename(from, to string) error {
	f.t.Step()
	n, parent := f.root.find(from), f.root.find(path.Dir(to))
	f.t.Observe(n != nil, parent != nil)
	if n == nil || parent == nil {
		return ErrNotFound
	}
	delete(f.root.find(path.Dir(from)).dir, path.Base(from))
	parent.dir[path.Base(to)] = n
	return nil
}

func (f steppedFiles) Remove(p string) error {
	f.t.Step()
	f.t.Observe()
	if parent := f.root.find(path.Dir(p)); parent != nil {
		delete(parent.dir, path.Base(p))
	}
	return nil
}

// readLedger reads the call c from the records of a ledger, or from its inbox if there are none.
func (f steppedFiles) readLedger(dir string) (map[string][]byte, error) {
	f.t.Step()
	n := f.root.find(dir)
	if n == nil {
		return nil, ErrNotFound
	}
	calls := map[string][]byte{}
	for name, file := range n.find(inboxDir).dir {
		calls[name] = []byte(file.text)
	}
	if records := n.dir["records"]; records != nil && records.text != "" {
		calls["c"] = []byte(records.text)
	}
	f.t.Observe(fmt.Sprint(calls))
	return calls, nil
}

// mutation is a deliberate fault in the protocol, for the model checker to find.
type mutation string

const (
	noMutation             mutation = ""
	noOwnershipCheck       mutation = "a message is sent without checking the ownership"
	checkBeforeWrite       mutation = "the ownership is checked before the message is written"
	copiedNotMoved         mutation = "a claimed call is copied instead of moved"
	deletedBeforePersisted mutation = "a claimed call is deleted before it is persisted"
	unpackedInPlace        mutation = "a ledger is unpacked in place"
	droppedBeforeWritten   mutation = "a call is dropped before its file is written"
	claimableBeforeDropped mutation = "a call is claimable before it is dropped"
)

// scenario is the shared state of a model: the files, and the messages sent about the call c, which n1 holds and n2 and n3 claim.
type scenario struct {
	root      *node
	mutation  mutation
	sent      []message
	violation error
}

// message is a message about the call that a process has sent.
type message struct {
	sender, text string
	known        string // all messages that the sender knew of, this one included
}

func (sc *scenario) controller(name string) *node {
	own := &node{dir: map[string]*node{inboxDir: {dir: map[string]*node{}}, "records": {}}}
	sc.root.dir[name] = own
	return own
}

// sendMessage lets a process write a message about the call to its ledger, check that it still owns the ledger, and send the message. It
// returns false if the process does not own the ledger any more.
func (sc *scenario) sendMessage(t *modelcheck.Stepper, name string, own *node, text string) bool {
	known := own.dir["records"].text
	write := func() {
		t.Step()
		own.dir["records"].text += text
		t.Observe()
	}
	if sc.mutation != checkBeforeWrite {
		write()
	}
	t.Step()
	owned := sc.root.find(name) == own
	t.Observe(owned)
	if sc.mutation == checkBeforeWrite {
		write()
	}
	if !owned && sc.mutation != noOwnershipCheck {
		return false
	}
	t.Step() // between the check and the send, only other processes can make steps
	for _, s := range sc.sent {
		// Of two messages from different processes, the sender of one must have known the other message.
		if s.sender != name && !strings.Contains(s.known, text) && !strings.Contains(known, s.text) {
			sc.violation = fmt.Errorf("%s sends %s, unaware of a conflicting message of %s: %s", name, text, s.sender, s.text)
		}
	}
	sc.sent = append(sc.sent, message{name, text, known + text})
	t.Observe()
	return true
}

// claim lets a process seal the ledgers of failed controllers, claim the call, persist it, and send a message about it.
func (sc *scenario) claim(t *modelcheck.Stepper, name string, own *node, failed ...string) {
	f := steppedFiles{sc.root, t}
	for _, owner := range failed {
		s, err := Seal(f, owner, "1", name)
		if err == nil {
			sc.unpack(f, s)
		}
	}
	all, _ := SealedLedgers(f)
	for _, s := range all {
		if slices.Contains(failed, s.Claimant) {
			if reclaimed, err := Reclaim(f, s, name); err == nil {
				sc.unpack(f, reclaimed)
			}
		}
	}
	data, s, err := FindAndClaim(f, "c", name)
	if err != nil {
		return
	}
	if sc.mutation == copiedNotMoved { // leaves a copy for the next claimant
		_ = f.Write(path.Join(s.unpackedPath(), "c"), data)
	}
	if sc.mutation == deletedBeforePersisted {
		_ = Acknowledge(f, "c", name)
	}
	t.Step()
	own.dir["records"].text = string(data)
	t.Observe()
	if sc.sendMessage(t, name, own, name+".") && sc.mutation != deletedBeforePersisted {
		_ = Acknowledge(f, "c", name)
	}
}

// unpack unpacks a sealed ledger.
func (sc *scenario) unpack(f steppedFiles, s SealedLedger) {
	if sc.mutation == unpackedInPlace {
		calls, _ := f.readLedger(s.Path())
		_ = f.Mkdir(s.unpackedPath())
		for id, text := range calls {
			_ = f.Write(path.Join(s.unpackedPath(), id), text)
		}
		return
	}
	_ = Unpack(f, s, f.readLedger)
}

func (sc *scenario) check() error { return sc.violation }

// copies returns the number of places that hold the call: the records of a ledger, or a file.
func (sc *scenario) copies() int {
	count := 0
	var visit func(name string, n *node)
	visit = func(name string, n *node) {
		if name == unpackTempDir || name == TrashDir {
			return // no process reads it
		}
		if unpacked := n.dir[unpackedDir]; unpacked != nil && n.dir["records"] == nil { // a transfer ledger
			count += len(unpacked.dir)
			return
		}
		if records := n.dir["records"]; records != nil {
			if unpacked := n.dir[unpackedDir]; unpacked != nil {
				count += len(unpacked.dir)
				return
			}
			if records.text != "" || len(n.dir[inboxDir].dir) > 0 {
				count++
			}
			return
		}
		for name, child := range n.dir {
			visit(name, child)
		}
	}
	visit("", sc.root)
	return count
}

// newScenario returns a scenario in which n1 holds the call, and the directory of n1's ledger.
func newScenario(m mutation) (sc *scenario, own *node) {
	dir := func() *node { return &node{dir: map[string]*node{}} }
	sc = &scenario{root: &node{dir: map[string]*node{SealedDir: dir(), TrashDir: dir()}}, mutation: m}
	own = sc.controller("n1")
	own.dir["records"].text = "n1."
	return sc, own
}

// model returns the model of the processes, with the invariants of the protocol: no two processes send messages without knowledge of each
// other's, and in the end the call is in one place.
func (sc *scenario) model(processes ...*modelcheck.Process) modelcheck.Model {
	return modelcheck.Model{
		Processes: processes,
		Digest:    func() string { return sc.root.String() + fmt.Sprint(sc.sent) },
		Check:     sc.check,
		Final: func() error {
			if n := sc.copies(); n != 1 {
				return fmt.Errorf("the call is in %d places: %v", n, sc.root)
			}
			return sc.violation
		},
	}
}

// newTakeoverModel returns the model in which n1 sends messages while n2 and n3 take over its ledger.
func newTakeoverModel(m mutation, messages ...string) func() modelcheck.Model {
	return func() modelcheck.Model {
		sc, own := newScenario(m)
		n2, n3 := sc.controller("n2"), sc.controller("n3")
		return sc.model(
			&modelcheck.Process{Name: "n1", Crashes: true, Run: func(t *modelcheck.Stepper) {
				for _, text := range messages {
					if !sc.sendMessage(t, "n1", own, text) {
						return
					}
				}
			}},
			&modelcheck.Process{Name: "n2", Crashes: true, Run: func(t *modelcheck.Stepper) { sc.claim(t, "n2", n2, "n1") }},
			&modelcheck.Process{Name: "n3", Crashes: true, Run: func(t *modelcheck.Stepper) { sc.claim(t, "n3", n3, "n1", "n2") }},
		)
	}
}

// TestTakeoverModel checks the takeover in every interleaving, with one crash: an owner sends messages, a second controller takes over its
// ledger, and a third one takes over those of both. Each must know the messages of the earlier ones, and in the end the call is in one place.
func TestTakeoverModel(t *testing.T) { searchTakeover(t, 1, "a.") }

// TestSoakTakeoverModel is TestTakeoverModel with two crashes and two messages of the owner.
func TestSoakTakeoverModel(t *testing.T) {
	if os.Getenv("CHERRYRELAY_SOAK") == "" {
		t.Skip("a long search: make soak")
	}
	searchTakeover(t, 2, "a.", "b.")
}

func searchTakeover(t *testing.T, crashes int, messages ...string) {
	r, err := modelcheck.Explore(newTakeoverModel(noMutation, messages...), modelcheck.Bounds{Crashes: crashes})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if !r.Complete || r.States < 1000 {
		t.Errorf("incomplete search: %+v", r)
	}
}

// transfer lets a live owner transfer its call: it writes the call's file, drops the call from its ledger, and then makes it claimable.
func (sc *scenario) transfer(t *modelcheck.Stepper, name string, own *node) {
	f := steppedFiles{sc.root, t}
	ledger := SealedLedger{name, "handed", name}
	if !sc.sendMessage(t, name, own, "a.") {
		return
	}
	drop := func() bool { // a commit, and the check of the ownership after it
		t.Step()
		own.dir["records"].text = ""
		t.Step()
		owned := sc.root.find(name) == own
		t.Observe(owned)
		return owned
	}
	text := own.dir["records"].text
	if sc.mutation == droppedBeforeWritten && !drop() {
		return
	}
	if f.Write(path.Join(InboxDir(name), "c"), []byte(text)) != nil {
		return
	}
	if sc.mutation == claimableBeforeDropped {
		_ = TransferCall(f, ledger, "c")
	}
	if sc.mutation != droppedBeforeWritten && !drop() {
		return
	}
	if sc.mutation != claimableBeforeDropped {
		_ = TransferCall(f, ledger, "c")
	}
}

// newTransferModel returns the model in which n1 transfers its call, n2 claims it, and n3 takes over the ledgers of n1.
func newTransferModel(m mutation) func() modelcheck.Model {
	return func() modelcheck.Model {
		sc, own := newScenario(m)
		n2, n3 := sc.controller("n2"), sc.controller("n3")
		sc.root.find(SealedDir).dir[path.Base(SealedLedger{"n1", "handed", "n1"}.Path())] = &node{dir: map[string]*node{unpackedDir: {dir: map[string]*node{}}}}
		return sc.model(
			&modelcheck.Process{Name: "n1", Crashes: true, Run: func(t *modelcheck.Stepper) { sc.transfer(t, "n1", own) }},
			&modelcheck.Process{Name: "n2", Crashes: true, Run: func(t *modelcheck.Stepper) { sc.claim(t, "n2", n2) }},
			&modelcheck.Process{Name: "n3", Crashes: true, Run: func(t *modelcheck.Stepper) { sc.claim(t, "n3", n3, "n1") }},
		)
	}
}

// TestTransferModel checks in every interleaving, with one crash, that a transferred call is in one place in the end. The model checker must
// find a violation for each mutation of the transfer.
func TestTransferModel(t *testing.T) {
	r, err := modelcheck.Explore(newTransferModel(noMutation), modelcheck.Bounds{Crashes: 1})
	if err != nil || !r.Complete {
		t.Fatalf("%+v, %v", r, err)
	}
	t.Logf("%+v", r)
	for _, m := range []mutation{droppedBeforeWritten, claimableBeforeDropped} {
		if r, err := modelcheck.Explore(newTransferModel(m), modelcheck.Bounds{Crashes: 1}); err == nil {
			t.Errorf("%s: not found in %+v", m, r)
		} else {
			t.Logf("%s: %v", m, err)
		}
	}
}

// TestMutationsAreFound checks that the model checker finds a violation for each mutation of the takeover.
func TestMutationsAreFound(t *testing.T) {
	for _, m := range []mutation{noOwnershipCheck, checkBeforeWrite, copiedNotMoved, deletedBeforePersisted, unpackedInPlace} {
		var f *modelcheck.Violation
		if r, err := modelcheck.Explore(newTakeoverModel(m, "a.", "b."), modelcheck.Bounds{Crashes: 1}); !errors.As(err, &f) {
			t.Errorf("%s: not found in %+v: %v", m, r, err)
		} else {
			t.Logf("%s: %v", m, f)
		}
	}
}

// TestSealedLedgerNames checks that the directory name of a sealed ledger is parsed back, whatever the names of the controllers are.
func TestSealedLedgerNames(t *testing.T) {
	for _, s := range []SealedLedger{{"n1", "7", "n2"}, {"a@b", "00c", "d e%"}, {"ü", "1", "@"}} {
		if got, ok := parseSealedName(path.Base(s.Path())); !ok || got != s {
			t.Errorf("%+v is parsed as %+v", s, got)
		}
	}
	if _, ok := parseSealedName("n1@2"); ok || bytes.Contains([]byte(SealedLedger{"a", "1", "b@"}.Path()), []byte("b@")) {
		t.Error("an invalid name is parsed, or a name is not escaped")
	}
}
