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

// process is one that this program has started.
type process struct {
	cmd     *exec.Cmd
	logFile string // file of what it logged
	ended   chan struct{}
	budget  *budget
}

// stopTimeout is how long a process may take to serve out after SIGTERM; then it is killed.
const stopTimeout = 500 * time.Millisecond

// stop ends the process and waits for its end.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // to one that has ended it is for nobody
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

// lastLogLine is the last line that the process has logged.
func (p *process) lastLogLine() string {
	text, _ := os.ReadFile(p.logFile) // what can't be read tells nothing
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// cpuClockID is the kernel's number of a process's processor clock (CPUCLOCK_SCHED of its thread group; see clock_getcpuclockid).
func cpuClockID(pid int) int32 { return int32(^pid)<<3 | 2 }

// cpu is the processor time that the process has used, in all its threads, to the nanosecond.
func (p *process) cpu() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(cpuClockID(p.cmd.Process.Pid), &t); err != nil {
		return 0, fmt.Errorf("capacity: processor time: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// cpuDuring is the processor time that the process uses while something is done, and how long that took.
func (p *process) cpuDuring(do func() error) (used, took time.Duration, err error) {
	before, err := p.cpu()
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if err := do(); err != nil {
		return 0, 0, err
	}
	after, err := p.cpu()
	return after - before, time.Since(start), err
}

// cpuPercent is the part of one core that the process uses while a time passes, in percent.
func (p *process) cpuPercent(ctx context.Context, lasting time.Duration) (float64, error) {
	used, took, err := p.cpuDuring(func() error { return pause(ctx, lasting) })
	return 100 * used.Seconds() / took.Seconds(), err
}

// descriptors is how many the process has open.
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

// residentMemory is the memory that the process has, in bytes: now, and at most so far.
func (p *process) residentMemory() (now, most int64, err error) {
	return residentBytes(p.cmd.Process.Pid)
}

func residentBytes(pid int) (now, most int64, err error) {
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
			most = kilobytes << 10
		}
	}
	return now, most, nil
}

// budget bounds the memory and the processes of a run, this process among them.
type budget struct {
	memory    int64 // bytes
	processes int

	mu   sync.Mutex
	pids map[int]bool
}

// Errors of a run that was ended because it used too much.
var (
	errMemory    = errors.New("the bound on memory is passed")
	errProcesses = errors.New("the bound on processes is passed")
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

// check reports whether a bound is passed now.
func (b *budget) check() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pids) > b.processes {
		return fmt.Errorf("%w: %d, %d allowed", errProcesses, len(b.pids), b.processes)
	}
	total := int64(0)
	for pid := range b.pids {
		now, _, err := residentBytes(pid)
		if err == nil { // else it has just ended
			total += now
		}
	}
	if total > b.memory {
		return fmt.Errorf("%w: %d MB, %d allowed", errMemory, total>>20, b.memory>>20)
	}
	return nil
}

// checkInterval is the pace at which bounds are checked.
const checkInterval = 100 * time.Millisecond

// enforce ends the run once a bound is passed.
func (b *budget) enforce(ctx context.Context, end context.CancelCauseFunc) {
	for {
		if err := b.check(); err != nil {
			end(err)
			return
		}
		if pause(ctx, checkInterval) != nil {
			return
		}
	}
}
