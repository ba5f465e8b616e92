package dispatchers

import "testing"

// TestAnEndOnAConnectionThatIsGivenUpLate guards against an end that is told more than 8 s late, as the connection that it was lost on is found out
// late, and the next one is opened later still.
func TestAnEndOnAConnectionThatIsGivenUpLate(t *testing.T) {
	t.Parallel()
	const spokenEvery = silence - checkEvery // no connection is opened for silence
	var dead *standInConnection
	order := []orderEvent{event("the call ends, and its connection is dead", spokenEvery, func(s *orderSite) {
		dead = s.first.established[orderedID]
		dead.mute = true
		s.end(s.first, orderedID)
	})}
	for range 3 {
		order = append(order, event("another connection speaks", spokenEvery, func(s *orderSite) {
			for _, c := range s.first.connections {
				if c != dead {
					c.reports()
					return
				}
			}
		}))
	}
	orderStart{called: true, links: 2}.playWithoutFault(t, order)
}
