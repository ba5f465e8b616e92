package fleet

import (
	"fmt"
	"sync"
	"testing"
)

// TestFreeLinesAreTakenByThoseThatAsk guards against lines that stay free while callers are refused: where one controller has most of the calls,
// all that ask are served 0.99 at least of what is served without a hold on whoever has its even part.
func TestFreeLinesAreTakenByThoseThatAsk(t *testing.T) {
	const share, seeds = 0.99, 6
	for _, kind := range []struct {
		uneven      float64 // the first controller's share of calls
		load        float64 // times the lines
		controllers int
		unheld      int // served in all without the hold, seeds 1 to 6
	}{
		{0.5, 1.2, 2, 2651}, {0.5, 1.2, 6, 2637}, {0.5, 1.2, 30, 13512}, {0.5, 2, 2, 2690}, {0.5, 2, 6, 2660}, {0.5, 2, 30, 13526},
		{0.8, 1.2, 2, 2698}, {0.8, 1.2, 6, 2631}, {0.8, 1.2, 30, 13017}, {0.8, 2, 2, 2663}, {0.8, 2, 6, 2641}, {0.8, 2, 30, 13483},
		{0.95, 1.2, 2, 2689}, {0.95, 1.2, 6, 2660}, {0.95, 1.2, 30, 13008}, {0.95, 2, 2, 2701}, {0.95, 2, 6, 2646}, {0.95, 2, 30, 12951},
	} {
		t.Run(fmt.Sprintf("%d controllers, %.2f of the calls at one, %.1f times the lines", kind.controllers, kind.uneven, kind.load), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var all sync.WaitGroup
			served := 0
			for seed := uint64(1); seed <= seeds; seed++ {
				all.Go(func() {
					s := scarceLines(seed, kind.controllers, kind.load, true)
					s.Uneven = kind.uneven
					r := play(t, s)
					mu.Lock()
					defer mu.Unlock()
					for _, n := range r.Served {
						served += n
					}
				})
			}
			all.Wait()
			if least := share * float64(kind.unheld); float64(served) < least {
				t.Errorf("served %d, want %.0f", served, least)
			}
		})
	}
}
