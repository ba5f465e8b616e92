package scale

import (
	"fmt"
	"os"
	"time"

	"cherryrelay/internal/store"
)

const (
	// sampleEvery is the interval between samples. Every socketsEvery samples, sockets are counted.
	sampleEvery  = 500 * time.Millisecond
	socketsEvery = 4
)

// standIns is the kind under which a report shows the processes that replace the store, its network and the dispatchers.
const standIns = "stand-ins"

// sample holds the cumulative usage and counters of a run at a point in time.
type sample struct {
	at       time.Time
	used     map[string]usage // by kind
	bytes    map[string]int64 // sent to and received from the store, by kind
	failed   map[string]int64 // failed dials, by kind
	accepted int64            // connections accepted by dispatchers
	store    store.Counts
	up       int // running hollow controllers
}

// sampler collects samples of a run and checks its memory limit.
type sampler struct {
	w       *world
	samples []sample
	sockets map[string]int
	memory  int64 // peak of all processes together, in bytes
	applied []Applied
}

// take takes the sample with the given count, which decides whether sockets are counted. It fails if the run exceeds its memory limit.
func (m *sampler) take(count int) error {
	s := sample{at: time.Now(), used: map[string]usage{}, bytes: map[string]int64{}, failed: map[string]int64{}, store: m.w.store.Counts()}
	if err := m.processes(&s, count%socketsEvery == 0); err != nil {
		return err
	}
	m.traffic(&s)
	if err := m.replies(&s); err != nil {
		return err
	}
	m.samples = append(m.samples, s)
	return m.within(&s)
}

// processes adds up the usage of the processes of each kind.
func (m *sampler) processes(s *sample, sockets bool) error {
	pids := map[string][]int{standIns: {os.Getpid()}}
	for _, p := range m.w.ends {
		pids[standIns] = append(pids[standIns], p.cmd.Process.Pid)
	}
	for _, p := range m.w.workers {
		pids[HollowKind] = append(pids[HollowKind], p.cmd.Process.Pid)
	}
	for _, r := range m.w.real {
		pids[RealKind] = append(pids[RealKind], r.cmd.Process.Pid)
	}
	for kind, all := range pids {
		var sum usage
		for _, pid := range all {
			u, err := usageOf(pid, sockets && kind != standIns)
			if err != nil {
				return fmt.Errorf("%w (a process of kind %s may have ended)", err, kind)
			}
			sum.add(u)
		}
		if sockets {
			m.sockets[kind] = sum.Sockets
		}
		sum.Sockets = m.sockets[kind]
		s.used[kind] = sum
	}
	return nil
}

// traffic adds up the bytes to and from the store.
func (m *sampler) traffic(s *sample) {
	for _, rack := range m.w.s.racks() {
		forth, back := m.w.net.Passed(rack + ">" + storeName)
		s.bytes[HollowKind] += forth + back
	}
	for _, r := range m.w.real {
		forth, back := m.w.net.Passed(r.name + ">" + storeName)
		s.bytes[RealKind] += forth + back
	}
}

// replies collects the counters and the applied changes of all processes.
func (m *sampler) replies(s *sample) error {
	if err := m.w.ask(0); err != nil {
		return err
	}
	for _, p := range m.w.workers {
		p.mu.Lock()
		s.failed[HollowKind] += p.last.Failed
		s.up += p.last.Controllers
		p.mu.Unlock()
		m.applied = append(m.applied, p.take()...)
	}
	for _, p := range m.w.ends {
		p.mu.Lock()
		s.accepted += p.last.Accepted
		p.mu.Unlock()
	}
	for _, r := range m.w.real {
		applied, failed := r.take()
		m.applied = append(m.applied, applied...)
		s.failed[RealKind] += failed
	}
	return nil
}

// within updates the peak memory and returns an error if the run exceeds its memory limit.
func (m *sampler) within(s *sample) error {
	memory := int64(0)
	for _, u := range s.used {
		memory += u.Memory
	}
	m.memory = max(m.memory, memory)
	return withinMemory(memory)
}

func withinMemory(memory int64) error {
	if memory > MostMemory {
		return fmt.Errorf("scale: the run was stopped: it uses %d MB of memory, %d MB are allowed", memory>>20, MostMemory>>20)
	}
	return nil
}

// ask polls the state of all processes. In each process it counts the known members of up to the given number of controllers.
func (w *world) ask(members int) error {
	all := append(append([]*process{}, w.workers...), w.ends...)
	return atOnce(all, func(p *process) error {
		_, err := p.ask(&Order{Action: Look, Members: members})
		return err
	})
}
