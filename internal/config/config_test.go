package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/lists/files"
)

// Configuration files of the repository. A controller must be able to start with each of them.
const (
	platformFile  = "../../example/config.json"
	gatewayFile   = "../../deploy/gateway.ini"
	webSocketFile = "../../example/websocket.ini"
)

func TestRepositoryFiles(t *testing.T) {
	for name, env := range map[string]map[string]string{
		"platform":             {"LB_CONFIG": platformFile, "LB_NAME": "n3", "LB_LISTEN": "127.0.0.9:1"},
		"gateway":              {"LB_OPERATOR": gatewayFile},
		"platform with an API": {"LB_CONFIG": platformFile, "LB_OPERATOR": webSocketFile},
	} {
		c, err := Read(func(key string) string { return env[key] })
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if enabled := c.WebSocket != nil; enabled != (env["LB_OPERATOR"] != "") {
			t.Errorf("%s: call-control API enabled: %v", name, enabled)
		}
		if env["LB_NAME"] != "" && (c.Name != "n3" || c.Listen != "127.0.0.9:1") {
			t.Errorf("%s: name %q, address %q", name, c.Name, c.Listen)
		}
	}
}

// TestInvalidConfigurationIsReportedInOneLine checks that the error for each fault is a single line that names the key.
func TestInvalidConfigurationIsReportedInOneLine(t *testing.T) {
	platform, err := os.ReadFile(platformFile)
	if err != nil {
		t.Fatal(err)
	}
	operator, err := os.ReadFile(gatewayFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ file, from, to, want string }{
		{"c", `"127.0.0.1:5060"`, `"5060"`, "listen"},
		{"c", `"8c1f30d27a5be964"`, `"seed"`, "seed"},
		{"c", `"skills"`, `"star"`, "layout"},
		{"c", `"settings"`, `"other"`, "settings"},
		{"c", `"listen"`, "\n\n", "configuration"},
		{"c", `"connectTimeoutUs": 500000`, `"connectTimeoutUs": 0`, "connectTimeoutUs"},
		{"c", string(platform), "", "configuration"},
		{"c", string(platform)[len(platform)/2:], "", "configuration"},
		{"c", `"sendCap": 5`, `"sendCap": 0`, "sendCap"},
		{"c", `"sendCap": 5`, `"sendCap": "five"`, "configuration"},
		{"c", `"deadlineUs": 9000000`, `"deadlineUs": -5`, "deadline"},
		{"c", `"deadlineUs": 9000000`, `"deadlineUs": null`, "requestClasses[].deadlineUs is missing"},
		{"c", `"guardUs"`, `"guard"`, "settings.familyInfo.guardUs is missing"},
		{"c", `"sockets"`, `"descriptors"`, "limits.sockets is missing"},
		{"c", `"coordinator"`, `"coordinators"`, "coordinator is missing"},
		{"o", "peersTotal", "peers", `line 23: unknown key "peers"`},
		{"o", "peersTotal = 5\n", "", "settings.peersTotal is missing"},
		{"o", "aimUs = 1500000\n", "", "line 48: [class send-setup] lacks the key aimUs"},
		{"o", "aimUs = 1500000", "aimUs = soon", `line 49: aimUs: "soon" is not a whole number`},
		{"o", "mayCancel = true", "mayCancel = perhaps", `line 30: mayCancel: "perhaps" is neither true nor false`},
		{"o", "worth = 1", "worth = NaN", `line 51: worth: "NaN" is not a number`},
		{"o", "path = /v1/calls", "path = v1", "websocket.path"},
		{"o", "[websocket]", "[websockets]", "line 13: unknown section [websockets]"},
		{"o", "[limits]", "[controller]", "line 9: section [controller] is already defined in line 4"},
		{"o", "[limits]", "[known]", "unknown section [known]"},
		{"o", "[class send-setup]", "[class]", "lacks a name"},
		{"o", "memory_mb", "settings", `unknown key "settings"`},
		{"o", "127.0.0.1:2379", "", "endpoints"},
		{"o", "/cherryrelay/dispatchers/", "", "prefix"},
		{"o", "[etcd]", "[pool]\nfile = x\n[etcd]", "only one list of dispatchers"},
		{"o", "[etcd]", "[pool]\n[etcd]", "no file is given"},
		{"o", "[etcd]", "[state]\ndirectory = nowhere\n[etcd]", "state.directory"},
		{"o", "[etcd]", "[log]\nformat = xml\n[etcd]", "log.format"},
		{"o", "[etcd]", "[log]\nlevel = loud\n[etcd]", "log.level"},
		{"o", "[etcd]", "[ledger]\n[etcd]", "ledger.directory"},
		{"o", "[etcd]", "[ledger]\ndirectory = x\nsync = often\n[etcd]", "ledger.sync"},
		{"o", "[etcd]", "[ledger]\ndirectory = x\nmost_mb = 3\n[etcd]", "ledger.most_mb"},
		{"o", "[etcd]", "[ledger]\ndirectory = x\non_failure = stop\n[etcd]", "ledger.on_failure"},
		{"o", "[etcd]", "[subset]\nsize = many\n[etcd]", "is not a whole number"},
		{"o", "[etcd]", "[subset]\nsize = -1\n[etcd]", "subset.size"},
		{"o", "[etcd]", "[subset]\nsize = 9\nmost = 8\n[etcd]", "subset.most"},
		{"o", "[etcd]", "[subset]\nquiet_ms = -1\n[etcd]", "subset.quiet_ms"},
		{"o", "[etcd]", "[subset]\nquiet_ms = 86400001\n[etcd]", "subset.quiet_ms"},
		{"o", "[etcd]", "[subset]\nrank = 1\n[etcd]", "unknown key \"rank\""},
		{"o", "[etcd]", "[fleet]\nprefix = /p\n[etcd]", "fleet.endpoints"},
		{"o", "[etcd]", "[fleet]\nendpoints = h\nprefix = /p\n[etcd]", "fleet.endpoints"},
		{"o", "[etcd]", "[fleet]\nendpoints = h:1\n[etcd]", "fleet.prefix"},
		{"o", "[etcd]", "[fleet]\nendpoints = h:1\nprefix = /p\nlease_ms = 999\n[etcd]", "fleet.lease_ms"},
		{"o", "[etcd]", "[fleet]\nendpoints = h:1\nprefix = /p\nlease_ms = 30001\n[etcd]", "fleet.lease_ms"},
		{"o", "[etcd]", "[fleet]\nendpoints = h:1\nprefix = /p\nledgers = /l\n[etcd]", "it requires a section [ledger]"},
		{"o", "[etcd]", "[fleet]\nendpoints = h:1\nprefix = /p\nledgers = /l\n[ledger]\ndirectory = /l/other\n[etcd]", "ledger.directory must be"},
		{"o", "[etcd]", "[fleet]\nendpoints = h:1\nprefix = /p\ncolour = red\n[etcd]", "unknown key \"colour\""},
		{"o", string(operator), "{}", "it is JSON"},
	} {
		key, text := "LB_CONFIG", string(platform)
		if test.file == "o" {
			key, text = "LB_OPERATOR", string(operator)
		}
		invalid := strings.Replace(text, test.from, test.to, 1)
		if invalid == text {
			t.Errorf("the file does not contain %s", test.from)
		}
		path := filepath.Join(t.TempDir(), "config")
		if err := os.WriteFile(path, []byte(invalid), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(func(k string) string { return map[string]string{key: path}[k] })
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s replaced by %s: error %q, want one line that contains %s", test.from, test.to, err, test.want)
		}
	}
}

