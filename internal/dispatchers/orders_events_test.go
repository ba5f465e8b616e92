package dispatchers

import (
	"slices"
	"strings"
	"time"

	"cherryrelay/control"
)

// orderEvent is one thing that may happen. It reports whether it could.
type orderEvent struct {
	letter byte
	what   string
	occurs func(s *orderSite) bool
	after  time.Duration // that passes after it
	idle   bool          // nothing else happens
}

// connectionWithFlight is the oldest or newest connection on which something is on its way.
func (p *process) connectionWithFlight(newest bool) *standInConnection {
	var found *standInConnection
	for _, c := range p.all {
		if (len(c.flight) > 0 || c.peerClosed) && !c.closed && (found == nil || newest) {
			found = c
		}
	}
	return found
}

func deliverTo(newest bool) func(*orderSite) bool {
	return func(s *orderSite) bool {
		c := s.first.connectionWithFlight(newest)
		if c == nil || s.first.cutOff || newest && c == s.first.connectionWithFlight(false) {
			return false
		}
		c.deliver()
		return true
	}
}

// passes is an event in which nothing happens for a time.
func passes(letter byte, d time.Duration) orderEvent {
	return orderEvent{letter, "time passes: " + d.String(), func(*orderSite) bool { return true }, d, true}
}

func orderEvents() []orderEvent {
	return []orderEvent{
		{'a', "the first dispatcher answers", func(s *orderSite) bool { return s.first.finalAnswer(orderedID, 200) }, 0, false},
		{'f', "it refuses", func(s *orderSite) bool { return s.first.finalAnswer(orderedID, 504) }, 0, false},
		{'e', "it ends the call", func(s *orderSite) bool { return s.end(s.first, orderedID) }, 0, false},
		{'d', "what is on its way on the oldest connection arrives", deliverTo(false), 0, false},
		{'D', "what is on its way on the newest connection arrives", deliverTo(true), 0, false},
		{'r', "the oldest connection is reset", func(s *orderSite) bool { return s.onOldest((*standInConnection).reset) }, 0, false},
		{'h', "it closes the oldest connection in good order", func(s *orderSite) bool { return s.onOldest((*standInConnection).close) }, 0, false},
		{'n', "one more connection is opened", func(s *orderSite) bool {
			if len(s.first.connections) >= MaxConnections {
				return false
			}
			s.pool.Reconnect("first")
			return true
		}, 2 * checkEvery, false},
		{'c', "the caller cancels", func(s *orderSite) bool { return s.cancel(orderedID) }, 0, false},
		{'l', "the caller's connection closes", func(s *orderSite) bool {
			if s.left {
				return false
			}
			s.left = true
			s.core.CallerDisconnected(s)
			return true
		}, 0, false},
		{'g', "the first dispatcher drains", func(s *orderSite) bool { s.list(control.Draining, "first"); return true }, 0, false},
		{'x', "it is taken off the list", func(s *orderSite) bool { s.list(control.Removed, "first"); return true }, 0, false},
		{'y', "it is on the list", func(s *orderSite) bool { s.list(control.Active, "first"); return true }, 0, false},
		{'s', "it listens no more", func(s *orderSite) bool {
			listened := s.first.listens
			s.first.listens = false
			return listened
		}, 0, false},
		{'v', "it is cut off", func(s *orderSite) bool {
			cutOff := s.first.cutOff
			s.first.cutOff = true
			return !cutOff
		}, 0, false},
		{'w', "it can be reached again", func(s *orderSite) bool {
			if !s.first.cutOff {
				return false
			}
			s.first.returns()
			return true
		}, 0, false},
		{'k', "it dies", func(s *orderSite) bool {
			listened := s.first.listens
			s.first.dies()
			return listened
		}, 0, false},
		{'b', "it dies and begins anew", func(s *orderSite) bool { s.beginAnew(); return true }, 2 * checkEvery, false},
		passes('t', 700*time.Millisecond),
		passes('T', silence+3*checkEvery),
		passes('q', deadAfter+10*checkEvery),
	}
}

// stallEvents are of connections on which nothing gets through, though their dispatcher lives and others get on.
func stallEvents() []orderEvent {
	return []orderEvent{
		{'i', "nothing reaches the dispatcher on the call's connection", func(s *orderSite) bool {
			return s.onConnectionOf(orderedID, func(c *standInConnection) bool { return !c.deaf }, func(c *standInConnection) { c.deaf = true })
		}, 0, false},
		{'o', "nothing comes from it there", func(s *orderSite) bool {
			return s.onConnectionOf(orderedID, func(c *standInConnection) bool { return !c.mute }, func(c *standInConnection) { c.mute = true })
		}, 0, false},
		{'u', "all gets through again", (*orderSite).flows, 0, false},
		{'m', "another call comes, and is answered", (*orderSite).otherCall, otherComes + checkEvery - promptly/2, false},
		{'I', "nothing reaches the dispatcher on its newest connection", func(s *orderSite) bool {
			return s.onNewest(func(c *standInConnection) { c.deaf, s.stalled = true, true })
		}, 0, false},
		{'N', "it tells its state there", func(s *orderSite) bool {
			return s.onNewest((*standInConnection).reports)
		}, 0, false},
		{'p', "the first dispatcher answers by itself from now on", func(s *orderSite) bool {
			before := s.first.promptly[orderedID]
			s.first.promptly[orderedID] = true
			return !before
		}, 0, false},
		{'E', "the other call ends", func(s *orderSite) bool { return s.end(s.first, otherID) }, 0, false},
	}
}

