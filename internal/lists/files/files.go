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
	// maxKey bounds a key file.
	maxKey = 4096
)

// Options say where the file is.
type Options struct {
	File    string `json:"file"`
	KeyFile string `json:"key_file"` // of the MAC; empty for files without one
}

// Watcher follows one file.
type Watcher struct {
	Options
	log    *slog.Logger
	take   func(pool.Candidate)
	start  time.Time
	last   identity // of the file at the last look
	judged string   // the digest that was judged last
	read   stamp    // of the file, as a look read those bytes; zero before
	open   func() (notifier, error)
	nudge  chan struct{}
}

// identity tells one file from another at the same path.
type identity struct{ device, inode uint64 }

// New returns a Watcher that gives take what is to be judged, from one goroutine.
func New(o Options, log *slog.Logger, take func(pool.Candidate)) *Watcher {
	return &Watcher{Options: o, log: log, take: take, start: time.Now(), open: inotify, nudge: make(chan struct{}, 1)}
}

// now is a clock that does not go back.
func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// Nudge has the file looked at soon; any goroutine may call it.
func (w *Watcher) Nudge() {
	select {
	case w.nudge <- struct{}{}:
	default:
	}
}

// First reads the file at a start. One that may be on its way still is waited for, for a moment.
func (w *Watcher) First() pool.Candidate {
	looks := pool.NewFilePoller(w.now(), false)
	for {
		if f := w.look(); looks.Observe(w.now(), f.Observation) {
			w.judge(f)
			return f.candidate()
		}
		time.Sleep(max(looks.NextPoll()-w.now(), 0))
	}
}

// found is what a look has found.
type found struct {
	pool.Observation
	stamp
	text, key []byte
	err       error
}

// stamp tells whether a file may hold other bytes than those that were read. Its key belongs to it.
type stamp struct {
	identity
	size    int64
	changed time.Time // of the file's bytes or its other properties, as the file system has it
	key     string
	digest  string // of what was read
}

// settled is how long before it was read a file must have changed last for its stamp to tell every later change: file systems keep such
// times by steps of some milliseconds.
const settled = time.Second

// look reads the file as it is, unless it is as it was when it was judged: a large one is not read over and over. One that changes while it
// is read is read again soon.
func (w *Watcher) look() *found {
	f := new(found)
	if w.KeyFile != "" {
		if f.key, f.err = Key(w.KeyFile); f.err != nil {
			f.err = fmt.Errorf("key: %w", f.err)
		}
	}
	if s, ok := stampOf(w.File, f.key); f.err == nil && ok && w.read.digest != "" {
		if s.digest = w.read.digest; s == w.read {
			f.stamp, f.Observation = s, pool.Observation{Digest: s.digest}
			return f
		}
	}
	begun := time.Now()
	text, id, err := read(w.File, poolfile.MaxBytes)
	if f.err == nil || err != nil {
		f.err = err
	}
	if f.err != nil {
		f.Digest = "error " + f.err.Error()
		f.Unfinished = !errors.Is(f.err, errTooLarge)
		return f
	}
	f.text = text
	f.Observation = pool.Observation{Digest: poolfile.Digest(append(slices.Clone(f.key), text...)), Unfinished: poolfile.Unfinished(text), InPlace: id == w.last}
	w.last = id
	if s, ok := stampOf(w.File, f.key); ok && begun.Sub(s.changed) > settled && s.size == int64(len(text)) && s.identity == id {
		f.stamp = s
		f.stamp.digest = f.Digest
	}
	if f.Digest == w.judged {
		w.read = f.stamp
	}
	return f
}

// judge notes that what was found is judged.
func (w *Watcher) judge(f *found) { w.judged, w.read = f.Digest, f.stamp }

// candidate is what is to be judged.
func (f *found) candidate() pool.Candidate {
	if f.err == nil {
		return poolfile.Read(f.text, f.key)
	}
	reason := pool.Missing
	if errors.Is(f.err, errTooLarge) {
		reason = pool.TooLarge
	}
	return pool.Candidate{Source: pool.FromFile, Digest: f.Digest, Faults: []pool.Fault{{Reason: reason, Text: f.err.Error()}}}
}

