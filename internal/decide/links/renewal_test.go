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
		"a loss":                                  {func(r *Renewal) { r.RecordLoss(at(0)) }, 0, false, true, true},
		"a loss, a moment later":                  {func(r *Renewal) { r.RecordLoss(at(0)) }, renewalDelay, true, true, true},
		"losses that come together":               {func(r *Renewal) { r.RecordLoss(at(0)); r.RecordLoss(at(renewalDelay / 2)) }, renewalDelay, true, true, true},
		"a connection is wanted, none is lost":    {func(r *Renewal) { r.Request(at(0)) }, renewalDelay, true, true, false},
		"a connection that was dialled after it":  {func(r *Renewal) { r.RecordLoss(at(0)); r.RecordOpened(at(renewalDelay)) }, time.Minute, false, false, false},
		"a connection that was dialled before it": {func(r *Renewal) { r.RecordLoss(at(1)); r.RecordOpened(at(0)) }, renewalDelay + 1, true, true, true},
		"a loss while the next is being dialled": {func(r *Renewal) {
			r.RecordLoss(at(0))
			r.RecordLoss(at(renewalDelay + 1))
			r.RecordOpened(at(renewalDelay))
		},
			time.Second, true, true, true},
		"a dial that failed":                     {func(r *Renewal) { r.RecordLoss(at(0)) }, time.Minute, true, true, true},
		"a dial that failed, and no call stands": {func(r *Renewal) { r.RecordLoss(at(0)); r.Cancel() }, time.Minute, false, false, true},
		"the next loss after that":               {func(r *Renewal) { r.RecordLoss(at(0)); r.Cancel(); r.RecordLoss(at(time.Second)) }, time.Minute, true, true, true},
		"a repetition, too early":                {func(r *Renewal) { r.RecordOpened(at(0)); r.RequestPeriodic(at(renewalInterval - 1)) }, time.Minute, false, false, false},
		"a repetition":                           {func(r *Renewal) { r.RecordOpened(at(0)); r.RequestPeriodic(at(renewalInterval)) }, time.Minute, true, true, false},
		"a repetition, while one is due": {func(r *Renewal) {
			r.RecordOpened(at(0))
			r.Request(at(renewalInterval))
			r.RequestPeriodic(at(renewalInterval + time.Second))
			r.RecordOpened(at(renewalInterval + renewalDelay))
		}, time.Minute, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var r Renewal
			test.happens(&r)
			if due, pending, lost := r.Due(at(test.now)), r.Pending(), r.EndsMissing(); due != test.due || pending != test.pending || lost != test.lost {
				t.Errorf("due %v, pending %v, missing %v; want %v, %v, %v", due, pending, lost, test.due, test.pending, test.lost)
			}
		})
	}
}
