// Package takeover says how the calls of a lost controller pass to others: the steps on the files that all controllers of a site reach, in
// their order, and who takes them when. It does no I/O: the files are behind an interface, and the clock is an argument.
// docs/takeover.md has the argument; the search in the tests runs these very steps.
package takeover

import (
	"errors"
	"fmt"
	"net/url"
	"path"
	"slices"
	"strings"
)

// Files is the directory that all controllers of a site reach. Paths are relative to it. Every method is one step that others see whole or
// not at all, but for Write and Remove, which are used where nobody else looks.
type Files interface {
	// List names what is in a directory, in order; nothing if it is not there.
	List(dir string) ([]string, error)
	Read(file string) ([]byte, error)
	Write(file string, text []byte) error
	// Make makes a directory whose parent is there.
	Make(dir string) error
	// Rename moves a file or directory. ErrGone says that it is not there any more, or the directory that it was to come to.
	Rename(from, to string) error
	// Remove removes a file, or a directory with all that is in it; it is no error if there is none.
	Remove(path string) error
}

// ErrGone is the error of a file or directory that is not there: another process has taken it.
var ErrGone = errors.New("takeover: it is not there any more")

// The directories beside those of the controllers, whose names do not begin with a dot, and what is in those.
const (
	SealedDir = ".sealed"
	EndsDir   = ".ends"
	WantedDir = ".wanted"
	DoneDir   = ".done"

	inDir   = "in"
	openDir = "open"
	newDir  = "open.new"
)

// Prepare makes the directories beside those of the controllers.
func Prepare(f Files) error {
	for _, dir := range []string{SealedDir, EndsDir, WantedDir, DoneDir} {
		if err := ensure(f, dir); err != nil {
			return err
		}
	}
	return nil
}

// PrepareOwn makes what a controller's own ledger needs beside its records.
func PrepareOwn(f Files, name string) error { return ensure(f, In(name)) }

func ensure(f Files, dir string) error {
	in, err := f.List(path.Dir(dir))
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	if slices.Contains(in, path.Base(dir)) {
		return nil
	}
	if err = f.Make(dir); err != nil {
		if in, _ := f.List(path.Dir(dir)); slices.Contains(in, path.Base(dir)) {
			return nil // another process was quicker
		}
	}
	return err //nolint:wrapcheck // it says what it is
}

// In is where the calls are that a controller has taken and not yet kept.
func In(name string) string { return path.Join(name, inDir) }

// Sealed is a lost controller's ledger, and who has it.
type Sealed struct{ Name, Number, Taker string }

// Path is its directory.
func (s Sealed) Path() string {
	return path.Join(SealedDir, strings.Join([]string{url.QueryEscape(s.Name), s.Number, url.QueryEscape(s.Taker)}, "@"))
}

func (s Sealed) open() string { return path.Join(s.Path(), openDir) }

// parse reads the name of a sealed ledger's directory.
func parse(base string) (s Sealed, ok bool) {
	parts := strings.Split(base, "@")
	if len(parts) != 3 {
		return s, false
	}
	name, badName := url.QueryUnescape(parts[0])
	taker, badTaker := url.QueryUnescape(parts[2])
	return Sealed{name, parts[1], taker}, badName == nil && badTaker == nil
}

// AllSealed are the sealed ledgers.
func AllSealed(f Files) ([]Sealed, error) {
	names, err := f.List(SealedDir)
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	var all []Sealed
	for _, base := range names {
		if s, ok := parse(base); ok {
			all = append(all, s)
		}
	}
	return all, nil
}

// Seal takes the ledger of a lost controller: from this step on its owner, if it lives, sends nothing more that is not in it. ErrGone
// says that another process has it. The number tells it from others of the same name.
func Seal(f Files, name, number, taker string) (Sealed, error) {
	s := Sealed{name, number, taker}
	return s, f.Rename(name, s.Path()) //nolint:wrapcheck // it says what it is
}

// Inherit takes a sealed ledger from its taker, which is lost as well.
func Inherit(f Files, s Sealed, taker string) (Sealed, error) {
	return InheritAs(f, s, s.Number, taker)
}

