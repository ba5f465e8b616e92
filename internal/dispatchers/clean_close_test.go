package dispatchers

import (
	"io"
	"testing"
	"time"

	"cherryrelay/internal/conn"
	"cherryrelay/internal/ring"
)

// closingProtocol is the protocol of a dispatcher that responds to the half-close with a closing message on the connection.
type closingProtocol struct {
	Protocol
	conn *fakeConn
}

// Next reports the closing message once this side has half-closed.
func (p closingProtocol) Next(in *ring.Buffer) (*Message, error) {
	if p.conn.poolHalfClosed {
		return nil, io.EOF
	}
	return p.Protocol.Next(in)
}

// useClosingProtocol gives a connection such a protocol.
func useClosingProtocol(poolConn *connection) {
	if fake, ok := poolConn.conn.(*fakeConn); ok {
		poolConn.protocol = closingProtocol{poolConn.protocol, fake}
	}
}

// TestCleanClosesDoNotRequestMoreConnections guards against an endless sequence of connections, each half-closed here so that the next
// one can open, and closed by its dispatcher with a closing message.
func TestCleanClosesDoNotRequestMoreConnections(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{conns: 2, maxConns: 2, neverCloses: true}, func(h *harness) {
		h.runOnLoop(func() {
			dial := h.pool.dial
			h.pool.dial = func(address string, timeout time.Duration, opened func(transportConn) conn.Handler, done func(error)) {
				dial(address, timeout, func(c transportConn) conn.Handler {
					handler := opened(c)
					if counted, ok := handler.(countedConn); ok {
						useClosingProtocol(counted.connection)
					}
					return handler
				}, done)
			}
			for _, poolConn := range h.pool.servers["first"].conns {
				useClosingProtocol(poolConn)
			}
		})
		for range 2 {
			h.runOnLoop(func() { h.pool.Reconnect("first") })
			time.Sleep(3 * checkInterval)
		}
		ended := map[*fakeConn]bool{}
		before := 0
		h.runOnLoop(func() {
			before = len(h.first.allConns)
			h.pool.Reconnect("first")
		})
		for range 10 * time.Second / (dialTime / 2) {
			time.Sleep(dialTime / 2) // before the next one is open
			h.runOnLoop(func() {
				for _, c := range h.first.allConns {
					if ended[c] && !c.closed {
						c.sendReport()
					}
					ended[c] = c.poolHalfClosed // the dispatcher's close takes a moment to arrive
				}
			})
		}
		h.runOnLoop(func() {
			if got, most := len(h.first.allConns)-before, 1; got > most {
				t.Errorf("%d connections after one was requested, want at most %d", got, most)
			}
		})
	})
}
