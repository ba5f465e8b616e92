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

// Ledger persists the events of calls; it is implemented by *ledger.Ledger.
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
	// minRetryDelay and maxRetryDelay bound the delay before a failed ledger is started again; it doubles with each
	// failure.
	minRetryDelay, maxRetryDelay = time.Second, 30 * time.Second
	// epochPollInterval is how often the result of starting a new epoch of the ledger is polled.
	epochPollInterval = 5 * time.Millisecond
)

// ledgerWriter writes the events of the core's calls to a ledger.
type ledgerWriter struct {
	core               *Core
	ledger             Ledger
	refuseWhenDisabled bool // refuse new calls while the ledger is disabled
	retryDelay         time.Duration
	snapshotStale      bool   // events have occurred that the snapshot being written does not contain
	lastError          string // of the ledger; empty while it is enabled
	checksLease        bool   // checkLeasePeriodically is running
}

// UseLedger persists all events of calls in the ledger, after BeginLedger has written the state restored by Recover.
func (c *Core) UseLedger(l Ledger, refuseWhenDisabled bool) {
	c.ledgerWriter = &ledgerWriter{core: c, ledger: l, refuseWhenDisabled: refuseWhenDisabled, retryDelay: minRetryDelay}
	c.loop.OnCommit(c.ledgerWriter.commit)
	c.AddMetrics(c.ledgerWriter.metrics)
}

// BeginLedger writes the current state as the first that is persisted; until that is done, a restart finds the previous
// contents. With a positive wait it blocks for at most that time, as is acceptable at start-up; with 0, calls are
// served meanwhile.
func (c *Core) BeginLedger(wait time.Duration) {
	if wait == 0 {
		c.ledgerWriter.beginEpoch()
		return
	}
	if err := c.ledgerWriter.beginEpochAndWait(wait); err != nil {
		c.ledgerWriter.handleFailure(err)
	}
}

// refusesCalls reports whether new calls are refused because they could not be persisted.
func (w *ledgerWriter) refusesCalls() bool { return w.refuseWhenDisabled && !w.ledger.Enabled() }

// persistEvent appends an event of a call to the ledger, to be committed at the end of the event loop iteration.
func (c *Core) persistEvent(k *record, kind recovery.Kind, fill func(*recovery.Event)) {
	if c.ledgerWriter == nil {
		return
	}
	e := recovery.Event{Kind: kind, ID: k.ID, AtUs: c.now().Microseconds()}
	switch kind {
	case recovery.KindAccepted:
		e.Class, e.Called, e.FirstCell, e.Redial, e.Description, e.Token = k.Class, k.Called, k.FirstCell, k.Redial, k.Description, k.Token
		e.DeadlineUs, e.Repetition = (c.now() + time.Until(k.Deadline)).Microseconds(), repetitionOf(&k.class)
	case recovery.KindAttemptSent, recovery.KindAttemptFailed, recovery.KindEstablished:
		entry, _ := c.listedServer(k.server)
		e.Attempt, e.Server, e.Address, e.ServerStartedUs = k.attempts-1, string(k.server), entry.Address, entry.StartedAt.Microseconds()
	}
	if fill != nil {
		fill(&e)
	}
	c.ledgerWriter.append(e)
}

// recordAttemptFailed records that an attempt failed, and whether that proves that it never ran.
func (c *Core) recordAttemptFailed(k *record, o control.Outcome, neverRan bool) {
	if !neverRan && k.firstRunAt.IsZero() {
		k.firstRunAt = k.sentAt
	}
	c.selection.attemptFailed(k, o)
	c.persistEvent(k, recovery.KindAttemptFailed, func(e *recovery.Event) {
		e.NeverRan = neverRan
		if o.MayStillRun() {
			e.NotBeforeUs = (c.now() + c.decisions.ReleaseGuard).Microseconds()
		}
	})
}

// persistRejected records the final answer to a call that is not established.
func (c *Core) persistRejected(k *record, end End) {
	c.persistEvent(k, recovery.KindRejected, func(e *recovery.Event) {
		e.Cause, e.Reason, e.HoldOffUs = end.Cause, string(end.Reason), end.HoldOff.Microseconds()
	})
}

// persistTerminated records that an established call was terminated.
func (c *Core) persistTerminated(k *record, end End) {
	c.persistEvent(k, recovery.KindTerminated, func(e *recovery.Event) { e.Cause, e.Reason = end.Cause, string(end.Reason) })
}

// append appends an event to the ledger, if that is enabled.
func (w *ledgerWriter) append(e recovery.Event) {
	w.snapshotStale = true
	if !w.ledger.Enabled() {
		return
	}
	text, err := e.Encode()
	if err == nil {
		err = w.ledger.Append(text)
	}
	if err != nil {
		w.core.log.Error("event of a call was not written to the ledger", "id", e.ID, "err", err)
	}
}

// commit writes all appended events before any message that depends on them is sent.
func (w *ledgerWriter) commit() {
	if !w.ledger.Enabled() {
		w.core.checkOwnership(ledger.ErrDisabled)
	}
	if !w.ledger.HasPending() {
		return
	}
	if err := w.ledger.Commit(); err != nil {
		w.handleFailure(err)
		return
	}
	w.core.reportPersisted()
}

// handleFailure lets calls be served without the ledger, and schedules a new epoch.
func (w *ledgerWriter) handleFailure(err error) {
	w.lastError = err.Error()
	w.core.checkOwnership(err)
	w.checkLeasePeriodically()
	w.core.log.Error("THE STATE OF CALLS IS NOT KEPT: a restart would lose them", "err", err, "again_in", w.retryDelay)
	w.core.loop.After(w.retryDelay, w.beginEpoch)
	w.retryDelay = min(2*w.retryDelay, maxRetryDelay)
}

