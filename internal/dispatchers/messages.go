package dispatchers

import (
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/websocket"
)

// This file handles the messages that dispatchers send.

// errDamagedAnswer closes a connection on which an answer came with an invalid description.
var errDamagedAnswer = &websocket.Error{Code: websocket.InvalidPayload, Text: "damaged answer"}

// handle processes a message. An error closes the connection.
func (c *connection) handle(m *Message) error {
	s, core := c.server, c.server.pool.core
	setUp := c.writtenSetUp(m.id)
	if setUp == nil && m.final && m.kind != refusedOrReleased {
		// A duplicate, or an answer to a set-up that was not sent here.
		s.pool.Log.Debug("answer without a matching set-up", "server", s.ID, "id", m.id)
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

// reply sends the reply that the protocol requires to a message; setUp is the one that the message refers to, or nil.
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

// finishSetUp handles the final answer to a set-up.
func (c *connection) finishSetUp(m *Message, setUp *setUpState) {
	delete(c.setUps, m.id)
	c.finalAnswerAt = time.Now()
	if s := c.server; m.outcome != control.Full && setUp.sentAt.After(s.answeredSentAt) {
		s.answeredSentAt = setUp.sentAt // a set-up refused for lack of capacity does not wait in the queue
	}
}

// handleAnswer handles an answer, which establishes the call.
func (c *connection) handleAnswer(m *Message, attempt int) {
	s := c.server
	if c.state == connDraining { // the attempt has already failed here
		c.logCallStep(endlog.AnswerOnDrainingConnection, m.id, attempt)
		c.sendRelease(release{id: m.id, cause: call.CauseNormal, knownHere: true})
		return
	}
	s.establishedAt = time.Now()
	if s.pool.core.Answered(s.ID, m.id, attempt, m.description) {
		s.established[m.id] = c.lifetime
	}
}

// handleRelease handles the end of a call. The attempt is that of the set-up that is open here, if there is one.
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
		setUp.cancelledAt = time.Now() // a late answer may still arrive
	}
}

// deliverRelease reports the end of the call of the given attempt or, for noAttempt, of the established call.
func (c *connection) deliverRelease(m *Message, attempt int) {
	s := c.server
	s.pool.core.Released(s.ID, m.id, attempt, m.cause, m.report)
	if later := c.laterAttemptConn(m.id, attempt); later != nil {
		s.deferRelease(m.id, deferredRelease{cause: m.cause, report: m.report, receivedAt: time.Now(), awaitsClose: later})
	} else {
		delete(s.established, m.id)
	}
}

// handleReleaseElsewhere handles the end of a call on another connection than that of its answer.
func (s *server) handleReleaseElsewhere(m *Message) {
	if !s.pool.core.ReleasedOnOtherConnection(s.ID, m.id, m.cause, m.report) {
		delete(s.established, m.id)
	}
}

// releasedAttempt returns the attempt whose call is ended by a release on the connection of the given attempt. A dispatcher sends the end
// of a call on the connection of its set-up and, once that is closed, on any other. An earlier attempt of the same call may have been
// cancelled on that other connection; the release does not belong to it then.
func (s *server) releasedAttempt(id string, attempt int) int {
	answeredOn := s.established[id]
	if answeredOn != nil && answeredOn.closed {
		return noAttempt
	}
	return attempt
}

// otherHolder returns another dispatcher at this one's address at which a call is established that is not established here, or nil.
// Before the list contained it, connections to its process may have been opened under this one's name, and it sends the ends of its calls
// on any connection.
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
