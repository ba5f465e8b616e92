// Package modelcheck is an explicit-state model checker. It runs processes over a shared state in every interleaving of their steps, with
// crashes between any two steps, and checks the invariants in each state that it reaches. The processes are ordinary functions, so that
// production code can be checked as it is.
package modelcheck

import (
	"fmt"
	"hash/fnv"
	"iter"
	"strings"
)

// Process is a process of a model. It runs step by step.
type Process struct {
	Name    string
	Crashes bool // the process may crash between any two steps
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

// Stepper divides a process into steps.
type Stepper struct {
	yield    func(struct{}) bool
	observed uint64 // hash of all observed values
}

// crashSignal unwinds the goroutine of a process that has crashed.
type crashSignal struct{}

// Step begins an atomic step, which lasts until the next call of Step. A process calls it before each access to the shared state.
func (s *Stepper) Step() {
	if !s.yield(struct{}{}) {
		panic(crashSignal{})
	}
}

// Observe records the values that the process has read in a step. Their hash stands for the local state of the process, which has to be a
// function of all values that it has observed.
func (s *Stepper) Observe(values ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, s.observed, values)
	s.observed = h.Sum64()
}

// Model is an initial state with its processes and invariants. Each run uses a new Model.
type Model struct {
	Processes []*Process
	Digest    func() string // identifies the shared state
	Check     func() error  // checks the invariants after each step
	Final     func() error  // checks the invariants when all processes have ended or crashed
}

// Violation is a trace of steps that leads to a state in which an invariant does not hold.
type Violation struct {
	Steps []string // the name of the process for each step, with "!" for a crash
	Err   error
}

func (v *Violation) Error() string {
	return fmt.Sprintf("%v, after %s", v.Err, strings.Join(v.Steps, " "))
}

// Unwrap returns the error of the invariant check.
func (v *Violation) Unwrap() error { return v.Err }

// Bounds limit a search.
type Bounds struct {
	Crashes int // maximum number of crashes in one run
	States  int // maximum number of states; 0 for no bound
}

// Result holds the extent of a search.
type Result struct {
	States   int  // distinct states that were visited
	Runs     int  // executions from the initial state
	Complete bool // every state within the bounds was visited
}

// transition is a step of one process, or its crash.
type transition struct {
	process int
	crash   bool
}

// Explore searches all states that can be reached from an initial state, depth first. newModel returns the initial state of a run. A returned
// error is a *Violation.
func Explore(newModel func() Model, b Bounds) (Result, error) {
	var r Result
	visited := map[string]bool{}
	pending := [][]transition{nil}
	for len(pending) > 0 {
		if b.States > 0 && r.States >= b.States {
			return r, nil
		}
		path := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		branches, err := explorePath(newModel(), path, b, visited, &r)
		if err != nil {
			return r, err
		}
		pending = append(pending, branches...)
	}
	r.Complete = true
	return r, nil
}

// explorePath replays a path and extends it by the first enabled transition each time, until it reaches a visited state or no process is
// running. It returns the paths that branch off.
func explorePath(m Model, path []transition, b Bounds, visited map[string]bool, r *Result) (branches [][]transition, err error) {
	r.Runs++
	m.start()
	defer m.finish()
	var applied []transition
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
					return nil, m.violation(applied, err)
				}
				return branches, nil
			}
			next = enabled[0]
			for _, alternative := range enabled[1:] {
				branches = append(branches, append(append([]transition(nil), applied...), alternative))
			}
		}
		if next.crash {
			crashesLeft--
		}
		m.apply(next)
		applied = append(applied, next)
		if err := m.Check(); err != nil {
			return nil, m.violation(applied, err)
		}
	}
}

// start runs each process up to its first step.
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
		if _, more := p.next(); !more {
			p.state = ended
		}
	}
}

// finish stops the processes that are still running.
func (m Model) finish() {
	for _, p := range m.Processes {
		p.stop()
	}
}

func (m Model) apply(t transition) {
	p := m.Processes[t.process]
	if t.crash {
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

// stateKey identifies the shared state, the local states of the processes and the number of crashes left.
func (m Model) stateKey(crashesLeft int) string {
	var text strings.Builder
	fmt.Fprint(&text, m.Digest(), "|", crashesLeft)
	for _, p := range m.Processes {
		fmt.Fprint(&text, "|", p.state, p.stepper.observed)
	}
	return text.String()
}

func (m Model) violation(path []transition, err error) *Violation {
	v := &Violation{Err: err}
	for _, t := range path {
		step := m.Processes[t.process].Name
		if t.crash {
			step += "!"
		}
		v.Steps = append(v.Steps, step)
	}
	return v
}

// Running reports whether a process has neither ended nor crashed.
func (p *Process) Running() bool { return p.state == running }
