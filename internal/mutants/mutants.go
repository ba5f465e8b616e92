// Package mutants checks that tests notice when a mechanism is missing: each mutant takes one out of the sources, and the tests named with it
// must fail. The sources stay as they are; the go command builds the mutant from an overlay.
package mutants

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Mutant is a change of one source file that tests must notice.
type Mutant struct {
	Name        string
	File        string // from the root of the module
	Text        string // that is replaced; it stands exactly once in the file
	Replacement string
	Tests       Tests
	Row         string // the page or row that the mechanism belongs to
	Equivalent  string // why no order of events that the protocol allows tells it from the sources; empty where tests must notice
}

// Tests are those of some packages whose names match an expression.
type Tests struct {
	Packages string // separated by spaces
	Run      string
}

// Errors of the list.
var (
	// ErrNoText is a text that the file does not have.
	ErrNoText = errors.New("the text is not in the file")
	// ErrAmbiguous is a text that the file has more than once.
	ErrAmbiguous = errors.New("the text is in the file more than once")
	// ErrUnchanged is a replacement that is the text itself.
	ErrUnchanged = errors.New("the replacement is the text")
	// ErrNameTwice is a name that two mutants have.
	ErrNameTwice = errors.New("two mutants have the name")
)

// Apply returns the file of a mutant with its text replaced.
func (m *Mutant) Apply(root string) ([]byte, error) {
	source, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return nil, fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	switch n := strings.Count(string(source), m.Text); {
	case m.Text == "" || n == 0:
		return nil, fmt.Errorf("mutant %s: %s: %w", m.Name, m.File, ErrNoText)
	case n > 1:
		return nil, fmt.Errorf("mutant %s: %s: %w", m.Name, m.File, ErrAmbiguous)
	case m.Text == m.Replacement:
		return nil, fmt.Errorf("mutant %s: %w", m.Name, ErrUnchanged)
	}
	return []byte(strings.Replace(string(source), m.Text, m.Replacement, 1)), nil
}

// Check reports the faults of a list: names that are not unique, and mutants that do not apply.
func Check(root string, list []Mutant) error {
	var faults []error
	seen := map[string]bool{}
	for _, m := range list {
		if seen[m.Name] {
			faults = append(faults, fmt.Errorf("%w %s", ErrNameTwice, m.Name))
		}
		seen[m.Name] = true
		if _, err := m.Apply(root); err != nil {
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}
