package callers

import (
	"testing"

	"cherryrelay/internal/call"
)

// busyCore has a pending call on every connection.
type busyCore struct{ Core }

func (busyCore) PendingOf(call.Caller) int { return 1 }

// TestEvictionAmongBusyConnections checks that no connection with a pending call is closed. A new connection stays until its
// set-ups are refused; if there is none and descriptors are scarce, nothing happens.
func TestEvictionAmongBusyConnections(t *testing.T) {
	front := &Front{core: busyCore{}}
	busy, newest := &Conn{front: front}, &Conn{front: front}
	front.conns = []*Conn{busy, newest}
	front.evict(newest)
	if !newest.overflow || busy.overflow {
		t.Errorf("overflow of the newest connection: %v, of the busy one: %v", newest.overflow, busy.overflow)
	}
	front.EvictOne()
	if busy.closed || newest.closed || busy.overflow {
		t.Error("a connection with a pending call was closed or marked")
	}
}
