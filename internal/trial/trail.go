package trial

import (
	"fmt"
	"strings"
	"time"
)

// stage is one thing that happened to a call, at either end.
type stage struct {
	at    time.Time
	what  string
	where string // the dispatcher, the address or what was said; empty for none
}

// trail is the history of a call. A fault is reported with it.
type trail []stage

// keepStages bounds a trail: of a longer one the first stages and the last are kept.
const keepStages = 32

func (t *trail) add(at time.Time, what, where string) {
	if len(*t) == keepStages {
		*t = append((*t)[:keepStages/2], (*t)[keepStages/2+1:]...)
	}
	*t = append(*t, stage{at, what, where})
}

// String lists the stages with the milliseconds since the first one.
func (t trail) String() string {
	var b strings.Builder
	for i, s := range t {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%d ms %s", s.at.Sub(t[0].at).Milliseconds(), s.what)
		if s.where != "" {
			b.WriteString(" " + s.where)
		}
	}
	return b.String()
}

// Note adds what a caller has done to the call's trail: it is reported with a fault, and decides nothing.
func (j *Judge) Note(id, what, where string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.call(id).trail.add(time.Now(), what, where)
}

// Trail is what has happened to a call so far, for a report.
func (j *Judge) Trail(id string) string {
	return look(j, id, func(c *judged) string { return c.trail.String() })
}
