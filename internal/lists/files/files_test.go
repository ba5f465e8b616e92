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

// testTimeout is much longer than any step here takes.
const testTimeout = 20 * time.Second

// poolText returns a pool file with a label and a weight that depend on n.
func poolText(n int) []byte {
	return poolfile.Encode(fmt.Sprint("v", n), []pool.Member{{Address: "127.0.0.1:1", ServerEntry: control.ServerEntry{ID: "a", Weight: 1 + n}}})
}

// fixture is a watcher of one file and the candidates that it submitted.
type fixture struct {
	*testing.T
	path       string
	candidates chan pool.Candidate
}

func (fx *fixture) noError(err error) {
	fx.Helper()
	if err != nil {
		fx.Fatal(err)
	}
}

// startWatcher starts a watcher of a file. configure may change the watcher before the start.
func startWatcher(t *testing.T, path string, configure func(*Watcher)) *fixture {
	fx := &fixture{T: t, path: path, candidates: make(chan pool.Candidate, 1000)}
	w := New(Options{File: path}, slog.New(slog.DiscardHandler), func(c pool.Candidate) { fx.candidates <- c })
	if configure != nil {
		configure(w)
	}
	done := make(chan struct{})
	go func() {
		w.Run(t.Context())
		close(done)
	}()
	t.Cleanup(func() { <-done })
	return fx
}

// expect waits for a candidate with the given label or, if it has faults, with the given reason of its first fault.
// Only the optional ones may come before it.
func (fx *fixture) expect(label string, optional ...string) {
	fx.Helper()
	for {
		select {
		case c := <-fx.candidates:
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
				fx.Fatalf("candidate %s %v, want %s", name, c.Faults, label)
			}
		case <-time.After(testTimeout):
			fx.Fatalf("no candidate %s", label)
		}
	}
}

// replaceFile replaces a file atomically.
func (fx *fixture) replaceFile(path string, text []byte) {
	fx.Helper()
	fx.noError(os.WriteFile(path+".new", text, 0o600))
	fx.noError(os.Rename(path+".new", path))
}

func (fx *fixture) writeFile(path string, text []byte) {
	fx.Helper()
	fx.noError(os.WriteFile(path, text, 0o600))
}

// waitForWatches gives the watcher time to set up its watches, so that a watch finds the next change and not the slow
// poll. The results of the tests don't depend on it.
func waitForWatches() { time.Sleep(50 * time.Millisecond) }

func TestReplacedByRenameAndWrittenInPlace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	fx := startWatcher(t, path, nil)
	fx.expect("missing")
	fx.replaceFile(path, poolText(1))
	fx.expect("v1")
	waitForWatches()
	fx.replaceFile(path, poolText(2))
	fx.expect("v2")
	fx.writeFile(path, poolText(3))
	fx.expect("v3", "unfinished")
	fx.noError(os.Remove(path))
	fx.expect("missing")
	fx.replaceFile(path, poolText(3)) // the content is unchanged, but the last candidate was the missing file
	fx.expect("v3")
}

func TestAppendedSlowly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	fx := startWatcher(t, path, nil)
	fx.expect("missing")
	f, err := os.Create(path)
	fx.noError(err)
	for line := range strings.Lines(string(poolText(1))) {
		_, err := f.WriteString(line)
		fx.noError(err)
		time.Sleep(5 * time.Millisecond)
	}
	fx.noError(f.Close())
	fx.expect("v1", "unfinished")
	// A file that stays unfinished is reported.
	fx.writeFile(path, poolText(2)[:40])
	fx.expect("unfinished")
}

// TestMountedConfiguration replaces a directory as Kubernetes updates a mounted ConfigMap: the file is a link into a
// directory that is itself a link, and that link is replaced.
func TestMountedConfiguration(t *testing.T) {
	root := t.TempDir()
	fx := &fixture{T: t}
	version := func(n int) string {
		name := fmt.Sprint("..2026_", n)
		fx.noError(os.Mkdir(filepath.Join(root, name), 0o700))
		fx.writeFile(filepath.Join(root, name, "pool.ini"), poolText(n))
		return name
	}
	swap := func(name string) {
		fx.noError(os.Symlink(name, filepath.Join(root, "..data_new")))
		fx.noError(os.Rename(filepath.Join(root, "..data_new"), filepath.Join(root, "..data")))
	}
	swap(version(1))
	fx.noError(os.Symlink("..data/pool.ini", filepath.Join(root, "pool.ini")))
	fx = startWatcher(t, filepath.Join(root, "pool.ini"), nil)
	fx.expect("v1")
	waitForWatches()
	swap(version(2))
	fx.expect("v2")
	fx.noError(os.RemoveAll(filepath.Join(root, "..2026_1")))
	swap(version(3))
	fx.expect("v3", "missing")
	// A cycle of links counts as a missing file.
	fx.noError(os.Remove(filepath.Join(root, "pool.ini")))
	fx.noError(os.Symlink("pool.ini", filepath.Join(root, "pool.ini")))
	fx.expect("missing")
}

