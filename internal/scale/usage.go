package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// The limits of a run over all its processes: memory in bytes, and the number of processes.
const (
	MaxMemoryBytes = 12 << 30
	MaxProcesses   = 200
)

// clockTick is the unit of processor time in /proc: USER_HZ, which is 100 on every Linux that Go runs on.
const clockTick = 10 * time.Millisecond

// usage is the resource usage of one or more processes.
type usage struct {
	Processor time.Duration
	Memory    int64 // resident, in bytes; shared pages count for each process
	Sockets   int
}

// add adds the usage of other processes.
func (u *usage) add(o usage) {
	u.Processor += o.Processor
	u.Memory += o.Memory
	u.Sockets += o.Sockets
}

// readUsage reads the usage of a process from /proc. It counts sockets only on request, because a process may have thousands of descriptors.
func readUsage(pid int, sockets bool) (usage, error) {
	var u usage
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, fmt.Errorf("scale: %w", err)
	}
	if u.Processor, u.Memory, err = parseStat(string(text)); err != nil {
		return u, err
	}
	if !sockets {
		return u, nil
	}
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(directory)
	if err != nil {
		return u, fmt.Errorf("scale: %w", err)
	}
	for _, f := range files {
		if target, err := os.Readlink(directory + "/" + f.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			u.Sockets++
		}
	}
	return u, nil
}

// Indexes of fields in /proc/PID/stat after the name: the numbers in proc(5) minus 3.
const (
	userField, systemField, residentField = 14 - 3, 15 - 3, 24 - 3
)

// parseStat returns the processor time and the resident memory from a line of /proc/PID/stat.
func parseStat(text string) (processor time.Duration, memory int64, err error) {
	_, rest, _ := strings.Cut(text[max(strings.LastIndexByte(text, ')'), 0):], " ")
	fields := strings.Fields(rest)
	if len(fields) <= residentField {
		return 0, 0, fmt.Errorf("scale: /proc/PID/stat has only %d fields", len(fields))
	}
	var numbers [3]int64
	for i, field := range []int{userField, systemField, residentField} {
		if numbers[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return 0, 0, fmt.Errorf("scale: parse /proc/PID/stat: %w", err)
		}
	}
	return time.Duration(numbers[0]+numbers[1]) * clockTick, numbers[2] * int64(os.Getpagesize()), nil
}
