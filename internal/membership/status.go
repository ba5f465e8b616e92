package membership

import (
	"net/url"
	"time"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/internal/decide/members"
	"cherryrelay/internal/telemetry"
)

// Path and HistoryPath are the paths of the operators' pages.
const (
	Path        = "/api/fleet"
	HistoryPath = "/api/fleet/history"
)

// maxPageMembers bounds the members and the events on a page, whose size must stay below 64 KiB.
const maxPageMembers = 300

// Status is the operators' page of the fleet. All times are durations in milliseconds, by the monotonic clock of this process.
type Status struct {
	Name             string         `json:"name"`
	State            members.State  `json:"state"`
	Incarnation      int64          `json:"incarnation"`           // of the own key; 0 if there is none
	HoldsLease       bool           `json:"certain"`               // whether this process holds its lease
	LeaseRemainingMs int64          `json:"left_ms"`               // how long the lease remains held without another renewal
	Holder           string         `json:"name_in_use,omitempty"` // other holder of the name, which keeps this process from joining
	MembersRead      bool           `json:"known"`                 // whether the members have been read at least once
	ViewAgeMs        int64          `json:"age_ms"`                // upper bound on the age of the view
	Actable          bool           `json:"actable"`               // whether the view is fresh enough to act on
	StoreID          uint64         `json:"store_id"`              // id of the store that assigns incarnations
	Revision         int64          `json:"revision"`              // revision of the store up to which the view is complete
	LeaseMs          int64          `json:"lease_ms"`              // TTL of the lease
	Counts           Counts         `json:"store"`
	Members          []MemberStatus `json:"members"`
	Gone             []MemberStatus `json:"gone"` // the members that ended most recently, latest last
	OmittedMembers   int            `json:"more"` // number of members that are left out of the page
}

// MemberStatus is a member on the operators' page.
type MemberStatus struct {
	Name        string        `json:"name"`
	StoreID     uint64        `json:"store_id"`
	Incarnation int64         `json:"incarnation"`
	State       members.State `json:"state"`
	Address     string        `json:"address"`
	KnownMs     int64         `json:"known_ms"` // time since this process first saw the member
	GoneMs      int64         `json:"gone_ms"`  // time since this process learnt of its end; 0 unless it has ended
}

// HistoryEvent is an event on the history page.
type HistoryEvent struct {
	AgoMs int64 `json:"ago_ms"` // time since the event
	members.Event
}

// History is the operators' page of the latest membership events, oldest first.
type History struct {
	Events []HistoryEvent `json:"events"`
}

// Pages returns the handlers of the operators' pages, by path.
func (f *Fleet) Pages() map[string]func(url.Values) (any, error) {
	return map[string]func(url.Values) (any, error){
		Path:        func(url.Values) (any, error) { return f.Status(), nil },
		HistoryPath: func(url.Values) (any, error) { return f.History(), nil },
	}
}

// Status returns the page with the current view of the fleet.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	incarnation, until, holdsLease := f.view.HoldsLease(now)
	age, known := f.view.Age(now)
	s := Status{Name: f.options.Name, State: f.state, Incarnation: incarnation, HoldsLease: holdsLease, Holder: f.holder, MembersRead: known,
		ViewAgeMs: age.Milliseconds(), Actable: f.view.Actable(now), StoreID: f.view.StoreID(), Revision: f.view.Revision(), LeaseMs: f.options.Lease.Milliseconds(),
		Counts: f.counts, Members: []MemberStatus{}, Gone: []MemberStatus{}}
	if holdsLease {
		s.LeaseRemainingMs = (until - now).Milliseconds()
	}
	all, gone := f.view.Members(), f.view.Gone()
	s.OmittedMembers = max(len(all)-maxPageMembers, 0)
	for _, m := range all[:min(len(all), maxPageMembers)] {
		s.Members = append(s.Members, pageMember(&m, now))
	}
	for _, m := range gone[max(len(gone)-maxPageMembers/10, 0):] {
		s.Gone = append(s.Gone, pageMember(&m, now))
	}
	return s
}

// pageMember returns a member as it is shown on the page.
func pageMember(m *members.Member, now time.Duration) MemberStatus {
	s := MemberStatus{Name: m.Name, StoreID: m.Store, Incarnation: m.Incarnation, State: m.State, Address: m.Address, KnownMs: (now - m.FirstSeenAt).Milliseconds()}
	if m.State == members.Gone {
		s.GoneMs = (now - m.EndedAt).Milliseconds()
	}
	return s
}

// History returns the latest events.
func (f *Fleet) History() History {
	f.mu.Lock()
	defer f.mu.Unlock()
	events, _ := f.view.History(0)
	h := History{Events: []HistoryEvent{}}
	for _, e := range events[max(len(events)-maxPageMembers, 0):] {
		h.Events = append(h.Events, HistoryEvent{(f.now() - e.At).Milliseconds(), e})
	}
	return h
}

// Metrics returns the metrics of the membership.
func (f *Fleet) Metrics() []*dto.MetricFamily {
	s := f.Status()
	gaugeValue := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	states := map[string]float64{string(members.Joining): 0, string(members.Serving): 0, string(members.Leaving): 0}
	for _, m := range s.Members {
		states[string(m.State)]++
	}
	return []*dto.MetricFamily{
		telemetry.Gauge("fleet_certain", "Whether this process has its name for itself.", gaugeValue(s.HoldsLease)),
		telemetry.Gauge("fleet_actable", "Whether the view of the fleet is young enough to act on.", gaugeValue(s.Actable)),
		telemetry.Gauge("fleet_view_age_seconds", "How old the view of the fleet is at most.", float64(s.ViewAgeMs)/1000),
		telemetry.Gauges("fleet_members", "Members that are not known to have ended, by what they say of themselves.", "state", states),
		telemetry.Counter("fleet_store_requests_total", "Requests to the store of the fleet.", s.Counts.Requests),
		telemetry.Counter("fleet_store_failed_total", "Requests to the store of the fleet that failed.", s.Counts.Failed),
		telemetry.Counter("fleet_joins_total", "Times that this process made its key.", s.Counts.Joins),
	}
}
