package dispatchers

import (
	"maps"
	"slices"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/endlog"
)

// This file tells apart the processes that have run at the address of a dispatcher. A process may be replaced there before the list reports
// it, and a connection opened since leads to the next one: its input proves nothing about the calls of the former.

const (
	// silentProcessTimeout is the time without input from a process that has vanished, and replies to no probe, after which its calls are
	// ended although a later connection to its address works. The end of a call may stay unreported for 8 s.
	silentProcessTimeout = 7 * time.Second
	// silentProbeTimeout is the time within which such a process must reply to a probe. If it was only cut off, its kernel may take longer
	// than a working one to send again what was lost.
	silentProbeTimeout = 2500 * time.Millisecond
)

// remoteProcess is a process at the address of a dispatcher, as far as its connections show. A new connection is taken to lead to a process
// of its own until an earlier one receives input.
type remoteProcess struct {
	mergedInto     *remoteProcess // the earlier process that this one has proved to be, or nil
	connectedAt    time.Time      // when its first connection was opened
	lastReceivedAt time.Time
	received       bool      // input was received
	unresponsive   bool      // a connection to it was closed here as unresponsive
	probedAt       time.Time // when a probe was sent to check whether it responds; zero if none was
	separate       bool      // it is the next dispatcher at the address, and no earlier process proves to be the same
}

// identity returns the process that p has proved to be, which is p itself unless an earlier one proved to be the same.
func (p *remoteProcess) identity() *remoteProcess {
	for p.mergedInto != nil {
		p = p.mergedInto
	}
	return p
}

// addProcess records the process that a new connection leads to. Processes without a connection are dropped, unless an earlier one may
// still prove to be the same.
func (s *server) addProcess(p *remoteProcess) {
	if s.firstProcess == nil {
		s.firstProcess = p
	}
	for len(s.processes) > 0 && !s.hasConnTo(s.processes[0]) {
		s.processes = s.processes[1:]
	}
	s.processes = append(s.processes, p)
}

// forgetProcesses forgets all processes, whose calls have ended.
func (s *server) forgetProcesses() { s.firstProcess, s.processes = nil, nil }

// recordInput records input from a process. It was running when the connections were opened that are older than the input, so that these
// lead to it too.
func (s *server) recordInput(from *remoteProcess, at time.Time) {
	from = from.identity()
	from.received = true
	if at.After(from.lastReceivedAt) {
		from.lastReceivedAt = at
	}
	if last := len(s.processes) - 1; last < 0 || s.processes[last] == from {
		return
	}
	next := slices.Index(s.processes, from) + 1
	if next == 0 {
		return
	}
	same := next
	for same < len(s.processes) && !s.processes[same].separate && s.processes[same].connectedAt.Before(at) {
		s.processes[same].mergedInto = from
		same++
	}
	s.processes = slices.Delete(s.processes, next, same)
}

// separateNext separates the connections that lead to the dispatcher that has the address now, by the time at which its process started
// according to the list. Without it, a connection to that one would count as one to the former, if the former still runs without listening.
func (s *server) separateNext(startedAt time.Time) {
	var next *remoteProcess
	for _, c := range s.conns {
		if c.openedAt.Before(startedAt) || c.remote.identity().connectedAt.After(startedAt) {
			continue
		}
		if next == nil {
			next = &remoteProcess{connectedAt: c.openedAt, lastReceivedAt: c.lastReceivedAt, received: true, separate: true}
			s.processes = append(s.processes, next)
		}
		c.remote = next
	}
}

// hasConnTo reports whether an open or abandoned connection leads to a process.
func (s *server) hasConnTo(p *remoteProcess) bool {
	leadsTo := func(c *connection) bool { return c.remote.identity() == p }
	return slices.ContainsFunc(s.conns, leadsTo) || slices.ContainsFunc(s.abandoned, leadsTo)
}

// openConnsTo returns the open connections to a process.
func (s *server) openConnsTo(p *remoteProcess) []*connection {
	return slices.DeleteFunc(slices.Clone(s.conns), func(c *connection) bool { return c.remote.identity() != p })
}

// endLostProcesses ends the calls at the processes that are lost.
func (s *server) endLostProcesses(now time.Time) {
	if !s.replaced && (s.dialTimedOutAt.IsZero() || now.Sub(s.dialTimedOutAt) > 2*silentProcessTimeout) {
		return
	}
	calls := s.callsByProcess()
	for _, p := range slices.SortedFunc(maps.Keys(calls), func(a, b *remoteProcess) int { return a.connectedAt.Compare(b.connectedAt) }) {
		if s.isLost(p, now) {
			s.endCallsAt(p, calls[p])
		}
	}
}

