package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed: CI passes over the tests that KNOWN-RED.txt names, and over no other; a fourth line fails it, and one that names none.
func TestKnownRed(t *testing.T) {
	line := func(name string) string { return name + ": some cause (issue 1)\n" }
	four := line("TestKnownRed") + line("TestUpgrade") + line("TestReload") + line("TestSignalsInADrain")
	for name, test := range map[string]struct {
		text, want string
		ok         bool
	}{
		"none":                 {"\n", "", true},
		"one":                  {line("TestKnownRed"), "^(TestKnownRed)$\n", true},
		"three":                {strings.Join(strings.SplitAfter(four, "\n")[:3], ""), "^(TestKnownRed|TestUpgrade|TestReload)$\n", true},
		"four":                 {four, "", false},
		"no such test":         {line("TestKnown"), "", false},
		"no cause":             {"TestKnownRed\n", "", false},
		"no issue":             {"TestKnownRed: some cause\n", "", false},
		"more than it says":    {"TestKnownRed|.*: some cause (issue 1)\n", "", false},
		"no line feed at last": {strings.TrimSpace(line("TestKnownRed")), "^(TestKnownRed)$\n", true},
	} {
		file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
		if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", "../.ci/known-red", file)
		got, err := cmd.Output()
		if (err == nil) != test.ok || string(got) != test.want {
			t.Errorf("%s: %q, %v; want %q, passes %v", name, got, err, test.want, test.ok)
		}
	}
}
