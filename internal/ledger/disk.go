package ledger

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Disk is a directory of the ledger's own. Tests have one that fails.
type Disk interface {
	// List names the files.
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create opens a new file, in place of one that is there.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync has what was created, renamed and removed outlast the machine.
	Sync() error
	// Close gives the directory up to the next owner.
	Close() error
}

// File is one that is written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// lockName is a file that one process at a time holds. The lock goes with its owner, however that ends.
const lockName = "lock"

// directory is a Disk. Its files are those of the directory that was opened, wherever its name goes.
type directory struct {
	path string
	root *os.Root
	mine os.FileInfo // of the directory that was opened
	lock *os.File
}

// ErrTaken is the error of a directory that is not at its path any more: another process has taken it, with all that is in it.
var ErrTaken = errors.New("ledger: another controller has taken it")

// The locks of open files (fcntl(2)), which package syscall lacks: one that is held can be seen without being taken.
const ofdGetLock, ofdSetLock = 36, 37

// Directory takes a directory, making it if need be. ErrOwned says that another process has it.
func Directory(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	root, err := os.OpenRoot(path)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	d := &directory{path: path, root: root}
	if d.mine, err = root.Stat("."); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: %w", err), d.Close())
	}
	if d.lock, err = root.OpenFile(lockName, os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: %w", err), d.Close())
	}
	if err := syscall.Flock(int(d.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrOwned
		}
		return nil, errors.Join(fmt.Errorf("%w: %s", err, path), d.Close())
	}
	if err := syscall.FcntlFlock(d.lock.Fd(), ofdSetLock, &syscall.Flock_t{Type: syscall.F_WRLCK}); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: locking %s: %w", path, err), d.Close())
	}
	if err := d.still(); err != nil { // taken while it was opened
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// Held reports whether a process has a directory. It is seen without being taken, so that its owner is not kept from it.
func Held(path string) (bool, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		_, err = os.Stat(path)
		if errors.Is(err, os.ErrNotExist) {
			return false, nil
		}
		return true, nil // what never had a lock is no ledger, and nobody's to take
	}
	if err != nil {
		return false, fmt.Errorf("ledger: %w", err)
	}
	defer lock.Close()
	l := syscall.Flock_t{Type: syscall.F_WRLCK}
	if err := syscall.FcntlFlock(lock.Fd(), ofdGetLock, &l); err != nil {
		return false, fmt.Errorf("ledger: looking at %s: %w", path, err)
	}
	return l.Type != syscall.F_UNLCK, nil
}

// Still reports whether a directory is at its path still; ErrTaken says that it is not.
func Still(d Disk) error {
	if dir, is := d.(*directory); is {
		return dir.still()
	}
	return nil
}

func (d *directory) still() error {
	there, err := os.Stat(d.path)
	switch {
	case errors.Is(err, os.ErrNotExist) || err == nil && !os.SameFile(d.mine, there):
		return fmt.Errorf("%w: %s", ErrTaken, d.path)
	case err != nil:
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// ReadOnly is a directory that is looked at, also while another process has it. Nothing may be written there.
func ReadOnly(path string) (Disk, error) {
	root, err := os.OpenRoot(path)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return &directory{path: path, root: root}, nil
}

func (d *directory) List() ([]string, error) {
	f, err := d.root.Open(".")
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	defer f.Close()
	entries, err := f.ReadDir(-1)
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d *directory) Read(name string) ([]byte, error) { return d.root.ReadFile(name) }

func (d *directory) Create(name string) (File, error) {
	return d.root.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

func (d *directory) Rename(from, to string) error { return d.root.Rename(from, to) }

func (d *directory) Remove(name string) error { return d.root.Remove(name) }

func (d *directory) Sync() error {
	f, err := d.root.Open(".")
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d *directory) Close() error {
	err := d.root.Close()
	if d.lock != nil {
		err = errors.Join(err, d.lock.Close())
	}
	return err
}