// onConnectionOf does something to the connection of a call at the first dispatcher, if it may.
func (s *orderSite) onConnectionOf(id string, may func(*standInConnection) bool, f func(*standInConnection)) bool {
	c := s.first.pending(id)
	if c == nil {
		c = s.first.established[id]
	}
	if c == nil || !may(c) {
		return false
	}
	f(c)
	s.stalled = true
	return true
}

// standstillEvents are of a dispatcher that stands still and goes on, and of what waits in queues meanwhile.
func standstillEvents() []orderEvent {
	return []orderEvent{
		{'z', "the first dispatcher stands still", func(s *orderSite) bool {
			before := s.first.still
			s.first.still, s.stalled = true, true
			return !before && !s.first.cutOff
		}, 0, false},
		{'Z', "it goes on", func(s *orderSite) bool { return s.goesOn(true) }, 0, false},
		{'A', "it goes on, and reads later", func(s *orderSite) bool { return s.goesOn(false) }, 0, false},
		{'j', "the pool's side can write nothing on the call's connection", func(s *orderSite) bool {
			return s.onConnectionOf(orderedID, func(c *standInConnection) bool { return !c.full }, func(c *standInConnection) { c.full = true })
		}, 0, false},
		{'H', "the dispatcher closes the call's connection in good order", func(s *orderSite) bool {
			may := func(c *standInConnection) bool { return !c.peerClosed && !s.first.still }
			return s.onConnectionOf(orderedID, may, (*standInConnection).close)
		}, 0, false},
		{'J', "it closes the other call's connection in good order", func(s *orderSite) bool {
			may := func(c *standInConnection) bool { return !c.peerClosed && !s.first.still }
			return s.onConnectionOf(otherID, may, (*standInConnection).close)
		}, 0, false},
		{'V', "a connection is closed for its descriptor", func(s *orderSite) bool {
			before := s.pool.sockets.evicted
			s.pool.SetSocketBudget(s.pool.SocketCount() - 1)
			s.pool.SetSocketBudget(0)
			s.first.reset = s.first.reset || s.pool.sockets.evicted > before
			return s.pool.sockets.evicted > before
		}, 0, false},
		{'R', "the next connection will be refused", func(s *orderSite) bool { s.first.refuses++; return true }, 0, false},
		{'B', "the next connection will not come up", func(s *orderSite) bool { s.first.loses++; return true }, 0, false},
	}
}

// goesOn ends a standstill of the first dispatcher.
func (s *orderSite) goesOn(reads bool) bool {
	if !s.first.still {
		return false
	}
	s.first.goesOn(reads)
	return true
}

// onNewest does something to the newest open connection of the first dispatcher.
func (s *orderSite) onNewest(f func(*standInConnection)) bool {
	open := s.first.open()
	if s.first.cutOff || len(open) == 0 {
		return false
	}
	f(open[len(open)-1])
	return true
}

// flows has all get through again on connections to the first dispatcher on which it did not.
func (s *orderSite) flows() bool {
	stalled := false
	for _, c := range s.first.all {
		if c.deaf || c.mute || c.full {
			stalled = true
			c.flows()
		}
	}
	return stalled
}

// otherCall has the caller set up another call, which the first dispatcher answers at once if it comes there.
func (s *orderSite) otherCall() bool {
	id := otherID
	if s.calls[id] != nil {
		id = thirdID
	}
	if s.calls[id] != nil || s.left {
		return false
	}
	s.calls[id] = &orderedCall{}
	s.first.promptly[id] = true
	s.core.Loop().After(otherComes, func() { s.offer(id, orderDeadline) })
	return true
}

func spellOrder(order []orderEvent) string {
	var letters strings.Builder
	for _, e := range order {
		letters.WriteByte(e.letter)
	}
	return letters.String()
}

// spelledOrder has the events of the letters.
func spelledOrder(letters string) []orderEvent {
	var order []orderEvent
	for _, letter := range []byte(letters) {
		for _, e := range slices.Concat(orderEvents(), stallEvents(), standstillEvents()) {
			if e.letter == letter {
				order = append(order, e)
			}
		}
	}
	return order
}
