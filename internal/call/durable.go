package call

import (
	"fmt"
	"maps"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/ledger"
	"cherryrelay/internal/telemetry"
)

// Ledger keeps what happens to calls; *ledger.Ledger is one.
type Ledger interface {
	Append(record []byte) error
	HasPending() bool
	Commit() error
	BeginEpoch(state [][]byte) error
	EpochResult() (done bool, err error)
	Enabled() bool
	Metrics() ledger.Metrics
}

const (
	// beginLeast and beginMost bound the pause before a ledger that failed is begun with anew, which doubles.
	beginLeast, beginMost = time.Second, 30 * time.Second
	// beginLook is the pace at which a ledger that begins is asked how it came out.
	beginLook = 5 * time.Millisecond
)

// durable is the core's use of a ledger.
type durable struct {
	core     *Core
	ledger   Ledger
	refuse   bool // refuse new calls while nothing is kept
	pause    time.Duration
	spoilt   bool   // something happened meanwhile that its state lacks
	why      string // the last failure
	watching bool
}

// UseLedger has all that happens to calls kept, once BeginLedger has had the state that Recover left written.
func (c *Core) UseLedger(l Ledger, refuse bool) {
	c.durable = &durable{core: c, ledger: l, refuse: refuse, pause: beginLeast}
	c.loop.OnCommit(c.durable.commit)
	c.AddMetrics(c.durable.metrics)
}

// BeginLedger has the state of now written, as the first that is kept; until it is, a restart finds what was there before. With
// a time, it waits so long, as a start can; without, calls go on beside it.
func (c *Core) BeginLedger(wait time.Duration) {
	if wait == 0 {
		c.durable.begin()
		return
	}
	if err := c.durable.again(wait); err != nil {
		c.durable.failed(err)
	}
}

// refuses reports whether new calls are refused because they could not be kept.
func (d *durable) refuses() bool { return d.refuse && !d.ledger.Enabled() }

// note has an event of a call kept with this turn.
func (c *Core) note(k *record, kind recovery.Kind, fill func(*recovery.Event)) {
	if c.durable == nil {
		return
	}
	e := recovery.Event{Kind: kind, ID: k.ID, AtUs: c.now().Microseconds()}
	switch kind {
	case recovery.KindAccepted:
		e.Class, e.Called, e.FirstCell, e.Redial, e.Description, e.Token = k.Class, k.Called, k.FirstCell, k.Redial, k.Description, k.Token
		e.DeadlineUs = (c.now() + time.Until(k.Deadline)).Microseconds()
	case recovery.KindAttemptSent, recovery.KindAttemptFailed, recovery.KindEstablished:
		at, _ := c.place(k.server)
		e.Attempt, e.Server, e.Address, e.ServerStartedUs = k.attempts-1, string(k.server), at.Address, at.StartedAt.Microseconds()
	}
	if fill != nil {
		fill(&e)
	}
	c.durable.append(e)
}

// noteBack tells that an attempt came to nothing.
func (c *Core) noteBack(k *record, o control.Outcome) {
	c.selection.ended(k, o)
	c.note(k, recovery.KindAttemptFailed, func(e *recovery.Event) {
		switch o {
		case control.TimedOut, control.Reset, control.Cancelled:
			e.NotBeforeUs = (c.now() + c.decisions.ReleaseGuard).Microseconds()
		}
	})
}

// noteOver tells that a call that stood has ended.
func (c *Core) noteOver(k *record, end End) {
	c.note(k, recovery.KindTerminated, func(e *recovery.Event) { e.Cause, e.Reason = end.Cause, string(end.Reason) })
}

func (d *durable) append(e recovery.Event) {
	d.spoilt = true
	if !d.ledger.Enabled() {
		return
	}
	text, err := e.Encode()
	if err == nil {
		err = d.ledger.Append(text)
	}
	if err != nil {
		d.core.log.Error("an event of a call is not kept", "id", e.ID, "err", err)
	}
}

// commit has all that was noted written before anything that was decided with it leaves.
func (d *durable) commit() {
	if !d.ledger.Enabled() {
		d.core.mayGoOn(ledger.ErrDisabled)
	}
	if !d.ledger.HasPending() {
		return
	}
	if err := d.ledger.Commit(); err != nil {
		d.failed(err)
		return
	}
	d.core.passed()
}

// failed has calls served on without a ledger, and tries to begin anew.
func (d *durable) failed(err error) {
	d.why = err.Error()
	d.core.mayGoOn(err)
	d.watch()
	d.core.log.Error("THE STATE OF CALLS IS NOT KEPT: a restart would lose them", "err", err, "again_in", d.pause)
	d.core.loop.After(d.pause, d.begin)
	d.pause = min(2*d.pause, beginMost)
}

// watch holds a process whose ledger is off against what it may do without.
func (d *durable) watch() {
	if d.core.passing == nil || d.watching {
		return
	}
	d.watching = true
	var look func()
	look = func() {
		if d.ledger.Enabled() {
			d.watching = false
			return
		}
		d.core.mayGoOn(ledger.ErrDisabled)
		d.core.loop.After(lookAgain, look)
	}
	d.core.loop.After(lookAgain, look)
}

