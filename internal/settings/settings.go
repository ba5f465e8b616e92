// Package settings defines the settings of a call controller and converts them for the decision module.
package settings

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cherryrelay/control"
)

// Settings is the settings object of a call controller. Unknown keys are ignored. The platform's file must have all
// keys; an operator's file may omit those that only the platform needs.
type Settings struct {
	Caps struct {
		ConnIdleUs       int64 `json:"connIdleUs"`
		ConnectTimeoutUs int64 `json:"connectTimeoutUs"`
		MaxRetryAfterUs  int64 `json:"maxRetryAfterUs"`
		MayCancel        bool  `json:"mayCancel"`
		RetryAfter       bool  `json:"retryAfter"`
		SendCap          int   `json:"sendCap"`
	} `json:"caps"`
	FamilyInfo struct {
		AllowedPools [][]int `json:"allowedPools" need:"platform"`
		ClassWidth   []int   `json:"classWidth" need:"platform"`
		GuardUs      int64   `json:"guardUs"`
		Layout       string  `json:"layout"`
		ThisNode     int     `json:"thisNode"`
	} `json:"familyInfo"`
	MembershipMode string `json:"membershipMode"`
	Report         struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	RequestClasses []struct {
		AimUs      int64   `json:"aimUs"`
		DeadlineUs int64   `json:"deadlineUs"`
		Group      string  `json:"group"`
		LateValue  float64 `json:"lateValue"`
		Name       string  `json:"name"`
		Semantics  string  `json:"semantics"`
		WindowUs   int64   `json:"windowUs"`
		Worth      float64 `json:"worth"`
	} `json:"requestClasses"`
	Tenants []struct {
		Name string `json:"name"`
	} `json:"tenants" need:"platform"`
	PeersTotal   int   `json:"peersTotal"`
	ResolutionUs int64 `json:"resolutionUs"`
	Rules        struct {
		ColdUs          int64   `json:"coldUs"`
		GraceToAnswerUs int64   `json:"graceToAnswerUs"`
		StartCapacity   float64 `json:"startCapacity"`
		TipMultiple     float64 `json:"tipMultiple"`
	} `json:"rules"`
}

