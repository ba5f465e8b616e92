// Package mutants checks that tests detect a missing mechanism. Each mutant removes one mechanism from the sources, and the tests that it
// names must fail. The sources are not modified: the go command builds the mutant with an overlay.
package mutants

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Mutant is a change to one source file that tests must detect.
type Mutant struct {
	Name        string
	File        string // path relative to the root of the module
	Text        string // text to replace; it occurs exactly once in the file
	Replacement string
	Tests       Tests
	Row         string // issue page or table row that describes the mechanism
	Equivalent  string // why no order of events that the protocol allows distinguishes it from the sources; empty if tests must detect it
}

// Tests selects the tests of some packages whose names match a regular expression.
type Tests struct {
	Packages string // separated by spaces
	Run      string // regular expression; empty for all tests
}

// Errors that Check reports.
var (
	// ErrTextNotFound means that the file does not contain the text.
	ErrTextNotFound = errors.New("the text is not in the file")
	// ErrAmbiguous means that the file contains the text more than once.
	ErrAmbiguous = errors.New("the text is in the file more than once")
	// ErrUnchanged means that the replacement equals the text.
	ErrUnchanged = errors.New("the replacement equals the text")
	// ErrDuplicateName means that two mutants have the same name.
	ErrDuplicateName = errors.New("two mutants have the name")
)

// Apply returns the content of the mutant's file with the text replaced.
func (m *Mutant) Apply(root string) ([]byte, error) {
	source, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return nil, fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	switch n := strings.Count(string(source), m.Text); {
	case m.Text == "" || n == 0:
		return nil, fmt.Errorf("mutant %s: %s: %w", m.Name, m.File, ErrTextNotFound)
	case n > 1:
		return nil, fmt.Errorf("mutant %s: %s: %w", m.Name, m.File, ErrAmbiguous)
	case m.Text == m.Replacement:
		return nil, fmt.Errorf("mutant %s: %w", m.Name, ErrUnchanged)
	}
	return []byte(strings.Replace(string(source), m.Text, m.Replacement, 1)), nil
}

// Check returns an error for each name that is not unique and each mutant that does not apply.
func Check(root string, list []Mutant) error {
	var errs []error
	seen := map[string]bool{}
	for _, m := range list {
		if seen[m.Name] {
			errs = append(errs, fmt.Errorf("%w %s", ErrDuplicateName, m.Name))
		}
		seen[m.Name] = true
		if _, err := m.Apply(root); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
