// Package stored saves the last accepted set of dispatchers on disk, for a start with an invalid pool file. A set is
// written to a temporary file, synced and renamed, so that a crash leaves either the old set or the new one. A file
// that is corrupted all the same, by the disk or by hand, fails its checksum and is rejected as a whole.
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
	// FileName is the name of the file in the state directory.
	FileName = "pool.state"
	// formatName starts the first line of the file; files of another format are rejected.
	formatName = "cherryrelay-pool 1"
	// maxBytes bounds the size of the file: 50,000 servers take some 15 MiB.
	maxBytes = 32 << 20
)

var (
	// ErrNotFound is returned if the directory has no stored set.
	ErrNotFound = errors.New("no set is stored")
	// ErrCorrupted is returned if the file is not a complete and unchanged stored set.
	ErrCorrupted = errors.New("the stored set is corrupted")
	// ErrMismatch is returned if the stored set has another format or belongs to another pool file.
	ErrMismatch = errors.New("the stored set does not match")
)

// content is the JSON object after the first line of the file.
type content struct {
	File string        `json:"file"` // the pool file that the set is from
	Set  pool.Snapshot `json:"set"`
}

var jsonAPI = jsoniter.ConfigCompatibleWithStandardLibrary

// Load reads the set that was saved for a pool file.
func Load(directory, file string) (pool.Snapshot, error) {
	path := filepath.Join(directory, FileName)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return pool.Snapshot{}, ErrNotFound
	case err != nil:
		return pool.Snapshot{}, fmt.Errorf("stored set: %w", err)
	case !info.Mode().IsRegular() || info.Size() > maxBytes:
		return pool.Snapshot{}, fmt.Errorf("%w: %s is not a regular file of at most %d bytes", ErrCorrupted, path, maxBytes)
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
		return pool.Snapshot{}, fmt.Errorf("%w: the first line is incomplete", ErrCorrupted)
	}
	gotFormat, gotChecksum, _ := bytes.Cut(header, []byte(": "))
	if string(gotFormat) != formatName {
		return pool.Snapshot{}, fmt.Errorf("%w: the first line is %.40q", ErrMismatch, header)
	}
	if want := checksum(body); string(gotChecksum) != want {
		return pool.Snapshot{}, fmt.Errorf("%w: checksum %.40q, want %q", ErrCorrupted, gotChecksum, want)
	}
	var c content
	if err := jsonAPI.Unmarshal(body, &c); err != nil {
		return pool.Snapshot{}, fmt.Errorf("%w: %w", ErrCorrupted, err)
	}
	if c.File != file {
		return pool.Snapshot{}, fmt.Errorf("%w: it was saved for %s", ErrMismatch, c.File)
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

// Save replaces the stored set.
func Save(directory, file string, set pool.Snapshot) (err error) {
	text, err := encode(file, set)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(directory, "."+FileName+".*") // two processes may write during a handover
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
		err = os.Rename(f.Name(), filepath.Join(directory, FileName))
	}
	if err == nil {
		err = syncDirectory(directory)
	}
	if err != nil {
		return fmt.Errorf("stored set: %w", err)
	}
	return nil
}

// syncDirectory syncs a directory, so that a rename in it survives a crash of the machine.
func syncDirectory(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err //nolint:wrapcheck // the caller adds the context
	}
	return errors.Join(d.Sync(), d.Close())
}

// Store saves sets on a goroutine of its own, so that calls don't wait for the disk.
type Store struct {
	directory, file string
	log             *slog.Logger
	pending         chan pool.Snapshot // holds only the newest set
	done            chan struct{}

	mu      sync.Mutex
	closed  bool
	lastErr error
}

// Open returns a Store that saves the sets of a pool file.
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
		s.log.Error("the active set cannot be stored: a start with an invalid pool file would fail", "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastErr = err
}

// LastError returns why the last set was not saved; nil if it was.
func (s *Store) LastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastErr
}

// Save queues a set for saving. It replaces a set that is still pending.
func (s *Store) Save(set pool.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return // the pool file changed while the process ends; the next process reads it
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
