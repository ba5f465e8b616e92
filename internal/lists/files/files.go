// Package files follows a pool file. It watches the directories on the way to it, since the file itself may be replaced, be
// a link, or be gone for a while, and looks at it slowly beside that, since a watch may miss things. What is seen goes to
// the pool's decisions; when to look and what to judge is decided in decide/pool, too.
package files

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/fsnotify/fsnotify"

	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/lists/poolfile"
)

const (
	// maxLinks bounds the symbolic links on the way: more is a circle.
	maxLinks = 16
	// maxKeyBytes bounds a key file.
	maxKeyBytes = 4096
)

// Options say where the file is.
type Options struct {
	File    string `json:"file"`
	KeyFile string `json:"key_file"` // of the MAC; empty for files without one
}

// Watcher follows one file.
type Watcher struct {
	Options
	log             *slog.Logger
	submit          func(pool.Candidate)
	start           time.Time
	lastFile        fileID      // of the file at the last look
	submittedDigest string      // the digest that was judged last
	submittedFile   fingerprint // of the file, as a look read those bytes; zero before
	newNotifier     func() (notifier, error)
	pollRequests    chan struct{}
}

// fileID tells one file from another at the same path.
type fileID struct{ device, inode uint64 }

// New returns a Watcher that gives take what is to be judged, from one goroutine.
func New(o Options, log *slog.Logger, submit func(pool.Candidate)) *Watcher {
	return &Watcher{Options: o, log: log, submit: submit, start: time.Now(), newNotifier: newFSNotifyNotifier, pollRequests: make(chan struct{}, 1)}
}

// now is a clock that does not go back.
func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// Nudge has the file looked at soon; any goroutine may call it.
func (w *Watcher) Nudge() {
	select {
	case w.pollRequests <- struct{}{}:
	default:
	}
}

// First reads the file at a start. One that may be on its way still is waited for, for a moment.
func (w *Watcher) First() pool.Candidate {
	poller := pool.NewFilePoller(w.now(), false)
	for {
		if f := w.poll(); poller.Observe(w.now(), f.Observation) {
			w.markSubmitted(f)
			return f.candidate()
		}
		time.Sleep(max(poller.NextPoll()-w.now(), 0))
	}
}

// pollResult is what a look has found.
type pollResult struct {
	pool.Observation
	fingerprint
	text, key []byte
	err       error
}

// fingerprint tells whether a file may hold other bytes than those that were read. Its key belongs to it.
type fingerprint struct {
	fileID
	size    int64
	changed time.Time // of the file's bytes or its other properties, as the file system has it
	key     string
	digest  string // of what was read
}

// minUnchangedTime is how long before it was read a file must have changed last for its stamp to tell every later change: file systems keep such
// times by steps of some milliseconds.
const minUnchangedTime = time.Second

// poll reads the file as it is, unless it is as it was when it was judged: a large one is not read over and over. One that changes while it
// is read is read again soon.
func (w *Watcher) poll() *pollResult {
	f := new(pollResult)
	if w.KeyFile != "" {
		if f.key, f.err = Key(w.KeyFile); f.err != nil {
			f.err = fmt.Errorf("key: %w", f.err)
		}
	}
	if s, ok := fingerprintOf(w.File, f.key); f.err == nil && ok && w.submittedFile.digest != "" {
		if s.digest = w.submittedFile.digest; s == w.submittedFile {
			f.fingerprint, f.Observation = s, pool.Observation{Digest: s.digest}
			return f
		}
	}
	started := time.Now()
	text, id, err := readFile(w.File, poolfile.MaxBytes)
	if f.err == nil || err != nil {
		f.err = err
	}
	if f.err != nil {
		f.Digest = "error " + f.err.Error()
		f.Unfinished = !errors.Is(f.err, errTooLarge)
		return f
	}
	f.text = text
	f.Observation = pool.Observation{Digest: poolfile.Digest(append(slices.Clone(f.key), text...)), Unfinished: poolfile.Unfinished(text), InPlace: id == w.lastFile}
	w.lastFile = id
	if s, ok := fingerprintOf(w.File, f.key); ok && started.Sub(s.changed) > minUnchangedTime && s.size == int64(len(text)) && s.fileID == id {
		f.fingerprint = s
		f.fingerprint.digest = f.Digest
	}
	if f.Digest == w.submittedDigest {
		w.submittedFile = f.fingerprint
	}
	return f
}

// markSubmitted notes that what was found is judged.
func (w *Watcher) markSubmitted(f *pollResult) {
	w.submittedDigest, w.submittedFile = f.Digest, f.fingerprint
}

// candidate is what is to be judged.
func (f *pollResult) candidate() pool.Candidate {
	if f.err == nil {
		return poolfile.Read(f.text, f.key)
	}
	reason := pool.Missing
	if errors.Is(f.err, errTooLarge) {
		reason = pool.TooLarge
	}
	return pool.Candidate{Source: pool.FromFile, Digest: f.Digest, Faults: []pool.Fault{{Reason: reason, Text: f.err.Error()}}}
}

// fingerprintOf is that of a file by now.
func fingerprintOf(path string, key []byte) (fingerprint, bool) {
	info, err := os.Stat(path)
	if err != nil || !info.Mode().IsRegular() {
		return fingerprint{}, false
	}
	s, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return fingerprint{}, false
	}
	return fingerprint{fileID: fileIDOf(info), size: info.Size(), changed: time.Unix(s.Ctim.Unix()), key: string(key)}, true
}

