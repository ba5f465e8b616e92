package scale

import (
	"fmt"
	"os"
	"time"

	"cherryrelay/internal/store"
)

const (
	// sampleInterval is the interval between samples. Every samplesPerSocketCount samples, sockets are counted.
	sampleInterval        = 500 * time.Millisecond
	samplesPerSocketCount = 4
)

// fakeKind is the kind under which a report shows the processes that replace the store, its network and the dispatchers.
const fakeKind = "stand-ins"

// sample holds the cumulative usage and counters of a run at a point in time.
type sample struct {
	at          time.Time
	usage       map[string]usage // by kind
	bytes       map[string]int64 // sent to and received from the store, by kind
	failedDials map[string]int64 // by kind
	accepted    int64            // connections accepted by dispatchers
	store       store.Counts
	up          int // running hollow controllers
}

// sampler collects samples of a run and checks its memory limit.
type sampler struct {
	cluster    *cluster
	samples    []sample
	sockets    map[string]int
	peakMemory int64 // over all processes, in bytes
	applied    []AppliedChange
}

// takeSample takes the sample with the given count, which decides whether sockets are counted. It fails if the run exceeds its memory limit.
func (m *sampler) takeSample(count int) error {
	s := sample{at: time.Now(), usage: map[string]usage{}, bytes: map[string]int64{}, failedDials: map[string]int64{}, store: m.cluster.store.Counts()}
	if err := m.addUsage(&s, count%samplesPerSocketCount == 0); err != nil {
		return err
	}
	m.addTraffic(&s)
	if err := m.pollCounters(&s); err != nil {
		return err
	}
	m.samples = append(m.samples, s)
	return m.checkMemory(&s)
}

// addUsage adds up the usage of the processes of each kind.
func (m *sampler) addUsage(s *sample, sockets bool) error {
	pids := map[string][]int{fakeKind: {os.Getpid()}}
	for _, p := range m.cluster.dispatcherProcesses {
		pids[fakeKind] = append(pids[fakeKind], p.cmd.Process.Pid)
	}
	for _, p := range m.cluster.workers {
		pids[HollowKind] = append(pids[HollowKind], p.cmd.Process.Pid)
	}
	for _, r := range m.cluster.real {
		pids[RealKind] = append(pids[RealKind], r.cmd.Process.Pid)
	}
	for kind, all := range pids {
		var sum usage
		for _, pid := range all {
			u, err := readUsage(pid, sockets && kind != fakeKind)
			if err != nil {
				return fmt.Errorf("%w (a process of kind %s may have ended)", err, kind)
			}
			sum.add(u)
		}
		if sockets {
			m.sockets[kind] = sum.Sockets
		}
		sum.Sockets = m.sockets[kind]
		s.usage[kind] = sum
	}
	return nil
}

// addTraffic adds up the bytes to and from the store.
func (m *sampler) addTraffic(s *sample) {
	for _, rack := range m.cluster.scenario.racks() {
		forward, backward := m.cluster.network.ForwardedBytes(rack + ">" + storeName)
		s.bytes[HollowKind] += forward + backward
	}
	for _, r := range m.cluster.real {
		forward, backward := m.cluster.network.ForwardedBytes(r.name + ">" + storeName)
		s.bytes[RealKind] += forward + backward
	}
}

// pollCounters collects the counters and the applied changes of all processes.
func (m *sampler) pollCounters(s *sample) error {
	if err := m.cluster.pollProcesses(0); err != nil {
		return err
	}
	for _, p := range m.cluster.workers {
		p.mu.Lock()
		s.failedDials[HollowKind] += p.lastReply.FailedDials
		s.up += p.lastReply.Controllers
		p.mu.Unlock()
		m.applied = append(m.applied, p.takeApplied()...)
	}
	for _, p := range m.cluster.dispatcherProcesses {
		p.mu.Lock()
		s.accepted += p.lastReply.AcceptedConnections
		p.mu.Unlock()
	}
	for _, r := range m.cluster.real {
		applied, failed := r.takeApplied()
		m.applied = append(m.applied, applied...)
		s.failedDials[RealKind] += failed
	}
	return nil
}

// checkMemory updates the peak memory and returns an error if the run exceeds its memory limit.
func (m *sampler) checkMemory(s *sample) error {
	memory := int64(0)
	for _, u := range s.usage {
		memory += u.Memory
	}
	m.peakMemory = max(m.peakMemory, memory)
	return checkMemoryLimit(memory)
}

// checkMemoryLimit returns an error if a run uses more memory than MaxMemoryBytes.
func checkMemoryLimit(memory int64) error {
	if memory > MaxMemoryBytes {
		return fmt.Errorf("scale: the run was stopped: it uses %d MB of memory, %d MB are allowed", memory>>20, MaxMemoryBytes>>20)
	}
	return nil
}

// pollProcesses polls the state of all processes. In each process it counts the known members of up to the given number of controllers.
func (c *cluster) pollProcesses(members int) error {
	all := append(append([]*process{}, c.workers...), c.dispatcherProcesses...)
	return forEachProcess(all, func(p *process) error {
		_, err := p.send(&Order{Action: ReportState, ControllersToPoll: members})
		return err
	})
}
