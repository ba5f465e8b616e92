package callers

import (
	"testing"

	"cherryrelay/internal/call"
)

// busyCore owes an answer on every connection.
type busyCore struct{ Core }

func (busyCore) PendingOf(call.Caller) int { return 1 }

// TestEvictionAmongBusyConnections: where every connection is owed an answer, none is closed; a newest one stays for its refusal, and without
// a newest one, as descriptors run short, nothing happens.
func TestEvictionAmongBusyConnections(t *testing.T) {
	front := &Front{core: busyCore{}}
	busy, newest := &Conn{front: front}, &Conn{front: front}
	front.conns = []*Conn{busy, newest}
	front.evict(newest)
	if !newest.overflow || busy.overflow {
		t.Errorf("newest stays for its refusal: %v, busy: %v", newest.overflow, busy.overflow)
	}
	front.Squeeze()
	if busy.closed || newest.closed || busy.overflow {
		t.Error("a connection that is owed an answer was touched")
	}
}
