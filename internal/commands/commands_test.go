package commands

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// poolText is a valid pool file.
const poolText = "[pool]\nformat = 1\nversion = spring\nservers = 2\n[server a]\naddress = 127.0.0.1:1\ngroup = 0\nweight = 1\n" +
	"[server b]\naddress = 127.0.0.1:2\ngroup = 1\nweight = 3\n[end]\n"

// writeFile writes a file and returns its path.
func writeFile(t *testing.T, directory, name, text string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
		t.Fatal(err)
	}
	return path
}

// runCommand runs a command with environment variables. Its command serve returns the log options as an error.
func runCommand(env map[string]string, args ...string) (status int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	serve := func(o Options) error { return errors.New("log format: " + o.LogFormat + ", log level: " + o.LogLevel) }
	status = Run(args, func(key string) string { return env[key] }, &stdout, &stderr, serve)
	return status, stdout.String(), stderr.String()
}

func TestCommands(t *testing.T) {
	directory := t.TempDir()
	good := writeFile(t, directory, "good.ini", poolText)
	other := writeFile(t, directory, "other.ini", strings.Replace(strings.Replace(poolText, "weight = 3", "weight = 4", 1), "server a", "server c", 1))
	invalid := writeFile(t, directory, "invalid.ini", strings.Replace(strings.Replace(poolText, "weight = 3", "weight = x", 1), "format = 1", "format = 1\nx = 1", 1))
	key := writeFile(t, directory, "key", "a key of more than sixteen bytes\n")
	operator := writeFile(t, directory, "operator.ini", "[pool]\nfile = good.ini\n[websocket]\nlisten = 127.0.0.1:1\npath = /v1/calls\n")
	wrong := writeFile(t, directory, "wrong.ini", "[pool]\nfiles = good.ini\n[nothing]\n")
	platform := map[string]string{"LB_CONFIG": "../../example/config.json"}
	for _, test := range []struct {
		env    map[string]string
		args   string
		status int
		out    string   // contained in the standard output
		errOut []string // contained in the lines of the standard error, one each
	}{
		{nil, "", 1, "", []string{"log format: , log level: "}},
		{nil, "serve --log-format json --log-level debug", 1, "", []string{"log format: json, log level: debug"}},
		{nil, "--log-format json", 1, "", []string{"log format: json, log level: "}},
		{nil, "nothing", 2, "", []string{`unknown command "nothing"`, "--help"}},
		{nil, "serve now", 2, "", []string{"unknown command", "--help"}},
		{nil, "pool check", 2, "", []string{"accepts 1 arg(s)", "--help"}},
		{nil, "pool check --keyfile x " + good, 2, "", []string{"unknown flag", "--help"}},
		{nil, "pool seal " + good, 2, "", []string{`"key-file" not set`, "--help"}},
		{nil, "version", 0, "cherryrelay ", nil},
		{nil, "check", 1, "", []string{"neither LB_CONFIG nor LB_OPERATOR"}},
		{platform, "check", 0, "is valid", nil},
		{nil, "check ../../example/config.json", 0, "is valid", nil},
		{nil, "check " + directory + "/nowhere", 1, "", []string{"no such file"}},
		{nil, "check " + good, 0, "2 servers, total weight 4", nil},
		{nil, "check " + wrong, 1, "", []string{`line 2: unknown key "files"`, "line 3: unknown section [nothing]", "has faults: 2"}},
		{map[string]string{"LB_CONFIG": platform["LB_CONFIG"], "LB_OPERATOR": operator}, "check", 0, "2 servers", nil},
		{nil, "pool check " + good, 0, `version "spring"`, nil},
		{nil, "pool check " + invalid, 1, "", []string{`line 3: unknown key "x"`, `line 13: weight: "x" is no whole number`, "has faults: 2"}},
		{nil, "pool check --key-file " + key + " " + good, 1, "", []string{"mac: missing", "has faults: 1"}},
		{nil, "pool diff " + good + " " + other, 0, "added c\nremoved a\nweighed b\n", nil},
		{nil, "pool diff " + good + " " + good, 0, "nothing changes\n", nil},
		{nil, "pool diff " + good + " " + invalid, 1, "", []string{"invalid.ini"}},
		{nil, "pool seal --key-file " + key + " " + invalid, 1, "", []string{"is not sealed"}},
		{nil, "pool seal --key-file " + invalid + ".none " + good, 1, "", []string{"key: there is no file"}},
		{nil, "pool seal --key-file " + key + " " + good, 0, "is sealed", nil},
		{nil, "pool check --key-file " + key + " " + good, 0, "2 servers", nil},
		{nil, "pool check " + good, 1, "", []string{"no key is configured", "has faults: 1"}},
		{nil, "pool show", 1, "", []string{"--management is not set"}},
	} {
		status, out, errOut := runCommand(test.env, strings.Fields(test.args)...)
		if status != test.status || !strings.Contains(out, test.out) || strings.Count(errOut, "\n") != len(test.errOut) {
			t.Errorf("%s: status %d, want %d; output %q, want %q; standard error %q", test.args, status, test.status, out, test.out, errOut)
			continue
		}
		lines := strings.Split(errOut, "\n")
		for i, want := range test.errOut {
			if !strings.Contains(lines[i], want) {
				t.Errorf("%s: printed %q, want %q", test.args, lines[i], want)
			}
		}
	}
	info, err := os.Stat(good)
	if err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("the sealed file has other permissions: %v %v", info.Mode(), err)
	}
}
