package dispatchers

import (
	"io"
	"slices"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/sip"
)

// answerDelay is the delay after which a fake dispatcher answers by itself.
const answerDelay = 20 * time.Millisecond

// dialTime is the time that a dial takes.
const dialTime = time.Millisecond

// fakeNetwork connects a pool with fake dispatchers, without sockets. All of it runs on the event loop.
type fakeNetwork struct {
	loop        *call.Loop
	dispatchers map[string]*fakeDispatcher // by address
}

// dial is the pool's dialer.
func (n *fakeNetwork) dial(address string, timeout time.Duration, opened func(transportConn) conn.Handler, done func(error)) {
	d := n.dispatchers[address]
	if d != nil && d.partitioned {
		n.loop.After(timeout, func() { done(io.ErrNoProgress) })
		return
	}
	if d != nil && d.timeOutNext > 0 {
		d.timeOutNext--
		n.loop.After(timeout, func() { done(io.ErrNoProgress) })
		return
	}
	n.loop.After(dialTime, func() {
		if d == nil || !d.listening || d.shouldRefuse() {
			done(conn.ErrRefused)
			return
		}
		c := &fakeConn{loop: n.loop, dispatcher: d, setUps: map[string]int{}, cancelled: map[string]bool{}, poolInput: ring.New(32 << 10),
			dispatcherInput: ring.New(64 << 10)}
		c.handler = opened(c)
		done(nil)
		d.accept(c)
	})
}

// fakeDispatcher is a fake dispatcher that follows the protocol description.
type fakeDispatcher struct {
	harness         *harness
	listening       bool
	partitioned     bool                 // nothing gets through, in either direction
	paused          bool                 // it reads and sends nothing; its kernel accepts connections
	backlog         []*fakeConn          // connections that its kernel has accepted meanwhile
	neverCloses     bool                 // it never closes its side of a connection that the pool's side has closed
	resetsOnClose   bool                 // it resets such a connection when it notices the close
	endsOnNewest    bool                 // it sends the end of a call whose connection has closed on the newest one
	ignoresReleases bool                 // it confirms no release
	refuseNext      int                  // number of next connections to refuse while others are open
	lastRefused     bool                 // the last connection was refused
	timeOutNext     int                  // number of next dials that time out
	answersAll      bool                 // it answers every set-up
	answersRetries  bool                 // it answers every attempt of a call after the first one
	answersCall     map[string]bool      // it answers the set-ups of these calls
	openConns       []*fakeConn          // connections that it has open
	allConns        []*fakeConn          // those and the ended ones, on which something may be in transit
	established     map[string]*fakeConn // calls, with the connection of their set-up
	ambiguous       map[string]bool      // calls under whose id the end of an earlier attempt is still to be sent
	endsToRepeat    []string             // calls whose ends are repeated on the next connection
	hadReset        bool                 // a connection was reset, and none has opened since
}

func newFakeDispatcher(h *harness) *fakeDispatcher {
	return &fakeDispatcher{harness: h, listening: true, established: map[string]*fakeConn{}, answersCall: map[string]bool{},
		ambiguous: map[string]bool{}}
}

// accept adds a connection and, unless the dispatcher is paused, has it used.
func (d *fakeDispatcher) accept(c *fakeConn) {
	d.allConns = append(d.allConns, c)
	if d.paused {
		d.backlog = append(d.backlog, c)
		return
	}
	d.useConn(c)
}

// shouldRefuse reports whether a connection is refused although the process runs. If no other one is open, a refusal would prove that it
// does not run.
func (d *fakeDispatcher) shouldRefuse() bool {
	if d.refuseNext == 0 || len(d.usableConns()) == 0 {
		return false
	}
	d.refuseNext--
	d.lastRefused = true
	return true
}

// useConn has the dispatcher use a connection.
func (d *fakeDispatcher) useConn(c *fakeConn) {
	d.openConns, d.lastRefused = append(d.openConns, c), false
	c.send(loadReport())
	for _, id := range d.endsToRepeat {
		c.sendEnd(id)
	}
	d.endsToRepeat, d.hadReset = nil, false
	c.deliverToPool()
}

// loadReport returns a report, as a dispatcher sends it without a request.
func loadReport() []byte {
	return sip.Append(nil, &sip.Message{Method: "NOTIFY", URI: "sip:state@net", CallID: "state", Seq: 1, SeqMethod: "NOTIFY",
		Headers: []sip.Header{{Name: "P-Report", Value: "idle:8"}}})
}

// sendReport has the dispatcher send a report on a connection. It arrives at once.
func (c *fakeConn) sendReport() {
	c.send(loadReport())
	c.deliverToPool()
}

// releaseOf returns the release of a call by a dispatcher.
func releaseOf(id string) []byte {
	return sip.Append(nil, &sip.Message{Method: "BYE", URI: "sip:call@net", CallID: id, Seq: 1, SeqMethod: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}}})
}

// usableConns returns the connections on which the dispatcher can send.
func (d *fakeDispatcher) usableConns() []*fakeConn {
	return slices.DeleteFunc(slices.Clone(d.openConns),
		func(c *fakeConn) bool { return c.dispatcherClosed || c.poolHalfClosed && !c.dispatcherUnaware() })
}

