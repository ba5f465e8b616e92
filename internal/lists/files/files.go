// Package files follows a pool file. It watches the directories on the path to the file, since the file itself may be
// replaced, be a symbolic link, or be absent for a while. It also polls the file slowly, since a watch may miss
// changes. The decisions are made in decide/pool: when to poll, which content to check, and whether to accept it.
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
	// maxLinks bounds the symbolic links that are followed: more of them form a cycle.
	maxLinks = 16
	// maxKeyBytes bounds the size of a key file.
	maxKeyBytes = 4096
)

// Options specifies the file to follow.
type Options struct {
	File    string `json:"file"`
	KeyFile string `json:"key_file"` // the key of the MAC; empty for files without a MAC
}

// Watcher follows one file.
type Watcher struct {
	Options
	log             *slog.Logger
	submit          func(pool.Candidate)
	start           time.Time
	poller          *pool.FilePoller
	lastFile        fileID      // the file at the last poll that read it
	submittedDigest string      // digest of the last candidate
	submittedFile   fingerprint // state of the file when the content of the last candidate was read; zero if unknown
	newNotifier     func() (notifier, error)
	pollRequests    chan struct{}
}

// fileID distinguishes files that have had the same path.
type fileID struct{ device, inode uint64 }

// New returns a Watcher that passes new candidates to submit, from one goroutine. Run starts to follow the file.
func New(o Options, log *slog.Logger, submit func(pool.Candidate)) *Watcher {
	w := &Watcher{Options: o, log: log, submit: submit, start: time.Now(), newNotifier: newFSNotifyNotifier, pollRequests: make(chan struct{}, 1)}
	w.poller = pool.NewFilePoller(w.now(), false)
	return w
}

// now returns the time since the start, by a monotonic clock.
func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// PollSoon has the file polled soon. Any goroutine may call it.
func (w *Watcher) PollSoon() {
	select {
	case w.pollRequests <- struct{}{}:
	default:
	}
}

// ReadInitial reads the file at startup. It waits briefly for a file that is missing or incomplete, since it may still be
// being written.
func (w *Watcher) ReadInitial() pool.Candidate {
	for {
		if f := w.poll(); w.poller.Observe(w.now(), f.Observation) {
			w.markSubmitted(f)
			return f.candidate()
		}
		time.Sleep(max(w.poller.NextPoll()-w.now(), 0))
	}
}

// pollResult is what one poll has found.
type pollResult struct {
	pool.Observation
	fingerprint
	text, key []byte
	err       error
}

// fingerprint is the state of a file without its content: if it is unchanged, so is the content. The key is part of it.
type fingerprint struct {
	fileID
	size    int64
	changed time.Time // ctime: the last change of the content or the metadata
	key     string
	digest  string // of the content and the key
}

// minUnchangedTime is the least time between the last change of a file and a read after which its fingerprint detects
// every later change: file systems store ctime in steps of some milliseconds.
const minUnchangedTime = time.Second

// poll reads the file unless it is unchanged since its content was submitted, so that a large file is not read
// repeatedly. A file that changes while it is read is read again soon.
func (w *Watcher) poll() *pollResult {
	f := new(pollResult)
	if w.KeyFile != "" {
		if f.key, f.err = ReadKey(w.KeyFile); f.err != nil {
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
	f.Observation = pool.Observation{Digest: poolfile.Digest(append(slices.Clone(f.key), text...)), Unfinished: poolfile.Unfinished(text),
		InPlace: id == w.lastFile}
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

// markSubmitted records that the result was submitted as a candidate.
func (w *Watcher) markSubmitted(f *pollResult) {
	w.submittedDigest, w.submittedFile = f.Digest, f.fingerprint
}

// candidate returns the candidate for the pool.
func (f *pollResult) candidate() pool.Candidate {
	if f.err == nil {
		return poolfile.Parse(f.text, f.key)
	}
	reason := pool.Missing
	if errors.Is(f.err, errTooLarge) {
		reason = pool.TooLarge
	}
	return pool.Candidate{Source: pool.FromFile, Digest: f.Digest, Faults: []pool.Fault{{Reason: reason, Text: f.err.Error()}}}
}

// fingerprintOf returns the current fingerprint of a file, without the digest.
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

// readFile reads a regular file of at most maxBytes.
func readFile(path string, maxBytes int64) ([]byte, fileID, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0) // with O_NONBLOCK, a named pipe at the path does not block
	if err != nil {
		return nil, fileID{}, describePathError(err)
	}
	defer f.Close()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, fileID{}, describePathError(err)
	case !info.Mode().IsRegular():
		return nil, fileID{}, fmt.Errorf("%s is not a regular file", path)
	case info.Size() > maxBytes:
		return nil, fileID{}, fmt.Errorf("%w: %d bytes, at most %d are allowed", errTooLarge, info.Size(), maxBytes)
	}
	text, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	switch {
	case err != nil:
		return nil, fileID{}, describePathError(err)
	case int64(len(text)) > maxBytes:
		return nil, fileID{}, fmt.Errorf("%w: more than %d bytes", errTooLarge, maxBytes)
	}
	return text, fileIDOf(info), nil
}

func fileIDOf(info fs.FileInfo) fileID {
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		return fileID{uint64(s.Dev), s.Ino}
	}
	return fileID{}
}

// describePathError returns a plain message for a missing file, and other errors unchanged.
func describePathError(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) {
			return fmt.Errorf("there is no file %s", pathErr.Path)
		}
	}
	return err
}

// ReadKey reads a key file and trims the line breaks at its end.
func ReadKey(path string) ([]byte, error) {
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

// notifier watches directories for changes.
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
		return nil, err //nolint:wrapcheck // the caller adds the context
	}
	return fsnotifyNotifier{w}, nil
}

// Run follows the file until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	notify, err := w.newNotifier()
	var events <-chan fsnotify.Event
	var errs <-chan error
	if err != nil {
		w.log.Warn("the pool file cannot be watched and is only polled", "file", w.File, "err", err)
	} else {
		defer notify.Close()
		events, errs = notify.EventChan(), notify.ErrorChan()
	}
	watched := map[string]fileID{}
	poller := w.poller // a file that ReadInitial has submitted is not submitted again
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
			// An overflow is such an error: a dropped event may have been a change of the file.
			w.log.Warn("the watch on the pool file reported an error", "err", err)
			poller.NoteChange(w.now())
		case <-pollTimer.C:
			// The watches are updated before the poll, so that a change between the two is found by one of them.
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

// updateWatches watches the current directories on the path to the file. It reports whether all of them are watched.
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
			_ = notify.Remove(path) // the path is another directory now
			delete(watched, path)
		}
		if err := notify.Add(path); err != nil {
			w.log.Warn("a directory on the path to the pool file cannot be watched, the file is only polled", "directory", path, "err", err)
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

// watchedDirectories returns the directories in which a change can put other content at the path: the directory of the
// file, its parent, where the directory itself may be replaced, and the same for each link that is followed.
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
