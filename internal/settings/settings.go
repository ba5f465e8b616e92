// Package settings owns the settings of a call controller and what they mean to the decision module.
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

// Settings is the object that a call controller is given at its start. Keys that are not named here are passed
// over. The platform's file must have all of them; an operator's may lack those that are needed for the platform.
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

// Check reports whether a call controller can serve by the settings.
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
			return fmt.Errorf("requestClasses: %q is no name, or comes twice", c.Name)
		}
		names[c.Name] = true
	}
	decisions, err := f.ControlSettings()
	if err != nil {
		return err
	}
	_, err = control.New(decisions, 0)
	return err //nolint:wrapcheck // it says what it is
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// word translates a settings word, or names the one that is not known.
func word[T any](kind, text string, words map[string]T) (T, error) {
	v, ok := words[text]
	if !ok {
		return v, fmt.Errorf("facts: unknown %s %q", kind, text)
	}
	return v, nil
}

var (
	effects = map[string]control.Idempotency{
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
	layouts  = map[string]control.Layout{"skills": control.Pools, "network": control.Network}
	modes    = map[string]bool{"pushed": false, "on_request": true}
	statuses = map[string]control.ServerStatus{
		"active":  control.Active,
		"leaving": control.Draining,
		"left":    control.Removed,
	}
	// words has the names of figures that reports on sockets use for those of the settings.
	words = map[string]string{
		"x0": "idle", "x1": "circuits", "util": "cpu", "queue": "waiting", "inflight": "active",
		"latency_ms": "avg_ms", "qps": "max_rate", "eps": "reduce",
	}
	figures = map[string]control.ReportField{
		"idle":     control.FreeLines,
		"circuits": control.Lines,
		"cpu":      control.Utilisation,
		"waiting":  control.QueueLength,
		"avg_ms":   control.QueueWait,
		"max_rate": control.MaxRate,
	}
)

// ControlSettings translates the settings for the decision module.
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
	if s.Layout, err = word("layout", f.FamilyInfo.Layout, layouts); err != nil {
		return s, err
	}
	if s.ListOnDemand, err = word("membershipMode", f.MembershipMode, modes); err != nil {
		return s, err
	}
	for _, name := range f.Report.Fields {
		if w, ok := words[name]; ok {
			name = w
		}
		s.ReportFields = append(s.ReportFields, figures[name])
	}
	for k, c := range f.RequestClasses {
		class := control.Class{
			Name:        c.Name,
			Aim:         micros(c.AimUs),
			Deadline:    micros(c.DeadlineUs),
			Worth:       c.Worth,
			LateShare:   c.LateValue,
			DedupWindow: micros(c.WindowUs),
		}
		if class.Idempotency, err = word("semantics", c.Semantics, effects); err != nil {
			return s, err
		}
		if class.DedupScope, err = word("group", c.Group, scopes); err != nil {
			return s, err
		}
		if k < len(f.FamilyInfo.AllowedPools) {
			class.Cells = f.FamilyInfo.AllowedPools[k]
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// OrderReport puts named figures into the order of the settings.
func OrderReport(stats map[string]float64, fields []string) []float64 {
	if len(stats) == 0 {
		return nil
	}
	figures := make([]float64, len(fields))
	for k, name := range fields {
		v, ok := stats[name]
		if !ok {
			v = -1
		}
		figures[k] = v
	}
	return figures
}

// maxFigure is more than any figure of a report can be; what is beyond it, or no number, came spoilt.
const maxFigure = 1e9

// ParseReport reads a report as it comes on sockets, "x0:12;x1:40", into the order of the settings. What cannot be
// read is left out.
func ParseReport(text string, fields []string) []float64 {
	stats := map[string]float64{}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		if v, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && math.Abs(v) <= maxFigure {
			stats[name] = v
			if w, ok := words[name]; ok {
				stats[w] = v
			}
		}
	}
	for name, w := range words { // the settings may use either name
		if v, ok := stats[w]; ok {
			stats[name] = v
		}
	}
	return OrderReport(stats, fields)
}

// ParseStatus translates the state of a server, in the words that the bench and the register share.
func ParseStatus(name string) (control.ServerStatus, error) {
	status, ok := statuses[name]
	if !ok {
		return 0, fmt.Errorf("unknown status %q", name)
	}
	return status, nil
}

// StatusName is the word for the state of a server.
func StatusName(status control.ServerStatus) string {
	for word, s := range statuses {
		if s == status {
			return word
		}
	}
	return ""
}

// ConnectTimeout is how long a connection to a server may take to come up.
func (f *Settings) ConnectTimeout() time.Duration { return micros(f.Caps.ConnectTimeoutUs) }

// IdleTimeout is how long a connection without calls is kept.
func (f *Settings) IdleTimeout() time.Duration { return micros(f.Caps.ConnIdleUs) }
