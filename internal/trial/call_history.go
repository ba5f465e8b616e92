package trial

import (
	"fmt"
	"strings"
	"time"
)

// historyEntry is an event of a call, at its caller or its dispatcher.
type historyEntry struct {
	at     time.Time
	text   string
	detail string // the dispatcher, the address or the message; may be empty
}

// callHistory is the list of the events of a call, which is reported with a violation.
type callHistory []historyEntry

// maxHistory limits the entries of a history. A longer one keeps its first and its last entries.
const maxHistory = 32

func (h *callHistory) add(at time.Time, text, detail string) {
	if len(*h) == maxHistory {
		*h = append((*h)[:maxHistory/2], (*h)[maxHistory/2+1:]...)
	}
	*h = append(*h, historyEntry{at, text, detail})
}

// String lists the entries with the milliseconds since the first one.
func (h callHistory) String() string {
	var b strings.Builder
	for i, entry := range h {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%d ms %s", entry.at.Sub(h[0].at).Milliseconds(), entry.text)
		if entry.detail != "" {
			b.WriteString(" " + entry.detail)
		}
	}
	return b.String()
}

// AddEvent adds an event to the history of a call. No rule depends on it.
func (cc *CallChecker) AddEvent(id, text, detail string) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.state(id).history.add(time.Now(), text, detail)
}

// History returns the history of a call, for a report.
func (cc *CallChecker) History(id string) string {
	return readState(cc, id, func(c *callState) string { return c.history.String() })
}
