package takeover

import (
	"net/url"
	"time"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/internal/telemetry"
)

// Path is the operators' page of takeovers.
const Path = "/api/fleet/takeovers"

// maxTakeovers bounds the takeovers on the operators' page, the latest.
const maxTakeovers = 256

// Told is one takeover on the operators' page.
type Told struct {
	At     time.Time `json:"at"`
	Name   string    `json:"name"`
	Held   bool      `json:"held"` // its owner's process may live
	Calls  int       `json:"calls"`
	TookMs int64     `json:"took_ms"`        // until its calls were unpacked
	From   string    `json:"from,omitempty"` // the claimant that failed before
}

// Shown is the operators' page. Counters start with the process.
type Shown struct {
	Sealed  uint64 `json:"sealed"`  // ledgers of failed controllers that this one sealed
	Found   uint64 `json:"found"`   // calls claimed for callers that came back
	Left    uint64 `json:"left"`    // calls that no caller came back for, claimed by the claimant of their ledger
	Given   uint64 `json:"given"`   // calls transferred to other controllers, whose callers had come back there
	Unknown uint64 `json:"unknown"` // lookups that found nothing
	Ends    uint64 `json:"ends"`    // ends reported here of calls held elsewhere
	Failed  uint64 `json:"failed"`  // failed operations on the shared directory
	Waiting int    `json:"waiting"` // pending lookups
	LookMs  int64  `json:"look_ms"` // duration of the last scan
	Told    []Told `json:"takeovers"`
}

func (r *Room) updateStatus(update func(*Shown)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.status)
}

func (r *Room) addTakeover(t Told) {
	r.updateStatus(func(s *Shown) {
		latest := s.Told[max(len(s.Told)-maxTakeovers+1, 0):]
		s.Told = append(latest, t)
	})
}

// Show returns what this controller has taken over.
func (r *Room) Show() Shown {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Told = append([]Told{}, s.Told...)
	return s
}

// Pages are the operators' pages, by path.
func (r *Room) Pages() map[string]func(url.Values) (any, error) {
	return map[string]func(url.Values) (any, error){Path: func(url.Values) (any, error) { return r.Show(), nil }}
}

// Figures are the metrics of takeovers.
func (r *Room) Figures() []*dto.MetricFamily {
	s := r.Show()
	calls := map[string]uint64{"found": s.Found, "left": s.Left, "given": s.Given, "unknown": s.Unknown}
	return []*dto.MetricFamily{
		telemetry.Counter("takeover_ledgers_total", "Ledgers of lost controllers that this one took.", s.Sealed),
		telemetry.Counters("takeover_calls_total", "Calls that passed between controllers.", "how", calls),
		telemetry.Counter("takeover_ends_total", "Ends of calls that were told here and belonged elsewhere.", s.Ends),
		telemetry.Counter("takeover_failed_total", "Steps on the directory of ledgers that failed.", s.Failed),
		telemetry.Gauge("takeover_waiting", "Calls that are being looked for.", float64(s.Waiting)),
	}
}
