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

// promptly is how soon a stand-in answers that does so by itself.
const promptly = 20 * time.Millisecond

// dialTime is how long a connection takes to come up.
const dialTime = time.Millisecond

// standInNetwork connects a pool with stand-in dispatchers, without sockets. All of it runs on the loop.
type standInNetwork struct {
	loop      *call.Loop
	processes map[string]*process // by address
}

// dial is the pool's dialer.
func (n *standInNetwork) dial(address string, timeout time.Duration, opened func(connection) conn.Handler, done func(error)) {
	p := n.processes[address]
	if p != nil && p.cutOff {
		n.loop.After(timeout, func() { done(io.ErrNoProgress) })
		return
	}
	if p != nil && p.loses > 0 {
		p.loses--
		n.loop.After(timeout, func() { done(io.ErrNoProgress) })
		return
	}
	n.loop.After(dialTime, func() {
		if p == nil || !p.listens || p.refusesNext() {
			done(conn.ErrRefused)
			return
		}
		s := &standInConnection{loop: n.loop, process: p, setUps: map[string]int{}, cancelled: map[string]bool{}, in: ring.New(32 << 10), read: ring.New(64 << 10)}
		s.handler = opened(s)
		done(nil)
		p.accepts(s)
	})
}

// process is a stand-in dispatcher, which does as the protocol page has it.
type process struct {
	site        *orderSite
	listens     bool
	cutOff      bool                          // nothing gets through, in either direction
	still       bool                          // it takes nothing in and sends nothing; its kernel accepts connections
	waiting     []*standInConnection          // that its kernel has accepted meanwhile
	keeps       bool                          // it never closes its side of a connection that the pool's side has ended
	resets      bool                          // or resets it as it sees that
	newest      bool                          // it tells the end of a call whose connection has closed on the newest one
	unconfirmed bool                          // it confirms no release
	refuses     int                           // so many of the next connections, as others are open
	refused     bool                          // the last connection was
	loses       int                           // so many of the next connections do not come up
	prompt      bool                          // it answers each set-up by itself
	again       bool                          // or each after the first one of a call
	promptly    map[string]bool               // or those of these calls
	connections []*standInConnection          // that it has open
	all         []*standInConnection          // and those that have ended, on which something may be on its way
	established map[string]*standInConnection // calls, with the connection of their set-up
	ambiguous   map[string]bool               // of them, those under whose id the end of an earlier attempt is still to be told
	repeats     []string                      // calls whose ends are told again on the next connection
	reset       bool                          // a connection was reset, and none has come up since
}

func newProcess(site *orderSite) *process {
	return &process{site: site, listens: true, established: map[string]*standInConnection{}, promptly: map[string]bool{}, ambiguous: map[string]bool{}}
}

func (p *process) accepts(s *standInConnection) {
	p.all = append(p.all, s)
	if p.still {
		p.waiting = append(p.waiting, s)
		return
	}
	p.opens(s)
}

// refusesNext reports whether a connection is refused though the process lives. Where no other one is open, a refusal would prove that it doesn't.
func (p *process) refusesNext() bool {
	if p.refuses == 0 || len(p.open()) == 0 {
		return false
	}
	p.refuses--
	p.refused = true
	return true
}

// opens has the process use a connection.
func (p *process) opens(s *standInConnection) {
	p.connections, p.refused = append(p.connections, s), false
	s.tell(stateReport())
	for _, id := range p.repeats {
		s.tellEnd(id)
	}
	p.repeats, p.reset = nil, false
	s.deliver()
}

// stateReport is the state of a dispatcher, as it tells it unasked.
func stateReport() []byte {
	return sip.Append(nil, &sip.Message{Method: "NOTIFY", URI: "sip:state@net", CallID: "state", Seq: 1, SeqOf: "NOTIFY",
		Headers: []sip.Header{{Name: "P-Report", Value: "idle:8"}}})
}

// reports has the process tell its state on a connection, which arrives at once.
func (s *standInConnection) reports() {
	s.tell(stateReport())
	s.deliver()
}

func byeOf(id string) []byte {
	return sip.Append(nil, &sip.Message{Method: "BYE", URI: "sip:call@net", CallID: id, Seq: 1, SeqOf: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}}})
}

// open are the connections on which the process can tell something.
func (p *process) open() []*standInConnection {
	return slices.DeleteFunc(slices.Clone(p.connections), func(s *standInConnection) bool { return s.peerClosed || s.finished && !s.unseen() })
}

