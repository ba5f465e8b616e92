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

// TestKeepAndLoad checks that the last of many sets is stored, for its own pool file only.
func TestKeepAndLoad(t *testing.T) {
	directory := t.TempDir()
	if _, err := Load(directory, "f"); !errors.Is(err, ErrNotFound) {
		t.Errorf("empty directory: %v", err)
	}
	s := Open(directory, "f", slog.New(slog.DiscardHandler))
	for i := range 100 {
		m := testSet
		m.Label = strings.Repeat("x", i)
		s.Save(m)
	}
	s.Save(testSet)
	s.Close()
	s.Save(pool.Snapshot{}) // ignored after Close
	s.Close()
	got, err := Load(directory, "f")
	if diff := cmp.Diff(testSet, got); diff != "" || err != nil {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
	if _, err := Load(directory, "g"); !errors.Is(err, ErrMismatch) {
		t.Errorf("set of another file: %v", err)
	}
	if files, err := os.ReadDir(directory); err != nil || len(files) != 1 {
		t.Errorf("files in the directory: %v %v", files, err)
	}
}

// TestRejectsCorruptedFile truncates the file at every byte, and flips a bit of every byte.
func TestRejectsCorruptedFile(t *testing.T) {
	encoded, err := encode("f", testSet)
	if err != nil {
		t.Fatal(err)
	}
	for n := range encoded {
		if _, err := decode(encoded[:n], "f"); err == nil {
			t.Errorf("the first %d of %d bytes are accepted", n, len(encoded))
		}
		flipped := append([]byte(nil), encoded...)
		flipped[n] ^= 4
		if _, err := decode(flipped, "f"); !errors.Is(err, ErrCorrupted) && !errors.Is(err, ErrMismatch) {
			t.Errorf("byte %d flipped: %v", n, err)
		}
	}
	if _, err := decode([]byte(strings.Replace(string(encoded), "pool 1", "pool 2", 1)), "f"); !errors.Is(err, ErrMismatch) {
		t.Errorf("another format: %v", err)
	}
}

// TestDiskErrors checks that a set that cannot be saved is reported, and leaves no temporary file.
func TestDiskErrors(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(directory, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s := Open(directory, "f", slog.New(slog.DiscardHandler))
	s.Save(testSet)
	s.Close()
	if s.LastError() == nil {
		t.Error("no error for a state directory that is a file")
	}
	directory = t.TempDir()
	if err := os.Mkdir(filepath.Join(directory, FileName), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(directory, "f"); !errors.Is(err, ErrCorrupted) {
		t.Errorf("a directory in place of the file: %v", err)
	}
	if err := Save(directory, "f", testSet); err == nil {
		t.Error("a set has replaced a directory")
	}
	if files, err := os.ReadDir(directory); err != nil || len(files) != 1 {
		t.Errorf("files in the directory: %v %v", files, err)
	}
}
