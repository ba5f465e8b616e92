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

// Operator holds the options that only an operator's file can set.
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

// WebSocket configures the front for the call-control API.
type WebSocket struct {
	Listen string `json:"listen"`
	Path   string `json:"path"`
}

// State configures the directory for data that must survive a restart.
type State struct {
	Directory string `json:"directory"`
}

// Ledger configures how the state of calls is stored to survive a restart.
type Ledger struct {
	Directory           string `json:"directory"`
	KeyFile             string `json:"key_file"`   // file with the key for the MAC of the records; empty for no MAC
	Sync                string `json:"sync"`       // none, interval or always
	SegmentMB           int64  `json:"segment_mb"` // size of a segment; 0 for the default
	MaxMB               int64  `json:"most_mb"`    // limit on the size of the ledger; 0 for the default
	OnFailure           string `json:"on_failure"` // serve or refuse
	ResumeOverJSONLines bool   `json:"lines"`      // whether calls can be resumed over JSON lines, too
}

// SyncModes maps the values of the key sync to the sync modes of the ledger.
var SyncModes = map[string]ledger.Sync{"": ledger.SyncNone, "none": ledger.SyncNone, "interval": ledger.SyncInterval, "always": ledger.SyncAlways}

func (l *Ledger) check() error {
	_, known := SyncModes[l.Sync]
	switch {
	case l.Directory == "":
		return errors.New("ledger.directory: no directory is given")
	case !known:
		return fmt.Errorf("ledger.sync: %q is none of none, interval and always", l.Sync)
	case l.SegmentMB < 0 || l.MaxMB < 0 || l.MaxMB > 0 && l.MaxMB < 4*max(l.SegmentMB, ledger.DefaultSegmentSize>>20):
		return errors.New("ledger.most_mb: it must be at least four times segment_mb")
	case l.OnFailure != "" && l.OnFailure != "serve" && l.OnFailure != "refuse":
		return fmt.Errorf("ledger.on_failure: %q is neither serve nor refuse", l.OnFailure)
	}
	return nil
}

// Fleet configures the membership of this controller in the fleet of its site.
type Fleet struct {
	Endpoints []string `json:"endpoints"` // addresses of etcd
	Prefix    string   `json:"prefix"`    // prefix of the members' keys; a slash is appended
	Ledgers   string   `json:"ledgers"`   // directory shared by all controllers, with a ledger for each under its name; empty for none
	LeaseMs   int64    `json:"lease_ms"`  // duration of the lease; 0 for the default
}

// Lease returns how long a controller stays a member without renewing its lease.
func (f *Fleet) Lease() time.Duration {
	if f.LeaseMs == 0 {
		return membership.DefaultLease
	}
	return time.Duration(f.LeaseMs) * time.Millisecond
}

func (f *Fleet) check(name string, l *Ledger) error {
	if len(f.Endpoints) == 0 {
		return errors.New("fleet.endpoints: no endpoints are given")
	}
	for _, endpoint := range f.Endpoints {
		if err := checkAddress("fleet.endpoints", endpoint); err != nil {
			return err
		}
	}
	switch {
	case f.Prefix == "":
		return errors.New("fleet.prefix: no prefix is given")
	case f.Lease() < membership.MinLease || f.Lease() > membership.MaxLease:
		return fmt.Errorf("fleet.lease_ms: %d is not between %d and %d", f.LeaseMs, membership.MinLease.Milliseconds(), membership.MaxLease.Milliseconds())
	case name == "" || strings.Contains(name, "/"):
		return fmt.Errorf("fleet: the controller's name %.40q must not be empty or contain a slash, as it ends its key", name)
	case f.Ledgers != "" && l == nil:
		return errors.New("fleet.ledgers: it requires a section [ledger]")
	case f.Ledgers != "" && filepath.Clean(l.Directory) != filepath.Join(f.Ledgers, name):
		return fmt.Errorf("fleet.ledgers: ledger.directory must be %q", filepath.Join(f.Ledgers, name))
	}
	return nil
}

