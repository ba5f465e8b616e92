package dispatchers

import (
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/websocket"
)

// What becomes of messages that dispatchers send.

// errNoise is an answer whose description cannot be what its dispatcher meant.
var errNoise = &websocket.Error{Code: websocket.BadData, Text: "answer that came spoilt"}

// take acts on a message. An error ends the connection.
func (l *link) take(m *Message) error {
	s, core := l.server, l.server.pool.core
	i := l.invitedWith(m.id)
	if i == nil && m.final && m.kind != ended {
		// A second copy, or an answer to what was not asked here: there is nothing that it could be the answer to.
		s.pool.Log.Debug("answer to no set-up", "server", s.ID, "id", m.id)
		return nil
	}
	if m.damaged {
		return errNoise
	}
	if m.probe > 0 {
		l.probeReplied(m.probe)
	}
	l.reply(m, i)
	attempt := noAttempt
	if i != nil {
		attempt = i.attempt
	}
	if m.kind == ended {
		m.kind = refusal
		if i == nil || s.attemptReleased(m.id, attempt) == noAttempt {
			m.kind = released
		}
	}
	if m.final && i != nil {
		l.finishSetUp(m, i)
	}
	switch m.kind {
	case hello:
		s.ready(l)
	case answer:
		l.takeAnswer(m, attempt)
	case refusal:
		core.AttemptEnded(s.ID, m.id, attempt, m.outcome, m.noLine, m.report)
	case released:
		l.takeRelease(m, i, attempt)
	case confirmation:
		l.confirmed(m.id)
		if m.report != nil {
			core.LoadReported(s.ID, m.report)
		}
	case report:
		core.LoadReported(s.ID, m.report)
	}
	return nil
}

// reply sends what the wire owes for a message about a set-up; nil for none.
func (l *link) reply(m *Message, i *invite) {
	if m.reply == nil {
		return
	}
	called := ""
	if i != nil {
		called = i.called
	}
	l.send(m.reply(called))
}

// finishSetUp takes in the final answer to a set-up.
func (l *link) finishSetUp(m *Message, i *invite) {
	delete(l.invites, m.id)
	l.finalAt = time.Now()
	if s := l.server; m.outcome != control.Full && i.sentAt.After(s.answered) {
		s.answered = i.sentAt // what is turned away does not wait in line
	}
}

// takeAnswer takes in that a call is established by an attempt.
func (l *link) takeAnswer(m *Message, attempt int) {
	s := l.server
	if l.state == linkDraining { // the attempt has ended here
		l.logCall(endlog.AnswerOnDraining, m.id, attempt)
		l.release(release{m.id, call.CauseNormal, true})
		return
	}
	s.answeredAt = time.Now()
	if s.pool.core.Answered(s.ID, m.id, attempt, m.description) {
		s.standing[m.id] = l.lifetime
	}
}

// takeRelease takes in the end of a call. The attempt is that of the set-up that is open here, if there is one.
func (l *link) takeRelease(m *Message, i *invite, attempt int) {
	s := l.server
	if !call.ValidID(m.id) {
		return
	}
	if o := s.holderBeside(m.id); o != nil && i == nil {
		l.logCall(endlog.ReleaseRead, m.id, noAttempt)
		o.takeReleaseBeside(m)
		return
	}
	attempt = s.attemptReleased(m.id, attempt)
	l.logCall(endlog.ReleaseRead, m.id, attempt)
	if answered := s.standing[m.id]; answered != nil && answered != l.lifetime && attempt == noAttempt {
		s.takeReleaseBeside(m)
	} else {
		l.takeReleaseOf(m, attempt)
	}
	if i != nil && i.withdrawn.IsZero() {
		i.withdrawn = time.Now() // its answer may still come, late
	}
}

// takeReleaseOf takes in the end of what the given attempt led to or, without one, of the call that stands.
func (l *link) takeReleaseOf(m *Message, attempt int) {
	s := l.server
	s.pool.core.Released(s.ID, m.id, attempt, m.cause, m.report)
	if awaits := l.awaitsClose(m.id, attempt); awaits != nil {
		s.keepEarly(m.id, earlyRelease{cause: m.cause, report: m.report, at: time.Now(), awaits: awaits})
	} else {
		delete(s.standing, m.id)
	}
}

// takeReleaseBeside takes in the end of a call that came on another connection than that of its answer.
func (s *server) takeReleaseBeside(m *Message) {
	if !s.pool.core.ReleasedOnOtherConnection(s.ID, m.id, m.cause, m.report) {
		delete(s.standing, m.id)
	}
}

// attemptReleased is the attempt whose call a release ends that came on the connection of the given attempt. A dispatcher sends the end of a
// call on the connection of its set-up and, once that is closed, on any other: there an earlier attempt of the same call may have been
// withdrawn, whose call it is not.
func (s *server) attemptReleased(id string, attempt int) int {
	answered := s.standing[id]
	if answered != nil && answered.over {
		return noAttempt
	}
	return attempt
}

// holderBeside is another dispatcher at this one's address at which a call stands that does not stand here; nil if there is none. Before the list told
// of it, its process may have been connected to under this one's name, and it tells the ends of its calls on any connection.
func (s *server) holderBeside(id string) *server {
	if s.standing[id] != nil {
		return nil
	}
	for _, o := range s.pool.at[s.Address] {
		if o != s && o.standing[id] != nil {
			return o
		}
	}
	return nil
}
