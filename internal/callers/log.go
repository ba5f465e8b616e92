package callers

import (
	"log/slog"
	"sync/atomic"

	"cherryrelay/internal/endlog"
)

// lastConnNumber counts the connections of all fronts; each has its number in the log.
var lastConnNumber atomic.Uint64

// logCall logs a step of a call that came about on the connection.
func (c *Conn) logCall(step endlog.Step, id string) {
	endlog.Call(c.front.log, step, id, endlog.Connection(c.number))
}

// logEnded logs the end of the connection.
func (c *Conn) logEnded(reason error) {
	if log := c.front.log; endlog.Enabled(log) {
		endlog.Callers(log, endlog.CallersEnded, c.number, slog.String("peer", c.conn.Remote()), endlog.Reason(reason), slog.Int("ends_sent", len(c.sentEnds)))
	}
}
