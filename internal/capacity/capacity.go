// Package capacity measures what one controller, as a process, costs: processor time, memory, descriptors and messages as straight
// lines over a size, such as the number of dispatchers that it is told of. docs/CAPACITY.md multiplies the slopes by the size of a
// deployment. Only loopback addresses are used.
package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"
)

// Figure is one number that a play of a measurement gave.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Sample is what one play at one size gave. Error is why it gave nothing.
type Sample struct {
	Size    int      `json:"size"`
	Play    int      `json:"play"`
	Figures []Figure `json:"figures,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// Measurement is one thing that can be measured.
type Measurement struct {
	Name    string
	Short   string // what it does, in a line
	SizeOf  string // what a size counts
	Sizes   []int  // the usual ones
	At      int    // the size in the deployment that docs/CAPACITY.md is about
	measure func(ctx context.Context, b *bench, size int) ([]Figure, error)
}

// The deployment: dispatchers, each with its controller; the calls a second of one controller, if they are spread evenly; and the calls
// that stand at one controller if each lasts for a minute.
const (
	deploymentSize        = 37_000
	deploymentCallRate    = 89
	deploymentEstablished = 60 * deploymentCallRate
)

// measurements are all that there are, in the order of the page.
var measurements = []Measurement{
	{"idle-live", "listed dispatchers that accept, no calls: processor, memory, descriptors", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureIdleLive},
	{"idle-refusing", "listed dispatchers that refuse connections, no calls: processor and dials", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureIdleRefusing},
	{"idle-silent", "listed dispatchers whose machines are gone, no calls: processor and descriptors", "dispatchers", []int{100, 300, 1000}, deploymentSize, measureIdleSilent},
	{"start", "start with a pool file: processor time and time until the list is known", "dispatchers", []int{300, 1000, 3000, 10_000}, deploymentSize, measureStart},
	{"whole-list", "one event with the whole list over the coordinator's stream", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureWholeList},
	{"slow-list", "one event with the whole list, at 16 KB a second", "dispatchers", []int{50, 100, 200, 300}, deploymentSize, measureSlowList},
	{"one-change", "events that change one dispatcher of the list", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureOneChange},
	{"replace", "one event that replaces the whole list, and how long the event loop is held", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureReplace},
	{"reload", "SIGHUP with a list in force", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureReload},
	{"reports", "states that 200 dispatchers tell unasked", "reports a second", []int{100, 300, 1000, 3000}, deploymentSize, measureReports},
	{"calls", "calls set up, answered and released, turn about with a plain relay", "calls a second", []int{90, 1000}, deploymentCallRate, measureCalls},
	{"decisions", "200 calls a second, by the length of the list", "dispatchers", []int{10, 100, 1000, 3000}, deploymentSize, measureDecisions},
	{"ledger", "calls kept in a ledger, by how it is synced", "calls a second", []int{100, 300, 1000}, deploymentCallRate, measureLedger},
	{"members", "members of a fleet at one store, at rest", "members", []int{50, 100, 200, 400}, deploymentSize, measureMembers},
	{"ledgers", "a controller that looks at the ledgers of others, which live", "ledgers", []int{100, 300, 1000, 3000}, deploymentSize, measureLedgers},
	{"takeover", "the ledger of a lost controller taken over by another", "calls", []int{100, 1000, 10_000}, deploymentEstablished, measureTakeover},
}

// findMeasurement is the measurement of a name.
func findMeasurement(name string) (Measurement, error) {
	i := slices.IndexFunc(measurements, func(m Measurement) bool { return m.Name == name })
	if i < 0 {
		return Measurement{}, fmt.Errorf("unknown measurement %q", name)
	}
	return measurements[i], nil
}

// bench is what one play runs on: the controller's program, a directory of its own, and the bound on what is used.
type bench struct {
	program   string
	directory string
	window    time.Duration // of the window in which something is measured
	sockets   int           // limits.sockets of controllers
	budget    *budget
}

// settleTime is how long a controller is left alone after a change, before it counts as idle.
func (b *bench) settleTime() time.Duration { return b.window / 2 }

// startProcess starts a program and counts it into the budget. Whoever calls it ends the process with stop.
func (b *bench) startProcess(ctx context.Context, environment []string, program string, arguments ...string) (*process, error) {
	return b.startProcessTo(ctx, nil, environment, program, arguments...)
}

// startProcessTo is process with somewhere for the program's output to go.
func (b *bench) startProcessTo(ctx context.Context, out io.Writer, environment []string, program string, arguments ...string) (*process, error) {
	cmd := exec.CommandContext(ctx, program, arguments...)
	cmd.Env = append(append(os.Environ(), "TMPDIR="+b.directory), environment...)
	log, err := os.CreateTemp(b.directory, "log-*")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = out, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	p := &process{cmd: cmd, logFile: log.Name(), ended: make(chan struct{}), budget: b.budget}
	b.budget.add(cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // how it ended is of no use: it is told to
		close(p.ended)
	}()
	return p, nil
}

// ownProgram is the path of this program.
func ownProgram() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("capacity: %w", err)
	}
	return path, nil
}

// runMeasurement plays a measurement at all sizes and hands each sample to keep.
func runMeasurement(ctx context.Context, m Measurement, o options, keep func(Sample)) error {
	for play := 1; play <= o.repetitions; play++ {
		for _, size := range o.sizes {
			s, err := measureOnce(ctx, m, o, size, play)
			if err != nil {
				return err
			}
			keep(s)
		}
	}
	return nil
}

// measureOnce plays a measurement at one size. What went wrong in the play is in the sample; an error ends the run.
func measureOnce(ctx context.Context, m Measurement, o options, size, play int) (Sample, error) {
	directory, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return Sample{}, fmt.Errorf("capacity: %w", err)
	}
	defer os.RemoveAll(directory)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watched := newBudget(o.memoryMB<<20, o.processes)
	go watched.enforce(ctx, cancel)
	program, err := filepath.Abs(o.program)
	if err != nil {
		return Sample{}, fmt.Errorf("capacity: %w", err)
	}
	b := &bench{program: program, directory: directory, window: o.window, sockets: o.sockets, budget: watched}
	s := Sample{Size: size, Play: play}
	s.Figures, err = m.measure(ctx, b, size)
	if cause := context.Cause(ctx); cause != nil {
		return s, cause //nolint:wrapcheck // a bound that was passed, or an interrupt
	}
	if err != nil {
		s.Error = err.Error()
	}
	return s, nil
}

// errTimeout is the error of what does not happen in time.
var errTimeout = errors.New("not within the time given")

// waitUntil waits until something holds, looking at it at the given pace.
func waitUntil(ctx context.Context, within, pace time.Duration, holds func() bool) error {
	deadline := time.Now().Add(within)
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %v", errTimeout, within)
		}
		if err := pause(ctx, pace); err != nil {
			return err
		}
	}
	return nil
}

// pause waits for a time, or for the end of the run.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx) //nolint:wrapcheck // it says what it is
	case <-time.After(d):
		return nil
	}
}

// printProgress writes what is being done, a line each.
func printProgress(out io.Writer, s Sample) {
	fmt.Fprintf(out, "size %d, play %d:", s.Size, s.Play)
	for _, f := range s.Figures {
		fmt.Fprintf(out, " %s %.4g %s;", f.Name, f.Value, f.Unit)
	}
	if s.Error != "" {
		fmt.Fprintf(out, " failed: %s", s.Error)
	}
	fmt.Fprintln(out)
}
