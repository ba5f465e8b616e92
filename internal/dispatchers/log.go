package dispatchers

import (
	"log/slog"

	"cherryrelay/internal/endlog"
)

// This file logs the steps by which the ends of calls pass through the connections to dispatchers.

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

// logStep logs a step of the dispatcher.
func (s *server) logStep(step endlog.Step, reason error) {
	log := s.pool.Log
	if endlog.Enabled(log) {
		endlog.Dispatcher(log, step, string(s.ID), slog.Int("connections", len(s.conns)), slog.Int("given_up", len(s.abandoned)), endlog.Reason(reason))
	}
}
