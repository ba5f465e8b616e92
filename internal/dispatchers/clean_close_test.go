package dispatchers

import (
	"io"
	"testing"
	"time"

	"cherryrelay/internal/conn"
	"cherryrelay/internal/ring"
)

// closingProtocol is that of a dispatcher that answers the end of the other side with a close in good order, inside the connection.
type closingProtocol struct {
	Protocol
	on *fakeConn
}

// Next tells the close once this side has ended.
func (w closingProtocol) Next(in *ring.Buffer) (*Message, error) {
	if w.on.poolHalfClosed {
		return nil, io.EOF
	}
	return w.Protocol.Next(in)
}

// useClosingProtocol gives a connection such a wire.
func useClosingProtocol(poolConn *connection) {
	if fake, ok := poolConn.conn.(*fakeConn); ok {
		poolConn.protocol = closingProtocol{poolConn.protocol, fake}
	}
}

// TestCleanClosesDoNotRequestMoreConnections guards against connections that follow one another without end, as each makes room for the next
// one and is closed in good order, inside the connection.
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
			time.Sleep(dialTime / 2) // before the next one is up
			s.runOnLoop(func() {
				for _, c := range s.first.allConns {
					if ended[c] && !c.closed {
						c.sendReport()
					}
					ended[c] = c.poolHalfClosed // and it takes a moment to come back
				}
			})
		}
		s.runOnLoop(func() {
			if got, most := len(s.first.allConns)-before, 1; got > most {
				t.Errorf("%d connections after one was asked for, want %d at most", got, most)
			}
		})
	})
}
