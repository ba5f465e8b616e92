// Package modelcheck is an explicit-state model checker. It runs processes over a shared state in every interleaving of their steps, with crashes
// between any two, and checks the invariants of each state that it reaches. The processes are ordinary functions: the code that is checked is
// the code that runs.
package modelcheck

import (
	"fmt"
	"hash/fnv"
	"iter"
	"strings"
)

// Process is a process of a model, run step by step.
type Process struct {
	Name    string
	Crashes bool // it may end between any two steps
	Run     func(*Stepper)

	next    func() (struct{}, bool)
	stop    func()
	stepper *Stepper
	state   processState
}

type processState int

const (
	running processState = iota
	ended
	crashed
)

// Stepper delimits the steps of a process.
type Stepper struct {
	yield    func(struct{}) bool
	observed uint64
}

// crashSignal unwinds the goroutine of a process that has crashed.
type crashSignal struct{}

// Step begins an atomic step, which lasts until the next Step. It comes before each access to the shared state.
func (s *Stepper) Step() {
	if !s.yield(struct{}{}) {
		panic(crashSignal{})
	}
}

// Observe records what a step returned to the process: its local state is a function of all that it has observed.
func (s *Stepper) Observe(what ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, s.observed, what)
	s.observed = h.Sum64()
}

// Model is an initial state with its processes and invariants. Every run has its own.
type Model struct {
	Processes []*Process
	Digest    func() string // of the shared state
	Check     func() error  // after each step
	Final     func() error  // when all processes have ended or crashed
}

// Violation is a trace of steps that leads to a state which breaks an invariant.
type Violation struct {
	Steps []string
	Err   error
}

func (v *Violation) Error() string {
	return fmt.Sprintf("%v, after %s", v.Err, strings.Join(v.Steps, " "))
}

// Unwrap returns the error of the invariant.
func (v *Violation) Unwrap() error { return v.Err }

// Bounds limit a search.
type Bounds struct {
	Crashes int // in one run
	States  int // 0 for no bound
}

// Result is the extent of a search.
type Result struct {
	States   int
	Runs     int
	Complete bool // every state within the bounds was reached
}

// transition is a step of one process, or its crash.
type transition struct {
	process int
	crash   bool
}

// Explore searches all states that can be reached from an initial state, depth first. The error is a *Violation.
func Explore(begin func() Model, b Bounds) (Result, error) {
	var r Result
	visited := map[string]bool{}
	pending := [][]transition{nil}
	for len(pending) > 0 {
		if b.States > 0 && r.States >= b.States {
			return r, nil
		}
		path := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		branches, err := explorePath(begin(), path, b, visited, &r)
		if err != nil {
			return r, err
		}
		pending = append(pending, branches...)
	}
	r.Complete = true
	return r, nil
}

// explorePath replays a path and extends it, by the first enabled transition each time, until it reaches a visited state or no process runs.
// It returns the paths that branch off.
func explorePath(m Model, path []transition, b Bounds, visited map[string]bool, r *Result) (branches [][]transition, err error) {
	r.Runs++
	m.start()
	defer m.finish()
	var taken []transition
	crashesLeft := b.Crashes
	for n := 0; ; n++ {
		var next transition
		if n < len(path) {
			next = path[n]
		} else {
			key := m.stateKey(crashesLeft)
			if visited[key] {
				return branches, nil
			}
			visited[key] = true
			r.States++
			enabled := m.enabledTransitions(crashesLeft)
			if len(enabled) == 0 {
				if err := m.Final(); err != nil {
					return nil, m.violation(taken, err)
				}
				return branches, nil
			}
			next = enabled[0]
			for _, alternative := range enabled[1:] {
				branches = append(branches, append(append([]transition(nil), taken...), alternative))
			}
		}
		if next.crash {
			crashesLeft--
		}
		m.apply(next)
		taken = append(taken, next)
		if err := m.Check(); err != nil {
			return nil, m.violation(taken, err)
		}
	}
}

func (m Model) start() {
	for _, p := range m.Processes {
		p.stepper = &Stepper{}
		p.next, p.stop = iter.Pull(func(yield func(struct{}) bool) {
			defer func() {
				if r := recover(); r != nil && r != any(crashSignal{}) {
					panic(r)
				}
			}()
			p.stepper.yield = yield
			p.Run(p.stepper)
		})
		if _, more := p.next(); !more { // up to its first step
			p.state = ended
		}
	}
}

func (m Model) finish() {
	for _, p := range m.Processes {
		p.stop()
	}
}

func (m Model) apply(c transition) {
	p := m.Processes[c.process]
	if c.crash {
		p.stop()
		p.state = crashed
		return
	}
	if _, more := p.next(); !more {
		p.state = ended
	}
}

func (m Model) enabledTransitions(crashesLeft int) []transition {
	var all []transition
	for i, p := range m.Processes {
		if p.state == running {
			all = append(all, transition{i, false})
		}
	}
	for i, p := range m.Processes {
		if p.state == running && p.Crashes && crashesLeft > 0 {
			all = append(all, transition{i, true})
		}
	}
	return all
}

func (m Model) stateKey(crashesLeft int) string {
	var text strings.Builder
	fmt.Fprint(&text, m.Digest(), "|", crashesLeft)
	for _, p := range m.Processes {
		fmt.Fprint(&text, "|", p.state, p.stepper.observed)
	}
	return text.String()
}

func (m Model) violation(taken []transition, err error) *Violation {
	f := &Violation{Err: err}
	for _, c := range taken {
		step := m.Processes[c.process].Name
		if c.crash {
			step += "!"
		}
		f.Steps = append(f.Steps, step)
	}
	return f
}

// Running reports whether a process has neither ended nor crashed.
func (p *Process) Running() bool { return p.state == running }