// InheritAs is Inherit under another number.
func InheritAs(f Files, s Sealed, number, taker string) (Sealed, error) {
	mine := Sealed{s.Name, number, taker}
	if mine == s {
		return s, nil
	}
	return mine, f.Rename(s.Path(), mine.Path()) //nolint:wrapcheck // it says what it is
}

// Reader reads all calls of a ledger's directory, each in the form of a call's file. Where a call is both among the records and in the
// directory of those that were taken, the records count.
type Reader func(dir string) (map[string][]byte, error)

// Open lays out the calls of a sealed ledger for whoever comes for one. Done before, in part or whole, it does no harm.
func Open(f Files, s Sealed, read Reader) error {
	in, err := f.List(s.Path())
	if err != nil || slices.Contains(in, openDir) {
		return err //nolint:wrapcheck // it says what it is
	}
	calls, err := read(s.Path())
	if err != nil {
		return err
	}
	fresh := path.Join(s.Path(), newDir)
	if err := f.Remove(fresh); err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	if err := f.Make(fresh); err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	for _, id := range sorted(calls) {
		if err := f.Write(path.Join(fresh, id), calls[id]); err != nil {
			return err //nolint:wrapcheck // it says what it is
		}
	}
	return f.Rename(fresh, s.open()) //nolint:wrapcheck // it says what it is
}

func sorted(calls map[string][]byte) []string {
	ids := make([]string, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Take takes one call. ErrGone says that it is not in this ledger, or that another process has it. Its taker keeps the call in its own
// ledger before any word of it leaves, and then says so with Kept.
func Take(f Files, s Sealed, id, taker string) ([]byte, error) {
	mine := path.Join(In(taker), id)
	if err := f.Rename(path.Join(s.open(), id), mine); err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	return f.Read(mine) //nolint:wrapcheck // it says what it is
}

// Kept tells that a call that was taken is in its taker's own ledger.
func Kept(f Files, id, taker string) error {
	return f.Remove(path.Join(In(taker), id)) //nolint:wrapcheck // it says what it is
}

// Taken are the calls that a controller has taken and not kept yet.
func Taken(f Files, taker string) ([]string, error) {
	return f.List(In(taker)) //nolint:wrapcheck // it says what it is
}

// Waiting are the calls of a sealed ledger that nobody has taken; opened is false before it is laid out.
func Waiting(f Files, s Sealed) (ids []string, opened bool, err error) {
	in, err := f.List(s.Path())
	if err != nil || !slices.Contains(in, openDir) {
		return nil, false, err //nolint:wrapcheck // it says what it is
	}
	ids, err = f.List(s.open())
	return ids, true, err //nolint:wrapcheck // it says what it is
}

// PrepareHanded makes the ledger of a living controller that holds the calls which it gives to others: one that is sealed and laid out
// from the start, with no call.
func PrepareHanded(f Files, s Sealed) error {
	return errors.Join(ensure(f, s.Path()), ensure(f, s.open()))
}

// Hand lays out a call that its controller gives away: its file is in the controller's in/, and its own ledger has let it go. Before that
// the records count, after it the file: so it is in one place at each moment.
func Hand(f Files, hand Sealed, id string) error {
	return f.Rename(path.Join(In(hand.Taker), id), path.Join(hand.open(), id)) //nolint:wrapcheck // it says what it is
}

// Finish drops a sealed ledger of which every call is taken. A call that is taken from it at the same time would go with it, so it is for
// the taker that saw it empty once it was laid out: nothing is ever added.
func Finish(f Files, s Sealed) error {
	done := path.Join(DoneDir, path.Base(s.Path()))
	if err := f.Rename(s.Path(), done); err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	return f.Remove(done) //nolint:wrapcheck // it says what it is
}

// Find takes a call wherever it waits; ErrGone says nowhere.
func Find(f Files, id, taker string) ([]byte, Sealed, error) {
	all, err := AllSealed(f)
	if err != nil {
		return nil, Sealed{}, err
	}
	for _, s := range all {
		text, err := Take(f, s, id, taker)
		if err == nil || !errors.Is(err, ErrGone) {
			return text, s, err
		}
	}
	return nil, Sealed{}, fmt.Errorf("%w: call %s", ErrGone, id)
}
