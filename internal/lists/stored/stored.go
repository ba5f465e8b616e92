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
	// formatName is written in its first line; another one is passed over.
	formatName = "cherryrelay-pool 1"
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

// content is what the file holds after its first line.
type content struct {
	File string        `json:"file"` // the pool file that the set came from
	Set  pool.Snapshot `json:"set"`
}

var jsonAPI = jsoniter.ConfigCompatibleWithStandardLibrary

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
	header, body, found := bytes.Cut(text, []byte("\n"))
	if !found {
		return pool.Snapshot{}, fmt.Errorf("%w: it has no first line", ErrTorn)
	}
	gotFormat, gotChecksum, _ := bytes.Cut(header, []byte(": "))
	if string(gotFormat) != formatName {
		return pool.Snapshot{}, fmt.Errorf("%w: it begins with %.40q", ErrOther, header)
	}
	if want := checksum(body); string(gotChecksum) != want {
		return pool.Snapshot{}, fmt.Errorf("%w: checksum %.40q, that of what it holds is %q", ErrTorn, gotChecksum, want)
	}
	var c content
	if err := jsonAPI.Unmarshal(body, &c); err != nil {
		return pool.Snapshot{}, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	if c.File != file {
		return pool.Snapshot{}, fmt.Errorf("%w: it was kept for %s", ErrOther, c.File)
	}
	return c.Set, nil
}

func checksum(body []byte) string {
	return fmt.Sprintf("%d bytes, %016x", len(body), xxhash.Sum64(body))
}

func encode(file string, set pool.Snapshot) ([]byte, error) {
	body, err := jsonAPI.Marshal(content{file, set})
	if err != nil {
		return nil, fmt.Errorf("stored set: %w", err)
	}
	return append([]byte(formatName+": "+checksum(body)+"\n"), body...), nil
}

// Save writes a set in the place of the last one.
func Save(directory, file string, set pool.Snapshot) (err error) {
	text, err := encode(file, set)
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
	pending         chan pool.Snapshot // the newest alone
	done            chan struct{}

	mu      sync.Mutex
	closed  bool
	lastErr error
}

// Open returns a Store for the sets of a pool file.
func Open(directory, file string, log *slog.Logger) *Store {
	s := &Store{directory: directory, file: file, log: log, pending: make(chan pool.Snapshot, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for set := range s.pending {
			s.save(set)
		}
	}()
	return s
}

func (s *Store) save(set pool.Snapshot) {
	err := Save(s.directory, s.file, set)
	if err != nil {
		s.log.Error("the set in force is not stored: a start with a broken file would fail", "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastErr = err
}

// Failed is why the last set was not kept; nil if it was.
func (s *Store) Failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastErr
}

// Keep has a set written soon, in the place of one that still waits.
func (s *Store) Keep(set pool.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return // the file has changed while the process ends: the next one will see
	}
	select {
	case <-s.pending:
	default:
	}
	s.pending <- set
}

// Close waits until the last set is written.
func (s *Store) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.pending)
	}
	s.mu.Unlock()
	<-s.done
}
