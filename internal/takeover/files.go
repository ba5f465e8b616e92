package takeover

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"

	decide "cherryrelay/internal/decide/takeover"
)

// partialSuffix is the suffix of the name under which a file is written before it is renamed into place.
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
	if err != nil && !errors.Is(err, fs.ErrNotExist) { // the directory may be removed while it is read
		return nil, fmt.Errorf("takeover: %w", err)
	}
	slices.Sort(names)
	return names, nil
}

func (f files) Read(file string) ([]byte, error) {
	data, err := f.root.ReadFile(file)
	return data, wrap(err)
}

// Write creates or overwrites a file; a concurrent reader may see a part of it.
func (f files) Write(file string, data []byte) error {
	return wrap(f.root.WriteFile(file, data, 0o600))
}

func (f files) Mkdir(dir string) error { return wrap(f.root.Mkdir(dir, 0o700)) }

func (f files) Rename(from, to string) error { return wrap(f.root.Rename(from, to)) }

func (f files) Remove(path string) error { return wrap(f.root.RemoveAll(path)) }

// replace writes a file atomically: a concurrent reader sees either the old content or the new.
func (f files) replace(file string, data []byte) error {
	partial := file + partialSuffix
	if err := f.Write(partial, data); err != nil {
		return err
	}
	return f.Rename(partial, file)
}

// wrap adds context to an error; one for a file that does not exist also matches decide.ErrNotFound.
func wrap(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%w: %w", decide.ErrNotFound, err)
	}
	return fmt.Errorf("takeover: %w", err)
}
