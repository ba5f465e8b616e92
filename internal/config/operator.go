package config

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"time"

	"cherryrelay/internal/decide/subset"
	"cherryrelay/internal/inifile"
	"cherryrelay/internal/ledger"
	"cherryrelay/internal/lists/etcd"
	"cherryrelay/internal/lists/files"
	"cherryrelay/internal/membership"
	"cherryrelay/internal/settings"
)

// Operator is what only an operator's file can switch on.
type Operator struct {
	WebSocket *WebSocket     `json:"websocket" need:"optional"`
	Etcd      *etcd.Options  `json:"etcd" need:"optional"`
	Pool      *files.Options `json:"pool" need:"optional"`
	State     *State         `json:"state" need:"optional"`
	Ledger    *Ledger        `json:"ledger" need:"optional"`
	Fleet     *Fleet         `json:"fleet" need:"optional"`
	Subset    *Subset        `json:"subset" need:"optional"`
	Log       Log            `json:"log" need:"optional"`
}

// WebSocket is the front for the call-control API.
type WebSocket struct {
	Listen string `json:"listen"`
	Path   string `json:"path"`
}

// State is where what outlasts a process is kept.
type State struct {
	Directory string `json:"directory"`
}

// Ledger is how the state of calls is kept over a restart.
type Ledger struct {
	Directory string `json:"directory"`
	KeyFile   string `json:"key_file"`   // of the MAC of its records; empty for none
	Sync      string `json:"sync"`       // none, interval or always
	SegmentMB int64  `json:"segment_mb"` // 0 for the default
	MostMB    int64  `json:"most_mb"`    // 0 for the default
	OnFailure string `json:"on_failure"` // serve or refuse
	Lines     bool   `json:"lines"`      // calls may be resumed over JSON lines, too
}

// Syncs are the words for the ways to sync.
var Syncs = map[string]ledger.Sync{"": ledger.SyncNone, "none": ledger.SyncNone, "interval": ledger.SyncInterval, "always": ledger.SyncAlways}

func (l *Ledger) check() error {
	_, known := Syncs[l.Sync]
	switch {
	case l.Directory == "":
		return errors.New("ledger.directory: no directory is named")
	case !known:
		return fmt.Errorf("ledger.sync: %q is none of none, interval and always", l.Sync)
	case l.SegmentMB < 0 || l.MostMB < 0 || l.MostMB > 0 && l.MostMB < 4*max(l.SegmentMB, ledger.DefaultSegmentSize>>20):
		return errors.New("ledger.most_mb: it must hold four segments of segment_mb")
	case l.OnFailure != "" && l.OnFailure != "serve" && l.OnFailure != "refuse":
		return fmt.Errorf("ledger.on_failure: %q is neither serve nor refuse", l.OnFailure)
	}
	return nil
}

// Fleet is where the controllers of a site know of one another.
type Fleet struct {
	Endpoints []string `json:"endpoints"` // of etcd
	Prefix    string   `json:"prefix"`    // of the members' keys; a slash is put at its end
	Ledgers   string   `json:"ledgers"`   // a directory that all controllers reach, each with its ledger below it under its name; empty for none
	LeaseMs   int64    `json:"lease_ms"`  // 0 for the default
}

// Lease is how long a controller keeps its place without a word.
func (f *Fleet) Lease() time.Duration {
	if f.LeaseMs == 0 {
		return membership.DefaultLease
	}
	return time.Duration(f.LeaseMs) * time.Millisecond
}

func (f *Fleet) check(name string, l *Ledger) error {
	if len(f.Endpoints) == 0 {
		return errors.New("fleet.endpoints: no endpoints are named")
	}
	for _, e := range f.Endpoints {
		if err := address("fleet.endpoints", e); err != nil {
			return err
		}
	}
	switch {
	case f.Prefix == "":
		return errors.New("fleet.prefix: no prefix is named")
	case f.Lease() < membership.LeastLease || f.Lease() > membership.MostLease:
		return fmt.Errorf("fleet.lease_ms: %d is not between %d and %d", f.LeaseMs, membership.LeastLease.Milliseconds(), membership.MostLease.Milliseconds())
	case name == "" || strings.Contains(name, "/"):
		return fmt.Errorf("fleet: the controller's name %.40q must be one that a key can end in, without a slash", name)
	case f.Ledgers != "" && l == nil:
		return errors.New("fleet.ledgers: there is no [ledger]")
	case f.Ledgers != "" && filepath.Clean(l.Directory) != filepath.Join(f.Ledgers, name):
		return fmt.Errorf("fleet.ledgers: ledger.directory must be %q", filepath.Join(f.Ledgers, name))
	}
	return nil
}