// begin writes the state of now, and waits beside the calls for how that comes out.
func (d *durable) begin() {
	state, err := d.core.state()
	if err == nil {
		err = d.ledger.BeginEpoch(state)
	}
	if err != nil {
		d.failed(err)
		return
	}
	d.spoilt = false
	d.core.loop.After(beginLook, d.look)
}

func (d *durable) look() {
	done, err := d.ledger.EpochResult()
	switch {
	case !done:
		d.core.loop.After(beginLook, d.look)
	case err != nil:
		d.failed(err)
	default:
		// What happened meanwhile is not in the state that was written: it is told again, call by call.
		if d.spoilt {
			if err := d.again(ledger.DefaultCommitTimeout); err != nil {
				d.failed(err)
				return
			}
		}
		d.pause, d.why = beginLeast, ""
		d.core.passed()
		d.core.log.Warn("the state of calls is kept again")
	}
}

// again begins once more, if calls have moved on while a state was written. The disk takes it now, so it is soon done.
func (d *durable) again(patience time.Duration) error {
	state, err := d.core.state()
	if err != nil {
		return err
	}
	if err := d.ledger.BeginEpoch(state); err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	until := time.Now().Add(patience)
	for {
		done, err := d.ledger.EpochResult()
		switch {
		case done:
			return err //nolint:wrapcheck // it says what it is
		case time.Now().After(until):
			return ledger.ErrTimeout
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// state is all calls, in the least events that make them.
func (c *Core) state() ([][]byte, error) {
	var all [][]byte
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if k := c.calls[id]; k.state == over && k.end == (End{}) {
			continue // given up: nobody will ask
		}
		for _, e := range c.known(c.calls[id]).Events() {
			text, err := e.Encode()
			if err != nil {
				return nil, fmt.Errorf("call %s: %w", id, err)
			}
			all = append(all, text)
		}
	}
	return all, nil
}

// known is a call as the decisions on recovery see it.
func (c *Core) known(k *record) *recovery.Call {
	now := c.now()
	r := &recovery.Call{Event: recovery.Event{ID: k.ID, AtUs: now.Microseconds(), Token: k.Token}, LastEventAt: now, Attempts: k.attempts, AttemptInProgress: k.out, Server: string(k.server)}
	if place, _ := c.place(k.server); place.Address != "" {
		r.Address, r.ServerStarted = place.Address, place.StartedAt
	} else if k.place != nil {
		r.Address, r.ServerStarted = k.place.Address, k.place.ServerStarted
	}
	r.Class, r.Called, r.FirstCell, r.Redial, r.Description = k.Class, k.Called, k.FirstCell, k.Redial, k.Description
	r.DeadlineUs = max((now + time.Until(k.Deadline)).Microseconds(), 1)
	switch k.state {
	case open:
		if r.NotBefore = k.notBefore; k.attempts > 0 {
			r.NotBefore = max(r.NotBefore, now+c.decisions.ReleaseGuard)
		}
	case stands:
		r.State, r.Answer = recovery.StateEstablished, k.answer
		r.Attempts = max(r.Attempts, 1)
		r.LastEventAt = max(0, now-time.Since(k.sentAt))
	case over:
		r.State = recovery.StateRejected
		if k.end.Reason == ReasonEnded || k.end.Reason == ReasonCut {
			r.State = recovery.StateTerminated
		}
		r.Cause, r.Reason, r.HoldOff = k.end.Cause, string(k.end.Reason), k.end.HoldOff
		r.LastEventAt = max(0, now-time.Since(k.overAt))
	}
	return r
}

// metrics are the ledger's figures.
func (d *durable) metrics() []*dto.MetricFamily {
	f := d.ledger.Metrics()
	on := 0.0
	if f.Enabled {
		on = 1
	}
	mean := 0.0
	if f.Commits > 0 {
		mean = f.TotalCommitWait.Seconds() / float64(f.Commits)
	}
	return []*dto.MetricFamily{
		telemetry.Gauge("ledger_on", "1 while the state of calls is kept.", on),
		telemetry.Counter("ledger_records_total", "Events of calls that were kept.", f.Records),
		telemetry.Counter("ledger_bytes_total", "Bytes written for them.", f.Bytes),
		telemetry.Counter("ledger_commits_total", "Turns whose events were written together.", f.Commits),
		telemetry.Counter("ledger_failures_total", "Times that the ledger was given up, to be begun with anew.", f.Failures),
		telemetry.Counter("ledger_snapshots_total", "Snapshots written.", f.Snapshots),
		telemetry.Gauge("ledger_files_bytes", "Bytes of its files.", float64(f.FileBytes)),
		telemetry.Gauge("ledger_commit_seconds_mean", "Mean wait of a turn for its write.", mean),
		telemetry.Gauge("ledger_commit_seconds_worst", "Worst wait of a turn for its write.", f.LongestCommitWait.Seconds()),
	}
}
