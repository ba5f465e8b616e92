package fleet

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// scarceLines has callers ask for more lines than there are.
func scarceLines(seed uint64, controllers int, load float64, reports bool) Scenario {
	lines := max(6, controllers)
	s := scenario(seed, controllers)
	s.Dispatchers, s.Lines, s.CallTime = 4, lines, time.Second
	s.Rate = 5 * float64(lines) / s.CallTime.Seconds()
	s.Load = load / 5
	s.Lasting, s.ServedFrom = 25*time.Second, 5*time.Second
	s.NoReports = !reports
	s.ReportEvery, s.ReportDelay = 300*time.Millisecond, 20*time.Millisecond
	return s
}

// jain is Jain's index of fairness: 1 if all have the same, 1/n if one has all.
func jain(served []int) float64 {
	sum, squares := 0.0, 0.0
	for _, n := range served {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	return sum * sum / (float64(len(served)) * squares)
}

// TestNoControllerIsLeftWithoutLines guards against controllers that get few lines while others with the same demand get many.
func TestNoControllerIsLeftWithoutLines(t *testing.T) { shareLines(t, 6) }

// TestSoakNoControllerIsLeftWithoutLines is the same over a hundred seeds of each kind.
func TestSoakNoControllerIsLeftWithoutLines(t *testing.T) {
	if os.Getenv("CHERRYRELAY_SOAK") == "" {
		t.Skip("a long run: make soak")
	}
	shareLines(t, 100)
}

func shareLines(t *testing.T, seeds uint64) {
	t.Helper()
	const least, index = 0.1, 0.8
	for _, reports := range []bool{true, false} {
		for _, load := range []float64{1.2, 1.5, 3} {
			for _, controllers := range []int{2, 6, 30} {
				name := fmt.Sprintf("%d controllers, %.1f times the lines, reports %v", controllers, load, reports)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					var mu sync.Mutex
					var indices, worst []float64
					total := 0
					var all sync.WaitGroup
					next := make(chan uint64)
					for range 4 {
						all.Go(func() {
							for seed := range next {
								r := play(t, scarceLines(seed, controllers, load, reports))
								sum := 0
								for _, n := range r.Served {
									sum += n
								}
								mu.Lock()
								total += sum
								indices = append(indices, jain(r.Served))
								worst = append(worst, float64(slices.Min(r.Served))*float64(controllers)/float64(sum))
								if len(r.Faults) > 0 {
									t.Errorf("seed %d: %s", seed, r.Faults[0])
								}
								mu.Unlock()
							}
						})
					}
					for seed := uint64(1); seed <= seeds; seed++ {
						next <- seed
					}
					close(next)
					all.Wait()
					slices.Sort(indices)
					slices.Sort(worst)
					t.Logf("%s: served %d in all; Jain's index %.3f at the median, %.3f at the least; least of the mean %.2f at the median, %.2f at the least",
						name, total, indices[len(indices)/2], indices[0], worst[len(worst)/2], worst[0])
					if indices[len(indices)/2] < index {
						t.Errorf("Jain's index is %.3f at the median, want %.1f", indices[len(indices)/2], index)
					}
					if worst[0] < least {
						t.Errorf("the least served controller has %.2f of the mean, want %.1f", worst[0], least)
					}
				})
			}
		}
	}
}
