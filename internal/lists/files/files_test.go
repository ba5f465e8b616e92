package files

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fsnotify/fsnotify"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/lists/poolfile"
)

// testTimeout is far more than anything here takes.
const testTimeout = 20 * time.Second

// poolText is a file whose label and weight are n.
func poolText(n int) []byte {
	return poolfile.Write(fmt.Sprint("v", n), []pool.Member{{Address: "127.0.0.1:1", ServerEntry: control.ServerEntry{ID: "a", Weight: 1 + n}}})
}

// fixture is a watcher on a file and what it gave to be judged.
type fixture struct {
	*testing.T
	path       string
	candidates chan pool.Candidate
}

func (d *fixture) noError(err error) {
	d.Helper()
	if err != nil {
		d.Fatal(err)
	}
}

// startWatcher starts a watcher at a path; change may set it up otherwise.
func startWatcher(t *testing.T, path string, configure func(*Watcher)) *fixture {
	d := &fixture{T: t, path: path, candidates: make(chan pool.Candidate, 1000)}
	w := New(Options{File: path}, slog.New(slog.DiscardHandler), func(c pool.Candidate) { d.candidates <- c })
	if configure != nil {
		configure(w)
	}
	done := make(chan struct{})
	go func() {
		w.Run(t.Context())
		close(done)
	}()
	t.Cleanup(func() { <-done })
	return d
}

// expect waits for the candidate of a label. What comes before it must be one of those that may.
func (d *fixture) expect(label string, optional ...string) {
	d.Helper()
	for {
		select {
		case c := <-d.candidates:
			name := c.Label
			if len(c.Faults) > 0 {
				name = string(c.Faults[0].Reason)
			}
			if name == label {
				return
			}
			allowed := false
			for _, m := range optional {
				allowed = allowed || m == name
			}
			if !allowed {
				d.Fatalf("judged: %s %v, want %s", name, c.Faults, label)
			}
		case <-time.After(testTimeout):
			d.Fatalf("%s was never judged", label)
		}
	}
}

// replaceFile puts a file in place as careful tools do.
func (d *fixture) replaceFile(path string, text []byte) {
	d.Helper()
	d.noError(os.WriteFile(path+".new", text, 0o600))
	d.noError(os.Rename(path+".new", path))
}

func (d *fixture) writeFile(path string, text []byte) {
	d.Helper()
	d.noError(os.WriteFile(path, text, 0o600))
}

// waitForWatches gives the watcher time to watch, where a test is to show that watching, not the slow look, finds a change. It
// changes no verdict.
func waitForWatches() { time.Sleep(50 * time.Millisecond) }

func TestReplacedByRenameAndWrittenInPlace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	d := startWatcher(t, path, nil)
	d.expect("missing")
	d.replaceFile(path, poolText(1))
	d.expect("v1")
	waitForWatches()
	d.replaceFile(path, poolText(2))
	d.expect("v2")
	d.writeFile(path, poolText(3))
	d.expect("v3", "unfinished")
	d.noError(os.Remove(path))
	d.expect("missing")
	d.replaceFile(path, poolText(3)) // back as it was: it is judged again, since what was judged last is that it was gone
	d.expect("v3")
}

func TestAppendedSlowly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	d := startWatcher(t, path, nil)
	d.expect("missing")
	f, err := os.Create(path)
	d.noError(err)
	for line := range strings.Lines(string(poolText(1))) {
		_, err := f.WriteString(line)
		d.noError(err)
		time.Sleep(5 * time.Millisecond)
	}
	d.noError(f.Close())
	d.expect("v1", "unfinished")
	// And one that stays unfinished is told.
	d.writeFile(path, poolText(2)[:40])
	d.expect("unfinished")
}

// TestMountedConfiguration: the file is a link into a directory that is itself a link, which is swapped.
func TestMountedConfiguration(t *testing.T) {
	root := t.TempDir()
	d := &fixture{T: t}
	version := func(n int) string {
		name := fmt.Sprint("..2026_", n)
		d.noError(os.Mkdir(filepath.Join(root, name), 0o700))
		d.writeFile(filepath.Join(root, name, "pool.ini"), poolText(n))
		return name
	}
	swap := func(name string) {
		d.noError(os.Symlink(name, filepath.Join(root, "..data_new")))
		d.noError(os.Rename(filepath.Join(root, "..data_new"), filepath.Join(root, "..data")))
	}
	swap(version(1))
	d.noError(os.Symlink("..data/pool.ini", filepath.Join(root, "pool.ini")))
	d = startWatcher(t, filepath.Join(root, "pool.ini"), nil)
	d.expect("v1")
	waitForWatches()
	swap(version(2))
	d.expect("v2")
	d.noError(os.RemoveAll(filepath.Join(root, "..2026_1")))
	swap(version(3))
	d.expect("v3", "missing")
	// A circle of links is no file.
	d.noError(os.Remove(filepath.Join(root, "pool.ini")))
	d.noError(os.Symlink("pool.ini", filepath.Join(root, "pool.ini")))
	d.expect("missing")
}

