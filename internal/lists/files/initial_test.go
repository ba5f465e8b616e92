package files

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cherryrelay/internal/decide/pool"
)

// TestAnUnchangedFileIsSubmittedOnce guards against a valid file that is reported as empty after the start: its content, unchanged for long,
// was not read again, and nothing was submitted in its place.
func TestAnUnchangedFileIsSubmittedOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	if err := os.WriteFile(path, poolText(1), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(minUnchangedTime + 100*time.Millisecond)
	candidates := make(chan pool.Candidate, 8)
	w := New(Options{File: path}, slog.New(slog.DiscardHandler), func(c pool.Candidate) { candidates <- c })
	if c := w.ReadInitial(); c.Label != "v1" || len(c.Faults) > 0 {
		t.Fatalf("the first candidate is %q, faults %v", c.Label, c.Faults)
	}
	go w.Run(t.Context())
	if err := os.WriteFile(path+".new", poolText(2), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the file has been polled by then
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	if c := <-candidates; c.Label != "v2" {
		t.Errorf("candidate %q, faults %v, want v2", c.Label, c.Faults)
	}
}
