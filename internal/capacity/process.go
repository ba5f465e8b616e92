package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is a child process whose resource usage is measured.
type process struct {
	cmd     *exec.Cmd
	logFile string // path of its log
	ended   chan struct{}
	budget  *budget
}

// stopTimeout is how long a process may drain after SIGTERM before it is killed.
const stopTimeout = 500 * time.Millisecond

// stop terminates the process and waits until it has ended.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it fails if the process has ended already
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	p.budget.remove(p.cmd.Process.Pid)
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// lastLogLine returns the last line of the log of the process.
func (p *process) lastLogLine() string {
	text, _ := os.ReadFile(p.logFile) // empty if the log cannot be read
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// cpuClockID returns the id of the processor clock of a process (CPUCLOCK_SCHED of its thread group; see clock_getcpuclockid).
func cpuClockID(pid int) int32 { return int32(^pid)<<3 | 2 }

// cpu returns the processor time of all threads of the process, to the nanosecond.
func (p *process) cpu() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(cpuClockID(p.cmd.Process.Pid), &t); err != nil {
		return 0, fmt.Errorf("capacity: processor time: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// cpuDuring runs an action and returns the processor time that the process used meanwhile, and the duration.
func (p *process) cpuDuring(action func() error) (used, took time.Duration, err error) {
	before, err := p.cpu()
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if err := action(); err != nil {
		return 0, 0, err
	}
	after, err := p.cpu()
	return after - before, time.Since(start), err
}

// cpuPercent returns the processor usage of the process over a duration, in percent of one core.
func (p *process) cpuPercent(ctx context.Context, duration time.Duration) (float64, error) {
	used, took, err := p.cpuDuring(func() error { return pause(ctx, duration) })
	return 100 * used.Seconds() / took.Seconds(), err
}

// descriptors returns the number of open file descriptors of the process.
func (p *process) descriptors() (int, error) {
	d, err := os.Open(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	defer d.Close()
	names, err := d.Readdirnames(-1)
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	return len(names), nil
}

// residentMemory returns the current and the peak resident memory of the process in bytes.
func (p *process) residentMemory() (now, peak int64, err error) {
	return residentBytes(p.cmd.Process.Pid)
}

// residentBytes returns the current and the peak resident memory of a process in bytes.
func residentBytes(pid int) (now, peak int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("capacity: %w", err)
	}
	for line := range bytes.Lines(text) {
		name, rest, _ := bytes.Cut(line, []byte(":"))
		kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(string(rest)), " kB"), 10, 64)
		switch string(name) {
		case "VmRSS":
			now = kilobytes << 10
		case "VmHWM":
			peak = kilobytes << 10
		}
	}
	return now, peak, nil
}

// budget limits the total memory and the number of processes of a run, including this process.
type budget struct {
	memory    int64 // bytes
	processes int

	mu   sync.Mutex
	pids map[int]bool
}

// Errors of a run that exceeded its budget.
var (
	errMemory    = errors.New("memory limit exceeded")
	errProcesses = errors.New("process limit exceeded")
)

func newBudget(memory int64, processes int) *budget {
	return &budget{memory: memory, processes: processes, pids: map[int]bool{os.Getpid(): true}}
}

func (b *budget) add(pid int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pids[pid] = true
}

func (b *budget) remove(pid int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pids, pid)
}

// check returns an error if a limit is exceeded.
func (b *budget) check() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pids) > b.processes {
		return fmt.Errorf("%w: %d, %d allowed", errProcesses, len(b.pids), b.processes)
	}
	total := int64(0)
	for pid := range b.pids {
		now, _, err := residentBytes(pid)
		if err == nil { // the process may have just ended
			total += now
		}
	}
	if total > b.memory {
		return fmt.Errorf("%w: %d MB, %d allowed", errMemory, total>>20, b.memory>>20)
	}
	return nil
}

// checkInterval is the interval between two checks of the budget.
const checkInterval = 100 * time.Millisecond

// enforce checks the budget until the context ends, and ends the run once a limit is exceeded.
func (b *budget) enforce(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		if err := b.check(); err != nil {
			cancel(err)
			return
		}
		if pause(ctx, checkInterval) != nil {
			return
		}
	}
}