var errTooLarge = errors.New("the file is too large")

// readFile reads a regular file of a bounded size.
func readFile(path string, maxBytes int64) ([]byte, fileID, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0) // a pipe at the path must not hold it up
	if err != nil {
		return nil, fileID{}, describePathError(err)
	}
	defer f.Close()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, fileID{}, describePathError(err)
	case !info.Mode().IsRegular():
		return nil, fileID{}, fmt.Errorf("%s is no regular file", path)
	case info.Size() > maxBytes:
		return nil, fileID{}, fmt.Errorf("%w: %d bytes, %d are allowed", errTooLarge, info.Size(), maxBytes)
	}
	text, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	switch {
	case err != nil:
		return nil, fileID{}, describePathError(err)
	case int64(len(text)) > maxBytes:
		return nil, fileID{}, fmt.Errorf("%w: over %d bytes", errTooLarge, maxBytes)
	}
	return text, fileIDOf(info), nil
}

func fileIDOf(info fs.FileInfo) fileID {
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		return fileID{uint64(s.Dev), s.Ino}
	}
	return fileID{}
}

// describePathError says what is wrong with a path in the words of an operator.
func describePathError(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) {
			return fmt.Errorf("there is no file %s", pathErr.Path)
		}
	}
	return err
}

// Key reads a key file: all its bytes but the ends of lines at its end.
func Key(path string) ([]byte, error) {
	text, _, err := readFile(path, maxKeyBytes)
	if err != nil {
		return nil, err
	}
	for len(text) > 0 && (text[len(text)-1] == '\n' || text[len(text)-1] == '\r') {
		text = text[:len(text)-1]
	}
	if err := poolfile.CheckKey(text); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return text, nil
}

// notifier tells of changes in directories.
type notifier interface {
	Add(directory string) error
	Remove(directory string) error
	Close() error
	EventChan() <-chan fsnotify.Event
	ErrorChan() <-chan error
}

type fsnotifyNotifier struct{ *fsnotify.Watcher }

func (w fsnotifyNotifier) EventChan() <-chan fsnotify.Event { return w.Events }
func (w fsnotifyNotifier) ErrorChan() <-chan error          { return w.Errors }

func newFSNotifyNotifier() (notifier, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err //nolint:wrapcheck // its caller says what it is
	}
	return fsnotifyNotifier{w}, nil
}

// Run follows the file until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	notify, err := w.newNotifier()
	var events <-chan fsnotify.Event
	var errs <-chan error
	if err != nil {
		w.log.Warn("the pool file is not watched, only looked at", "file", w.File, "err", err)
	} else {
		defer notify.Close()
		events, errs = notify.EventChan(), notify.ErrorChan()
	}
	watched := map[string]fileID{}
	poller := pool.NewFilePoller(w.now(), false)
	pollTimer := time.NewTimer(0)
	defer pollTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.pollRequests:
			poller.NoteChange(w.now())
		case _, ok := <-events:
			if !ok {
				events = nil
			}
			poller.NoteChange(w.now())
		case err, ok := <-errs:
			if !ok {
				errs = nil
				break
			}
			// An overflow among them: whatever it dropped may have been a change.
			w.log.Warn("the watch on the pool file missed something", "err", err)
			poller.NoteChange(w.now())
		case <-pollTimer.C:
			// First the watch: what changes between the two is seen by the look or by the watch.
			if notify != nil {
				poller.SetWatched(w.now(), w.updateWatches(notify, watched))
			}
			if f := w.poll(); poller.Observe(w.now(), f.Observation) {
				w.markSubmitted(f)
				w.submit(f.candidate())
			}
		}
		pollTimer.Reset(max(poller.NextPoll()-w.now(), 0))
	}
}

// updateWatches has all directories on the way to the file watched as they are now. It reports whether all are.
func (w *Watcher) updateWatches(notify notifier, watched map[string]fileID) bool {
	allWatched := true
	wanted := map[string]bool{}
	for _, path := range watchedDirectories(w.File) {
		wanted[path] = true
		info, err := os.Stat(path)
		if err != nil {
			allWatched = false
			if _, ok := watched[path]; ok {
				_ = notify.Remove(path)
				delete(watched, path)
			}
			continue
		}
		id := fileIDOf(info)
		if old, ok := watched[path]; ok && old == id {
			continue
		} else if ok {
			_ = notify.Remove(path) // another directory is there now
			delete(watched, path)
		}
		if err := notify.Add(path); err != nil {
			w.log.Warn("a directory on the way to the pool file is not watched, only looked at", "directory", path, "err", err)
			allWatched = false
			continue
		}
		watched[path] = id
	}
	for path := range watched {
		if !wanted[path] {
			_ = notify.Remove(path)
			delete(watched, path)
		}
	}
	return allWatched
}

// watchedDirectories are those in which a change can put other bytes at the path: that of the file, the one above it, where it may
// be replaced itself, and the same for each link on the way.
func watchedDirectories(path string) []string {
	var all []string
	for range maxLinks {
		directory := filepath.Dir(path)
		all = append(all, directory, filepath.Dir(directory))
		target, err := os.Readlink(path)
		if err != nil {
			return all
		}
		if !filepath.IsAbs(target) {
			target = filepath.Join(directory, target)
		}
		path = target
	}
	return all
}
