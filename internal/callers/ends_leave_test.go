package callers

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// callStands runs the loop, with a call that stands on the caller's only connection. The channel is closed once the loop has ended.
func (s *orderSite) callStands() (left <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.core.Loop().Run()
	}()
	s.do(func() {
		s.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: orderServer, Status: control.Active}, Address: "first"}}})
		s.core.Reached()
	})
	time.Sleep(time.Second)
	s.do(func() { s.first = s.caller.opens() })
	s.do(func() { s.setUp(s.first) })
	time.Sleep(10 * time.Millisecond)
	s.do(func() { s.dispatchers.answers() })
	return ended
}

// endsUnheard has the only connection closed and the call end after that.
func (s *orderSite) endsUnheard() {
	s.do(func() { s.first.close() })
	s.do(func() { s.dispatchers.ends() })
}

// TestEndsThatWaitGoToTheSuccessor guards against the end of a call that waits for a caller at a process that nobody connects to any more.
func TestEndsThatWaitGoToTheSuccessor(t *testing.T) {
	const relayBusyFor = 500 * time.Millisecond
	for name, test := range map[string]struct {
		before, after func(s *orderSite) // the successor begins to serve
		busy          bool               // it takes nothing for a while
	}{
		"it waits as the successor begins": {(*orderSite).endsUnheard, func(*orderSite) {}, false},
		"the successor is busy":            {(*orderSite).endsUnheard, func(*orderSite) {}, true},
		"its connection is reset with it unread": {
			func(s *orderSite) {
				s.do(func() {
					s.caller.still = true
					s.dispatchers.ends()
				})
			},
			func(s *orderSite) { s.do(func() { s.first.reset() }) }, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newOrderSite(t, orderStart{})
				left := s.callStands()
				defer func() {
					s.core.Loop().Quit()
					<-left
				}()
				test.before(s)
				var taken []string
				busy := test.busy
				s.do(func() {
					s.core.Supersede(func(id string, _ call.End) bool {
						if !busy {
							taken = append(taken, id)
						}
						return !busy
					})
				})
				test.after(s)
				time.Sleep(relayBusyFor)
				s.do(func() { busy = false })
				time.Sleep(toldWithin - relayBusyFor)
				s.do(func() {
					if want := []string{orderedID}; !slices.Equal(taken, want) || len(s.front.pending) > 0 {
						t.Errorf("the successor has been told the ends of %v, want %v; %d wait here", taken, want, len(s.front.pending))
					}
				})
			})
		})
	}
}
