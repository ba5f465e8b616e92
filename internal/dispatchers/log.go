package dispatchers

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"cherryrelay/internal/endlog"
)

// This file logs the connections to dispatchers, and the steps by which the ends of calls pass through them.

// logOpened logs a connection whose dial, begun at dialedAt, has succeeded.
func (c *connection) logOpened(dialedAt time.Time) {
	c.server.pool.Log.Info("connection to dispatcher opened", "server", c.server.ID, "connection", c.number,
		"dial", c.openedAt.Sub(dialedAt), "others", len(c.server.conns)-1)
}

// logClosed logs why a connection takes no more set-ups.
func (c *connection) logClosed(reason error) {
	level := slog.LevelInfo
	if closedForFault(reason) && !errors.Is(reason, errUnresponsive) {
		level = slog.LevelWarn
	}
	now := time.Now()
	c.server.pool.Log.Log(context.Background(), level, "connection to dispatcher closed", "server", c.server.ID, "connection", c.number,
		"reason", reason, "open", c.openSetUps(), "age", now.Sub(c.openedAt), "without_input", now.Sub(c.lastReceivedAt))
}

// logGivenUp logs why all connections of a dispatcher are given up and its calls end.
func (s *server) logGivenUp(reason error, calls int) {
	s.pool.Log.Info("dispatcher is given up", "server", s.ID, "reason", reason, "calls", calls, "connections", len(s.conns),
		"replaced", s.replaced, "without_input", time.Since(s.lastReceivedAt))
}

// String returns the name of the state in the log.
func (s connState) String() string {
	return [...]string{"open", "draining", "half-closed", "closed"}[s]
}

// logCallStep logs a step of a call on the connection.
func (c *connection) logCallStep(step endlog.Step, id string, attempt int) {
	endlog.Call(c.server.pool.Log, step, id, endlog.Server(c.server.ID), endlog.Connection(c.number),
		slog.String(endlog.StateKey, c.state.String()), endlog.Attempt(attempt))
}

// logRelease logs a step of the release of a call at the dispatcher; connection is 0 if there is none for it yet.
func (s *server) logRelease(step endlog.Step, r release, number uint64) {
	endlog.Call(s.pool.Log, step, r.id, endlog.Server(s.ID), endlog.Connection(number), slog.Int("cause", r.cause))
}

// logStep logs a step of the connection, with its number of open set-ups.
func (c *connection) logStep(step endlog.Step, reason error) {
	log := c.server.pool.Log
	if endlog.Enabled(log) {
		endlog.Dispatcher(log, step, string(c.server.ID), endlog.Connection(c.number), slog.String(endlog.StateKey, c.state.String()),
			slog.Int("open", c.openSetUps()), endlog.Reason(reason))
	}
}

// logLostProcess logs that the calls at a process have ended although another one is connected under the dispatcher's name.
func (s *server) logLostProcess(p *remoteProcess, calls int) {
	s.pool.Log.Warn("process of dispatcher is lost", "server", s.ID, "calls", calls, "replaced", s.replaced,
		"without_input", time.Since(p.lastReceivedAt), "connections", len(s.conns))
}

// logStep logs a step of the dispatcher.
func (s *server) logStep(step endlog.Step, reason error) {
	log := s.pool.Log
	if endlog.Enabled(log) {
		endlog.Dispatcher(log, step, string(s.ID), slog.Int("connections", len(s.conns)), slog.Int("given_up", len(s.abandoned)), endlog.Reason(reason))
	}
}
