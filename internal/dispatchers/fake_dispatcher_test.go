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

// answerDelay is the delay after which a fake dispatcher answers without being told to by a step.
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
	p := n.dispatchers[address]
	if p != nil && p.partitioned {
		n.loop.After(timeout, func() { done(io.ErrNoProgress) })
		return
	}
	if p != nil && p.timeOutNext > 0 {
		p.timeOutNext--
		n.loop.After(timeout, func() { done(io.ErrNoProgress) })
		return
	}
	n.loop.After(dialTime, func() {
		if p == nil || !p.listening || p.shouldRefuse() {
			done(conn.ErrRefused)
			return
		}
		s := &fakeConn{loop: n.loop, dispatcher: p, setUps: map[string]int{}, cancelled: map[string]bool{}, poolInput: ring.New(32 << 10),
			dispatcherInput: ring.New(64 << 10)}
		s.handler = opened(s)
		done(nil)
		p.accept(s)
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

func newFakeDispatcher(site *harness) *fakeDispatcher {
	return &fakeDispatcher{harness: site, listening: true, established: map[string]*fakeConn{}, answersCall: map[string]bool{},
		ambiguous: map[string]bool{}}
}

func (p *fakeDispatcher) accept(s *fakeConn) {
	p.allConns = append(p.allConns, s)
	if p.paused {
		p.backlog = append(p.backlog, s)
		return
	}
	p.useConn(s)
}

// shouldRefuse reports whether a connection is refused although the process runs. If no other one is open, a refusal would prove that it
// does not run.
func (p *fakeDispatcher) shouldRefuse() bool {
	if p.refuseNext == 0 || len(p.usableConns()) == 0 {
		return false
	}
	p.refuseNext--
	p.lastRefused = true
	return true
}

// useConn has the dispatcher use a connection.
func (p *fakeDispatcher) useConn(s *fakeConn) {
	p.openConns, p.lastRefused = append(p.openConns, s), false
	s.send(loadReport())
	for _, id := range p.endsToRepeat {
		s.sendEnd(id)
	}
	p.endsToRepeat, p.hadReset = nil, false
	s.deliverToPool()
}

// loadReport returns a report, as a dispatcher sends it without a request.
func loadReport() []byte {
	return sip.Append(nil, &sip.Message{Method: "NOTIFY", URI: "sip:state@net", CallID: "state", Seq: 1, SeqOf: "NOTIFY",
		Headers: []sip.Header{{Name: "P-Report", Value: "idle:8"}}})
}

// sendReport has the dispatcher send a report on a connection. It arrives at once.
func (s *fakeConn) sendReport() {
	s.send(loadReport())
	s.deliverToPool()
}

func releaseOf(id string) []byte {
	return sip.Append(nil, &sip.Message{Method: "BYE", URI: "sip:call@net", CallID: id, Seq: 1, SeqOf: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}}})
}

// usableConns returns the connections on which the dispatcher can send.
func (p *fakeDispatcher) usableConns() []*fakeConn {
	return slices.DeleteFunc(slices.Clone(p.openConns),
		func(s *fakeConn) bool { return s.dispatcherClosed || s.poolHalfClosed && !s.dispatcherUnaware() })
}

// hasBlockedConn reports whether there is a connection on which a release would not get through although the pool's side takes it for
// open.
func (p *fakeDispatcher) hasBlockedConn() bool {
	return p.partitioned || p.paused || slices.ContainsFunc(p.allConns, func(s *fakeConn) bool {
		return !s.closed && (s.blockedToDispatcher || s.writeBlocked || s.blockedToPool && s.dispatcherClosed)
	})
}

// reachable reports whether there is a connection that works in both directions.
func (p *fakeDispatcher) reachable() bool {
	return !p.partitioned && !p.paused && slices.ContainsFunc(p.usableConns(),
		func(s *fakeConn) bool { return !s.blockedToDispatcher && !s.blockedToPool })
}

// pending returns the first connection with an open set-up of a call, or nil.
func (p *fakeDispatcher) pending(id string) *fakeConn {
	for _, s := range p.openConns {
		if _, ok := s.setUps[id]; ok {
			return s
		}
	}
	return nil
}

