package takeover

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"cherryrelay/internal/decide/recovery"
	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/ledger"
)

// timeout bounds each wait of a test.
const timeout = 20 * time.Second

// core is a fake Core that records the results it receives.
type core struct {
	participant *Participant
	mu          sync.Mutex
	results     []string
	held        map[string]bool // ids of the calls held here
}

// record appends a result.
func (c *core) record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, fmt.Sprintf(format, args...))
}

func (c *core) CallReceived(call *Call, endCause int) {
	c.record("received %s, cause %d, owner may live %v", call.ID(), endCause, call.OwnerMayLive)
	c.participant.Persisted(call.ID())
}
func (c *core) CallNotFound(id string, noHolder bool) {
	c.record("not found %s, no holder %v", id, noHolder)
}
func (c *core) ApplyRemoteEnds(causes map[string]int) (held []string) {
	for id, cause := range causes {
		if c.held[id] {
			c.record("ended elsewhere %s, cause %d", id, cause)
			held = append(held, id)
		}
	}
	return held
}
func (c *core) TransferRequested(queries map[string]Query) {
	for id := range queries {
		if c.held[id] {
			delete(c.held, id)
			c.record("transfer requested %s", id)
			if err := c.participant.Transfer(&Call{Events: events(id)}); err != nil {
				c.record("%v", err)
			}
		}
	}
}
func (c *core) TransferWritten(id string) { c.record("written %s", id); c.participant.Transferred(id) }

// results returns the results that the cores have received so far.
func results(cores ...*core) (all []string) {
	for _, c := range cores {
		c.mu.Lock()
		all = append(all, c.results...)
		c.mu.Unlock()
	}
	return all
}

// awaitResult waits until one of the cores has received a result.
func awaitResult(t *testing.T, result string, cores ...*core) {
	t.Helper()
	for start := time.Now(); !slices.Contains(results(cores...), result); time.Sleep(time.Millisecond) {
		if time.Since(start) > timeout {
			t.Fatalf("result %q was not received; received: %q", result, results(cores...))
		}
	}
}

// await waits until the core has received a result.
func (c *core) await(t *testing.T, result string) { t.Helper(); awaitResult(t, result, c) }

// events returns the events of a call that was accepted now.
func events(id string) []recovery.Event {
	nowUs := time.Now().UnixMicro()
	return []recovery.Event{{Kind: recovery.KindAccepted, ID: id, AtUs: nowUs, DeadlineUs: nowUs + 9e6, Class: "c", Token: recovery.HashToken("a token of a caller")}}
}

