package main

import (
	"errors"
	"io/fs"
	"log/slog"
	"net"
	"syscall"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/config"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/decide/links"
	"cherryrelay/internal/dispatchers"
	"cherryrelay/internal/handover"
	"cherryrelay/internal/management"
)

const (
	// handoverRetryInterval and handoverTimeout are the interval and the timeout for retries while the predecessor is busy with another
	// successor.
	handoverRetryInterval, handoverTimeout = 100 * time.Millisecond, 3 * time.Second
	// attemptsTimeout is how long a process waits for the calls that its predecessor has attempted. One of an earlier version reports none.
	attemptsTimeout = 200 * time.Millisecond
	// connectionReportInterval is the interval at which a process reports its number of connections to its successor.
	connectionReportInterval = 50 * time.Millisecond
	// upgradeProcesses is the number of processes that share memory, connections and sockets during an upgrade.
	upgradeProcesses = 2
)

// upgrade holds the state of the handover from the predecessor and to the successor of this process. Its methods run on the loop.
type upgrade struct {
	node                *node
	path                string // of the handover socket; empty if no handover is possible
	predecessor         *handover.Peer
	reportedConnections int // callers' connections that the predecessor has, as reported last
	inherited           map[string]*net.TCPListener
	server              *handover.Server
	successor           *handover.Peer
	successorReady      bool // whether the successor serves
	attemptsReceived    bool // whether the calls that the predecessor has attempted are known, or are not awaited any longer
}

// requestListeners requests the listeners of the process that serves at the address, if there is one.
func (u *upgrade) requestListeners(log *slog.Logger) {
	if u.path == "" {
		return
	}
	for until := time.Now().Add(handoverTimeout); ; time.Sleep(handoverRetryInterval) {
		peer, listeners, err := handover.RequestListeners(u.path)
		switch {
		case err == nil:
			u.predecessor, u.inherited = peer, listeners
			log.Info("a predecessor serves", "sockets", len(listeners))
			return
		case errors.Is(err, handover.ErrBusy) && time.Now().Before(until):
		case errors.Is(err, fs.ErrNotExist):
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			log.Info("the process that served here has ended", "path", u.path)
			return
		default:
			log.Warn("no sockets are handed over: connections may be shared with another process", "err", err)
			return
		}
	}
}

// listener returns the inherited listener for the address, or a new one.
func (u *upgrade) listener(address string) (*net.TCPListener, error) {
	if listener := u.inherited[address]; listener != nil {
		delete(u.inherited, address)
		return listener, nil
	}
	return conn.BindShared(address) //nolint:wrapcheck // the error names its source
}

// run starts to serve. If a predecessor serves, run waits until calls can be placed.
func (u *upgrade) run() {
	n := u.node
	for address, listener := range u.inherited {
		n.log.Warn("an inherited socket that no front uses is closed", "address", address)
		_ = listener.Close()
	}
	if u.predecessor == nil {
		u.serve()
		return
	}
	n.core.AwaitPredecessor()
	n.applyLimits()
	u.predecessor.Send(handover.Message{WantsAttempts: true})
	u.reportAttempts(func() *handover.Peer { return u.predecessor })
	serveWhenReady := func() {
		if n.core.AwaitsPredecessor() && n.core.CanPlaceCalls() && u.attemptsReceived {
			u.serve()
		}
	}
	n.core.OnFlush(serveWhenReady)
	n.loop.Post(func() {
		n.loop.After(attemptsTimeout, func() { u.attemptsReceived = true; serveWhenReady() })
	})
	u.predecessor.Run(
		func(m handover.Message) { n.loop.Post(func() { u.handleMessage(m) }) },
		func() { n.loop.Post(u.predecessorEnded) })
}

// serve accepts callers and notifies the predecessor to stop accepting them.
func (u *upgrade) serve() {
	n := u.node
	n.core.StartServing()
	for _, f := range n.fronts() {
		if err := f.Listener().Start(); err != nil {
			n.log.Error("callers cannot be accepted", "err", err)
			n.loop.Quit()
			return
		}
	}
	if u.predecessor != nil {
		u.predecessor.Send(handover.Message{Ready: true})
	}
	u.acceptSuccessors()
}

// acceptSuccessors accepts handover requests of successors.
func (u *upgrade) acceptSuccessors() {
	n := u.node
	if u.path == "" {
		return
	}
	var err error
	if u.server, err = handover.Serve(u.path, n.log, u.handOver); err != nil {
		n.log.Warn("no successor will be able to take over the sockets", "err", err)
	}
}

// handleMessage handles a message of the predecessor.
func (u *upgrade) handleMessage(m handover.Message) {
	n := u.node
	u.recordAttempts(m)
	switch {
	case m.AttemptsSent:
		u.attemptsReceived = true
	case m.OpenConnections != nil:
		u.reportedConnections = *m.OpenConnections
		n.applyLimits()
	case m.TerminatedCall != "":
		n.core.Released("", m.TerminatedCall, -1, m.Cause, nil)
	case m.EstablishedCall != "":
		n.core.Adopt(m.EstablishedCall, call.Server{Address: m.ServerAddress, ServerEntry: control.ServerEntry{
			ID: control.ServerID(m.Server), StartedAt: time.Duration(m.ServerStartedUs) * time.Microsecond}})
	}
}