// sendFinalAnswer sends the final answer to a set-up; 200 establishes the call.
func (p *fakeDispatcher) sendFinalAnswer(id string, status int) bool {
	s := p.pending(id)
	return s != nil && !p.paused && p.sendFinalAnswerOn(s, id, status)
}

// sendFinalAnswerOn sends it on a connection, if the set-up is open there.
func (p *fakeDispatcher) sendFinalAnswerOn(s *fakeConn, id string, status int) bool {
	if _, ok := s.setUps[id]; !ok {
		return false
	}
	m := &sip.Message{Status: status, Phrase: "x", CallID: id, Seq: uint32(s.setUps[id]) + 1, SeqOf: "INVITE"}
	delete(s.setUps, id)
	if status == 200 {
		m.Body = []byte("description")
		p.established[id] = s
		p.harness.callEstablished(id)
		p.ambiguous[id] = p.ambiguous[id] || p.hasUndeliveredEnd(id)
	}
	s.send(sip.Append(nil, m))
	return true
}

// endCall ends an established call, and sends the end as the protocol prescribes.
func (p *fakeDispatcher) endCall(id string) bool {
	s, ok := p.established[id]
	if !ok || p.paused {
		return false
	}
	delete(p.established, id)
	p.endsToRepeat = append(p.endsToRepeat, id)
	open := p.usableConns()
	if !slices.Contains(open, s) {
		if len(open) == 0 {
			return true
		}
		s = open[0]
		if p.endsOnNewest {
			s = open[len(open)-1]
		}
	}
	s.sendEnd(id)
	return true
}

// startReporting has the dispatcher send a report on each connection, every second.
func (p *fakeDispatcher) startReporting(loop *call.Loop) {
	loop.After(time.Second, func() {
		for _, s := range p.usableConns() {
			if !p.paused {
				s.sendReport()
			}
		}
		p.startReporting(loop)
	})
}

// hasUndeliveredEnd reports whether the end of a call is in transit, or is to be sent on the next connection.
func (p *fakeDispatcher) hasUndeliveredEnd(id string) bool {
	return slices.Contains(p.endsToRepeat, id) || slices.ContainsFunc(p.allConns, func(s *fakeConn) bool {
		return slices.ContainsFunc(s.inTransit, func(m fakeMessage) bool { return m.endOf == id })
	})
}

// handle processes a message of the controller.
func (p *fakeDispatcher) handle(s *fakeConn, m *sip.Message) {
	switch m.Method {
	case "INVITE":
		s.setUps[m.CallID] = int(m.Seq) - 1
		if p.answersAll || p.answersCall[m.CallID] || p.answersRetries && m.Seq > 1 {
			p.answerLater(s, m.CallID)
		}
	case "CANCEL":
		delete(s.setUps, m.CallID)
	case "BYE":
		delete(p.established, m.CallID)
	case "ACK", "":
		return
	}
	if m.Method != "INVITE" && !(m.Method == "BYE" && p.ignoresReleases) {
		s.send(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqOf: m.Method}))
	}
}

// answerLater answers a set-up after answerDelay or, if the dispatcher is paused, after the pause.
func (p *fakeDispatcher) answerLater(s *fakeConn, id string) {
	s.loop.After(answerDelay, func() {
		if p.paused {
			p.answerLater(s, id)
			return
		}
		p.sendFinalAnswerOn(s, id, 200)
		s.deliverToPool()
	})
}

// unpause ends a pause. What was written meanwhile is read now if reads is set, and otherwise later.
func (p *fakeDispatcher) unpause(reads bool) {
	p.paused = false
	before := slices.Clone(p.allConns)
	for _, s := range p.backlog {
		p.useConn(s)
	}
	p.backlog = nil
	for _, s := range before {
		s.blockedToDispatcher = s.blockedToDispatcher || !reads && !s.dispatcherClosed
		s.deliverToDispatcher()
	}
}

// reconnect ends a time in which nothing got through. What was written meanwhile is delivered now.
func (p *fakeDispatcher) reconnect() {
	p.partitioned = false
	for _, s := range p.allConns {
		s.deliverToDispatcher()
		s.deliverToPool()
	}
}

// die resets all connections and ends all calls.
func (p *fakeDispatcher) die() {
	p.listening = false
	clear(p.established)
	for _, s := range slices.Clone(p.openConns) {
		s.reset()
	}
}
