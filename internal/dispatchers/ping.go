package dispatchers

import (
	"slices"

	"cherryrelay/control"
)

// This file probes single connections.

// pendingPing is a probe that waits for its reply.
type pendingPing struct {
	number  uint32 // number of the probe on its connection
	onReply func(replied bool)
}

// Probe requests a load report from a dispatcher.
func (p *Pool) Probe(id control.ServerID) {
	if s := p.servers[id]; s != nil {
		if c := s.latestConn(); c != nil {
			c.probe()
		}
	}
}

// Ping probes the connection of an attempt and calls onReply once the reply has been read there: by then, all that the dispatcher had
// sent there before has been read too. If the set-up has not been sent completely, the dispatcher does not have it yet, and onReply is
// called at once. If the connection closes first, or has closed, onReply is called with false.
func (p *Pool) Ping(id control.ServerID, callID string, attempt int, onReply func(replied bool)) {
	s := p.servers[id]
	if s == nil {
		return
	}
	if answeredOn := s.established[callID]; answeredOn != nil {
		s.pingEstablished(answeredOn, onReply)
		return
	}
	if slices.ContainsFunc(s.waiting, func(w waitingSetUp) bool { return w.ID == callID && w.Attempt == attempt }) {
		onReply(true)
		return
	}
	for _, c := range s.conns {
		setUp := c.setUps[callID]
		switch {
		case setUp == nil || setUp.attempt != attempt:
		case setUp.written:
			c.ping(onReply)
			return
		default:
			onReply(true)
			return
		}
	}
}

// pingEstablished is Ping for the connection on which an answer was received.
func (s *server) pingEstablished(answeredOn *lifetime, onReply func(replied bool)) {
	i := slices.IndexFunc(s.conns, func(c *connection) bool { return c.lifetime == answeredOn })
	if i < 0 {
		onReply(false)
		return
	}
	s.conns[i].ping(onReply)
}

// ping sends a probe and calls onReply with its result.
func (c *connection) ping(onReply func(replied bool)) {
	c.pings = append(c.pings, pendingPing{c.probe(), onReply})
}

// probe sends a probe and returns its number.
func (c *connection) probe() uint32 {
	message, number := c.protocol.Probe()
	c.send(message)
	return number
}

// handleProbeReply handles the reply to the probe with the given number. It counts as the reply to earlier probes too.
func (c *connection) handleProbeReply(number uint32) {
	var replied []pendingPing
	c.pings = slices.DeleteFunc(c.pings, func(p pendingPing) bool {
		if p.number > number {
			return false
		}
		replied = append(replied, p)
		return true
	})
	for _, p := range replied {
		p.onReply(true)
	}
}

// failPings reports that no replies will come.
func (c *connection) failPings() {
	pings := c.pings
	c.pings = nil
	for _, p := range pings {
		p.onReply(false)
	}
}
