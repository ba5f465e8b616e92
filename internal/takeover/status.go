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

// Told describes a takeover on the operators' page.
type Told struct {
	At     time.Time `json:"at"`             // start of the takeover
	Name   string    `json:"name"`           // controller whose ledger was taken over
	Held   bool      `json:"held"`           // whether the owner's process may be alive
	Calls  int       `json:"calls"`          // number of calls in the ledger that were unpacked
	TookMs int64     `json:"took_ms"`        // time until the calls were unpacked
	From   string    `json:"from,omitempty"` // previous claimant, which has failed too; empty for a newly sealed ledger
}

// Shown is the operators' page of takeovers. Its counts start at zero with the process.
type Shown struct {
	Sealed  uint64 `json:"sealed"`  // ledgers of failed controllers that this controller sealed
	Found   uint64 `json:"found"`   // calls claimed because their callers resumed them here
	Left    uint64 `json:"left"`    // calls that no caller resumed in time, claimed from the ledgers that this controller claimed
	Given   uint64 `json:"given"`   // calls transferred to other controllers, because their callers resumed them there
	Unknown uint64 `json:"unknown"` // lookups that did not find their call
	Ends    uint64 `json:"ends"`    // ends reported here of calls that are not held here
	Failed  uint64 `json:"failed"`  // failed operations on the shared directory
	Waiting int    `json:"waiting"` // pending lookups
	LookMs  int64  `json:"look_ms"` // duration of the last scan
	Told    []Told `json:"takeovers"`
}

// updateStatus applies an update to the status under the lock.
func (p *Room) updateStatus(update func(*Shown)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.status)
}

// addTakeover appends a takeover to the status, which keeps the latest maxTakeovers.
func (p *Room) addTakeover(t Told) {
	p.updateStatus(func(s *Shown) {
		latest := s.Told[max(len(s.Told)-maxTakeovers+1, 0):]
		s.Told = append(latest, t)
	})
}

// Show returns the page of takeovers.
func (p *Room) Show() Shown {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.status
	s.Told = append([]Told{}, s.Told...)
	return s
}

// Pages returns the handlers of the operators' pages, by path.
func (p *Room) Pages() map[string]func(url.Values) (any, error) {
	return map[string]func(url.Values) (any, error){Path: func(url.Values) (any, error) { return p.Show(), nil }}
}

// Figures returns the metrics of takeovers.
func (p *Room) Figures() []*dto.MetricFamily {
	s := p.Show()
	calls := map[string]uint64{"found": s.Found, "left": s.Left, "given": s.Given, "unknown": s.Unknown}
	return []*dto.MetricFamily{
		telemetry.Counter("takeover_ledgers_total", "Ledgers of lost controllers that this one took.", s.Sealed),
		telemetry.Counters("takeover_calls_total", "Calls that passed between controllers.", "how", calls),
		telemetry.Counter("takeover_ends_total", "Ends of calls that were told here and belonged elsewhere.", s.Ends),
		telemetry.Counter("takeover_failed_total", "Steps on the directory of ledgers that failed.", s.Failed),
		telemetry.Gauge("takeover_waiting", "Calls that are being looked for.", float64(s.Waiting)),
	}
}