// Subset configures to how many of the listed dispatchers this controller connects. docs/subset.md describes the keys.
type Subset struct {
	Size          int    `json:"size"`     // dispatchers in the subset; 0 for the default
	MaxSize       int    `json:"most"`     // dispatchers in the subset after growth; 0 for the default
	Zone          string `json:"zone"`     // zone whose dispatchers are preferred; empty for none
	ShrinkAfterMs int64  `json:"quiet_ms"` // time without a need for growth until a grown subset shrinks; 0 for the default
}

// Options returns the options of the subset of a controller.
func (s *Subset) Options(controller string) subset.Options {
	return subset.Options{Identity: controller, Zone: s.Zone, Size: s.Size, GrowthLimit: s.MaxSize, ShrinkAfter: time.Duration(s.ShrinkAfterMs) * time.Millisecond}
}

const (
	// listedBytes is the memory for a listed dispatcher without a connection. It includes the memory for the text and the parsed parts of
	// a new list that is read while the old one is still active (docs/subset.md).
	listedBytes = 4 << 10
	// listShare is the share of the memory that the list may use.
	listShare = 0.75
	// MaxListed limits the dispatchers on a list. It is the only limit if the memory is not limited.
	MaxListed = 100_000
)

// ListLimit returns the maximum number of dispatchers on a list, for a limit on the memory in bytes; 0 is no limit.
func (s *Subset) ListLimit(memory int64) int {
	if memory <= 0 {
		return MaxListed
	}
	return min(int(listShare*float64(memory)/listedBytes), MaxListed)
}

func (s *Subset) check(controller string) error {
	if controller == "" {
		return errors.New("subset: the controller has no name, which the choice of dispatchers depends on")
	}
	if s.ShrinkAfterMs > maxQuietMs {
		return fmt.Errorf("subset.quiet_ms: %d is above %d, which is a day", s.ShrinkAfterMs, maxQuietMs)
	}
	if err := s.Options(controller).Check(); err != nil {
		return fmt.Errorf("subset.%w", err)
	}
	return nil
}

// maxQuietMs limits quiet_ms to a day.
const maxQuietMs = 24 * 60 * 60 * 1000

// Log configures the format and the level of the log.
type Log struct {
	Format string `json:"format"` // text or json
	Level  string `json:"level"`  // debug, info, warn or error
}