// TestReplacedDirectory renames or removes the directory of the file and creates another one at its path.
func TestReplacedDirectory(t *testing.T) {
	root := filepath.Join(t.TempDir(), "sites")
	directory := filepath.Join(root, "tallinn")
	path := filepath.Join(directory, "pool.ini")
	fx := &fixture{T: t}
	fx.noError(os.MkdirAll(directory, 0o700))
	fx.writeFile(path, poolText(1))
	fx = startWatcher(t, path, nil)
	fx.expect("v1")
	waitForWatches()
	fx.noError(os.Rename(directory, directory+".old"))
	fx.expect("missing")
	fx.noError(os.Mkdir(directory, 0o700))
	fx.replaceFile(path, poolText(2))
	fx.expect("v2", "missing")
	fx.replaceFile(filepath.Join(directory+".old", "pool.ini"), poolText(9)) // the old directory is no longer watched, or its events are harmless
	fx.noError(os.RemoveAll(root))
	fx.expect("missing")
	fx.noError(os.MkdirAll(directory, 0o700))
	fx.replaceFile(path, poolText(3))
	fx.expect("v3", "missing")
	waitForWatches()
	fx.replaceFile(path, poolText(4))
	fx.expect("v4")
}

func TestUnreadableFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	fx := &fixture{T: t}
	fx.noError(syscall.Mkfifo(path, 0o600)) // without a writer, a blocking open would never return
	fx = startWatcher(t, path, nil)
	fx.expect("missing")
	fx.replaceFile(path, make([]byte, poolfile.MaxBytes+1))
	fx.expect("size")
	fx.noError(os.Remove(path))
	fx.noError(os.Mkdir(path, 0o700))
	fx.expect("missing")
	fx.noError(os.Remove(path))
	fx.replaceFile(path, poolText(1))
	fx.expect("v1", "missing")
	fx.noError(os.Chmod(path, 0))
	if os.Geteuid() == 0 {
		return // root can read the file regardless of its mode
	}
	fx.replaceFile(path, poolText(2))
	fx.noError(os.Chmod(path, 0))
	fx.expect("missing", "v2")
}

// stubNotifier finds no changes; it reports only what the test sends.
type stubNotifier struct {
	events chan fsnotify.Event
	errs   chan error
}

func (n stubNotifier) Add(string) error                 { return nil }
func (n stubNotifier) Remove(string) error              { return nil }
func (n stubNotifier) Close() error                     { return nil }
func (n stubNotifier) EventChan() <-chan fsnotify.Event { return n.events }
func (n stubNotifier) ErrorChan() <-chan error          { return n.errs }

// TestWatchMissesChanges checks that an overflow leads to a poll, and that the slow poll finds changes that the watch
// missed.
func TestWatchMissesChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	watch := stubNotifier{make(chan fsnotify.Event), make(chan error)}
	fx := startWatcher(t, path, func(w *Watcher) { w.newNotifier = func() (notifier, error) { return watch, nil } })
	fx.expect("missing")
	fx.replaceFile(path, poolText(1))
	watch.errs <- fsnotify.ErrEventOverflow
	fx.expect("v1")
	fx.replaceFile(path, poolText(2))
	fx.expect("v2")
	close(watch.events)
	close(watch.errs)
	fx.replaceFile(path, poolText(3))
	fx.expect("v3")
}

func TestWatchUnavailable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.ini")
	fx := startWatcher(t, path, func(w *Watcher) {
		w.newNotifier = func() (notifier, error) { return nil, errors.New("no watches left") }
	})
	fx.expect("missing")
	for i := range 3 {
		fx.replaceFile(path, poolText(i))
		fx.expect(fmt.Sprint("v", i))
	}
}

func TestKeyFileChange(t *testing.T) {
	directory := t.TempDir()
	path, keyPath := filepath.Join(directory, "pool.ini"), filepath.Join(directory, "key")
	fx := &fixture{T: t}
	seal := func(n int, key string) []byte {
		sealed, err := poolfile.Seal(poolText(n), []byte(key))
		fx.noError(err)
		return sealed
	}
	first, second := strings.Repeat("a", 32), strings.Repeat("b", 32)
	fx.replaceFile(path, seal(1, first))
	fx = startWatcher(t, path, func(w *Watcher) { w.KeyFile = keyPath })
	fx.expect("missing") // the key file is missing
	fx.writeFile(keyPath, []byte(first+"\n"))
	fx.expect("v1", "missing")
	fx.replaceFile(path, poolText(2)) // not sealed
	fx.expect("mac")
	fx.replaceFile(path, seal(3, second))
	fx.expect("mac")
	fx.replaceFile(keyPath, []byte(second))
	fx.expect("v3")
}
