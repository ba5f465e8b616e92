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
	// askAgain and askFor are the pace and the time in which a process is asked again that is busy with another successor.
	askAgain, askFor = 100 * time.Millisecond, 3 * time.Second
	// tellEvery is the pace at which a process tells its successor how many connections it holds.
	tellEvery = 50 * time.Millisecond
	// sharers is by how much memory and links are divided while two processes run.
	sharers = 2
)

// upgrade is what one process knows of the one before and the one after it. Its methods run on the loop.
type upgrade struct {
	node        *node
	path        string // empty where nothing can be handed over
	predecessor *handover.Peer
	held        int // callers' connections of the predecessor
	inherited   map[string]*net.TCPListener
	server      *handover.Server
	successor   *handover.Peer
	ready       bool // the successor serves
}

// ask takes over what the process that serves at the address hands over, if there is one.
func (u *upgrade) ask(log *slog.Logger) {
	if u.path == "" {
		return
	}
	for until := time.Now().Add(askFor); ; time.Sleep(askAgain) {
		peer, listeners, err := handover.Ask(u.path)
		switch {
		case err == nil:
			u.predecessor, u.inherited = peer, listeners
			log.Info("a predecessor serves", "sockets", len(listeners))
			return
		case errors.Is(err, handover.ErrBusy) && time.Now().Before(until):
		case errors.Is(err, fs.ErrNotExist):
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			log.Info("a process that served here has ended", "path", u.path)
			return
		default:
			log.Warn("no sockets are handed over: connections may be shared with another process", "err", err)
			return
		}
	}
}

// socket is the inherited one for the address, or a new one.
func (u *upgrade) socket(address string) (*net.TCPListener, error) {
	if tcp := u.inherited[address]; tcp != nil {
		delete(u.inherited, address)
		return tcp, nil
	}
	return conn.BindShared(address) //nolint:wrapcheck // it says what it is
}

// run begins to serve, or waits until calls can be placed if a predecessor serves.
func (u *upgrade) run() {
	n := u.node
	for address, tcp := range u.inherited {
		n.log.Warn("a socket that no front has is given up", "address", address)
		_ = tcp.Close()
	}
	if u.predecessor == nil {
		u.serve()
		return
	}
	n.core.AwaitPredecessor()
	n.share()
	n.core.OnFlush(func() {
		if n.core.AwaitsPredecessor() && n.core.CanPlaceCalls() {
			u.serve()
		}
	})
	u.predecessor.Run(
		func(m handover.Message) { n.loop.Post(func() { u.told(m) }) },
		func() { n.loop.Post(u.alone) })
}

// serve accepts callers, and has the predecessor stop.
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
	u.offer()
}

// offer has successors ask here.
func (u *upgrade) offer() {
	n := u.node
	if u.path == "" {
		return
	}
	var err error
	if u.server, err = handover.Serve(u.path, n.log, u.begin); err != nil {
		n.log.Warn("no successor will be able to take over the sockets", "err", err)
	}
}

// told is what a predecessor says.
func (u *upgrade) told(m handover.Message) {
	n := u.node
	switch {
	case m.Open != nil:
		u.held = *m.Open
		n.share()
	case m.Over != "":
		n.core.Released("", m.Over, -1, m.Cause, nil)
	case m.Stands != "":
		n.core.Adopt(m.Stands, control.ServerID(m.Server))
	}
}

// alone tells that the predecessor has ended.
func (u *upgrade) alone() {
	n := u.node
	n.log.Info("the predecessor has ended")
	u.predecessor, u.held = nil, 0
	n.share()
	n.inheritLedger()
	if n.core.AwaitsPredecessor() {
		u.serve()
	}
}

// begin hands the sockets to a successor. It does not run on the loop.
func (u *upgrade) begin(p *handover.Peer) []handover.Socket {
	n := u.node
	answer := make(chan []handover.Socket, 1)
	n.loop.Post(func() {
		if u.successor != nil || u.server == nil {
			answer <- nil
			return
		}
		var sockets []handover.Socket
		for _, f := range n.fronts() {
			file, err := f.Listener().Share()
			if err != nil {
				n.log.Error("a socket is not handed over", "err", err)
				continue
			}
			sockets = append(sockets, handover.Socket{Address: n.configured(f), File: file})
		}
		n.log.Info("a successor starts", "sockets", len(sockets))
		u.successor = p
		n.share()
		p.Run(func(m handover.Message) {
			if m.Ready {
				n.loop.Post(u.supersede)
			}
		}, func() { n.loop.Post(func() { u.resume(p) }) })
		answer <- sockets
	})
	select {
	case sockets := <-answer:
		return sockets
	case <-time.After(askFor): // the loop has ended
		return nil
	}
}

// supersede leaves the callers to the successor.
func (u *upgrade) supersede() {
	n := u.node
	if u.successor == nil || u.ready {
		return
	}
	u.ready = true
	n.leave()
	for _, f := range n.fronts() {
		f.Listener().Stop()
	}
	n.core.Supersede(func(id string, end call.End) bool {
		return u.successor != nil && u.successor.Send(handover.Message{Over: id, Cause: end.Cause})
	})
	u.count()
}

