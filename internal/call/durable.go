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
	// minRetryDelay and maxRetryDelay bound the pause before a ledger that failed is begun with anew, which doubles.
	minRetryDelay, maxRetryDelay = time.Second, 30 * time.Second
	// epochPollInterval is the pace at which a ledger that begins is asked how it came out.
	epochPollInterval = 5 * time.Millisecond
)

// ledgerWriter is the core's use of a ledger.
type ledgerWriter struct {
	core               *Core
	ledger             Ledger
	refuseWhenDisabled bool // refuse new calls while nothing is kept
	retryDelay         time.Duration
	snapshotStale      bool   // something happened meanwhile that its state lacks
	lastError          string // the last failure
	checksLease        bool
}

// UseLedger has all that happens to calls kept, once BeginLedger has had the state that Recover left written.
func (c *Core) UseLedger(l Ledger, refuse bool) {
	c.ledgerWriter = &ledgerWriter{core: c, ledger: l, refuseWhenDisabled: refuse, retryDelay: minRetryDelay}
	c.loop.OnCommit(c.ledgerWriter.commit)
	c.AddMetrics(c.ledgerWriter.metrics)
}

// BeginLedger has the state of now written, as the first that is kept; until it is, a restart finds what was there before. With
// a time, it waits so long, as a start can; without, calls go on beside it.
func (c *Core) BeginLedger(wait time.Duration) {
	if wait == 0 {
		c.ledgerWriter.beginEpoch()
		return
	}
	if err := c.ledgerWriter.beginEpochAndWait(wait); err != nil {
		c.ledgerWriter.handleFailure(err)
	}
}

// refusesCalls reports whether new calls are refused because they could not be kept.
func (d *ledgerWriter) refusesCalls() bool { return d.refuseWhenDisabled && !d.ledger.Enabled() }

// persistEvent has an event of a call kept with this turn.
func (c *Core) persistEvent(k *record, kind recovery.Kind, fill func(*recovery.Event)) {
	if c.ledgerWriter == nil {
		return
	}
	e := recovery.Event{Kind: kind, ID: k.ID, AtUs: c.now().Microseconds()}
	switch kind {
	case recovery.KindAccepted:
		e.Class, e.Called, e.FirstCell, e.Redial, e.Description, e.Token = k.Class, k.Called, k.FirstCell, k.Redial, k.Description, k.Token
		e.DeadlineUs = (c.now() + time.Until(k.Deadline)).Microseconds()
	case recovery.KindAttemptSent, recovery.KindAttemptFailed, recovery.KindEstablished:
		at, _ := c.listedServer(k.server)
		e.Attempt, e.Server, e.Address, e.ServerStartedUs = k.attempts-1, string(k.server), at.Address, at.StartedAt.Microseconds()
	}
	if fill != nil {
		fill(&e)
	}
	c.ledgerWriter.appendEvent(e)
}

// persistAttemptFailed tells that an attempt came to nothing.
func (c *Core) persistAttemptFailed(k *record, o control.Outcome) {
	c.selection.attemptFailed(k, o)
	c.persistEvent(k, recovery.KindAttemptFailed, func(e *recovery.Event) {
		switch o {
		case control.TimedOut, control.Reset, control.Cancelled:
			e.NotBeforeUs = (c.now() + c.decisions.ReleaseGuard).Microseconds()
		}
	})
}

// persistTerminated tells that a call that stood has ended.
func (c *Core) persistTerminated(k *record, end End) {
	c.persistEvent(k, recovery.KindTerminated, func(e *recovery.Event) { e.Cause, e.Reason = end.Cause, string(end.Reason) })
}