// checkLeasePeriodically checks, while the ledger is disabled, that the process may still hold its calls.
func (w *ledgerWriter) checkLeasePeriodically() {
	if w.core.transfers == nil || w.checksLease {
		return
	}
	w.checksLease = true
	var check func()
	check = func() {
		if w.ledger.Enabled() {
			w.checksLease = false
			return
		}
		w.core.checkOwnership(ledger.ErrDisabled)
		w.core.loop.After(ownershipCheckInterval, check)
	}
	w.core.loop.After(ownershipCheckInterval, check)
}

// beginEpoch starts writing the current state, and polls for the result while calls are served.
func (w *ledgerWriter) beginEpoch() {
	state, err := w.core.snapshot()
	if err == nil {
		err = w.ledger.BeginEpoch(state)
	}
	if err != nil {
		w.handleFailure(err)
		return
	}
	w.snapshotStale = false
	w.core.loop.After(epochPollInterval, w.pollEpoch)
}

// pollEpoch checks whether the new epoch has begun.
func (w *ledgerWriter) pollEpoch() {
	done, err := w.ledger.EpochResult()
	switch {
	case !done:
		w.core.loop.After(epochPollInterval, w.pollEpoch)
	case err != nil:
		w.handleFailure(err)
	default:
		// Events since the snapshot was taken are not in it: write another snapshot.
		if w.snapshotStale {
			if err := w.beginEpochAndWait(ledger.DefaultCommitTimeout); err != nil {
				w.handleFailure(err)
				return
			}
		}
		w.retryDelay, w.lastError = minRetryDelay, ""
		w.core.reportPersisted()
		w.core.log.Warn("the state of calls is kept again")
	}
}

// beginEpochAndWait writes the current state, and blocks until that is done. If calls have changed while a snapshot was
// written, another one takes little time, as the disk has just proven to be writable.
func (w *ledgerWriter) beginEpochAndWait(timeout time.Duration) error {
	state, err := w.core.snapshot()
	if err != nil {
		return err
	}
	if err := w.ledger.BeginEpoch(state); err != nil {
		return err //nolint:wrapcheck // the error names the ledger
	}
	deadline := time.Now().Add(timeout)
	for {
		done, err := w.ledger.EpochResult()
		switch {
		case done:
			return err //nolint:wrapcheck // the error names the ledger
		case time.Now().After(deadline):
			return ledger.ErrTimeout
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// snapshot returns the fewest encoded events that replay to the state of all calls.
func (c *Core) snapshot() ([][]byte, error) {
	var all [][]byte
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if k := c.calls[id]; k.state == terminated && k.end == (End{}) {
			continue // cancelled by its caller, which will not resume it
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

// recoveryCall converts a call to the form that the recovery decisions use.
func (c *Core) recoveryCall(k *record) *recovery.Call {
	now := c.now()
	r := &recovery.Call{
		Event:       recovery.Event{ID: k.ID, AtUs: now.Microseconds(), Token: k.Token},
		LastEventAt: now, Attempts: k.attempts, AttemptInProgress: k.attemptInProgress, Server: string(k.server),
		MayHaveRun: !k.firstRunAt.IsZero(),
	}
	r.Address, r.ServerStarted = c.processOf(k)
	r.Class, r.Called, r.FirstCell, r.Redial, r.Description = k.Class, k.Called, k.FirstCell, k.Redial, k.Description
	r.DeadlineUs, r.Repetition = max((now+time.Until(k.Deadline)).Microseconds(), 1), repetitionOf(&k.class)
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

// processOf returns the address and the start time of the process at which a call was last attempted or is established.
func (c *Core) processOf(k *record) (address string, started time.Duration) {
	if entry, _ := c.listedServer(k.server); entry.Address != "" && !k.misplaced {
		return entry.Address, entry.StartedAt
	}
	if k.restored != nil {
		return k.restored.Address, k.restored.ServerStarted
	}
	return "", 0
}

// metrics returns the metrics of the ledger.
func (w *ledgerWriter) metrics() []*dto.MetricFamily {
	f := w.ledger.Metrics()
	on := 0.0
	if f.Enabled {
		on = 1
	}
	mean := 0.0
	if f.Commits > 0 {
		mean = f.TotalCommitWait.Seconds() / float64(f.Commits)
	}
	return []*dto.MetricFamily{
		telemetry.Gauge("ledger_on", "1 while the state of calls is persisted.", on),
		telemetry.Counter("ledger_records_total", "Events of calls that were kept.", f.Records),
		telemetry.Counter("ledger_bytes_total", "Bytes written for them.", f.Bytes),
		telemetry.Counter("ledger_commits_total", "Turns whose events were written together.", f.Commits),
		telemetry.Counter("ledger_failures_total", "Times that the ledger was given up, to be begun with anew.", f.Failures),
		telemetry.Counter("ledger_snapshots_total", "Snapshots written.", f.Snapshots),
		telemetry.Gauge("ledger_files_bytes", "Bytes of its files.", float64(f.FileBytes)),
		telemetry.Gauge("ledger_commit_seconds_mean", "Mean wait of a turn for its write.", mean),
		telemetry.Gauge("ledger_commit_seconds_worst", "Worst wait of a turn for its write.",
			f.LongestCommitWait.Seconds()),
	}
}
