package main

import (
	"errors"
	"io"
	"testing"
	"time"

	"cherryrelay/internal/peer"
)

// maxEndDelay is the time within which the end of a call must be told if its dispatcher cannot report it.
const maxEndDelay = 8 * time.Second

// endListener is a caller that is told the ends of calls whose callers have gone.
type endListener struct {
	caller *peer.Caller // nil if it has no connection
}

// expectRelease requires that the next message is the release of a call. The caller connects again when its connection is closed, as it has
// no call.
func (l *endListener) expectRelease(t *testing.T, address, id string, cause int) {
	t.Helper()
	for until := time.Now().Add(maxEndDelay); ; {
		if l.caller == nil {
			c, err := peer.DialCaller("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			l.caller = c
		}
		m, err := l.caller.NextWithin(time.Until(until))
		if errors.Is(err, io.EOF) {
			l.caller = nil
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if m.Type != "release" || m.ID != id || m.CauseOr(0) != cause {
			t.Fatalf("callers got %s %s %d, want release %s %d", m.Type, m.ID, m.CauseOr(0), id, cause)
		}
		return
	}
}
