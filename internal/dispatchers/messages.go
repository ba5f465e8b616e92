package dispatchers

import (
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/websocket"
)

// What becomes of messages that dispatchers send.

// errDamagedAnswer is an answer whose description cannot be what its dispatcher meant.
var errDamagedAnswer = &websocket.Error{Code: websocket.BadData, Text: "answer that came spoilt"}

// handle acts on a message. An error ends the connection.
func (c *connection) handle(m *Message) error {
	s, core := c.server, c.server.pool.core
	setUp := c.writtenSetUp(m.id)
	if setUp == nil && m.final && m.kind != refusedOrReleased {
		// A second copy, or an answer to what was not asked here: there is nothing that it could be the answer to.
		s.pool.Log.Debug("answer to no set-up", "server", s.ID, "id", m.id)
		return nil
	}
	if m.damaged {
		return errDamagedAnswer
	}
	if m.probeReply > 0 {
		c.handleProbeReply(m.probeReply)
	}
	c.reply(m, setUp)
	attempt := noAttempt
	if setUp != nil {
		attempt = setUp.attempt
	}
	if m.kind == refusedOrReleased {
		m.kind = refusal
		if setUp == nil || s.releasedAttempt(m.id, attempt) == noAttempt {
			m.kind = released
		}
	}
	if m.final && setUp != nil {
		c.finishSetUp(m, setUp)
	}
	switch m.kind {
	case handshakeComplete:
		s.connReady(c)
	case answer:
		c.handleAnswer(m, attempt)
	case refusal:
		core.AttemptEnded(s.ID, m.id, attempt, m.outcome, m.noLine, m.report)
	case released:
		c.handleRelease(m, setUp, attempt)
	case releaseConfirmed:
		c.confirmRelease(m.id)
		if m.report != nil {
			core.LoadReported(s.ID, m.report)
		}
	case report:
		core.LoadReported(s.ID, m.report)
	}
	return nil
}

// reply sends what the wire owes for a message about a set-up; nil for none.
func (c *connection) reply(m *Message, setUp *setUpState) {
	if m.encodeReply == nil {
		return
	}
	called := ""
	if setUp != nil {
		called = setUp.called
	}
	c.send(m.encodeReply(called))
}

// finishSetUp takes in the final answer to a set-up.
func (c *connection) finishSetUp(m *Message, setUp *setUpState) {
	delete(c.setUps, m.id)
	c.finalAnswerAt = time.Now()
	if s := c.server; m.outcome != control.Full && setUp.sentAt.After(s.answeredSentAt) {
		s.answeredSentAt = setUp.sentAt // what is turned away does not wait in line
	}
}

// handleAnswer takes in that a call is established by an attempt.
func (c *connection) handleAnswer(m *Message, attempt int) {
	s := c.server
	if c.state == connDraining { // the attempt has ended here
		c.logCallStep(endlog.AnswerOnDraining, m.id, attempt)
		c.sendRelease(release{m.id, call.CauseNormal, true})
		return
	}
	s.establishedAt = time.Now()
	if s.pool.core.Answered(s.ID, m.id, attempt, m.description) {
		s.established[m.id] = c.lifetime
	}
}

// handleRelease takes in the end of a call. The attempt is that of the set-up that is open here, if there is one.
func (c *connection) handleRelease(m *Message, setUp *setUpState, attempt int) {
	s := c.server
	if !call.ValidID(m.id) {
		return
	}
	if holder := s.otherHolder(m.id); holder != nil && setUp == nil {
		c.logCallStep(endlog.ReleaseRead, m.id, noAttempt)
		holder.handleReleaseElsewhere(m)
		return
	}
	attempt = s.releasedAttempt(m.id, attempt)
	c.logCallStep(endlog.ReleaseRead, m.id, attempt)
	if answeredOn := s.established[m.id]; answeredOn != nil && answeredOn != c.lifetime && attempt == noAttempt {
		s.handleReleaseElsewhere(m)
	} else {
		c.deliverRelease(m, attempt)
	}
	if setUp != nil && setUp.cancelledAt.IsZero() {
		setUp.cancelledAt = time.Now() // its answer may still come, late
	}
}

// deliverRelease takes in the end of what the given attempt led to or, without one, of the call that stands.
func (c *connection) deliverRelease(m *Message, attempt int) {
	s := c.server
	s.pool.core.Released(s.ID, m.id, attempt, m.cause, m.report)
	if later := c.laterAttemptConn(m.id, attempt); later != nil {
		s.deferRelease(m.id, deferredRelease{cause: m.cause, report: m.report, receivedAt: time.Now(), awaitsClose: later})
	} else {
		delete(s.established, m.id)
	}
}

// handleReleaseElsewhere takes in the end of a call that came on another connection than that of its answer.
func (s *server) handleReleaseElsewhere(m *Message) {
	if !s.pool.core.ReleasedOnOtherConnection(s.ID, m.id, m.cause, m.report) {
		delete(s.established, m.id)
	}
}

// releasedAttempt is the attempt whose call a release ends that came on the connection of the given attempt. A dispatcher sends the end of a
// call on the connection of its set-up and, once that is closed, on any other: there an earlier attempt of the same call may have been
// withdrawn, whose call it is not.
func (s *server) releasedAttempt(id string, attempt int) int {
	answeredOn := s.established[id]
	if answeredOn != nil && answeredOn.closed {
		return noAttempt
	}
	return attempt
}

// otherHolder is another dispatcher at this one's address at which a call stands that does not stand here; nil if there is none. Before the list told
// of it, its process may have been connected to under this one's name, and it tells the ends of its calls on any connection.
func (s *server) otherHolder(id string) *server {
	if s.established[id] != nil {
		return nil
	}
	for _, o := range s.pool.byAddress[s.Address] {
		if o != s && o.established[id] != nil {
			return o
		}
	}
	return nil
}
