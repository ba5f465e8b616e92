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
	on *fakeConn
}

// Next reports the closing message once this side has half-closed.
func (w closingProtocol) Next(in *ring.Buffer) (*Message, error) {
	if w.on.poolHalfClosed {
		return nil, io.EOF
	}
	return w.Protocol.Next(in)
}

// useClosingProtocol gives a connection such a protocol.
func useClosingProtocol(poolConn *connection) {
	if fake, ok := poolConn.conn.(*fakeConn); ok {
		poolConn.protocol = closingProtocol{poolConn.protocol, fake}
	}
}

// TestCleanClosesDoNotRequestMoreConnections guards against an endless sequence of connections, each closed to make room for the next one
// and closed by its dispatcher with a closing message.
func TestCleanClosesDoNotRequestMoreConnections(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{conns: 2, maxConns: 2, neverCloses: true}, func(s *harness) {
		s.runOnLoop(func() {
			dial := s.pool.dial
			s.pool.dial = func(address string, timeout time.Duration, opened func(transportConn) conn.Handler, done func(error)) {
				dial(address, timeout, func(c transportConn) conn.Handler {
					handler := opened(c)
					if counted, ok := handler.(countedConn); ok {
						useClosingProtocol(counted.connection)
					}
					return handler
				}, done)
			}
			for _, poolConn := range s.pool.servers["first"].conns {
				useClosingProtocol(poolConn)
			}
		})
		for range 2 {
			s.runOnLoop(func() { s.pool.Reconnect("first") })
			time.Sleep(3 * checkInterval)
		}
		ended := map[*fakeConn]bool{}
		before := 0
		s.runOnLoop(func() {
			before = len(s.first.allConns)
			s.pool.Reconnect("first")
		})
		for range 10 * time.Second / (dialTime / 2) {
			time.Sleep(dialTime / 2) // before the next one is open
			s.runOnLoop(func() {
				for _, c := range s.first.allConns {
					if ended[c] && !c.closed {
						c.sendReport()
					}
					ended[c] = c.poolHalfClosed // the dispatcher's close takes a moment to arrive
				}
			})
		}
		s.runOnLoop(func() {
			if got, most := len(s.first.allConns)-before, 1; got > most {
				t.Errorf("%d connections after one was requested, want at most %d", got, most)
			}
		})
	})
}
