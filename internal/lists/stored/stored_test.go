package stored

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/decide/pool"
)

var testSet = pool.Snapshot{Label: "v1", Digest: "d", Members: []pool.SnapshotMember{
	{Name: "a", Address: "127.0.0.1:1", Weight: 3, StartedUs: 5, FirstSeenUs: 7}, {Name: "b", Address: "127.0.0.1:2", Weight: pool.NoNewCalls, Group: 1, Zone: "z"},
}}

func TestKeepAndLoad(t *testing.T) {
	directory := t.TempDir()
	if _, err := Load(directory, "f"); !errors.Is(err, ErrNone) {
		t.Errorf("nothing is stored: %v", err)
	}
	s := Open(directory, "f", slog.New(slog.DiscardHandler))
	for i := range 100 {
		m := testSet
		m.Label = strings.Repeat("x", i)
		s.Keep(m)
	}
	s.Keep(testSet)
	s.Close()
	s.Keep(pool.Snapshot{}) // too late, and no harm
	s.Close()
	got, err := Load(directory, "f")
	if diff := cmp.Diff(testSet, got); diff != "" || err != nil {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
	if _, err := Load(directory, "g"); !errors.Is(err, ErrOther) {
		t.Errorf("the set of another file: %v", err)
	}
	if left, err := os.ReadDir(directory); err != nil || len(left) != 1 {
		t.Errorf("left behind: %v %v", left, err)
	}
}

// TestRejectsCorruptedFile cuts the file at every byte, and flips a bit of every byte.
func TestRejectsCorruptedFile(t *testing.T) {
	whole, err := encode("f", testSet)
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		if _, err := decode(whole[:n], "f"); err == nil {
			t.Errorf("the first %d of %d bytes are taken", n, len(whole))
		}
		flipped := append([]byte(nil), whole...)
		flipped[n] ^= 4
		if _, err := decode(flipped, "f"); !errors.Is(err, ErrTorn) && !errors.Is(err, ErrOther) {
			t.Errorf("byte %d flipped: %v", n, err)
		}
	}
	if _, err := decode([]byte(strings.Replace(string(whole), "pool 1", "pool 2", 1)), "f"); !errors.Is(err, ErrOther) {
		t.Errorf("another form: %v", err)
	}
}

// TestDiskErrors: the set in force is served all the same, and the operator can see that it is not kept.
func TestDiskErrors(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(directory, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s := Open(directory, "f", slog.New(slog.DiscardHandler))
	s.Keep(testSet)
	s.Close()
	if s.Failed() == nil {
		t.Error("a set is kept where there is no directory")
	}
	directory = t.TempDir()
	if err := os.Mkdir(filepath.Join(directory, Name), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(directory, "f"); !errors.Is(err, ErrTorn) {
		t.Errorf("a directory in its place: %v", err)
	}
	if err := Save(directory, "f", testSet); err == nil {
		t.Error("saved in the place of a directory")
	}
	if left, err := os.ReadDir(directory); err != nil || len(left) != 1 {
		t.Errorf("left behind: %v %v", left, err)
	}
}
