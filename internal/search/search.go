// Package search runs processes over a state that they share in every order of their steps, with crashes between any two, and holds each
// state that is reached against what must hold. The processes are ordinary functions: the code that is searched is the code that runs.
package search

import (
	"fmt"
	"hash/fnv"
	"iter"
	"strings"
)

// Process is one that is run step by step.
type Process struct {
	Name    string
	Crashes bool // it may end between any two steps
	Run     func(*Turn)

	next  func() (struct{}, bool)
	stop  func()
	turn  *Turn
	state status
}

type status int

const (
	runs status = iota
	ended
	crashed
)

// Turn is what a process asks for its steps.
type Turn struct {
	yield func(struct{}) bool
	seen  uint64
}

// crash unwinds a process that has crashed.
type crash struct{}

// Step waits for the process's next turn; what it does then until the next Step is one step. It comes before each use of the shared state.
func (t *Turn) Step() {
	if !t.yield(struct{}{}) {
		panic(crash{})
	}
}

// Saw tells what a step has brought to the process: two runs in which it saw the same are in the same place.
func (t *Turn) Saw(what ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, t.seen, what)
	t.seen = h.Sum64()
}

// World is one beginning. Every run has its own.
type World struct {
	Processes []*Process
	Digest    func() string // of the shared state
	Check     func() error  // after each step
	End       func() error  // when no process runs any more
}

// Fault is an order of steps that leads to what must not be.
type Fault struct {
	Steps []string
	Err   error
}

func (f *Fault) Error() string { return fmt.Sprintf("%v, after %s", f.Err, strings.Join(f.Steps, " ")) }

// Unwrap returns what must not be.
func (f *Fault) Unwrap() error { return f.Err }

// Bounds keep a search within what a machine can do.
type Bounds struct {
	Crashes int // in one run
	States  int // 0 for no bound
}

// Result is what a search came to.
type Result struct {
	States int
	Runs   int
	Whole  bool // every state within the bounds was reached
}

// choice is a step of one process, or its crash.
type choice struct {
	process int
	crash   bool
}

// Explore searches from a beginning. The error is a *Fault.
func Explore(begin func() World, b Bounds) (Result, error) {
	var r Result
	known := map[string]bool{}
	waiting := [][]choice{nil}
	for len(waiting) > 0 {
		if b.States > 0 && r.States >= b.States {
			return r, nil
		}
		path := waiting[len(waiting)-1]
		waiting = waiting[:len(waiting)-1]
		more, err := run(begin(), path, b, known, &r)
		if err != nil {
			return r, err
		}
		waiting = append(waiting, more...)
	}
	r.Whole = true
	return r, nil
}

// run follows a path and goes on from its end, by the first choice each time, until a state is known or nothing runs any more. It returns
// the paths that it has not gone.
func run(w World, path []choice, b Bounds, known map[string]bool, r *Result) (others [][]choice, err error) {
	r.Runs++
	w.start()
	defer w.finish()
	var gone []choice
	left := b.Crashes
	for n := 0; ; n++ {
		var next choice
		if n < len(path) {
			next = path[n]
		} else {
			key := w.key(left)
			if known[key] {
				return others, nil
			}
			known[key] = true
			r.States++
			choices := w.choices(left)
			if len(choices) == 0 {
				if err := w.End(); err != nil {
					return nil, w.fault(gone, err)
				}
				return others, nil
			}
			next = choices[0]
			for _, other := range choices[1:] {
				others = append(others, append(append([]choice(nil), gone...), other))
			}
		}
		if next.crash {
			left--
		}
		w.do(next)
		gone = append(gone, next)
		if err := w.Check(); err != nil {
			return nil, w.fault(gone, err)
		}
	}
}

func (w World) start() {
	for _, p := range w.Processes {
		p.turn = &Turn{}
		p.next, p.stop = iter.Pull(func(yield func(struct{}) bool) {
			defer func() {
				if r := recover(); r != nil && r != any(crash{}) {
					panic(r)
				}
			}()
			p.turn.yield = yield
			p.Run(p.turn)
		})
		if _, more := p.next(); !more { // up to its first step
			p.state = ended
		}
	}
}

func (w World) finish() {
	for _, p := range w.Processes {
		p.stop()
	}
}

func (w World) do(c choice) {
	p := w.Processes[c.process]
	if c.crash {
		p.stop()
		p.state = crashed
		return
	}
	if _, more := p.next(); !more {
		p.state = ended
	}
}

func (w World) choices(crashes int) []choice {
	var all []choice
	for i, p := range w.Processes {
		if p.state == runs {
			all = append(all, choice{i, false})
		}
	}
	for i, p := range w.Processes {
		if p.state == runs && p.Crashes && crashes > 0 {
			all = append(all, choice{i, true})
		}
	}
	return all
}

func (w World) key(crashes int) string {
	var text strings.Builder
	fmt.Fprint(&text, w.Digest(), "|", crashes)
	for _, p := range w.Processes {
		fmt.Fprint(&text, "|", p.state, p.turn.seen)
	}
	return text.String()
}

func (w World) fault(gone []choice, err error) *Fault {
	f := &Fault{Err: err}
	for _, c := range gone {
		step := w.Processes[c.process].Name
		if c.crash {
			step += "!"
		}
		f.Steps = append(f.Steps, step)
	}
	return f
}

// Running reports whether a process has neither ended nor crashed.
func (p *Process) Running() bool { return p.state == runs }
