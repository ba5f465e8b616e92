package links

import (
	"testing"
	"time"
)

// TestRenewal guards against ends of calls that are lost with a connection and never requested again.
func TestRenewal(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for name, test := range map[string]struct {
		apply                 func(r *Renewal)
		now                   time.Duration
		due, pending, missing bool
	}{
		"no loss":                     {func(*Renewal) {}, time.Minute, false, false, false},
		"loss, before the delay":      {func(r *Renewal) { r.RecordLoss(at(0)) }, 0, false, true, true},
		"loss, after the delay":       {func(r *Renewal) { r.RecordLoss(at(0)) }, renewalDelay, true, true, true},
		"two losses within the delay": {func(r *Renewal) { r.RecordLoss(at(0)); r.RecordLoss(at(renewalDelay / 2)) }, renewalDelay, true, true, true},
		"request without a loss":      {func(r *Renewal) { r.Request(at(0)) }, renewalDelay, true, true, false},
		"opened, dialled after loss":  {func(r *Renewal) { r.RecordLoss(at(0)); r.RecordOpened(at(renewalDelay)) }, time.Minute, false, false, false},
		"opened, dialled before loss": {func(r *Renewal) { r.RecordLoss(at(1)); r.RecordOpened(at(0)) }, renewalDelay + 1, true, true, true},
		"loss during the next dial": {func(r *Renewal) {
			r.RecordLoss(at(0))
			r.RecordLoss(at(renewalDelay + 1))
			r.RecordOpened(at(renewalDelay))
		},
			time.Second, true, true, true},
		"failed dial":                   {func(r *Renewal) { r.RecordLoss(at(0)) }, time.Minute, true, true, true},
		"failed dial without calls":     {func(r *Renewal) { r.RecordLoss(at(0)); r.Cancel() }, time.Minute, false, false, true},
		"loss after cancelled dial":     {func(r *Renewal) { r.RecordLoss(at(0)); r.Cancel(); r.RecordLoss(at(time.Second)) }, time.Minute, true, true, true},
		"periodic, before the interval": {func(r *Renewal) { r.RecordOpened(at(0)); r.RequestPeriodic(at(renewalInterval - 1)) }, time.Minute, false, false, false},
		"periodic, after the interval":  {func(r *Renewal) { r.RecordOpened(at(0)); r.RequestPeriodic(at(renewalInterval)) }, time.Minute, true, true, false},
		"periodic, while one is pending": {func(r *Renewal) {
			r.RecordOpened(at(0))
			r.Request(at(renewalInterval))
			r.RequestPeriodic(at(renewalInterval + time.Second))
			r.RecordOpened(at(renewalInterval + renewalDelay))
		}, time.Minute, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var r Renewal
			test.apply(&r)
			if due, pending, missing := r.Due(at(test.now)), r.Pending(), r.EndsMissing(); due != test.due || pending != test.pending || missing != test.missing {
				t.Errorf("due %v, pending %v, missing %v; want %v, %v, %v", due, pending, missing, test.due, test.pending, test.missing)
			}
		})
	}
}
