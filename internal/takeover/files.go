package takeover

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"

	decide "cherryrelay/internal/decide/takeover"
)

// partialSuffix ends the name of a file that is being written, before it is renamed.
const partialSuffix = ".new"

// files implements decide.Files on the shared directory.
type files struct{ root *os.Root }

func (f files) List(dir string) ([]string, error) {
	d, err := f.root.Open(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	defer d.Close()
	names, err := d.Readdirnames(-1)
	if err != nil && !errors.Is(err, fs.ErrNotExist) { // removed while it is read
		return nil, fmt.Errorf("takeover: %w", err)
	}
	slices.Sort(names)
	return names, nil
}

func (f files) Read(file string) ([]byte, error) {
	text, err := f.root.ReadFile(file)
	return text, wrap(err)
}

func (f files) Write(file string, text []byte) error {
	return wrap(f.root.WriteFile(file, text, 0o600))
}

func (f files) Mkdir(dir string) error { return wrap(f.root.Mkdir(dir, 0o700)) }

func (f files) Rename(from, to string) error { return wrap(f.root.Rename(from, to)) }

func (f files) Remove(path string) error { return wrap(f.root.RemoveAll(path)) }

// replace writes a file that others read: they see the old content or the new.
func (f files) replace(file string, text []byte) error {
	partial := file + partialSuffix
	if err := f.Write(partial, text); err != nil {
		return err
	}
	return f.Rename(partial, file)
}

// wrap translates the error of a file that does not exist into decide.ErrNotFound.
func wrap(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%w: %w", decide.ErrNotFound, err)
	}
	return fmt.Errorf("takeover: %w", err)
}
