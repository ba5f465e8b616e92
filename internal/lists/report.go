package lists

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
	dto "github.com/prometheus/client_model/go"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/settings"
	"cherryrelay/internal/telemetry"
)

// maxPageBytes bounds the content of one page: a management connection may have at most 64 KiB of buffered output.
const maxPageBytes = 32 << 10

// State describes the active set and its origin.
type State struct {
	Servers     int           `json:"servers"`
	Weight      int           `json:"weight"` // sum over the active dispatchers; 0 without weights
	Version     *pool.Version `json:"version"`
	AgeMs       int64         `json:"age_ms"`              // since the set became active
	LastRefused *pool.Version `json:"trouble"`             // the last candidate if it was refused
	Stored      string        `json:"stored"`              // yes, no, or off
	NotSaved    string        `json:"not_saved,omitempty"` // why the set is not stored
}

// ServerState describes one member of the active set.
type ServerState struct {
	Name    string    `json:"name"`
	Address string    `json:"address"`
	Zone    string    `json:"zone,omitempty"`
	Group   int       `json:"group"`
	Status  string    `json:"status"`
	Weight  int       `json:"weight"`
	Since   time.Time `json:"since,omitzero"`
}

// Servers is a page of the members of the active set.
type Servers struct {
	Number  int           `json:"number"` // of the version; the next page may be of a later version
	Servers []ServerState `json:"servers"`
	More    bool          `json:"more"`
}

// Versions is a page of the version history, newest first.
type Versions struct {
	Versions []pool.Version `json:"versions"`
	More     bool           `json:"more"`
}

// Paths of the pages at the management address.
const (
	StatePath   = "/api/pool"
	ServersPath = "/api/pool/servers" // ?after=NAME
	HistoryPath = "/api/pool/history" // ?before=NUMBER
)

// Pages returns the handlers of the management pages, by path.
func (k *Registry) Pages() map[string]func(url.Values) (any, error) {
	return map[string]func(url.Values) (any, error){
		StatePath:   func(url.Values) (any, error) { return k.State(), nil },
		ServersPath: func(q url.Values) (any, error) { return k.serversPage(q.Get("after")), nil },
		HistoryPath: func(q url.Values) (any, error) {
			before := 0
			if text := q.Get("before"); text != "" {
				var err error
				if before, err = strconv.Atoi(text); err != nil {
					return nil, fmt.Errorf("before: %.40q is no number", text)
				}
			}
			return k.versionsPage(before), nil
		},
	}
}

// State returns the current state.
func (k *Registry) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := State{Stored: "off"}
	for _, m := range k.pool.Members() {
		s.Servers++
		if m.Status == control.Active {
			s.Weight += max(m.Weight, 0)
		}
	}
	if v := k.pool.Current(); v.Number > 0 {
		s.Version, s.AgeMs = &v, (unixTime() - v.At).Milliseconds()
	}
	if v, ok := k.pool.LastRefused(); ok {
		s.LastRefused = &v
	}
	if k.store != nil {
		s.Stored = "yes"
		if err := k.store.LastError(); err != nil {
			s.Stored, s.NotSaved = "no", err.Error()
		}
	}
	return s
}

// serversPage returns a page of the members whose names follow after.
func (k *Registry) serversPage(after string) Servers {
	k.mu.Lock()
	defer k.mu.Unlock()
	page := Servers{Number: k.pool.Current().Number, Servers: []ServerState{}}
	size := 0
	for _, m := range k.pool.Members() {
		if string(m.ID) <= after {
			continue
		}
		s := ServerState{Name: string(m.ID), Address: m.Address, Zone: m.Zone, Group: m.Cell, Status: settings.StatusName(m.Status), Weight: max(m.Weight, 0)}
		if m.StartedAt > 0 {
			s.Since = time.Unix(0, int64(m.StartedAt)).UTC()
		}
		if size += encodedSize(s); size > maxPageBytes && len(page.Servers) > 0 {
			page.More = true
			break
		}
		page.Servers = append(page.Servers, s)
	}
	return page
}

// versionsPage returns a page of the versions with numbers below before; 0 starts with the newest.
func (k *Registry) versionsPage(before int) Versions {
	k.mu.Lock()
	defer k.mu.Unlock()
	page := Versions{Versions: []pool.Version{}}
	size := 0
	for _, v := range k.pool.History() {
		if before > 0 && v.Number >= before {
			continue
		}
		if size += encodedSize(v); size > maxPageBytes && len(page.Versions) > 0 {
			page.More = true
			break
		}
		page.Versions = append(page.Versions, v)
	}
	return page
}

// encodedSize returns the size of a value as JSON.
func encodedSize(v any) int {
	data, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(v)
	if err != nil {
		return maxPageBytes
	}
	return len(data)
}

// Metrics returns the metrics of the pool.
func (k *Registry) Metrics() []*dto.MetricFamily {
	s := k.State()
	k.mu.Lock()
	accepted, refused := k.pool.Counts()
	reasons := map[string]uint64{}
	for _, r := range pool.Reasons {
		reasons[string(r)] = uint64(refused[r])
	}
	k.mu.Unlock()
	refusedNow := 0
	if s.LastRefused != nil {
		refusedNow = 1
	}
	return []*dto.MetricFamily{
		telemetry.Counter("pool_versions_taken_total", "Sets of dispatchers that came into force.", uint64(accepted)),
		telemetry.Counters("pool_versions_refused_total", "Sets refused, by each reason found.", "reason", reasons),
		telemetry.Gauge("pool_refused", "1 while the last set seen is refused.", float64(refusedNow)),
		telemetry.Gauge("pool_age_seconds", "Age of the set in force.", float64(s.AgeMs)/1000),
		telemetry.Gauge("pool_servers", "Dispatchers of the set in force.", float64(s.Servers)),
		telemetry.Gauge("pool_weight", "Weights of its active dispatchers, added up.", float64(s.Weight)),
	}
}
