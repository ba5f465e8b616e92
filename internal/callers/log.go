package callers

import (
	"log/slog"
	"sync/atomic"

	"cherryrelay/internal/endlog"
)

// lastConnNumber is the number of the last connection, counted over all fronts. It identifies the connection in the log.
var lastConnNumber atomic.Uint64

// logCall logs a step of a call on the connection.
func (c *Conn) logCall(step endlog.Step, id string) {
	endlog.Call(c.front.log, step, id, endlog.Connection(c.number))
}

// logEnded logs the end of the connection.
func (c *Conn) logEnded(reason error) {
	if log := c.front.log; endlog.Enabled(log) {
		endlog.CallerConnection(log, endlog.CallerConnectionEnded, c.number, slog.String("peer", c.conn.Remote()),
			endlog.Reason(reason), slog.Int("ends_sent", len(c.sentEnds)))
	}
}