// unreached reports whether there is a connection on which a release would not get through, though the pool's side takes it for open.
func (p *process) unreached() bool {
	return p.cutOff || p.still || slices.ContainsFunc(p.all, func(s *standInConnection) bool { return !s.closed && (s.deaf || s.full || s.mute && s.peerClosed) })
}

// reachable reports whether there is a connection on which messages get through in both directions.
func (p *process) reachable() bool {
	return !p.cutOff && !p.still && slices.ContainsFunc(p.open(), func(s *standInConnection) bool { return !s.deaf && !s.mute })
}

// pending is the first connection with the set-up of a call open; nil if there is none.
func (p *process) pending(id string) *standInConnection {
	for _, s := range p.connections {
		if _, ok := s.setUps[id]; ok {
			return s
		}
	}
	return nil
}

// finalAnswer tells the final answer to a set-up; 200 establishes the call.
func (p *process) finalAnswer(id string, status int) bool {
	s := p.pending(id)
	return s != nil && !p.still && p.finalAnswerOn(s, id, status)
}

// finalAnswerOn tells it on a connection, if the set-up is open there.
func (p *process) finalAnswerOn(s *standInConnection, id string, status int) bool {
	if _, ok := s.setUps[id]; !ok {
		return false
	}
	m := &sip.Message{Status: status, Phrase: "x", CallID: id, Seq: uint32(s.setUps[id]) + 1, SeqOf: "INVITE"}
	delete(s.setUps, id)
	if status == 200 {
		m.Body = []byte("description")
		p.established[id] = s
		p.site.established(id)
		p.ambiguous[id] = p.ambiguous[id] || p.tellsEnd(id)
	}
	s.tell(sip.Append(nil, m))
	return true
}

// ends ends an established call, and tells it where the protocol has it.
func (p *process) ends(id string) bool {
	s, ok := p.established[id]
	if !ok || p.still {
		return false
	}
	delete(p.established, id)
	p.repeats = append(p.repeats, id)
	open := p.open()
	if !slices.Contains(open, s) {
		if len(open) == 0 {
			return true
		}
		s = open[0]
		if p.newest {
			s = open[len(open)-1]
		}
	}
	s.tellEnd(id)
	return true
}

// chat has the process tell its state on each connection, every second.
func (p *process) chat(loop *call.Loop) {
	loop.After(time.Second, func() {
		for _, s := range p.open() {
			if !p.still {
				s.reports()
			}
		}
		p.chat(loop)
	})
}

// tellsEnd reports whether the end of a call is on its way, or is to be told on the next connection.
func (p *process) tellsEnd(id string) bool {
	return slices.Contains(p.repeats, id) || slices.ContainsFunc(p.all, func(s *standInConnection) bool {
		return slices.ContainsFunc(s.flight, func(m standInMessage) bool { return m.ends == id })
	})
}

// takes acts on a message of the controller.
func (p *process) takes(s *standInConnection, m *sip.Message) {
	switch m.Method {
	case "INVITE":
		s.setUps[m.CallID] = int(m.Seq) - 1
		if p.prompt || p.promptly[m.CallID] || p.again && m.Seq > 1 {
			p.answersSoon(s, m.CallID)
		}
	case "CANCEL":
		delete(s.setUps, m.CallID)
	case "BYE":
		delete(p.established, m.CallID)
	case "ACK", "":
		return
	}
	if m.Method != "INVITE" && !(m.Method == "BYE" && p.unconfirmed) {
		s.tell(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqOf: m.Method}))
	}
}

// answersSoon has a set-up answered promptly, or as the process goes on.
func (p *process) answersSoon(s *standInConnection, id string) {
	s.loop.After(promptly, func() {
		if p.still {
			p.answersSoon(s, id)
			return
		}
		p.finalAnswerOn(s, id, 200)
		s.deliver()
	})
}

// goesOn ends a standstill. What has been written meanwhile is read now, unless that is yet to come.
func (p *process) goesOn(reads bool) {
	p.still = false
	before := slices.Clone(p.all)
	for _, s := range p.waiting {
		p.opens(s)
	}
	p.waiting = nil
	for _, s := range before {
		s.deaf = s.deaf || !reads && !s.peerClosed
		s.reaches()
	}
}

// returns ends the time in which nothing got through. What was written meanwhile gets through now.
func (p *process) returns() {
	p.cutOff = false
	for _, s := range p.all {
		s.reaches()
		s.deliver()
	}
}

// dies resets all connections and cuts all calls.
func (p *process) dies() {
	p.listens = false
	clear(p.established)
	for _, s := range slices.Clone(p.connections) {
		s.reset()
	}
}