// Subset is how many of the listed dispatchers this controller connects to. docs/subset.md tells the keys.
type Subset struct {
	Size    int    `json:"size"`     // 0 for the default
	Most    int    `json:"most"`     // after growth; 0 for the default
	Zone    string `json:"zone"`     // whose dispatchers are preferred; empty for none
	QuietMs int64  `json:"quiet_ms"` // without need until what has grown goes back; 0 for the default
}

// Options are those of a controller's subset.
func (s *Subset) Options(controller string) subset.Options {
	return subset.Options{Identity: controller, Zone: s.Zone, Size: s.Size, GrowthLimit: s.Most, ShrinkAfter: time.Duration(s.QuietMs) * time.Millisecond}
}

const (
	// listedBytes is what a listed dispatcher takes that is not connected to, as measured (docs/subset.md), with that of the text and the
	// parts of the list that is read while another one is in force.
	listedBytes = 4 << 10
	// listShare of the memory is what the list may take.
	listShare = 0.75
	// MostListed bounds lists where no bound on the memory is known.
	MostListed = 100_000
)

// ListBound is the most dispatchers that a list may have, with a bound on the memory in bytes; 0 is no bound.
func (s *Subset) ListBound(memory int64) int {
	if memory <= 0 {
		return MostListed
	}
	return min(int(listShare*float64(memory)/listedBytes), MostListed)
}

func (s *Subset) check(controller string) error {
	if controller == "" {
		return errors.New("subset: the controller has no name to choose by")
	}
	if s.QuietMs > maxQuietMs {
		return fmt.Errorf("subset.quiet_ms: %d is over %d, a day", s.QuietMs, maxQuietMs)
	}
	if err := s.Options(controller).Check(); err != nil {
		return fmt.Errorf("subset.%w", err)
	}
	return nil
}

// maxQuietMs is a day.
const maxQuietMs = 24 * 60 * 60 * 1000

// Log is how the log is written.
type Log struct {
	Format string `json:"format"` // text or json
	Level  string `json:"level"`  // debug, info, warn or error
}

// check reports what cannot be used.
func (o *Operator) check() error {
	if w := o.WebSocket; w != nil {
		if err := address("websocket.listen", w.Listen); err != nil {
			return err
		}
		if !strings.HasPrefix(w.Path, "/") {
			return fmt.Errorf("websocket.path: %q does not begin with a slash", w.Path)
		}
	}
	if o.Etcd != nil {
		if err := o.Etcd.Check(); err != nil {
			return err //nolint:wrapcheck // it says what it is
		}
	}
	if o.Pool != nil && o.Pool.File == "" {
		return errors.New("pool.file: no file is named")
	}
	if s := o.State; s != nil {
		if info, err := os.Stat(s.Directory); err != nil || !info.IsDir() {
			return fmt.Errorf("state.directory: %q is no directory", s.Directory)
		}
	}
	if o.Ledger != nil {
		if err := o.Ledger.check(); err != nil {
			return err
		}
	}
	return o.Log.check()
}

func (l *Log) check() error {
	if l.Format != "" && l.Format != "text" && l.Format != "json" {
		return fmt.Errorf("log.format: %q is neither text nor json", l.Format)
	}
	if l.Level != "" {
		if err := new(slog.Level).UnmarshalText([]byte(l.Level)); err != nil {
			return fmt.Errorf("log.level: %q is none of debug, info, warn and error", l.Level)
		}
	}
	return nil
}

// Faults are what is wrong with a file. As an error, they are one line.
type Faults struct {
	Path string
	All  []inifile.Fault
}

