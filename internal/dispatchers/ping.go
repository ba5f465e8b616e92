package dispatchers

import (
	"slices"

	"cherryrelay/control"
)

// Probes of single connections.

// ping is a probe whose reply somebody waits for.
type ping struct {
	number uint32 // of the probe, on its connection
	done   func(replied bool)
}

// Probe asks a dispatcher for a report.
func (p *Pool) Probe(id control.ServerID) {
	if s := p.servers[id]; s != nil {
		if l := s.best(); l != nil {
			l.probe()
		}
	}
}

// Ping probes the connection of an attempt, and has done called once its reply has been read there: by then all has been read that the dispatcher had
// told there before. What has not left is at no dispatcher yet: then done is called at once. If the connection ends first, or has ended, it is called
// with false.
func (p *Pool) Ping(id control.ServerID, callID string, attempt int, done func(replied bool)) {
	s := p.servers[id]
	if s == nil {
		return
	}
	if answered := s.standing[callID]; answered != nil {
		s.pingAnswered(answered, done)
		return
	}
	if slices.ContainsFunc(s.waiting, func(w waiting) bool { return w.ID == callID && w.Attempt == attempt }) {
		done(true)
		return
	}
	for _, l := range s.links {
		i := l.invites[callID]
		switch {
		case i == nil || i.attempt != attempt:
		case i.left:
			l.ping(done)
			return
		default:
			done(true)
			return
		}
	}
}

// pingAnswered is Ping of the connection of an answer.
func (s *server) pingAnswered(answered *lifetime, done func(replied bool)) {
	i := slices.IndexFunc(s.links, func(l *link) bool { return l.lifetime == answered })
	if i < 0 {
		done(false)
		return
	}
	s.links[i].ping(done)
}

// ping sends a probe, and has done called with its reply.
func (l *link) ping(done func(replied bool)) { l.pings = append(l.pings, ping{l.probe(), done}) }

// probe sends a probe, and returns its number.
func (l *link) probe() uint32 {
	message, number := l.wire.Probe()
	l.send(message)
	return number
}

// probeReplied takes in the reply to the probe of a number. It stands for those to earlier ones, too.
func (l *link) probeReplied(number uint32) {
	var due []ping
	l.pings = slices.DeleteFunc(l.pings, func(p ping) bool {
		if p.number > number {
			return false
		}
		due = append(due, p)
		return true
	})
	for _, p := range due {
		p.done(true)
	}
}

// endPings tells that no more replies come.
func (l *link) endPings() {
	pings := l.pings
	l.pings = nil
	for _, p := range pings {
		p.done(false)
	}
}
