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

// Disk is the directory of one ledger. Tests have an implementation that injects faults.
type Disk interface {
	// List returns the sorted names of the files.
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates a file, or truncates an existing one.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync syncs the directory, so that creations, renames and removals survive a crash of the machine.
	Sync() error
	// Close releases the lock of the directory.
	Close() error
}

// File is a file opened for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// lockName is the file whose lock the owner of a ledger holds. The kernel releases it when the process ends.
const lockName = "lock"

// directory implements Disk. It refers to the directory that was opened, even after it is renamed.
type directory struct {
	path   string
	root   *os.Root
	opened os.FileInfo // identifies the directory that was opened
	lock   *os.File
}

// ErrSealed is returned if a directory is not at its path any more: another process has sealed it.
var ErrSealed = errors.New("ledger: another controller has sealed the directory")

// The fcntl(2) commands F_OFD_GETLK and F_OFD_SETLK, which package syscall lacks. Unlike flock(2) locks, locks of open file descriptions can be
// tested without acquiring them.
const ofdGetLock, ofdSetLock = 36, 37

// OpenDirectory opens and locks a directory, and creates it if it does not exist. It returns ErrLocked if another process holds the lock.
func OpenDirectory(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	root, err := os.OpenRoot(path)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	d := &directory{path: path, root: root}
	if d.opened, err = root.Stat("."); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: %w", err), d.Close())
	}
	if d.lock, err = root.OpenFile(lockName, os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: %w", err), d.Close())
	}
	if err := syscall.Flock(int(d.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, errors.Join(fmt.Errorf("%w: %s", err, path), d.Close())
	}
	if err := syscall.FcntlFlock(d.lock.Fd(), ofdSetLock, &syscall.Flock_t{Type: syscall.F_WRLCK}); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: locking %s: %w", path, err), d.Close())
	}
	if err := d.checkPath(); err != nil { // it may have been sealed while it was opened
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// IsLocked reports whether a process holds the lock of a directory. It does not acquire the lock, as that could make an owner fail to acquire it.
func IsLocked(path string) (bool, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		_, err = os.Stat(path)
		if errors.Is(err, os.ErrNotExist) {
			return false, nil
		}
		return true, nil // a directory without a lock file is not a ledger and must not be sealed
	}
	if err != nil {
		return false, fmt.Errorf("ledger: %w", err)
	}
	defer lock.Close()
	l := syscall.Flock_t{Type: syscall.F_WRLCK}
	if err := syscall.FcntlFlock(lock.Fd(), ofdGetLock, &l); err != nil {
		return false, fmt.Errorf("ledger: testing the lock of %s: %w", path, err)
	}
	return l.Type != syscall.F_UNLCK, nil
}

// VerifyPath checks that a directory is still at its path, and returns ErrSealed if it is not.
func VerifyPath(d Disk) error {
	if dir, ok := d.(*directory); ok {
		return dir.checkPath()
	}
	return nil
}

func (d *directory) checkPath() error {
	current, err := os.Stat(d.path)
	switch {
	case errors.Is(err, os.ErrNotExist) || err == nil && !os.SameFile(d.opened, current):
		return fmt.Errorf("%w: %s", ErrSealed, d.path)
	case err != nil:
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// OpenReadOnly opens a directory for reading without locking it, so that it can be read while another process holds the lock.
func OpenReadOnly(path string) (Disk, error) {
	root, err := os.OpenRoot(path)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return &directory{path: path, root: root}, nil
}

func (d *directory) List() ([]string, error) {
	f, err := d.root.Open(".")
	if err != nil {
		return nil, err //nolint:wrapcheck // its error names the path
	}
	defer f.Close()
	entries, err := f.ReadDir(-1)
	if err != nil {
		return nil, err //nolint:wrapcheck // its error names the path
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
		return err //nolint:wrapcheck // its error names the path
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