// callsByProcess returns the ids of the established calls, in order, by their processes. Calls whose answer was not received here, but by an
// earlier process of the controller, count as those of the first process that was connected to.
func (s *server) callsByProcess() map[*remoteProcess][]string {
	calls := map[*remoteProcess][]string{}
	for _, id := range slices.Sorted(s.pool.core.EstablishedAt(s.ID)) {
		p := s.processOf(id)
		if p == nil && s.firstProcess != nil {
			p = s.firstProcess.identity()
		}
		if p != nil {
			calls[p] = append(calls[p], id)
		}
	}
	return calls
}

// processOf returns the process at which a call was established, or nil if its answer was not received here.
func (s *server) processOf(id string) *remoteProcess {
	if answeredOn := s.established[id]; answeredOn != nil {
		return answeredOn.remote.identity()
	}
	return nil
}

// isAtLaterProcess reports whether a call was established at another process than the first one under the dispatcher's name. If the
// dispatcher has been replaced, that process is the next dispatcher at its address.
func (s *server) isAtLaterProcess(r release) bool {
	return r.process != nil && s.firstProcess != nil && r.process.identity() != s.firstProcess.identity()
}

// isLost reports whether a process counts as lost: whether the list has another dispatcher at its address and nothing shows that it still
// runs; or whether it has vanished, and only later connections to its address work.
func (s *server) isLost(p *remoteProcess, now time.Time) bool {
	conns := s.openConnsTo(p)
	if s.replaced {
		return len(conns) == 0 && !s.mayCloseCleanly(p, now) || s.leavesProbeUnanswered(p, conns, now, probeTimeout)
	}
	vanished := s.dialTimedOutAt.After(p.lastReceivedAt) && (len(conns) > 0 || p.unresponsive)
	return vanished && s.laterProcessWorks(p) && s.leavesProbeUnanswered(p, conns, now, silentProbeTimeout) &&
		now.Sub(p.lastReceivedAt) > silentProcessTimeout
}

// mayCloseCleanly reports whether a connection to a process was half-closed so lately that the process, if it runs, may still close its
// side. That close would prove that it runs.
func (s *server) mayCloseCleanly(p *remoteProcess, now time.Time) bool {
	return slices.ContainsFunc(s.abandoned, func(c *connection) bool {
		return c.remote.identity() == p && !c.suspect && now.Sub(c.since) <= responseTimeout
	})
}

// laterProcessWorks reports whether input was received on a connection that was opened after those to a process.
func (s *server) laterProcessWorks(p *remoteProcess) bool {
	return slices.ContainsFunc(s.processes[slices.Index(s.processes, p)+1:], func(o *remoteProcess) bool { return o.received })
}

// leavesProbeUnanswered reports whether a process without input for long has not replied to a probe within the timeout. It sends the probe
// first, on all open connections to the process.
func (s *server) leavesProbeUnanswered(p *remoteProcess, conns []*connection, now time.Time, timeout time.Duration) bool {
	if now.Sub(p.lastReceivedAt) <= suspectAfter {
		return false
	}
	if p.probedAt.IsZero() || p.lastReceivedAt.After(p.probedAt) {
		p.probedAt = now
		for _, c := range conns {
			c.probe()
		}
		return false
	}
	return now.Sub(p.probedAt) > timeout
}

// endCallsAt ends the calls at a lost process and gives up its connections. In case the process runs all the same, the calls are released
// there: on its own connections, and on the one that works.
func (s *server) endCallsAt(p *remoteProcess, ids []string) {
	s.logLostProcess(p, len(ids))
	conns := s.openConnsTo(p)
	for _, id := range ids {
		endlog.Call(s.pool.Log, endlog.Orphaned, id, endlog.Server(s.ID))
		s.pool.Release(s.ID, id, call.CauseTemporary)
		for _, c := range conns {
			if !c.hasUnconfirmedRelease(id) {
				c.sendRelease(release{id: id, cause: call.CauseTemporary, knownHere: true})
			}
		}
		s.pool.core.Released(s.ID, id, noAttempt, call.CauseTemporary, nil)
	}
	for _, c := range conns {
		c.drain(errUnresponsive)
	}
}