func (d *ledgerWriter) appendEvent(e recovery.Event) {
	d.snapshotStale = true
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
func (d *ledgerWriter) commit() {
	if !d.ledger.Enabled() {
		d.core.checkOwnership(ledger.ErrDisabled)
	}
	if !d.ledger.HasPending() {
		return
	}
	if err := d.ledger.Commit(); err != nil {
		d.handleFailure(err)
		return
	}
	d.core.reportPersisted()
}

// handleFailure has calls served on without a ledger, and tries to begin anew.
func (d *ledgerWriter) handleFailure(err error) {
	d.lastError = err.Error()
	d.core.checkOwnership(err)
	d.checkLeasePeriodically()
	d.core.log.Error("THE STATE OF CALLS IS NOT KEPT: a restart would lose them", "err", err, "again_in", d.retryDelay)
	d.core.loop.After(d.retryDelay, d.beginEpoch)
	d.retryDelay = min(2*d.retryDelay, maxRetryDelay)
}

// checkLeasePeriodically holds a process whose ledger is off against what it may do without.
func (d *ledgerWriter) checkLeasePeriodically() {
	if d.core.transfers == nil || d.checksLease {
		return
	}
	d.checksLease = true
	var look func()
	look = func() {
		if d.ledger.Enabled() {
			d.checksLease = false
			return
		}
		d.core.checkOwnership(ledger.ErrDisabled)
		d.core.loop.After(ownershipCheckInterval, look)
	}
	d.core.loop.After(ownershipCheckInterval, look)
}

// beginEpoch writes the state of now, and waits beside the calls for how that comes out.
func (d *ledgerWriter) beginEpoch() {
	state, err := d.core.snapshot()
	if err == nil {
		err = d.ledger.BeginEpoch(state)
	}
	if err != nil {
		d.handleFailure(err)
		return
	}
	d.snapshotStale = false
	d.core.loop.After(epochPollInterval, d.pollEpoch)
}

func (d *ledgerWriter) pollEpoch() {
	done, err := d.ledger.EpochResult()
	switch {
	case !done:
		d.core.loop.After(epochPollInterval, d.pollEpoch)
	case err != nil:
		d.handleFailure(err)
	default:
		// What happened meanwhile is not in the state that was written: it is told again, call by call.
		if d.snapshotStale {
			if err := d.beginEpochAndWait(ledger.DefaultCommitTimeout); err != nil {
				d.handleFailure(err)
				return
			}
		}
		d.retryDelay, d.lastError = minRetryDelay, ""
		d.core.reportPersisted()
		d.core.log.Warn("the state of calls is kept again")
	}
}

// beginEpochAndWait begins once more, if calls have moved on while a state was written. The disk takes it now, so it is soon done.
func (d *ledgerWriter) beginEpochAndWait(patience time.Duration) error {
	state, err := d.core.snapshot()
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

// snapshot is all calls, in the least events that make them.
func (c *Core) snapshot() ([][]byte, error) {
	var all [][]byte
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if k := c.calls[id]; k.state == terminated && k.end == (End{}) {
			continue // given up: nobody will ask
		}
		for _, e := range c.recoveryCall(c.calls[id]).Events() {
			text, err := e.Encode()
			if err != nil {
				return nil, fmt.Errorf("call %s: %w", id, err)
			}
			all = append(all, text)
		}
	}
	return all, nil
}

// recoveryCall is a call as the decisions on recovery see it.
func (c *Core) recoveryCall(k *record) *recovery.Call {
	now := c.now()
	r := &recovery.Call{Event: recovery.Event{ID: k.ID, AtUs: now.Microseconds(), Token: k.Token}, LastEventAt: now, Attempts: k.attempts, AttemptInProgress: k.attemptInProgress, Server: string(k.server)}
	if place, _ := c.listedServer(k.server); place.Address != "" {
		r.Address, r.ServerStarted = place.Address, place.StartedAt
	} else if k.restored != nil {
		r.Address, r.ServerStarted = k.restored.Address, k.restored.ServerStarted
	}
	r.Class, r.Called, r.FirstCell, r.Redial, r.Description = k.Class, k.Called, k.FirstCell, k.Redial, k.Description
	r.DeadlineUs = max((now + time.Until(k.Deadline)).Microseconds(), 1)
	switch k.state {
	case pending:
		if r.NotBefore = k.notBefore; k.attempts > 0 {
			r.NotBefore = max(r.NotBefore, now+c.decisions.ReleaseGuard)
		}
	case established:
		r.State, r.Answer = recovery.StateEstablished, k.answer
		r.Attempts = max(r.Attempts, 1)
		r.LastEventAt = max(0, now-time.Since(k.sentAt))
	case terminated:
		r.State = recovery.StateRejected
		if k.end.Reason == ReasonEnded || k.end.Reason == ReasonCut {
			r.State = recovery.StateTerminated
		}
		r.Cause, r.Reason, r.HoldOff = k.end.Cause, string(k.end.Reason), k.end.HoldOff
		r.LastEventAt = max(0, now-time.Since(k.terminatedAt))
	}
	return r
}

// metrics are the ledger's figures.
func (d *ledgerWriter) metrics() []*dto.MetricFamily {
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