// TestReplacedDirectory vanishes, is away for a while, and returns as another one.
func TestReplacedDirectory(t *testing.T) {
	root := filepath.Join(t.TempDir(), "sites")
	directory := filepath.Join(root, "tallinn")
	path := filepath.Join(directory, "pool.ini")
	d := &fixture{T: t}
	d.noError(os.MkdirAll(directory, 0o700))
	d.writeFile(path, poolText(1))
	d = startWatcher(t, path, nil)
	d.expect("v1")
	waitForWatches()
	d.noError(os.Rename(directory, directory+".old"))
	d.expect("missing")
	d.noError(os.Mkdir(directory, 0o700))
	d.replaceFile(path, poolText(2))
	d.expect("v2", "missing")
	d.replaceFile(filepath.Join(directory+".old", "pool.ini"), poolText(9)) // the old one is watched no more, or does no harm
	d.noError(os.RemoveAll(root))
	d.expect("missing")
	d.noError(os.MkdirAll(directory, 0o700))
	d.replaceFile(path, poolText(3))
	d.expect("v3", "missing")
	waitForWatches()
	d.replaceFile(path, poolText(4))
	d.expect("v4")
}

func TestUnreadableFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	d := &fixture{T: t}
	d.noError(syscall.Mkfifo(path, 0o600)) // nobody writes: a plain open would wait for ever
	d = startWatcher(t, path, nil)
	d.expect("missing")
	d.replaceFile(path, make([]byte, poolfile.MaxBytes+1))
	d.expect("size")
	d.noError(os.Remove(path))
	d.noError(os.Mkdir(path, 0o700))
	d.expect("missing")
	d.noError(os.Remove(path))
	d.replaceFile(path, poolText(1))
	d.expect("v1", "missing")
	d.noError(os.Chmod(path, 0))
	if os.Geteuid() == 0 {
		return // to whom nothing can be taken away
	}
	d.replaceFile(path, poolText(2))
	d.noError(os.Chmod(path, 0))
	d.expect("missing", "v2")
}

// stubNotifier is a watch that misses everything; what it says comes from the test.
type stubNotifier struct {
	events chan fsnotify.Event
	errs   chan error
}

func (d stubNotifier) Add(string) error                 { return nil }
func (d stubNotifier) Remove(string) error              { return nil }
func (d stubNotifier) Close() error                     { return nil }
func (d stubNotifier) EventChan() <-chan fsnotify.Event { return d.events }
func (d stubNotifier) ErrorChan() <-chan error          { return d.errs }

// TestWatchMissesChanges: an overflow says that something was dropped, and the slow look finds what nobody told of.
func TestWatchMissesChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	watch := stubNotifier{make(chan fsnotify.Event), make(chan error)}
	d := startWatcher(t, path, func(w *Watcher) { w.newNotifier = func() (notifier, error) { return watch, nil } })
	d.expect("missing")
	d.replaceFile(path, poolText(1))
	watch.errs <- fsnotify.ErrEventOverflow
	d.expect("v1")
	d.replaceFile(path, poolText(2))
	d.expect("v2")
	close(watch.events)
	close(watch.errs)
	d.replaceFile(path, poolText(3))
	d.expect("v3")
}

func TestWatchUnavailable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	d := startWatcher(t, path, func(w *Watcher) {
		w.newNotifier = func() (notifier, error) { return nil, errors.New("no watches left") }
	})
	d.expect("missing")
	for i := range 3 {
		d.replaceFile(path, poolText(i))
		d.expect(fmt.Sprint("v", i))
	}
}

func TestKeyFileChange(t *testing.T) {
	directory := t.TempDir()
	path, keyPath := filepath.Join(directory, "pool.ini"), filepath.Join(directory, "key")
	d := &fixture{T: t}
	seal := func(n int, key string) []byte {
		sealed, err := poolfile.Seal(poolText(n), []byte(key))
		d.noError(err)
		return sealed
	}
	first, second := strings.Repeat("a", 32), strings.Repeat("b", 32)
	d.replaceFile(path, seal(1, first))
	d = startWatcher(t, path, func(w *Watcher) { w.KeyFile = keyPath })
	d.expect("missing") // the key
	d.writeFile(keyPath, []byte(first+"\n"))
	d.expect("v1", "missing")
	d.replaceFile(path, poolText(2)) // not sealed
	d.expect("mac")
	d.replaceFile(path, seal(3, second))
	d.expect("mac")
	d.replaceFile(keyPath, []byte(second))
	d.expect("v3")
}