func (f *Faults) Error() string {
	text := fmt.Sprintf("configuration %s: %v", f.Path, f.All[0])
	if n := len(f.All) - 1; n > 0 {
		text += fmt.Sprintf(" (and %d more: cherryrelay check %s)", n, f.Path)
	}
	return text
}

// operator reads an operator's file over what is there. Sections are named after the objects of the platform's
// configuration and have the same keys in the same units, but for classes and tenants, which have a section each.
type operator struct {
	c       *Config
	faults  []inifile.Fault
	classes map[string]int // where they are in the settings
	tenants bool
}

func (c *Config) readOperator(path string, text []byte) error {
	if strings.HasPrefix(strings.TrimSpace(string(text)), "{") {
		return fmt.Errorf("configuration %s: it is JSON; operators' files are INI now, CHANGELOG.md says how to convert them", path)
	}
	f, faults := inifile.Parse(text)
	if len(faults) > 0 {
		return &Faults{path, faults}
	}
	o := &operator{c: c, classes: map[string]int{}}
	seen := map[string]int{}
	for i := range f.Sections {
		s := &f.Sections[i]
		if first := seen[s.Name]; first > 0 {
			o.fault(s.Line, "section [%.80s] stands in line %d, too", s.Name, first)
			continue
		}
		seen[s.Name] = s.Line
		o.section(s)
	}
	if len(o.faults) > 0 {
		return &Faults{path, o.faults}
	}
	if p := c.Pool; p != nil { // paths are as seen from the file that names them
		p.File, p.KeyFile = beside(path, p.File), beside(path, p.KeyFile)
	}
	if l := c.Ledger; l != nil {
		l.Directory, l.KeyFile = beside(path, l.Directory), beside(path, l.KeyFile)
	}
	if f := c.Fleet; f != nil {
		f.Ledgers = beside(path, f.Ledgers)
	}
	if s := c.State; s != nil {
		s.Directory = beside(path, s.Directory)
	}
	return nil
}

func beside(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

func (o *operator) fault(line int, format string, args ...any) {
	o.faults = append(o.faults, inifile.Fault{Line: line, Text: fmt.Sprintf(format, args...)})
}

func (o *operator) section(s *inifile.Section) {
	if name, ok := s.Named("class"); ok {
		o.class(s, name)
		return
	}
	if name, ok := s.Named("tenant"); ok {
		o.tenant(s, name)
		return
	}
	into, path := o.object(s.Name)
	if !into.IsValid() {
		o.fault(s.Line, "unknown section [%.80s]", s.Name)
		return
	}
	o.c.keys[strings.TrimSuffix(path, ".")] = true
	for i := range s.Keys {
		o.key(into, path, &s.Keys[i])
	}
}

// object is the part of the configuration that a section stands for, and the path to it.
func (o *operator) object(name string) (reflect.Value, string) {
	c := o.c
	if name == "controller" {
		return reflect.ValueOf(c).Elem(), ""
	}
	if c.Settings == nil && strings.HasPrefix(name+".", "settings.") {
		c.Settings = new(settings.Settings)
	}
	at := reflect.ValueOf(c).Elem()
	for part := range strings.SplitSeq(name, ".") {
		if at = field(at, part); !at.IsValid() {
			return at, ""
		}
		if at.Kind() == reflect.Pointer {
			if at.IsNil() {
				at.Set(reflect.New(at.Type().Elem()))
			}
			at = at.Elem()
		}
		if at.Kind() != reflect.Struct || part == "known" {
			return reflect.Value{}, ""
		}
	}
	return at, name + "."
}

// field is the field of an object that a key names.
func field(object reflect.Value, name string) reflect.Value {
	for _, f := range reflect.VisibleFields(object.Type()) {
		if f.Tag.Get("json") == name {
			return object.FieldByIndex(f.Index)
		}
	}
	return reflect.Value{}
}

// key sets one field.
func (o *operator) key(object reflect.Value, path string, key *inifile.Key) {
	at := field(object, key.Name)
	if !at.IsValid() || at.Kind() == reflect.Struct || at.Kind() == reflect.Pointer {
		o.fault(key.Line, "unknown key %.40q", key.Name)
		return
	}
	if err := set(at, key.Value); err != nil {
		o.fault(key.Line, "%s: %v", key.Name, err)
		return
	}
	o.c.keys[path+key.Name] = true
}

// set reads a value; lists have commas.
func set(at reflect.Value, text string) error {
	switch at.Kind() {
	case reflect.String:
		at.SetString(text)
	case reflect.Bool:
		v, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%.40q is neither true nor false", text)
		}
		at.SetBool(v)
	case reflect.Int, reflect.Int64:
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%.40q is no whole number", text)
		}
		at.SetInt(v)
	case reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v != v || v > 1e18 || v < -1e18 {
			return fmt.Errorf("%.40q is no number", text)
		}
		at.SetFloat(v)
	case reflect.Slice:
		list := reflect.MakeSlice(at.Type(), 0, 0)
		if text != "" {
			for part := range strings.SplitSeq(text, ",") {
				v := reflect.New(at.Type().Elem()).Elem()
				if err := set(v, strings.TrimSpace(part)); err != nil {
					return err
				}
				list = reflect.Append(list, v)
			}
		}
		at.Set(list)
	default:
		return fmt.Errorf("cannot be set here")
	}
	return nil
}

