package fleet

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// scarceLines returns a scenario in which callers demand load times the existing lines.
func scarceLines(seed uint64, controllers int, load float64, reports bool) Scenario {
	lines := max(6, controllers)
	s := testScenario(seed, controllers)
	s.Dispatchers, s.Lines, s.CallTime = 4, lines, time.Second
	s.Rate = 5 * float64(lines) / s.CallTime.Seconds()
	s.Load = load / 5
	s.Duration, s.ServedFrom = 25*time.Second, 5*time.Second
	s.NoReports = !reports
	s.ReportEvery, s.ReportDelay = 300*time.Millisecond, 20*time.Millisecond
	return s
}

// jainIndex returns Jain's fairness index: 1 if all have the same share, 1/n if one has all.
func jainIndex(served []int) float64 {
	sum, squares := 0.0, 0.0
	for _, n := range served {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	return sum * sum / (float64(len(served)) * squares)
}

// TestNoControllerIsLeftWithoutLines guards against controllers that get few lines while others with the same demand get many.
func TestNoControllerIsLeftWithoutLines(t *testing.T) { shareLines(t, 6) }

// TestSoakNoControllerIsLeftWithoutLines runs the same check with 100 seeds per combination.
func TestSoakNoControllerIsLeftWithoutLines(t *testing.T) {
	if os.Getenv("CHERRYRELAY_SOAK") == "" {
		t.Skip("long test: run make soak")
	}
	shareLines(t, 100)
}

// shareLines checks the distribution of served calls over the controllers, for several loads and numbers of controllers.
func shareLines(t *testing.T, seeds uint64) {
	t.Helper()
	const minShare, minIndex = 0.1, 0.8
	for _, reports := range []bool{true, false} {
		for _, load := range []float64{1.2, 1.5, 3} {
			for _, controllers := range []int{2, 6, 30} {
				name := fmt.Sprintf("%d controllers, %.1f times the lines, reports %v", controllers, load, reports)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					var mu sync.Mutex
					var indices, worst []float64
					total := 0
					var workers sync.WaitGroup
					next := make(chan uint64)
					for range 4 {
						workers.Go(func() {
							for seed := range next {
								r := run(t, scarceLines(seed, controllers, load, reports))
								sum := 0
								for _, n := range r.Served {
									sum += n
								}
								mu.Lock()
								total += sum
								indices = append(indices, jainIndex(r.Served))
								worst = append(worst, float64(slices.Min(r.Served))*float64(controllers)/float64(sum))
								if len(r.Violations) > 0 {
									t.Errorf("seed %d: %s", seed, r.Violations[0])
								}
								mu.Unlock()
							}
						})
					}
					for seed := uint64(1); seed <= seeds; seed++ {
						next <- seed
					}
					close(next)
					workers.Wait()
					slices.Sort(indices)
					slices.Sort(worst)
					t.Logf("%s: served %d in all; Jain's index: median %.3f, minimum %.3f; least served controller relative to the mean: median %.2f, minimum %.2f",
						name, total, indices[len(indices)/2], indices[0], worst[len(worst)/2], worst[0])
					if indices[len(indices)/2] < minIndex {
						t.Errorf("median of Jain's index is %.3f, want at least %.1f", indices[len(indices)/2], minIndex)
					}
					if worst[0] < minShare {
						t.Errorf("the least served controller has %.2f of the mean, want at least %.1f", worst[0], minShare)
					}
				})
			}
		}
	}
}