// check returns an error for the first option that is not valid.
func (o *Operator) check() error {
	if w := o.WebSocket; w != nil {
		if err := checkAddress("websocket.listen", w.Listen); err != nil {
			return err
		}
		if !strings.HasPrefix(w.Path, "/") {
			return fmt.Errorf("websocket.path: %q does not begin with a slash", w.Path)
		}
	}
	if o.Etcd != nil {
		if err := o.Etcd.Validate(); err != nil {
			return err //nolint:wrapcheck // the error names the key
		}
	}
	if o.Pool != nil && o.Pool.File == "" {
		return errors.New("pool.file: no file is given")
	}
	if s := o.State; s != nil {
		if info, err := os.Stat(s.Directory); err != nil || !info.IsDir() {
			return fmt.Errorf("state.directory: %q is not a directory", s.Directory)
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

// Faults holds all faults of a file. Its error text is a single line.
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

// operatorReader applies an operator's file to a configuration, whose values it overrides. Sections are named after the
// objects of the platform's configuration and have the same keys in the same units, except that each class and each tenant
// has a section of its own.
type operatorReader struct {
	c       *Config
	faults  []inifile.Fault
	classes map[string]int // index in the settings, by name
	tenants bool           // whether the file has a section for a tenant
}

func (c *Config) readOperator(path string, text []byte) error {
	if strings.HasPrefix(strings.TrimSpace(string(text)), "{") {
		return fmt.Errorf("configuration %s: it is JSON, but the format of operators' files is INI; CHANGELOG.md describes how to convert them", path)
	}
	f, faults := inifile.Parse(text)
	if len(faults) > 0 {
		return &Faults{path, faults}
	}
	o := &operatorReader{c: c, classes: map[string]int{}}
	seen := map[string]int{}
	for i := range f.Sections {
		s := &f.Sections[i]
		if first := seen[s.Name]; first > 0 {
			o.fault(s.Line, "section [%.80s] is already defined in line %d", s.Name, first)
			continue
		}
		seen[s.Name] = s.Line
		o.readSection(s)
	}
	if len(o.faults) > 0 {
		return &Faults{path, o.faults}
	}
	if p := c.Pool; p != nil { // paths are relative to the directory of the file that contains them
		p.File, p.KeyFile = resolvePath(path, p.File), resolvePath(path, p.KeyFile)
	}
	if l := c.Ledger; l != nil {
		l.Directory, l.KeyFile = resolvePath(path, l.Directory), resolvePath(path, l.KeyFile)
	}
	if f := c.Fleet; f != nil {
		f.Ledgers = resolvePath(path, f.Ledgers)
	}
	if s := c.State; s != nil {
		s.Directory = resolvePath(path, s.Directory)
	}
	return nil
}

// resolvePath returns a path that is relative to the directory of a file as one that is relative to the working directory.
func resolvePath(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

func (o *operatorReader) fault(line int, format string, args ...any) {
	o.faults = append(o.faults, inifile.Fault{Line: line, Text: fmt.Sprintf(format, args...)})
}

func (o *operatorReader) readSection(s *inifile.Section) {
	if name, ok := s.NameAfter("class"); ok {
		o.readClass(s, name)
		return
	}
	if name, ok := s.NameAfter("tenant"); ok {
		o.readTenant(s, name)
		return
	}
	target, path := o.object(s.Name)
	if !target.IsValid() {
		o.fault(s.Line, "unknown section [%.80s]", s.Name)
		return
	}
	o.c.keys[strings.TrimSuffix(path, ".")] = true
	for i := range s.Keys {
		o.readKey(target, path, &s.Keys[i])
	}
}

// object returns the part of the configuration that a section sets, and its path. It creates the part if it is nil.
func (o *operatorReader) object(name string) (reflect.Value, string) {
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

// field returns the field of an object whose JSON name is name, or the zero Value.
func field(object reflect.Value, name string) reflect.Value {
	for _, f := range reflect.VisibleFields(object.Type()) {
		if f.Tag.Get("json") == name {
			return object.FieldByIndex(f.Index)
		}
	}
	return reflect.Value{}
}

// readKey sets the field that a key names.
func (o *operatorReader) readKey(object reflect.Value, path string, key *inifile.Key) {
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

// set parses a value into a field. The elements of a list are separated by commas.
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
			return fmt.Errorf("%.40q is not a whole number", text)
		}
		at.SetInt(v)
	case reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v != v || v > 1e18 || v < -1e18 {
			return fmt.Errorf("%.40q is not a number", text)
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
		return fmt.Errorf("this key cannot be set here")
	}
	return nil
}

// classExtras holds the keys of a class that the platform's configuration has outside of requestClasses.
type classExtras struct {
	Pools []int `json:"pools"` // groups of dispatchers that accept the class; empty for all
	Width int   `json:"width"` // width of its calls; 0 for any
}

// readClass reads the section of a class. The first one removes the classes of the platform's file.
func (o *operatorReader) readClass(s *inifile.Section, name string) {
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
	extraFields := reflect.ValueOf(&extras).Elem()
	class.FieldByName("Name").SetString(name)
	for i := range s.Keys {
		key := &s.Keys[i]
		at := field(class, key.Name)
		if !at.IsValid() {
			at = field(extraFields, key.Name)
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

// readTenant reads the section of a tenant, which has no keys. The first one removes the tenants of the platform's file.
func (o *operatorReader) readTenant(s *inifile.Section, name string) {
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
