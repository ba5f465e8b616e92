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

const patience = 20 * time.Second

// core records what its room reports.
type core struct {
	room *Room
	mu   sync.Mutex
	said []string
	has  map[string]bool // calls held here
}

func (c *core) say(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.said = append(c.said, fmt.Sprintf(format, args...))
}

func (c *core) CallReceived(call *Call, over int) {
	c.say("arrived %s %d may live %v", call.ID(), over, call.MayLive)
	c.room.Persisted(call.ID())
}
func (c *core) CallNotFound(id string, cut bool) { c.say("missing %s cut %v", id, cut) }
func (c *core) ApplyRemoteEnds(ends map[string]int) (mine []string) {
	for id, cause := range ends {
		if c.has[id] {
			c.say("elsewhere %s %d", id, cause)
			mine = append(mine, id)
		}
	}
	return mine
}
func (c *core) TransferRequested(calls map[string]Query) {
	for id := range calls {
		if c.has[id] {
			delete(c.has, id)
			c.say("wanted %s", id)
			if err := c.room.Transfer(&Call{Events: events(id)}); err != nil {
				c.say("%v", err)
			}
		}
	}
}
func (c *core) TransferWritten(id string) { c.say("given %s", id); c.room.Transferred(id) }

// words returns all reports to some cores.
func words(cores ...*core) (all []string) {
	for _, c := range cores {
		c.mu.Lock()
		all = append(all, c.said...)
		c.mu.Unlock()
	}
	return all
}

// heard waits for a report to one of some cores.
func heard(t *testing.T, what string, cores ...*core) {
	t.Helper()
	for begun := time.Now(); !slices.Contains(words(cores...), what); time.Sleep(time.Millisecond) {
		if time.Since(begun) > patience {
			t.Fatalf("%q was never said, but %q", what, words(cores...))
		}
	}
}

func (c *core) heard(t *testing.T, what string) { t.Helper(); heard(t, what, c) }

func events(id string) []recovery.Event {
	now := time.Now().UnixMicro()
	return []recovery.Event{{Kind: recovery.KindAccepted, ID: id, AtUs: now, DeadlineUs: now + 9e6, Class: "c", Token: recovery.HashToken("a token of a caller")}}
}

// owner opens a ledger with some calls.
func owner(t *testing.T, site, name string, ids ...string) (ledger.Disk, *ledger.Ledger) {
	t.Helper()
	d, err := ledger.OpenDirectory(filepath.Join(site, name))
	if err != nil {
		t.Fatal(err)
	}
	l := ledger.New(d, ledger.Options{Name: name, AfterWrite: func() error { return ledger.VerifyPath(d) }}, nil)
	if err := l.BeginEpochAndWait(nil, patience); err != nil {
		t.Fatal(err)
	}
	for _, id := range ids {
		for _, e := range events(id) {
			text, err := e.Encode()
			if err := errors.Join(err, l.Append(text), l.Commit()); err != nil {
				t.Fatal(err)
			}
		}
	}
	return d, l
}

