package dispatchers

import (
	"log/slog"

	"cherryrelay/internal/endlog"
)

// Steps of ends of calls, as the connections to dispatchers see them.

// String names the state in the log.
func (s linkState) String() string {
	return [...]string{"open", "draining", "half-closed", "closed"}[s]
}

// logCall logs a step of a call that came about on the connection.
func (l *link) logCall(step endlog.Step, id string, attempt int) {
	endlog.Call(l.server.pool.Log, step, id, endlog.Server(l.server.ID), endlog.Connection(l.number),
		slog.String(endlog.StateKey, l.state.String()), endlog.Attempt(attempt))
}

// logRelease logs a step of the release of a call towards the dispatcher; connection is 0 while there is none for it.
func (s *server) logRelease(step endlog.Step, r release, connection uint64) {
	endlog.Call(s.pool.Log, step, r.id, endlog.Server(s.ID), endlog.Connection(connection), slog.Int("cause", r.cause))
}

// log logs a step of the connection, with the set-ups that are open on it.
func (l *link) log(step endlog.Step, reason error) {
	log := l.server.pool.Log
	if endlog.Enabled(log) {
		endlog.Dispatcher(log, step, string(l.server.ID), endlog.Connection(l.number), slog.String(endlog.StateKey, l.state.String()),
			slog.Int("open", l.open()), endlog.Reason(reason))
	}
}

// log logs a step of the dispatcher.
func (s *server) log(step endlog.Step, reason error) {
	log := s.pool.Log
	if endlog.Enabled(log) {
		endlog.Dispatcher(log, step, string(s.ID), slog.Int("connections", len(s.links)), slog.Int("given_up", len(s.givenUp)), endlog.Reason(reason))
	}
}