// classExtras are the keys of a class that the platform keeps elsewhere.
type classExtras struct {
	Pools []int `json:"pools"` // groups of dispatchers that may take it; empty for all
	Width int   `json:"width"` // of its calls; 0 for any
}

// class reads a section of a class. With the first one, those of the platform's file are gone.
func (o *operator) class(s *inifile.Section, name string) {
	c := o.c
	if c.Settings == nil {
		c.Settings = new(settings.Settings)
	}
	if len(o.classes) == 0 {
		c.Settings.RequestClasses = nil
		c.Settings.FamilyInfo.AllowedPools, c.Settings.FamilyInfo.ClassWidth = nil, nil
	}
	if name == "" {
		o.fault(s.Line, "[class] lacks a name")
		return
	}
	list := reflect.ValueOf(&c.Settings.RequestClasses).Elem()
	class := reflect.New(list.Type().Elem()).Elem()
	var extras classExtras
	more := reflect.ValueOf(&extras).Elem()
	class.FieldByName("Name").SetString(name)
	for i := range s.Keys {
		key := &s.Keys[i]
		at := field(class, key.Name)
		if !at.IsValid() {
			at = field(more, key.Name)
		}
		switch {
		case !at.IsValid() || key.Name == "name":
			o.fault(key.Line, "unknown key %.40q", key.Name)
		default:
			if err := set(at, key.Value); err != nil {
				o.fault(key.Line, "%s: %v", key.Name, err)
			}
		}
	}
	for _, f := range reflect.VisibleFields(class.Type()) {
		key := f.Tag.Get("json")
		if key != "name" && s.Get(key) == nil {
			o.fault(s.Line, "[%.80s] lacks the key %s", s.Name, key)
		}
		c.keys["settings.requestClasses[]."+key] = true
	}
	o.classes[name] = list.Len()
	list.Set(reflect.Append(list, class))
	c.Settings.FamilyInfo.AllowedPools = append(c.Settings.FamilyInfo.AllowedPools, extras.Pools)
	c.Settings.FamilyInfo.ClassWidth = append(c.Settings.FamilyInfo.ClassWidth, extras.Width)
	c.keys["settings.requestClasses"], c.keys["settings.requestClasses[]"] = true, true
}

// tenant reads a section of a tenant; it has no keys. With the first one, those of the platform's file are gone.
func (o *operator) tenant(s *inifile.Section, name string) {
	c := o.c
	if c.Settings == nil {
		c.Settings = new(settings.Settings)
	}
	if !o.tenants {
		c.Settings.Tenants, o.tenants = nil, true
	}
	if name == "" {
		o.fault(s.Line, "[tenant] lacks a name")
	}
	for _, key := range s.Keys {
		o.fault(key.Line, "unknown key %.40q", key.Name)
	}
	list := reflect.ValueOf(&c.Settings.Tenants).Elem()
	tenant := reflect.New(list.Type().Elem()).Elem()
	tenant.FieldByName("Name").SetString(name)
	list.Set(reflect.Append(list, tenant))
	c.keys["settings.tenants"], c.keys["settings.tenants[]"], c.keys["settings.tenants[].name"] = true, true, true
}
