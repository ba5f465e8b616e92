package fleet

import (
	"fmt"
	"sync"
	"testing"
)

// TestFreeLinesAreTakenByThoseThatAsk guards against lines that stay free while callers are refused. If one controller gets most of the calls, all
// controllers together must serve at least 0.99 of the calls that they serve when a controller with its even share of the lines is not held back.
func TestFreeLinesAreTakenByThoseThatAsk(t *testing.T) {
	const minShare, seeds = 0.99, 6
	for _, test := range []struct {
		firstShare        float64 // fraction of calls that go straight to the first controller
		load              float64 // demand as a multiple of the lines
		controllers       int
		servedWithoutHold int // calls served in all without the hold, seeds 1 to 6
	}{
		{0.5, 1.2, 2, 2651}, {0.5, 1.2, 6, 2637}, {0.5, 1.2, 30, 13512}, {0.5, 2, 2, 2690}, {0.5, 2, 6, 2660}, {0.5, 2, 30, 13526},
		{0.8, 1.2, 2, 2698}, {0.8, 1.2, 6, 2631}, {0.8, 1.2, 30, 13017}, {0.8, 2, 2, 2663}, {0.8, 2, 6, 2641}, {0.8, 2, 30, 13483},
		{0.95, 1.2, 2, 2689}, {0.95, 1.2, 6, 2660}, {0.95, 1.2, 30, 13008}, {0.95, 2, 2, 2701}, {0.95, 2, 6, 2646}, {0.95, 2, 30, 12951},
	} {
		t.Run(fmt.Sprintf("%d controllers, %.2f of the calls at one, %.1f times the lines",
			test.controllers, test.firstShare, test.load), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var runs sync.WaitGroup
			served := 0
			for seed := uint64(1); seed <= seeds; seed++ {
				runs.Go(func() {
					s := scarceLines(seed, test.controllers, test.load, true)
					s.FirstControllerShare = test.firstShare
					r := run(t, s)
					mu.Lock()
					defer mu.Unlock()
					for _, n := range r.Served {
						served += n
					}
				})
			}
			runs.Wait()
			if minServed := minShare * float64(test.servedWithoutHold); float64(served) < minServed {
				t.Errorf("served %d calls, want at least %.0f", served, minServed)
			}
		})
	}
}