// reportAttempts reports the calls that were attempted, and those that will be, to the other process. Those known by now are combined in
// large messages; later ones are reported one by one, ahead of their set-ups.
func (u *upgrade) reportAttempts(other func() *handover.Peer) {
	var ids []string
	send := func() {
		if p := other(); p != nil && len(ids) > 0 && !p.Send(handover.Message{AttemptedCalls: ids}) {
			u.node.log.Warn("attempted calls are not reported to the other process", "calls", len(ids))
		}
		ids = nil
	}
	reporting := false // attempts one by one
	u.node.core.ReportAttempts(func(id string) {
		if ids = append(ids, id); reporting || len(ids) == handover.MaxAttemptedCalls {
			send()
		}
	})
	send()
	reporting = true
	if p := other(); p != nil {
		p.Send(handover.Message{AttemptsSent: true})
	}
}

// recordAttempts records the attempted calls that the other process reports.
func (u *upgrade) recordAttempts(m handover.Message) {
	for _, id := range m.AttemptedCalls {
		u.node.core.AttemptedElsewhere(id)
	}
}

// predecessorEnded handles the end of the predecessor.
func (u *upgrade) predecessorEnded() {
	n := u.node
	n.log.Info("the predecessor has ended")
	u.predecessor, u.reportedConnections = nil, 0
	n.core.ReportAttempts(nil)
	n.applyLimits()
	n.inheritLedger()
	if n.core.AwaitsPredecessor() {
		u.serve()
	}
}

// handOver returns the sockets to hand over to a successor, or nil to refuse it. It does not run on the loop.
func (u *upgrade) handOver(p *handover.Peer) []handover.Socket {
	n := u.node
	answer := make(chan []handover.Socket, 1)
	n.loop.Post(func() {
		if u.successor != nil || u.server == nil {
			answer <- nil
			return
		}
		var sockets []handover.Socket
		for _, f := range n.fronts() {
			file, err := f.Listener().File()
			if err != nil {
				n.log.Error("a socket is not handed over", "err", err)
				continue
			}
			sockets = append(sockets, handover.Socket{Address: n.configuredAddress(f), File: file})
		}
		n.log.Info("a successor starts", "sockets", len(sockets))
		u.successor = p
		n.applyLimits()
		p.Run(func(m handover.Message) {
			n.loop.Post(func() { u.recordAttempts(m) })
			if m.WantsAttempts {
				n.loop.Post(func() { u.reportAttempts(func() *handover.Peer { return u.successor }) })
			}
			if m.Ready {
				n.loop.Post(u.supersede)
			}
		}, func() { n.loop.Post(func() { u.successorEnded(p) }) })
		answer <- sockets
	})
	select {
	case sockets := <-answer:
		return sockets
	case <-time.After(handoverTimeout): // the loop has ended
		return nil
	}
}

// supersede stops accepting callers, as the successor accepts them.
func (u *upgrade) supersede() {
	n := u.node
	if u.successor == nil || u.successorReady {
		return
	}
	u.successorReady = true
	n.leave()
	for _, f := range n.fronts() {
		f.Listener().Stop()
	}
	n.core.Supersede(func(id string, end call.End) bool {
		return u.successor != nil && u.successor.Send(handover.Message{TerminatedCall: id, Cause: end.Cause})
	})
	u.reportConnections()
}

// reportConnections reports the number of callers' connections of this process to the successor: the limit is for both processes together.
func (u *upgrade) reportConnections() {
	if u.successor == nil || !u.successorReady {
		return
	}
	open := 0
	for _, f := range u.node.fronts() {
		open += f.Connections()
	}
	if open != u.reportedConnections {
		u.reportedConnections = open
		u.successor.Send(handover.Message{OpenConnections: &open})
	}
	u.node.loop.After(connectionReportInterval, u.reportConnections)
}

// successorEnded serves callers again after the end of the successor.
func (u *upgrade) successorEnded(p *handover.Peer) {
	n := u.node
	if u.successor != p {
		return
	}
	hadServed := u.successorReady
	u.successor, u.successorReady, u.reportedConnections = nil, false, 0
	n.core.ReportAttempts(nil)
	if server := u.server; hadServed && server != nil { // the successor had the path
		u.acceptSuccessors()
		_ = server.Close()
	}
	n.core.SuccessorEnded()
	n.cancelLeave()
	for _, f := range n.fronts() {
		if err := f.Listener().Start(); err != nil {
			n.log.Error("callers cannot be accepted", "err", err)
		}
	}
	n.applyLimits()
}

