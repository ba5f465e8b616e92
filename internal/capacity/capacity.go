// Package capacity measures the resource usage of one controller process: processor time, memory, descriptors and messages. It fits a
// straight line to each figure over a size, such as the number of listed dispatchers. docs/CAPACITY.md multiplies the slopes by the size
// of a deployment. All connections use loopback addresses.
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

// Figure is one named number that a measurement returns.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Sample holds the figures of one repetition of a measurement at one size, or the error that made it fail.
type Sample struct {
	Size       int      `json:"size"`
	Repetition int      `json:"play"`
	Figures    []Figure `json:"figures,omitempty"`
	Error      string   `json:"error,omitempty"`
}

// Measurement describes one kind of measurement and the function that carries it out.
type Measurement struct {
	Name    string
	Short   string // one-line description
	SizeOf  string // unit of the size
	Sizes   []int  // default sizes
	At      int    // size in the deployment that docs/CAPACITY.md describes
	measure func(ctx context.Context, b *bench, size int) ([]Figure, error)
}

// The deployment that docs/CAPACITY.md describes: the number of dispatchers, each with its own controller; the calls per second at one
// controller if they are distributed evenly; and its established calls if each lasts for a minute.
const (
	deploymentSize        = 37_000
	deploymentCallRate    = 89
	deploymentEstablished = 60 * deploymentCallRate
)

// measurements lists all measurements in the order of docs/CAPACITY.md.
var measurements = []Measurement{
	{"idle-live", "listed dispatchers that accept, no calls: processor, memory, descriptors", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureIdleLive},
	{"idle-refusing", "listed dispatchers that refuse connections, no calls: processor and dials", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureIdleRefusing},
	{"idle-silent", "listed dispatchers whose machines do not respond, no calls: processor and descriptors", "dispatchers", []int{100, 300, 1000}, deploymentSize, measureIdleSilent},
	{"start", "start with a pool file: processor time and time until the list is known", "dispatchers", []int{300, 1000, 3000, 10_000}, deploymentSize, measureStart},
	{"whole-list", "one event with the whole list over the coordinator's stream", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureWholeList},
	{"slow-list", "one event with the whole list, at 16 KB a second", "dispatchers", []int{50, 100, 200, 300}, deploymentSize, measureSlowList},
	{"one-change", "events that change one dispatcher of the list", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureOneChange},
	{"replace", "one event that replaces the whole list, and how long the event loop is blocked", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureReplace},
	{"reload", "SIGHUP with an active list", "dispatchers", []int{100, 300, 1000, 3000}, deploymentSize, measureReload},
	{"reports", "unsolicited state reports of 200 dispatchers", "reports a second", []int{100, 300, 1000, 3000}, deploymentSize, measureReports},
	{"calls", "calls set up, answered and released, alternating with a plain relay", "calls a second", []int{90, 1000}, deploymentCallRate, measureCalls},
	{"decisions", "200 calls a second, by the length of the list", "dispatchers", []int{10, 100, 1000, 3000}, deploymentSize, measureDecisions},
	{"ledger", "calls recorded in a ledger, for each sync mode", "calls a second", []int{100, 300, 1000}, deploymentCallRate, measureLedger},
	{"members", "members of an idle fleet at one store", "members", []int{50, 100, 200, 400}, deploymentSize, measureMembers},
	{"ledgers", "a controller that scans the ledgers of other live controllers", "ledgers", []int{100, 300, 1000, 3000}, deploymentSize, measureLedgers},
	{"takeover", "takeover of the ledger of a failed controller", "calls", []int{100, 1000, 10_000}, deploymentEstablished, measureTakeover},
}

// findMeasurement returns the measurement with the given name.
func findMeasurement(name string) (Measurement, error) {
	i := slices.IndexFunc(measurements, func(m Measurement) bool { return m.Name == name })
	if i < 0 {
		return Measurement{}, fmt.Errorf("unknown measurement %q", name)
	}
	return measurements[i], nil
}

// bench holds the environment of one repetition: the controller program, a temporary directory and the resource budget.
type bench struct {
	program   string
	directory string
	window    time.Duration // length of the measured interval
	sockets   int           // limits.sockets of the controller
	budget    *budget
}

// settleTime returns how long to wait after a change until the controller counts as idle.
func (b *bench) settleTime() time.Duration { return b.window / 2 }

// startProcess starts a program and adds it to the budget. The caller must call stop on the process.
func (b *bench) startProcess(ctx context.Context, environment []string, program string, arguments ...string) (*process, error) {
	return b.startProcessTo(ctx, nil, environment, program, arguments...)
}

// startProcessTo is like startProcess and writes the program's standard output to out.
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
		_ = cmd.Wait() // the exit status of a stopped process does not matter
		close(p.ended)
	}()
	return p, nil
}

// ownProgram returns the path of this executable.
func ownProgram() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("capacity: %w", err)
	}
	return path, nil
}

// runMeasurement repeats a measurement at all sizes and passes each sample to keep.
func runMeasurement(ctx context.Context, m Measurement, o options, keep func(Sample)) error {
	for repetition := 1; repetition <= o.repetitions; repetition++ {
		for _, size := range o.sizes {
			s, err := measureOnce(ctx, m, o, size, repetition)
			if err != nil {
				return err
			}
			keep(s)
		}
	}
	return nil
}

// measureOnce carries out a measurement at one size. A failure of the measurement is recorded in the sample; a returned error ends the
// run.
func measureOnce(ctx context.Context, m Measurement, o options, size, repetition int) (Sample, error) {
	directory, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return Sample{}, fmt.Errorf("capacity: %w", err)
	}
	defer os.RemoveAll(directory)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	runBudget := newBudget(o.memoryMB<<20, o.processes)
	go runBudget.enforce(ctx, cancel)
	program, err := filepath.Abs(o.program)
	if err != nil {
		return Sample{}, fmt.Errorf("capacity: %w", err)
	}
	b := &bench{program: program, directory: directory, window: o.window, sockets: o.sockets, budget: runBudget}
	s := Sample{Size: size, Repetition: repetition}
	s.Figures, err = m.measure(ctx, b, size)
	if cause := context.Cause(ctx); cause != nil {
		return s, cause //nolint:wrapcheck // an exceeded budget or an interrupt
	}
	if err != nil {
		s.Error = err.Error()
	}
	return s, nil
}

// errTimeout reports that a condition did not hold in time.
var errTimeout = errors.New("timed out")

// waitUntil polls a condition at the given interval until it holds or the timeout expires.
func waitUntil(ctx context.Context, timeout, interval time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w after %v", errTimeout, timeout)
		}
		if err := pause(ctx, interval); err != nil {
			return err
		}
	}
	return nil
}

// pause waits for a duration. It returns the cause if the run ends earlier.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx) //nolint:wrapcheck // the error names its operation
	case <-time.After(d):
		return nil
	}
}

// printProgress writes a sample as one line.
func printProgress(out io.Writer, s Sample) {
	fmt.Fprintf(out, "size %d, play %d:", s.Size, s.Repetition)
	for _, f := range s.Figures {
		fmt.Fprintf(out, " %s %.4g %s;", f.Name, f.Value, f.Unit)
	}
	if s.Error != "" {
		fmt.Fprintf(out, " failed: %s", s.Error)
	}
	fmt.Fprintln(out)
}