// count tells the successor how many connections are left of those that both may have together.
func (u *upgrade) count() {
	if u.successor == nil || !u.ready {
		return
	}
	open := 0
	for _, f := range u.node.fronts() {
		open += f.Connections()
	}
	if open != u.held {
		u.held = open
		u.successor.Send(handover.Message{Open: &open})
	}
	u.node.loop.After(tellEvery, u.count)
}

// resume tells that the successor is no more.
func (u *upgrade) resume(p *handover.Peer) {
	n := u.node
	if u.successor != p {
		return
	}
	served := u.ready
	u.successor, u.ready, u.held = nil, false, 0
	if old := u.server; served && old != nil { // the path was the successor's
		u.offer()
		_ = old.Close()
	}
	n.core.SuccessorEnded()
	n.stay()
	for _, f := range n.fronts() {
		if err := f.Listener().Start(); err != nil {
			n.log.Error("callers cannot be accepted", "err", err)
		}
	}
	n.share()
}

// end tells the successor which calls stand, once the loop has ended.
func (u *upgrade) end() error {
	if u.successor != nil {
		if u.ready {
			u.node.core.EachEstablishedCall(func(id string, server control.ServerID) {
				u.successor.Last(handover.Message{Stands: id, Server: string(server)})
			})
		}
		u.successor.Finish()
	}
	if u.predecessor != nil {
		u.predecessor.Finish()
	}
	if u.server != nil {
		return u.server.Close() //nolint:wrapcheck // it says what it is
	}
	return nil
}

// divided is how the descriptors are divided, and by what.
type divided struct {
	links.SocketQuota
	connected, held int
}

// programDescriptors are kept for what a process opens besides callers', operators' and dispatchers' sockets: its standard files, pollers,
// listeners, the list's and the store's connections, the handover, and files of its state.
const programDescriptors = 24

const (
	// callersKeep is the part of the limit that callers hold by themselves.
	callersKeep = 3
	// callersAhead is the part, and leastAhead the least number, that is kept beyond the callers that there are.
	callersAhead, leastAhead = 16, 8
)

// keptForRefusals is how many descriptors are kept for connections on which set-ups are refused.
const keptForRefusals = 2

// shares is what the descriptors that callers and dispatchers have between them come to, while so many processes share the limit. Of two,
// each has half of what is left beside the callers of both; the callers themselves are divided by the processes (upgrade.held).
func shares(c *config.Config, processes int) links.SocketQuota {
	limit, most := c.Limits.Sockets, bounds(c).Most()
	if c.WebSocket != nil {
		most *= 2
	}
	own := programDescriptors
	if c.Management != "" {
		own += management.Descriptors
	}
	least := dispatchers.MaxConnections // dispatchers are connected to however small the limit is
	if processes == 1 {
		sockets := max(limit-own, most+least)
		return links.SocketQuota{Sockets: sockets, MaxCallers: most, Reserved: min(limit/callersKeep, most), Headroom: max(limit/callersAhead, leastAhead)}
	}
	return links.SocketQuota{Sockets: most + max((limit-most)/processes-own, least), MaxCallers: most, Reserved: most}
}

// divide has callers and dispatchers keep to their parts of the descriptors, by the callers that there are.
func (n *node) divide() {
	if n.config.Limits.Sockets == 0 {
		n.pool.SetSocketBudget(0)
		return
	}
	connected := 0
	for _, f := range n.fronts() {
		connected += f.Connections()
	}
	held := n.pool.SocketCount()
	if connected == n.divided.connected && held == n.divided.held {
		return
	}
	n.divided.connected, n.divided.held = connected, held
	_, sockets := n.divided.Divide(connected)
	n.pool.SetSocketBudget(sockets)
	free := n.divided.CallerLimit(connected, held) - connected
	for _, f := range n.fronts() {
		if free < n.divided.Headroom/2 { // dispatchers have nothing to give up
			f.Squeeze()
		}
		f.Scarce(free <= keptForRefusals)
		f.Accept(max(f.Connections()+free/len(n.fronts()), 1))
	}
}

// share takes no more than this process's part while two run: together they have what one may.
func (n *node) share() {
	c, u := n.config, n.upgrade
	two := u.predecessor != nil || u.successor != nil
	memory, each := c.Limits.MemoryMB<<20, dispatchers.MaxConnections
	if two {
		memory, each = memory/sharers, each/sharers
	}
	limitMemory(memory)
	n.core.LimitMemory(memory)
	n.pool.SetMaxConnections(each)
	processes := 1
	if two {
		processes = sharers
	}
	n.divided = divided{SocketQuota: shares(c, processes), connected: -1}
	most := n.bounds.Connections
	if u.predecessor != nil && most > 0 {
		most = max(most-u.held, 1)
	}
	for _, f := range n.fronts() {
		f.Limit(most)
		f.Listener().Shared(two)
	}
	n.divide()
}

func (n *node) fronts() []*callers.Front {
	if n.api == nil {
		return []*callers.Front{n.lines}
	}
	return []*callers.Front{n.lines, n.api}
}

// configured is the address that the configuration has for a front: what a successor's names it by.
func (n *node) configured(f *callers.Front) string {
	if f == n.api {
		return n.config.WebSocket.Listen
	}
	return n.config.Listen
}