// hasBlockedConn reports whether there is a connection on which a release would not get through although the pool's side takes it for
// open.
func (d *fakeDispatcher) hasBlockedConn() bool {
	return d.partitioned || d.paused || slices.ContainsFunc(d.allConns, func(c *fakeConn) bool {
		return !c.closed && (c.blockedToDispatcher || c.writeBlocked || c.blockedToPool && c.dispatcherClosed)
	})
}

// reachable reports whether there is a connection that works in both directions.
func (d *fakeDispatcher) reachable() bool {
	return !d.partitioned && !d.paused && slices.ContainsFunc(d.usableConns(),
		func(c *fakeConn) bool { return !c.blockedToDispatcher && !c.blockedToPool })
}

// pending returns the first connection with an open set-up of a call, or nil.
func (d *fakeDispatcher) pending(id string) *fakeConn {
	for _, c := range d.openConns {
		if _, ok := c.setUps[id]; ok {
			return c
		}
	}
	return nil
}

// sendFinalAnswer sends the final answer to a set-up; 200 establishes the call.
func (d *fakeDispatcher) sendFinalAnswer(id string, status int) bool {
	c := d.pending(id)
	return c != nil && !d.paused && d.sendFinalAnswerOn(c, id, status)
}

// sendFinalAnswerOn sends it on a connection, if the set-up is open there.
func (d *fakeDispatcher) sendFinalAnswerOn(c *fakeConn, id string, status int) bool {
	if _, ok := c.setUps[id]; !ok {
		return false
	}
	m := &sip.Message{Status: status, Phrase: "x", CallID: id, Seq: uint32(c.setUps[id]) + 1, SeqMethod: "INVITE"}
	delete(c.setUps, id)
	if status == 200 {
		m.Body = []byte("description")
		d.established[id] = c
		d.harness.callEstablished(id)
		d.ambiguous[id] = d.ambiguous[id] || d.hasUndeliveredEnd(id)
	}
	c.send(sip.Append(nil, m))
	return true
}

// endCall ends an established call, and sends the end as the protocol prescribes.
func (d *fakeDispatcher) endCall(id string) bool {
	c, ok := d.established[id]
	if !ok || d.paused {
		return false
	}
	delete(d.established, id)
	d.endsToRepeat = append(d.endsToRepeat, id)
	open := d.usableConns()
	if !slices.Contains(open, c) {
		if len(open) == 0 {
			return true
		}
		c = open[0]
		if d.endsOnNewest {
			c = open[len(open)-1]
		}
	}
	c.sendEnd(id)
	return true
}

// startReporting has the dispatcher send a report on each connection, every second.
func (d *fakeDispatcher) startReporting(loop *call.Loop) {
	loop.After(time.Second, func() {
		for _, c := range d.usableConns() {
			if !d.paused {
				c.sendReport()
			}
		}
		d.startReporting(loop)
	})
}

// hasUndeliveredEnd reports whether the end of a call is in transit, or is to be sent on the next connection.
func (d *fakeDispatcher) hasUndeliveredEnd(id string) bool {
	return slices.Contains(d.endsToRepeat, id) || slices.ContainsFunc(d.allConns, func(c *fakeConn) bool {
		return slices.ContainsFunc(c.inTransit, func(m fakeMessage) bool { return m.endOf == id })
	})
}

// handle processes a message of the controller.
func (d *fakeDispatcher) handle(c *fakeConn, m *sip.Message) {
	switch m.Method {
	case "INVITE":
		c.setUps[m.CallID] = int(m.Seq) - 1
		if d.answersAll || d.answersCall[m.CallID] || d.answersRetries && m.Seq > 1 {
			d.answerLater(c, m.CallID)
		}
	case "CANCEL":
		delete(c.setUps, m.CallID)
	case "BYE":
		delete(d.established, m.CallID)
	case "ACK", "":
		return
	}
	if m.Method != "INVITE" && !(m.Method == "BYE" && d.ignoresReleases) {
		c.send(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqMethod: m.Method}))
	}
}

// answerLater answers a set-up after answerDelay or, if the dispatcher is paused, after the pause.
func (d *fakeDispatcher) answerLater(c *fakeConn, id string) {
	c.loop.After(answerDelay, func() {
		if d.paused {
			d.answerLater(c, id)
			return
		}
		d.sendFinalAnswerOn(c, id, 200)
		c.deliverToPool()
	})
}

// unpause ends a pause. What was written meanwhile is read now if reads is set, and otherwise later.
func (d *fakeDispatcher) unpause(reads bool) {
	d.paused = false
	before := slices.Clone(d.allConns)
	for _, c := range d.backlog {
		d.useConn(c)
	}
	d.backlog = nil
	for _, c := range before {
		c.blockedToDispatcher = c.blockedToDispatcher || !reads && !c.dispatcherClosed
		c.deliverToDispatcher()
	}
}

// reconnect ends a time in which nothing got through. What was written meanwhile is delivered now.
func (d *fakeDispatcher) reconnect() {
	d.partitioned = false
	for _, c := range d.allConns {
		c.deliverToDispatcher()
		c.deliverToPool()
	}
}

// stop resets all connections and ends all calls.
func (d *fakeDispatcher) stop() {
	d.listening = false
	clear(d.established)
	for _, c := range slices.Clone(d.openConns) {
		c.reset()
	}
}