// Check returns an error if a call controller can't work with the settings.
func (f *Settings) Check() error {
	switch {
	case f.Caps.ConnectTimeoutUs <= 0:
		return errors.New("caps.connectTimeoutUs must be above 0")
	case f.Caps.SendCap <= 0:
		return errors.New("caps.sendCap must be above 0")
	}
	names := map[string]bool{}
	for _, c := range f.RequestClasses {
		if c.Name == "" || names[c.Name] {
			return fmt.Errorf("requestClasses: name %q is empty or not unique", c.Name)
		}
		names[c.Name] = true
	}
	controlSettings, err := f.ControlSettings()
	if err != nil {
		return err
	}
	_, err = control.New(controlSettings, 0)
	return err //nolint:wrapcheck // the error names its package
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// lookupName returns the value of a name in the settings, or an error that states the unknown name.
func lookupName[T any](key, name string, values map[string]T) (T, error) {
	v, ok := values[name]
	if !ok {
		return v, fmt.Errorf("settings: unknown %s %q", key, name)
	}
	return v, nil
}

var (
	idempotencies = map[string]control.Idempotency{
		"read_like":       control.Idempotent,
		"idempotency_key": control.IdempotentByKey,
		"non_idempotent":  control.NonIdempotent,
	}
	scopes = map[string]control.DedupScope{
		"":     control.DedupAll,
		"all":  control.DedupAll,
		"zone": control.DedupZone,
		"cell": control.DedupCell,
	}
	layouts        = map[string]control.Layout{"skills": control.Pools, "network": control.Network}
	onDemandByMode = map[string]bool{"pushed": false, "on_request": true}
	statuses       = map[string]control.ServerStatus{
		"active":  control.Active,
		"leaving": control.Draining,
		"left":    control.Removed,
	}
	// reportNames maps the names of values in reports on sockets to their names in the settings.
	reportNames = map[string]string{
		"x0": "idle", "x1": "circuits", "util": "cpu", "queue": "waiting", "inflight": "active",
		"latency_ms": "avg_ms", "qps": "max_rate", "eps": "reduce",
	}
	reportFields = map[string]control.ReportField{
		"idle":     control.FreeLines,
		"circuits": control.Lines,
		"cpu":      control.Utilisation,
		"waiting":  control.QueueLength,
		"avg_ms":   control.QueueWait,
		"max_rate": control.MaxRate,
	}
)

// ControlSettings converts the settings for the decision module.
func (f *Settings) ControlSettings() (control.Settings, error) {
	s := control.Settings{
		Nodes:              f.PeersTotal,
		OwnCell:            f.FamilyInfo.ThisNode,
		Tick:               micros(f.ResolutionUs),
		ReleaseGuard:       micros(f.FamilyInfo.GuardUs),
		AnswerGrace:        micros(f.Rules.GraceToAnswerUs),
		ColdCapacity:       f.Rules.StartCapacity,
		WarmUpTime:         micros(f.Rules.ColdUs),
		ColdOverloadFactor: f.Rules.TipMultiple,
		MaxAttempts:        f.Caps.SendCap,
		MayHoldOff:         f.Caps.RetryAfter,
		MaxHoldOff:         micros(f.Caps.MaxRetryAfterUs),
		MayCancel:          f.Caps.MayCancel,
	}
	var err error
	if s.Layout, err = lookupName("layout", f.FamilyInfo.Layout, layouts); err != nil {
		return s, err
	}
	if s.ListOnDemand, err = lookupName("membershipMode", f.MembershipMode, onDemandByMode); err != nil {
		return s, err
	}
	for _, name := range f.Report.Fields {
		if canonical, ok := reportNames[name]; ok {
			name = canonical
		}
		s.ReportFields = append(s.ReportFields, reportFields[name])
	}
	for i, c := range f.RequestClasses {
		class := control.Class{
			Name:        c.Name,
			Aim:         micros(c.AimUs),
			Deadline:    micros(c.DeadlineUs),
			Worth:       c.Worth,
			LateShare:   c.LateValue,
			DedupWindow: micros(c.WindowUs),
		}
		if class.Idempotency, err = lookupName("semantics", c.Semantics, idempotencies); err != nil {
			return s, err
		}
		if class.DedupScope, err = lookupName("group", c.Group, scopes); err != nil {
			return s, err
		}
		if i < len(f.FamilyInfo.AllowedPools) {
			class.Cells = f.FamilyInfo.AllowedPools[i]
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// OrderReport returns the named values in the order of fields, with -1 for a missing one. It returns nil without values.
func OrderReport(stats map[string]float64, fields []string) []float64 {
	if len(stats) == 0 {
		return nil
	}
	values := make([]float64, len(fields))
	for i, name := range fields {
		v, ok := stats[name]
		if !ok {
			v = -1
		}
		values[i] = v
	}
	return values
}

// maxReportValue is above every valid value of a report. Larger values and NaN are treated as corrupt.
const maxReportValue = 1e9

// ParseReport parses a report in the form used on sockets, "x0:12;x1:40", and returns its values in the order of
// fields. Values that can't be parsed are treated as missing.
func ParseReport(text string, fields []string) []float64 {
	stats := map[string]float64{}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		if v, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && math.Abs(v) <= maxReportValue {
			stats[name] = v
			if canonical, ok := reportNames[name]; ok {
				stats[canonical] = v
			}
		}
	}
	for name, canonical := range reportNames { // fields may contain either name
		if v, ok := stats[canonical]; ok {
			stats[name] = v
		}
	}
	return OrderReport(stats, fields)
}

// ParseStatus returns the server status with the given name in server lists and in messages of the simulator.
func ParseStatus(name string) (control.ServerStatus, error) {
	status, ok := statuses[name]
	if !ok {
		return 0, fmt.Errorf("unknown status %q", name)
	}
	return status, nil
}

// StatusName returns the name of a server status in server lists, or "" if the status is unknown.
func StatusName(status control.ServerStatus) string {
	for name, s := range statuses {
		if s == status {
			return name
		}
	}
	return ""
}

// ConnectTimeout returns the time within which a connection to a server must be established.
func (f *Settings) ConnectTimeout() time.Duration { return micros(f.Caps.ConnectTimeoutUs) }

// IdleTimeout returns the time after which a connection without calls is closed.
func (f *Settings) IdleTimeout() time.Duration { return micros(f.Caps.ConnIdleUs) }