// TestOperatorFile reads lists, classes and tenants from an operator's file, and checks that its keys override those of the
// platform's file.
func TestOperatorFile(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "operator.ini")
	text := "[pool]\nfile = pool.ini\nkey_file = /k\n[state]\ndirectory = .\n[limits]\nsockets = 7\n[log]\nlevel = warn\n[controller]\nseed = ff\n" +
		"[tenant north]\n[tenant south]\n[settings.report]\nfields = idle\n"
	for _, name := range []string{"a", "b"} {
		text += "[class " + name + "]\naimUs = 1\ndeadlineUs = 2\ngroup = all\nlateValue = 0.5\nsemantics = read_like\nwindowUs = 3\nworth = 1\n"
	}
	text += "pools = 1, 2\nwidth = 4\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Read(func(k string) string { return map[string]string{"LB_CONFIG": platformFile, "LB_OPERATOR": path}[k] })
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	got := []any{*c.Pool, c.State.Directory, c.Limits.Sockets, c.Limits.MemoryMB, c.Log.Level, c.Seed, len(s.Tenants), s.Tenants[1].Name,
		s.Report.Fields, len(s.RequestClasses), s.RequestClasses[1].Name, s.RequestClasses[0].LateValue, s.FamilyInfo.AllowedPools, s.FamilyInfo.ClassWidth}
	want := []any{files.Options{File: filepath.Join(directory, "pool.ini"), KeyFile: "/k"}, directory, 7, int64(192), "warn", "ff", 2, "south",
		[]string{"idle"}, 2, "b", 0.5, [][]int{nil, {1, 2}}, []int{0, 4}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestReplacementWithoutKeyIsRejected guards against a reload of a truncated file: a configuration that lacks a key of the
// previous one is rejected, even if nothing reads that key.
func TestReplacementWithoutKeyIsRejected(t *testing.T) {
	read := func(from, to string) *Config {
		t.Helper()
		platform, err := os.ReadFile(platformFile)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(strings.Replace(string(platform), from, to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(func(k string) string { return map[string]string{"LB_CONFIG": path}[k] })
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	base, extended := read("", ""), read(`"sockets"`, `"cores": 0.25, "sockets"`)
	if err := extended.CheckReplacement(base); err != nil {
		t.Errorf("configuration with an additional key: %v", err)
	}
	if err := base.CheckReplacement(extended); err == nil || !strings.Contains(err.Error(), "limits.cores") {
		t.Errorf("configuration without a key: error %v, want one that names limits.cores", err)
	}
	if err := read(`"updates"`, `"later": [], "updates"`).CheckReplacement(read(`"updates"`, `"other": [], "updates"`)); err != nil {
		t.Errorf("configuration with other known dispatchers: %v", err)
	}
}
