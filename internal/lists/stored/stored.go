// Package stored keeps the last good set of dispatchers on disk, for a start whose file is broken. A set is written beside
// the last one, synced and renamed, so a crash leaves one of the two; what is torn all the same, by a disk or a hand, does not
// pass its checksum and is passed over whole.
package stored

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/decide/pool"
)

const (
	// Name is the file in the state directory.
	Name = "pool.state"
	// format is written in its first line; another one is passed over.
	format = "cherryrelay-pool 1"
	// maxBytes bounds what is read: 50,000 servers take some 15 MiB.
	maxBytes = 32 << 20
)

var (
	// ErrNone is the error of a directory without a set.
	ErrNone = errors.New("no set is stored")
	// ErrTorn is the error of a set that is not what was written.
	ErrTorn = errors.New("the stored set is torn")
	// ErrOther is the error of a set that is not meant: of another form, or kept for another file.
	ErrOther = errors.New("the stored set is of another kind")
)

// kept is what the file holds after its first line.
type kept struct {
	File string        `json:"file"` // the pool file that the set came from
	Set  pool.Snapshot `json:"set"`
}

var api = jsoniter.ConfigCompatibleWithStandardLibrary

// Load reads the set that was kept for a pool file.
func Load(directory, file string) (pool.Snapshot, error) {
	path := filepath.Join(directory, Name)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return pool.Snapshot{}, ErrNone
	case err != nil:
		return pool.Snapshot{}, fmt.Errorf("stored set: %w", err)
	case !info.Mode().IsRegular() || info.Size() > maxBytes:
		return pool.Snapshot{}, fmt.Errorf("%w: %s is no file of at most %d bytes", ErrTorn, path, maxBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return pool.Snapshot{}, fmt.Errorf("stored set: %w", err)
	}
	return decode(text, file)
}

func decode(text []byte, file string) (pool.Snapshot, error) {
	head, body, whole := bytes.Cut(text, []byte("\n"))
	if !whole {
		return pool.Snapshot{}, fmt.Errorf("%w: it has no first line", ErrTorn)
	}
	form, rest, _ := bytes.Cut(head, []byte(": "))
	if string(form) != format {
		return pool.Snapshot{}, fmt.Errorf("%w: it begins with %.40q", ErrOther, head)
	}
	if want := check(body); string(rest) != want {
		return pool.Snapshot{}, fmt.Errorf("%w: checksum %.40q, that of what it holds is %q", ErrTorn, rest, want)
	}
	var k kept
	if err := api.Unmarshal(body, &k); err != nil {
		return pool.Snapshot{}, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	if k.File != file {
		return pool.Snapshot{}, fmt.Errorf("%w: it was kept for %s", ErrOther, k.File)
	}
	return k.Set, nil
}

func check(body []byte) string { return fmt.Sprintf("%d bytes, %016x", len(body), xxhash.Sum64(body)) }

func encode(file string, m pool.Snapshot) ([]byte, error) {
	body, err := api.Marshal(kept{file, m})
	if err != nil {
		return nil, fmt.Errorf("stored set: %w", err)
	}
	return append([]byte(format+": "+check(body)+"\n"), body...), nil
}

// Save writes a set in the place of the last one.
func Save(directory, file string, m pool.Snapshot) (err error) {
	text, err := encode(file, m)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(directory, "."+Name+".*") // two processes may write while one takes over from the other
	if err != nil {
		return fmt.Errorf("stored set: %w", err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(directory, Name))
	}
	if err == nil {
		err = syncDirectory(directory)
	}
	if err != nil {
		return fmt.Errorf("stored set: %w", err)
	}
	return nil
}

// syncDirectory has the rename outlast a crash of the machine.
func syncDirectory(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err //nolint:wrapcheck // its caller says what it is
	}
	return errors.Join(d.Sync(), d.Close())
}

// Store keeps sets as they come, off the way of calls.
type Store struct {
	directory, file string
	log             *slog.Logger
	sets            chan pool.Snapshot // the newest alone
	ended           chan struct{}

	mu     sync.Mutex
	closed bool
	failed error
}

// Open returns a Store for the sets of a pool file.
func Open(directory, file string, log *slog.Logger) *Store {
	s := &Store{directory: directory, file: file, log: log, sets: make(chan pool.Snapshot, 1), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		for m := range s.sets {
			s.save(m)
		}
	}()
	return s
}

func (s *Store) save(m pool.Snapshot) {
	err := Save(s.directory, s.file, m)
	if err != nil {
		s.log.Error("the set in force is not stored: a start with a broken file would fail", "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = err
}

// Failed is why the last set was not kept; nil if it was.
func (s *Store) Failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Keep has a set written soon, in the place of one that still waits.
func (s *Store) Keep(m pool.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return // the file has changed while the process ends: the next one will see
	}
	select {
	case <-s.sets:
	default:
	}
	s.sets <- m
}

// Close waits until the last set is written.
func (s *Store) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.sets)
	}
	s.mu.Unlock()
	<-s.ended
}
