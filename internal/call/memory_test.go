package call

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
)

// collectSizes adds up the sizes of all maps, slices and rings that can be reached from v without passing through an
// interface. What callers, dispatchers and logs hold is not counted.
func collectSizes(v reflect.Value, path string, seen map[uintptr]bool, sizes map[string]int) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] || v.Type() == reflect.TypeFor[*time.Location]() {
			return
		}
		seen[v.Pointer()] = true
		collectSizes(v.Elem(), path, seen, sizes)
	case reflect.Struct:
		for i := range v.NumField() {
			collectSizes(v.Field(i), path+"."+v.Type().Field(i).Name, seen, sizes)
		}
	case reflect.Map:
		sizes[path] += v.Len()
		for entries := v.MapRange(); entries.Next(); {
			collectSizes(entries.Value(), path+"[]", seen, sizes)
		}
	case reflect.Slice:
		sizes[path] += v.Cap()
		for i := range v.Len() {
			collectSizes(v.Index(i), path+"[]", seen, sizes)
		}
	}
}

// singleCaller is a caller with a single call.
type singleCaller struct{ *fixture }

// TestMemoryDoesNotGrowWithPastCalls runs thousands of calls, with callers and dispatchers that come and go under new
// names, and checks that every table stays at the size that it had after the first few hundred calls. Time is
// simulated: half an hour passes at once.
func TestMemoryDoesNotGrowWithPastCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		loop := s.core.Loop()
		rng := rand.New(rand.NewPCG(1, 1))
		s.onSetUp = func(server control.ServerID, a SetUp) {
			after := loop.After
			switch rng.IntN(6) {
			case 0: // no answer
			case 1:
				after(5*time.Millisecond, func() { s.endAttempt(server, a, control.Full) })
			case 2:
				after(5*time.Millisecond, func() { s.endAttempt(server, a, control.Reset) })
			default:
				after(5*time.Millisecond, func() { s.answerAttempt(server, a) })
				after(3*time.Second, func() { s.core.Released(server, a.ID, a.Attempt, CauseNormal, []float64{7}) })
			}
		}
		done := make(chan struct{})
		go func() { loop.Run(); close(done) }()
		onLoop := func(f func()) {
			ran := make(chan struct{})
			loop.Post(func() { f(); close(ran) })
			<-ran
		}
		number := 0
		runCalls := func(calls int) map[string]int {
			for range calls {
				onLoop(func() {
					if number%20 == 0 { // replace a dispatcher by one with another name
						next := number / 20
						s.updateList(control.Active, control.ServerID(fmt.Sprint("d", next)))
						if next >= 3 {
							s.updateList(control.Removed, control.ServerID(fmt.Sprint("d", next-3)))
							s.core.DispatcherFailed(control.ServerID(fmt.Sprint("d", next-3)))
						}
					}
					id := fmt.Sprintf("%016x", number)
					if err := s.core.Offer(Request{ID: id, Class: "c", Called: "n" + id, FirstCell: 0, Description: "d",
						Deadline: time.Now().Add(3 * time.Second), Caller: &singleCaller{s}}); err != nil {
						t.Errorf("%s: %v", id, err)
					}
					if number%7 == 0 {
						s.core.Released("unlisted", fmt.Sprintf("%016x", 1<<40+number), -1, CauseNormal, nil)
					}
					number++
				})
				time.Sleep(60 * time.Millisecond)
			}
			time.Sleep(2 * retentionPeriod)
			sizes := map[string]int{}
			onLoop(func() { // terminated calls are dropped when the next call ends
				s.core.recordTerminated("0123456789abcdef")
				collectSizes(reflect.ValueOf(s.core), "core", map[uintptr]bool{}, sizes)
			})
			return sizes
		}
		first := runCalls(600)
		last := runCalls(20000)
		for path, n := range last {
			if n > first[path]+32 && n > 2*first[path] {
				t.Errorf("%s: %d after %d calls, %d after 600", path, n, number, first[path])
			}
		}
		onLoop(loop.Quit)
		<-done
	})
}
