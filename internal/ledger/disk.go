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

// Disk is the directory of one ledger. Tests inject faults with their own.
type Disk interface {
	// List returns the sorted names of the files.
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates a file, or truncates the one of that name.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes creations, renames and removals survive a crash of the machine.
	Sync() error
	// Close releases the directory to the next owner.
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

// directory implements Disk. It refers to the directory that was opened, also after that is renamed.
type directory struct {
	path   string
	root   *os.Root
	opened os.FileInfo // of the directory that was opened
	lock   *os.File
}

// ErrSealed is the error of a directory that is not at its path any more: another process has sealed it.
var ErrSealed = errors.New("ledger: another controller has taken it")

// The fcntl(2) commands for locks of open file descriptions, which package syscall lacks. Unlike flock(2), they can be tested without being
// acquired.
const ofdGetLock, ofdSetLock = 36, 37

// OpenDirectory opens and locks a directory, and creates it if need be. ErrLocked says that another process holds the lock.
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
	if err := d.checkPath(); err != nil { // sealed while it was opened
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// IsLocked reports whether a process holds the lock of a directory. It does not acquire the lock, which would keep an owner from it.
func IsLocked(path string) (bool, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		_, err = os.Stat(path)
		if errors.Is(err, os.ErrNotExist) {
			return false, nil
		}
		return true, nil // a directory without a lock file is no ledger: it is not to be sealed
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

// VerifyPath checks that a directory is still at its path; ErrSealed says that it is not.
func VerifyPath(d Disk) error {
	if dir, is := d.(*directory); is {
		return dir.checkPath()
	}
	return nil
}

func (d *directory) checkPath() error {
	there, err := os.Stat(d.path)
	switch {
	case errors.Is(err, os.ErrNotExist) || err == nil && !os.SameFile(d.opened, there):
		return fmt.Errorf("%w: %s", ErrSealed, d.path)
	case err != nil:
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// OpenReadOnly opens a directory for reading, also while another process holds its lock.
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
