package control

import (
	"fmt"
	"testing"
	"time"
)

// TestUnservedCallsAreLimited guards against memory that grows with callers that give up at once, each with a call to another number.
func TestUnservedCallsAreLimited(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, newList(Draining, "a"))
	for i := range 3 * maxUnservedCalls {
		offer := newOffer(CallID(fmt.Sprint(i)), 0, 0)
		offer.Called = fmt.Sprint("tel-", i)
		n.step(time.Microsecond, offer, CallerLeft{ID: offer.ID})
	}
	if len(n.c.unservedCalls) > maxUnservedCalls || len(n.c.firstTries) > maxUnservedCalls {
		t.Errorf("%d calls and %d first tries are kept, want at most %d", len(n.c.unservedCalls), len(n.c.firstTries), maxUnservedCalls)
	}
	if _, kept := n.c.firstTries[callerKey{fmt.Sprint("tel-", 3*maxUnservedCalls-1), n.c.settings.Classes[0].Name, 0}]; !kept {
		t.Error("the first try of the latest call is not kept")
	}
}
