package dispatchers

import (
	"maps"
	"slices"
	"time"
)

// Ends of calls that come on the connection of an earlier attempt.

// earlierEnd is the end of a call that came on the connection of an earlier attempt while the one of the answer was open.
type earlierEnd struct {
	cause  int
	report []float64
	at     time.Time
}

// answeredElsewhere reports whether a call stands by an answer on another connection.
func (l *link) answeredElsewhere(id string) bool {
	answered := l.server.standing[id]
	return answered != nil && answered != l.lifetime
}

// keepEnd keeps an end that counts as the earlier attempt's, as long as the connection of the answer is open.
func (c *lifetime) keepEnd(m *Message) {
	if c.ends == nil {
		c.ends = map[string]*earlierEnd{}
	}
	c.ends[m.id] = &earlierEnd{m.cause, m.report, time.Now()}
}

// tellEarlierEnds tells the ends of calls that were answered on the connection, which ends, and whose ends have just come on those of earlier
// attempts: their dispatcher had closed this one by then, and that is read after them.
func (l *link) tellEarlierEnds() {
	s := l.server
	for _, id := range slices.Sorted(maps.Keys(l.lifetime.ends)) {
		end := l.lifetime.ends[id]
		if s.standing[id] == l.lifetime && time.Since(end.at) <= closesWithin {
			delete(s.standing, id)
			s.pool.core.Released(s.ID, id, noAttempt, end.cause, end.report)
		}
	}
	l.lifetime.ends = nil
}