// stampOf is that of a file by now.
func stampOf(path string, key []byte) (stamp, bool) {
	info, err := os.Stat(path)
	if err != nil || !info.Mode().IsRegular() {
		return stamp{}, false
	}
	s, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return stamp{}, false
	}
	return stamp{identity: identify(info), size: info.Size(), changed: time.Unix(s.Ctim.Unix()), key: string(key)}, true
}

var errTooLarge = errors.New("the file is too large")

// read reads a regular file of a bounded size.
func read(path string, most int64) ([]byte, identity, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0) // a pipe at the path must not hold it up
	if err != nil {
		return nil, identity{}, plain(err)
	}
	defer f.Close()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, identity{}, plain(err)
	case !info.Mode().IsRegular():
		return nil, identity{}, fmt.Errorf("%s is no regular file", path)
	case info.Size() > most:
		return nil, identity{}, fmt.Errorf("%w: %d bytes, %d are allowed", errTooLarge, info.Size(), most)
	}
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	switch {
	case err != nil:
		return nil, identity{}, plain(err)
	case int64(len(text)) > most:
		return nil, identity{}, fmt.Errorf("%w: over %d bytes", errTooLarge, most)
	}
	return text, identify(info), nil
}

func identify(info fs.FileInfo) identity {
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		return identity{uint64(s.Dev), s.Ino}
	}
	return identity{}
}

// plain says what is wrong with a path in the words of an operator.
func plain(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		var at *fs.PathError
		if errors.As(err, &at) {
			return fmt.Errorf("there is no file %s", at.Path)
		}
	}
	return err
}

// Key reads a key file: all its bytes but the ends of lines at its end.
func Key(path string) ([]byte, error) {
	text, _, err := read(path, maxKey)
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
	Signs() <-chan fsnotify.Event
	Faults() <-chan error
}

type watch struct{ *fsnotify.Watcher }

func (w watch) Signs() <-chan fsnotify.Event { return w.Events }
func (w watch) Faults() <-chan error         { return w.Errors }

func inotify() (notifier, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err //nolint:wrapcheck // its caller says what it is
	}
	return watch{w}, nil
}

// Run follows the file until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	notify, err := w.open()
	var signs <-chan fsnotify.Event
	var faults <-chan error
	if err != nil {
		w.log.Warn("the pool file is not watched, only looked at", "file", w.File, "err", err)
	} else {
		defer notify.Close()
		signs, faults = notify.Signs(), notify.Faults()
	}
	watched := map[string]identity{}
	looks := pool.NewFilePoller(w.now(), false)
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.nudge:
			looks.NoteChange(w.now())
		case _, ok := <-signs:
			if !ok {
				signs = nil
			}
			looks.NoteChange(w.now())
		case err, ok := <-faults:
			if !ok {
				faults = nil
				break
			}
			// An overflow among them: whatever it dropped may have been a change.
			w.log.Warn("the watch on the pool file missed something", "err", err)
			looks.NoteChange(w.now())
		case <-due.C:
			// First the watch: what changes between the two is seen by the look or by the watch.
			if notify != nil {
				looks.SetWatched(w.now(), w.watch(notify, watched))
			}
			if f := w.look(); looks.Observe(w.now(), f.Observation) {
				w.judge(f)
				w.take(f.candidate())
			}
		}
		due.Reset(max(looks.NextPoll()-w.now(), 0))
	}
}

// watch has all directories on the way to the file watched as they are now. It reports whether all are.
func (w *Watcher) watch(notify notifier, watched map[string]identity) bool {
	all := true
	want := map[string]bool{}
	for _, path := range directories(w.File) {
		want[path] = true
		info, err := os.Stat(path)
		if err != nil {
			all = false
			if _, had := watched[path]; had {
				_ = notify.Remove(path)
				delete(watched, path)
			}
			continue
		}
		id := identify(info)
		if old, had := watched[path]; had && old == id {
			continue
		} else if had {
			_ = notify.Remove(path) // another directory is there now
			delete(watched, path)
		}
		if err := notify.Add(path); err != nil {
			w.log.Warn("a directory on the way to the pool file is not watched, only looked at", "directory", path, "err", err)
			all = false
			continue
		}
		watched[path] = id
	}
	for path := range watched {
		if !want[path] {
			_ = notify.Remove(path)
			delete(watched, path)
		}
	}
	return all
}

// directories are those in which a change can put other bytes at the path: that of the file, the one above it, where it may
// be replaced itself, and the same for each link on the way.
func directories(path string) []string {
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