// openLedger opens a ledger and records in it that the calls with these ids were accepted.
func openLedger(t *testing.T, dir, name string, ids ...string) (ledger.Disk, *ledger.Ledger) {
	t.Helper()
	d, err := ledger.OpenDirectory(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	l := ledger.New(d, ledger.Options{Name: name, AfterWrite: func() error { return ledger.VerifyPath(d) }}, nil)
	if err := l.BeginEpochAndWait(nil, timeout); err != nil {
		t.Fatal(err)
	}
	for _, id := range ids {
		for _, e := range events(id) {
			data, err := e.Encode()
			if err := errors.Join(err, l.Append(data), l.Commit()); err != nil {
				t.Fatal(err)
			}
		}
	}
	return d, l
}

// startController opens the ledger of a controller that holds some calls, starts its participant, and runs the functions that the participant posts.
func startController(t *testing.T, dir, name string, fleet decide.Membership, held ...string) (*core, *ledger.Ledger) {
	t.Helper()
	d, l := openLedger(t, dir, name, held...)
	c := &core{held: map[string]bool{}}
	for _, id := range held {
		c.held[id] = true
	}
	posts := make(chan func(), 1024)
	t.Cleanup(func() { close(posts) })
	go func() {
		for f := range posts {
			f()
		}
	}()
	ready := make(chan struct{})
	participant, err := Open(c, Options{LedgersDir: dir, Name: name, Lease: time.Second, Fleet: fleet, Post: func(f func()) { <-ready; posts <- f },
		VerifyOwnership: func() error { return ledger.VerifyPath(d) }, OnSealed: func(err error) { c.record("sealed %v", errors.Is(err, ledger.ErrSealed)) },
		Incarnation: func() (decide.IncarnationID, bool) {
			return decide.IncarnationID{Store: 1, Number: int64(len(name))}, true
		}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c.participant = participant
	close(ready)
	t.Cleanup(func() { _ = errors.Join(participant.Close(), l.Close()) })
	return c, l
}

// TestSealsLedgerOfDeadProcess guards against calls of a failed controller that are received twice or never. A call goes to the controller that
// looks it up, and any other call to the claimant of the ledger.
func TestSealsLedgerOfDeadProcess(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	a, _ := startController(t, dir, "a", nil)
	b, _ := startController(t, dir, "bb", nil)
	_, l := openLedger(t, dir, "lost", "01", "02")
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	b.participant.Lookup("01", recovery.HashToken("t"))
	b.await(t, "received 01, cause -1, owner may live false")
	a.participant.Terminated("02", 41) // reported while no controller holds the call
	awaitResult(t, "received 02, cause 41, owner may live false", a, b)
	if left := a.participant.Status().Expired + b.participant.Status().Expired; left != 1 {
		t.Errorf("%d calls were claimed from the sealed ledger without a lookup, want 1", left)
	}
	b.participant.Lookup("03", recovery.HashToken("t"))
	b.await(t, "not found 03, no holder false")
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		sealed, _ := filepath.Glob(filepath.Join(dir, decide.SealedDir, "lost@*"))
		done, _ := filepath.Glob(filepath.Join(dir, decide.TrashDir, "lost@*"))
		if len(sealed)+len(done) == 0 {
			break
		}
		if time.Since(start) > timeout {
			t.Fatalf("sealed ledgers %v and files being deleted %v are left", sealed, done)
		}
	}
}

// endedMembers is a stub Membership that reports the incarnations with these numbers as ended, by the name of the member.
type endedMembers map[string]int64

func (e endedMembers) HasEnded(name string, id decide.IncarnationID) bool {
	return e[name] == id.Number
}

// TestSealsLedgerOfEndedMember guards against an owner that continues after its incarnation has ended: its ledger is sealed although its process
// is alive, its next commit fails, and its participant stops.
func TestSealsLedgerOfEndedMember(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	ended, l := startController(t, dir, "lost", nil, "01")
	a, _ := startController(t, dir, "a", endedMembers{"lost": 4})
	a.participant.Lookup("01", recovery.HashToken("t"))
	a.await(t, "received 01, cause -1, owner may live true")
	ended.await(t, "sealed true")
	if err := errors.Join(l.Append([]byte("x")), l.Commit()); !errors.Is(err, ledger.ErrSealed) {
		t.Errorf("commit to the sealed ledger returned %v, want ErrSealed", err)
	}
}

// TestTransfersCallToItsCaller guards against calls of a live owner that a caller cannot resume at another controller, and against ends that do
// not reach the holder of the call because dispatchers report them to another controller.
func TestTransfersCallToItsCaller(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	a, _ := startController(t, dir, "a", nil, "01", "02")
	b, _ := startController(t, dir, "bb", nil)
	b.participant.Lookup("01", recovery.HashToken("t"))
	a.await(t, "written 01")
	b.await(t, "received 01, cause -1, owner may live false")
	b.participant.Terminated("02", 16)
	a.await(t, "ended elsewhere 02, cause 16")
}

// TestDamagedCallFiles guards against a call that is received from a damaged file. Such a file is counted as a failure and deleted.
func TestDamagedCallFiles(t *testing.T) {
	t.Parallel()
	intact, err := encode(&Call{Events: events("01")}, []byte("key"))
	if err != nil {
		t.Fatal(err)
	}
	if c, err := decode(intact, []byte("key")); err != nil || c.ID() != "01" {
		t.Fatalf("intact file decoded as %v, %v", c, err)
	}
	damaged := slices.Clone(intact)
	damaged[len(damaged)-1] ^= 1
	for _, data := range [][]byte{nil, intact[:len(magic)], intact[:len(intact)-1], damaged, []byte("cherryrelay call 2\n" + string(intact[len(magic):]))} {
		if c, err := decode(data, []byte("key")); !errors.Is(err, errDamaged) {
			t.Errorf("%d damaged bytes decoded as %v, %v; want errDamaged", len(data), c, err)
		}
	}
	if _, err := decode(intact, nil); !errors.Is(err, errDamaged) {
		t.Errorf("decoding without the key returned %v, want errDamaged", err)
	}
	dir := t.TempDir()
	inbox := filepath.Join(dir, "a", "in")
	if err := errors.Join(os.MkdirAll(inbox, 0o700), os.WriteFile(filepath.Join(inbox, "01"), damaged, 0o600)); err != nil {
		t.Fatal(err)
	}
	a, _ := startController(t, dir, "a", nil)
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		left, err := os.ReadDir(inbox)
		if failed := a.participant.Status().Failed; failed == 1 && err == nil && len(left) == 0 {
			break
		} else if time.Since(start) > timeout {
			t.Fatalf("damaged file: %d failures counted, want 1; files left %v, want none; error %v", failed, left, err)
		}
	}
	if received := results(a); len(received) > 0 {
		t.Errorf("the core received %q from a damaged file", received)
	}
}

// TestReplaceAfterAFailedWrite guards against an incomplete file that is renamed into place after its write has failed.
func TestReplaceAfterAFailedWrite(t *testing.T) {
	t.Parallel()
	root, err := os.OpenRoot(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer root.Close()
	f := files{root}
	if err := f.Mkdir("owner" + partialSuffix); err != nil { // makes the write fail: the name is that of a directory
		t.Fatal(err)
	}
	if err := f.replace("owner", []byte("{}")); err == nil {
		t.Error("replace returned no error although the write failed")
	}
	if _, err := root.Stat("owner"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the file after a failed write: %v, want it not to exist", err)
	}
}
