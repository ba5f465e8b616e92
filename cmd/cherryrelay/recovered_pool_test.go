package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/lists/poolfile"
	"cherryrelay/internal/lists/stored"
)

// These tests restart the program with a ledger while its pool file and its stored set differ.

// poolRestart is the program with a ledger, a pool file and a stored set.
type poolRestart struct {
	*resumeFixture
	ends endListener // after the restart
}

// newPoolRestart starts the program with three dispatchers, of which the pool file names the given number.
func newPoolRestart(t *testing.T, listed int) *poolRestart {
	t.Helper()
	d := &resumeFixture{process: newProcess(t, "[state]\ndirectory = state\n"), transport: "tcp", checker: newChecker()}
	for _, name := range []string{"s0", "s1", "s2"} {
		a := startDispatcher(t, "tcp", name, d.checker)
		a.SetBehavior(true, false)
		d.dispatchers = append(d.dispatchers, a)
	}
	s := &poolRestart{resumeFixture: d}
	s.must(os.Mkdir(filepath.Join(s.directory, "state"), 0o700))
	s.writeFile("v1", listed)
	s.start()
	return s
}

func (s *poolRestart) poolFile() string { return filepath.Join(s.directory, "pool.ini") }

func (s *poolRestart) storedSet() string { return filepath.Join(s.directory, "state", stored.FileName) }

// writeFile writes a pool file that names the first dispatchers. No start times are known.
func (s *poolRestart) writeFile(version string, listed int) {
	s.Helper()
	var members []pool.Member
	for i, a := range s.dispatchers[:listed] {
		members = append(members, pool.Member{Address: a.Address(), ServerEntry: control.ServerEntry{ID: control.ServerID(a.Name), Cell: i, Weight: 1}})
	}
	s.must(os.WriteFile(s.poolFile()+".new", poolfile.Encode(version, members), 0o600))
	s.must(os.Rename(s.poolFile()+".new", s.poolFile()))
}

// establishAt places calls, with ids from first on, until one is established at a dispatcher, and returns its id.
func (s *poolRestart) establishAt(dispatcher, first int) string {
	s.Helper()
	for n := first; n < first+100; n++ {
		c := s.connect()
		s.checker.CallPlaced(id(n), time.Now())
		s.must(c.SetUp(id(n), 8*time.Second, dispatcher, "x"))
		m, err := c.Next()
		s.must(err)
		if m.Type == "answer" && s.checker.EstablishedAt(id(n)) == s.dispatchers[dispatcher].Name {
			time.Sleep(1100 * time.Millisecond) // the answer counts as delivered by then
			s.must(c.Close())
			return id(n)
		}
		s.must(c.Release(id(n), 31))
		s.must(c.Close())
	}
	s.Fatalf("no call is established at %s", s.dispatchers[dispatcher].Name)
	return ""
}

// waitStored waits until the stored set is that of another version.
func (s *poolRestart) waitStored(before []byte) {
	s.Helper()
	for until := time.Now().Add(maxEndDelay); ; time.Sleep(2 * time.Millisecond) {
		now, err := os.ReadFile(s.storedSet())
		if err == nil && string(now) != string(before) {
			return
		}
		if time.Now().After(until) {
			s.Fatal("the set is not stored")
		}
	}
}

// expectStands requires that a call goes on until its dispatcher ends it, and that this end is told.
func (s *poolRestart) expectStands(id string, dispatcher int) {
	s.Helper()
	s.dispatchers[dispatcher].EndCall(id)
	s.ends.expectRelease(s.T, s.lines, id, 16)
}

// TestCallsStandWithAnOlderStoredSet guards against calls that are told as over after a restart, because the stored set is older than the
// pool file: it was not saved any more.
func TestCallsStandWithAnOlderStoredSet(t *testing.T) {
	for variant, spoil := range map[string]bool{"the file is valid": false, "the file is invalid": true} {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			s := newPoolRestart(t, 2)
			s.waitStored(nil)
			older, err := os.ReadFile(s.storedSet())
			s.must(err)
			s.writeFile("v2", 3)
			s.waitStored(older)
			id := s.establishAt(2, 1)
			s.kill()
			s.must(os.WriteFile(s.storedSet(), older, 0o600))
			if spoil {
				s.must(os.WriteFile(s.poolFile(), []byte("[pool]\nversion = v3\n[s0"), 0o600))
			}
			s.start()
			s.expectStands(id, 2)
		})
	}
}

// TestCallsOfADispatcherLeftOutContinue guards against calls that are told as over after a restart, because the pool file, but not the
// stored set, has left out their dispatcher: they continue, as without the restart.
func TestCallsOfADispatcherLeftOutContinue(t *testing.T) {
	t.Parallel()
	s := newPoolRestart(t, 2)
	s.waitStored(nil)
	id := s.establishAt(1, 1)
	s.kill()
	s.writeFile("v2", 1)
	s.start()
	s.expectStands(id, 1)
}
