package links

import (
	"testing"
	"time"
)

// TestRenewal guards against ends of calls that go down with a connection and are never asked for again.
func TestRenewal(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for name, test := range map[string]struct {
		happens            func(r *Renewal)
		now                time.Duration
		due, pending, lost bool
	}{
		"nothing has been lost":                   {func(*Renewal) {}, time.Minute, false, false, false},
		"a loss":                                  {func(r *Renewal) { r.Lost(at(0)) }, 0, false, true, true},
		"a loss, a moment later":                  {func(r *Renewal) { r.Lost(at(0)) }, renewAfter, true, true, true},
		"losses that come together":               {func(r *Renewal) { r.Lost(at(0)); r.Lost(at(renewAfter / 2)) }, renewAfter, true, true, true},
		"a connection is wanted, none is lost":    {func(r *Renewal) { r.Want(at(0)) }, renewAfter, true, true, false},
		"a connection that was dialled after it":  {func(r *Renewal) { r.Lost(at(0)); r.Opened(at(renewAfter)) }, time.Minute, false, false, false},
		"a connection that was dialled before it": {func(r *Renewal) { r.Lost(at(1)); r.Opened(at(0)) }, renewAfter + 1, true, true, true},
		"a loss while the next is being dialled": {func(r *Renewal) { r.Lost(at(0)); r.Lost(at(renewAfter + 1)); r.Opened(at(renewAfter)) },
			time.Second, true, true, true},
		"a dial that failed":                     {func(r *Renewal) { r.Lost(at(0)) }, time.Minute, true, true, true},
		"a dial that failed, and no call stands": {func(r *Renewal) { r.Lost(at(0)); r.Cancel() }, time.Minute, false, false, true},
		"the next loss after that":               {func(r *Renewal) { r.Lost(at(0)); r.Cancel(); r.Lost(at(time.Second)) }, time.Minute, true, true, true},
		"a repetition, too early":                {func(r *Renewal) { r.Opened(at(0)); r.Repeat(at(repeatEvery - 1)) }, time.Minute, false, false, false},
		"a repetition":                           {func(r *Renewal) { r.Opened(at(0)); r.Repeat(at(repeatEvery)) }, time.Minute, true, true, false},
		"a repetition, while one is due": {func(r *Renewal) {
			r.Opened(at(0))
			r.Want(at(repeatEvery))
			r.Repeat(at(repeatEvery + time.Second))
			r.Opened(at(repeatEvery + renewAfter))
		}, time.Minute, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var r Renewal
			test.happens(&r)
			if due, pending, lost := r.Due(at(test.now)), r.Pending(), r.Missing(); due != test.due || pending != test.pending || lost != test.lost {
				t.Errorf("due %v, pending %v, missing %v; want %v, %v, %v", due, pending, lost, test.due, test.pending, test.lost)
			}
		})
	}
}