// finish reports the established calls to the successor after the loop has ended, and closes the handover.
func (u *upgrade) finish() error {
	if u.successor != nil {
		if u.successorReady {
			u.node.core.EachEstablishedCall(func(id string, at call.Server) {
				u.successor.SendBlocking(handover.Message{EstablishedCall: id, Server: string(at.ID), ServerAddress: at.Address,
					ServerStartedUs: at.StartedAt.Microseconds()})
			})
		}
		u.successor.Finish()
	}
	if u.predecessor != nil {
		u.predecessor.Finish()
	}
	if u.server != nil {
		return u.server.Close() //nolint:wrapcheck // the error names its source
	}
	return nil
}

// socketDivision is the division of the socket descriptors between callers and dispatchers, and the connections that it was computed for.
type socketDivision struct {
	links.SocketQuota
	callers, dispatchers int
}

// programDescriptors are reserved for the other descriptors of a process, besides the sockets of callers, operators and dispatchers: its
// standard files, pollers, listeners, the connections of the list and the store, the handover, and the files of its state.
const programDescriptors = 24

const (
	// callersReserveDivisor is the divisor of the limit that gives the sockets reserved for callers.
	callersReserveDivisor = 3
	// callersHeadroomDivisor is the divisor of the limit that gives the sockets kept free for new callers. minCallersHeadroom is the
	// minimum of these sockets.
	callersHeadroomDivisor, minCallersHeadroom = 16, 8
)

// refusalSockets is the number of descriptors that are reserved for connections on which set-ups are refused.
const refusalSockets = 2

// socketQuota returns the sockets that callers and dispatchers have together while the given number of processes share the limit. Each of two
// processes gets half of the sockets that the callers of both leave. The processes divide the callers by their reports
// (upgrade.reportedConnections).
func socketQuota(c *config.Config, processes int) links.SocketQuota {
	limit, maxCallers := c.Limits.Sockets, callerBounds(c).MaxOpen()
	if c.WebSocket != nil {
		maxCallers *= 2
	}
	reserved := programDescriptors
	if c.Management != "" {
		reserved += management.Descriptors
	}
	minDispatchers := dispatchers.MaxConnections // dispatchers get connections even if the limit is small
	if processes == 1 {
		sockets := max(limit-reserved, maxCallers+minDispatchers)
		return links.SocketQuota{Sockets: sockets, MaxCallers: maxCallers, Reserved: min(limit/callersReserveDivisor, maxCallers), Headroom: max(limit/callersHeadroomDivisor, minCallersHeadroom)}
	}
	return links.SocketQuota{Sockets: maxCallers + max((limit-maxCallers)/processes-reserved, minDispatchers), MaxCallers: maxCallers, Reserved: maxCallers}
}

// divideSockets sets the socket limits of callers and dispatchers by the number of connected callers.
func (n *node) divideSockets() {
	if n.config.Limits.Sockets == 0 {
		n.pool.SetSocketBudget(0)
		return
	}
	connected := 0
	for _, f := range n.fronts() {
		connected += f.Connections()
	}
	held := n.pool.SocketCount()
	if connected == n.division.callers && held == n.division.dispatchers {
		return
	}
	n.division.callers, n.division.dispatchers = connected, held
	_, sockets := n.division.Divide(connected)
	n.pool.SetSocketBudget(sockets)
	free := n.division.CallerLimit(connected, held) - connected
	for _, f := range n.fronts() {
		if free < n.division.Headroom/2 { // dispatchers cannot free enough sockets
			f.EvictOne()
		}
		f.SetDescriptorsScarce(free <= refusalSockets)
		f.LimitOpen(max(f.Connections()+free/len(n.fronts()), 1))
	}
}

// applyLimits sets the limits of this process. While two processes run, both together keep to the limits of one.
func (n *node) applyLimits() {
	c, u := n.config, n.upgrade
	upgrading := u.predecessor != nil || u.successor != nil
	memory, maxConnections := c.Limits.MemoryMB<<20, dispatchers.MaxConnections
	if upgrading {
		memory, maxConnections = memory/upgradeProcesses, maxConnections/upgradeProcesses
	}
	limitMemory(memory)
	n.core.LimitMemory(memory)
	n.pool.SetMaxConnections(maxConnections)
	processes := 1
	if upgrading {
		processes = upgradeProcesses
	}
	n.division = socketDivision{SocketQuota: socketQuota(c, processes), callers: -1}
	maxCallers := n.bounds.MaxConnections
	if u.predecessor != nil && maxCallers > 0 {
		maxCallers = max(maxCallers-u.reportedConnections, 1)
	}
	for _, f := range n.fronts() {
		f.SetMaxConnections(maxCallers)
		f.Listener().SetShared(upgrading)
	}
	n.divideSockets()
}

func (n *node) fronts() []*callers.Front {
	if n.api == nil {
		return []*callers.Front{n.lines}
	}
	return []*callers.Front{n.lines, n.api}
}

// configuredAddress returns the configured address of a front, by which the successor identifies the socket.
func (n *node) configuredAddress(f *callers.Front) string {
	if f == n.api {
		return n.config.WebSocket.Listen
	}
	return n.config.Listen
}
