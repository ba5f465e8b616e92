package takeover

import (
	"net/url"
	"time"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/internal/telemetry"
)

// Path is the path of the operators' page of takeovers.
const Path = "/api/fleet/takeovers"

// maxTakeovers bounds the takeovers on the operators' page, which shows the latest ones.
const maxTakeovers = 256

// Takeover describes a takeover on the operators' page.
type Takeover struct {
	At               time.Time `json:"at"`             // start of the takeover
	Name             string    `json:"name"`           // controller whose ledger was taken over
	OwnerMayLive     bool      `json:"held"`           // whether the owner's process may be alive
	Calls            int       `json:"calls"`          // number of calls in the ledger that were unpacked
	TookMs           int64     `json:"took_ms"`        // time until the calls were unpacked
	PreviousClaimant string    `json:"from,omitempty"` // previous claimant, which has failed too; empty for a newly sealed ledger
}

// Status is the operators' page of takeovers. Its counts start at zero with the process.
type Status struct {
	Sealed         uint64     `json:"sealed"`  // ledgers of failed controllers that this controller sealed
	Found          uint64     `json:"found"`   // calls claimed because their callers resumed them here
	Expired        uint64     `json:"left"`    // calls that no caller resumed in time, claimed from the ledgers that this controller claimed
	Transferred    uint64     `json:"given"`   // calls transferred to other controllers, because their callers resumed them there
	NotFound       uint64     `json:"unknown"` // lookups that did not find their call
	RemoteEnds     uint64     `json:"ends"`    // ends reported here of calls that are not held here
	Failed         uint64     `json:"failed"`  // failed operations on the shared directory
	PendingLookups int        `json:"waiting"` // pending lookups
	ScanMs         int64      `json:"look_ms"` // duration of the last scan
	Takeovers      []Takeover `json:"takeovers"`
}

// updateStatus applies an update to the status under the lock.
func (p *Participant) updateStatus(update func(*Status)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.status)
}

// addTakeover appends a takeover to the status, which keeps the latest maxTakeovers.
func (p *Participant) addTakeover(t Takeover) {
	p.updateStatus(func(s *Status) {
		latest := s.Takeovers[max(len(s.Takeovers)-maxTakeovers+1, 0):]
		s.Takeovers = append(latest, t)
	})
}

// Status returns the page of takeovers.
func (p *Participant) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.status
	s.Takeovers = append([]Takeover{}, s.Takeovers...)
	return s
}

// Pages returns the handlers of the operators' pages, by path.
func (p *Participant) Pages() map[string]func(url.Values) (any, error) {
	return map[string]func(url.Values) (any, error){Path: func(url.Values) (any, error) { return p.Status(), nil }}
}

// Metrics returns the metrics of takeovers.
func (p *Participant) Metrics() []*dto.MetricFamily {
	s := p.Status()
	calls := map[string]uint64{"found": s.Found, "left": s.Expired, "given": s.Transferred, "unknown": s.NotFound}
	return []*dto.MetricFamily{
		telemetry.Counter("takeover_ledgers_total", "Ledgers of lost controllers that this one took.", s.Sealed),
		telemetry.Counters("takeover_calls_total", "Calls that passed between controllers.", "how", calls),
		telemetry.Counter("takeover_ends_total", "Ends of calls that were told here and belonged elsewhere.", s.RemoteEnds),
		telemetry.Counter("takeover_failed_total", "Steps on the directory of ledgers that failed.", s.Failed),
		telemetry.Gauge("takeover_waiting", "Calls that are being looked for.", float64(s.PendingLookups)),
	}
}