// controller opens a room, and runs the functions that it posts.
func controller(t *testing.T, site, name string, fleet decide.Membership, has ...string) (*core, *ledger.Ledger) {
	t.Helper()
	d, l := owner(t, site, name, has...)
	c := &core{has: map[string]bool{}}
	for _, id := range has {
		c.has[id] = true
	}
	posts := make(chan func(), 1024)
	t.Cleanup(func() { close(posts) })
	go func() {
		for f := range posts {
			f()
		}
	}()
	ready := make(chan struct{})
	room, err := Open(c, Options{Ledgers: site, Name: name, Lease: time.Second, Fleet: fleet, Post: func(f func()) { <-ready; posts <- f },
		Still: func() error { return ledger.VerifyPath(d) }, Taken: func(err error) { c.say("taken %v", errors.Is(err, ledger.ErrSealed)) },
		Certain: func() (decide.IncarnationID, bool) {
			return decide.IncarnationID{Store: 1, Number: int64(len(name))}, true
		}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c.room = room
	close(ready)
	t.Cleanup(func() { _ = errors.Join(room.Close(), l.Close()) })
	return c, l
}

// TestSealsLedgerOfDeadProcess: each call goes once to the controller that looks it up, and the others to the claimant of the ledger.
func TestSealsLedgerOfDeadProcess(t *testing.T) {
	t.Parallel()
	site := t.TempDir()
	a, _ := controller(t, site, "a", nil)
	b, _ := controller(t, site, "bb", nil)
	_, l := owner(t, site, "lost", "01", "02")
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	b.room.Lookup("01", recovery.HashToken("t"))
	b.heard(t, "arrived 01 -1 may live false")
	a.room.Terminated("02", 41) // told here, of a call that nobody has yet
	heard(t, "arrived 02 41 may live false", a, b)
	if left := a.room.Show().Left + b.room.Show().Left; left != 1 {
		t.Errorf("%d calls were left over", left)
	}
	b.room.Lookup("03", recovery.HashToken("t"))
	b.heard(t, "missing 03 cut false")
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		sealed, _ := filepath.Glob(filepath.Join(site, decide.SealedDir, "lost@*"))
		done, _ := filepath.Glob(filepath.Join(site, decide.TrashDir, "lost@*"))
		if len(sealed)+len(done) == 0 {
			break
		}
		if time.Since(begun) > patience {
			t.Fatalf("%v and %v are left", sealed, done)
		}
	}
}

// ended is a membership in which some incarnations have ended, by name.
type ended map[string]int64

func (e ended) HasEnded(name string, l decide.IncarnationID) bool { return e[name] == l.Number }

// TestSealsLedgerOfEndedMember: the ledger of a live owner is sealed once its incarnation has ended; its next commit fails and its room stops.
func TestSealsLedgerOfEndedMember(t *testing.T) {
	t.Parallel()
	site := t.TempDir()
	lost, l := controller(t, site, "lost", nil, "01")
	a, _ := controller(t, site, "a", ended{"lost": 4})
	a.room.Lookup("01", recovery.HashToken("t"))
	a.heard(t, "arrived 01 -1 may live true")
	lost.heard(t, "taken true")
	if err := errors.Join(l.Append([]byte("x")), l.Commit()); !errors.Is(err, ledger.ErrSealed) {
		t.Errorf("a commit after that: %v", err)
	}
}

// TestTransfersCallToItsCaller: a live owner transfers a call that is looked up elsewhere, and receives ends that are reported elsewhere.
func TestTransfersCallToItsCaller(t *testing.T) {
	t.Parallel()
	site := t.TempDir()
	a, _ := controller(t, site, "a", nil, "01", "02")
	b, _ := controller(t, site, "bb", nil)
	b.room.Lookup("01", recovery.HashToken("t"))
	a.heard(t, "given 01")
	b.heard(t, "arrived 01 -1 may live false")
	b.room.Terminated("02", 16)
	a.heard(t, "elsewhere 02 16")
}

// TestDamagedCallFiles: a damaged file of a call is not used, and is deleted.
func TestDamagedCallFiles(t *testing.T) {
	t.Parallel()
	whole, err := encode(&Call{Events: events("01")}, []byte("key"))
	if err != nil {
		t.Fatal(err)
	}
	if c, err := decode(whole, []byte("key")); err != nil || c.ID() != "01" {
		t.Fatalf("read as %v, %v", c, err)
	}
	flipped := slices.Clone(whole)
	flipped[len(flipped)-1] ^= 1
	for _, text := range [][]byte{nil, whole[:len(magic)], whole[:len(whole)-1], flipped, []byte("cherryrelay call 2\n" + string(whole[len(magic):]))} {
		if c, err := decode(text, []byte("key")); !errors.Is(err, errDamaged) {
			t.Errorf("%d bytes are read as %v, %v", len(text), c, err)
		}
	}
	if _, err := decode(whole, nil); !errors.Is(err, errDamaged) {
		t.Errorf("without its key: %v", err)
	}
	site := t.TempDir()
	in := filepath.Join(site, "a", "in")
	if err := errors.Join(os.MkdirAll(in, 0o700), os.WriteFile(filepath.Join(in, "01"), flipped, 0o600)); err != nil {
		t.Fatal(err)
	}
	a, _ := controller(t, site, "a", nil)
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		left, err := os.ReadDir(in)
		if failed := a.room.Show().Failed; failed == 1 && err == nil && len(left) == 0 {
			break
		} else if time.Since(begun) > patience {
			t.Fatalf("a spoilt file: %d told, %v left, %v", failed, left, err)
		}
	}
	if said := words(a); len(said) > 0 {
		t.Errorf("of a spoilt file the core was told %q", said)
	}
}

// TestReplaceAfterAFailedWrite: a file that could not be written is not renamed into place.
func TestReplaceAfterAFailedWrite(t *testing.T) {
	t.Parallel()
	root, err := os.OpenRoot(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer root.Close()
	f := files{root}
	if err := f.Mkdir("owner" + partialSuffix); err != nil { // a directory cannot be written to
		t.Fatal(err)
	}
	if err := f.replace("owner", []byte("{}")); err == nil {
		t.Error("no error of a write that failed")
	}
	if _, err := root.Stat("owner"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("after a write that failed: %v", err)
	}
}
