package dispatchers

import (
	"io"
	"testing"
	"time"

	"cherryrelay/internal/conn"
	"cherryrelay/internal/ring"
)

// closingWire is that of a dispatcher that answers the end of the other side with a close in good order, inside the connection.
type closingWire struct {
	Protocol
	on *standInConnection
}

// Next tells the close once this side has ended.
func (w closingWire) Next(in *ring.Buffer) (*Message, error) {
	if w.on.finished {
		return nil, io.EOF
	}
	return w.Protocol.Next(in)
}

// closesInOrder gives a connection such a wire.
func closesInOrder(l *link) {
	if on, ok := l.conn.(*standInConnection); ok {
		l.wire = closingWire{l.wire, on}
	}
}

// TestConnectionsClosedInGoodOrderAskForNoOthers guards against connections that follow one another without end, as each makes room for the next
// one and is closed in good order, inside the connection.
func TestConnectionsClosedInGoodOrderAskForNoOthers(t *testing.T) {
	t.Parallel()
	withSite(t, orderStart{links: 2, most: 2, keeps: true}, func(s *orderSite) {
		s.do(func() {
			dial := s.pool.dial
			s.pool.dial = func(address string, timeout time.Duration, opened func(connection) conn.Handler, done func(error)) {
				dial(address, timeout, func(c connection) conn.Handler {
					handler := opened(c)
					if l, ok := handler.(socket); ok {
						closesInOrder(l.link)
					}
					return handler
				}, done)
			}
			for _, l := range s.pool.servers["first"].links {
				closesInOrder(l)
			}
		})
		for range 2 {
			s.do(func() { s.pool.Reconnect("first") })
			time.Sleep(3 * checkEvery)
		}
		ended := map[*standInConnection]bool{}
		before := 0
		s.do(func() {
			before = len(s.first.all)
			s.pool.Reconnect("first")
		})
		for range 10 * time.Second / (dialTime / 2) {
			time.Sleep(dialTime / 2) // before the next one is up
			s.do(func() {
				for _, c := range s.first.all {
					if ended[c] && !c.closed {
						c.reports()
					}
					ended[c] = c.finished // and it takes a moment to come back
				}
			})
		}
		s.do(func() {
			if got, most := len(s.first.all)-before, 1; got > most {
				t.Errorf("%d connections after one was asked for, want %d at most", got, most)
			}
		})
	})
}
