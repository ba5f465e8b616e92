package mutants

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writeTestModule writes a small module with tests that pass, fail or loop, and returns its directory.
func writeTestModule(t *testing.T) (root string) {
	t.Helper()
	root = t.TempDir()
	for name, text := range map[string]string{
		"go.mod":    "module tiny\n\ngo 1.26.0\n",
		"add.go":    "package tiny\n\nfunc add(a, b int) int { return a + b }\n\nfunc unused() int { return 0 }\n",
		"spin.go":   "package tiny\n\nfunc spins() bool { return false }\n",
		"a_test.go": "package tiny\n\nimport \"testing\"\n\nfunc TestAdd(t *testing.T) {\n\tt.Run(\"ones\", func(t *testing.T) {\n\t\tif add(1, 1) != 2 {\n\t\t\tt.Error(\"wrong\")\n\t\t}\n\t})\n}\n\nfunc TestRed(t *testing.T) { t.Error(\"red\") }\n\nfunc TestSpins(t *testing.T) {\n\tfor spins() {\n\t}\n}\n",
	} {
		if err := os.WriteFile(filepath.Join(root, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return root
}

var addTests = Tests{".", "TestAdd"}

// TestTheListApplies guards against a list whose texts no longer match the sources.
func TestTheListApplies(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(root, List()); err != nil {
		t.Error(err)
	}
	for _, m := range List() {
		if m.Tests.Packages == "" || m.Row == "" {
			t.Errorf("%s has no packages or no row", m.Name)
		}
	}
}

// TestAListWithFaultsIsRefused guards against mutants that change nothing, or not the place that their entry describes.
func TestAListWithFaultsIsRefused(t *testing.T) {
	t.Parallel()
	root := writeTestModule(t)
	mutantOfAdd := func(text, replacement string) Mutant {
		return Mutant{Name: "m", File: "add.go", Text: text, Replacement: replacement}
	}
	for name, test := range map[string]struct {
		list []Mutant
		want error
	}{
		"text missing from the file":  {[]Mutant{mutantOfAdd("a - b", "0")}, ErrTextNotFound},
		"empty text":                  {[]Mutant{mutantOfAdd("", "0")}, ErrTextNotFound},
		"text twice in the file":      {[]Mutant{mutantOfAdd("return", "panic")}, ErrAmbiguous},
		"replacement equals the text": {[]Mutant{mutantOfAdd("a + b", "a + b")}, ErrUnchanged},
		"no such file":                {[]Mutant{{Name: "m", File: "sub.go", Text: "a + b", Replacement: "0"}}, os.ErrNotExist},
		"duplicate name":              {[]Mutant{mutantOfAdd("a + b", "0"), mutantOfAdd("return 0", "return 1")}, ErrDuplicateName},
		"valid":                       {[]Mutant{mutantOfAdd("a + b", "0")}, nil},
	} {
		if err := Check(root, test.list); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
}

// TestVerdicts guards against a mutant that counts as found although no test failed because of it.
func TestVerdicts(t *testing.T) {
	t.Parallel()
	root := writeTestModule(t)
	killed := Mutant{File: "add.go", Text: "a + b", Replacement: "a - b", Tests: addTests}
	survivor := Mutant{File: "add.go", Text: "return 0", Replacement: "return 1", Tests: addTests}
	modified := func(m Mutant, change func(*Mutant)) Mutant { change(&m); return m }
	for name, test := range map[string]struct {
		mutant  Mutant
		verdict Verdict
		test    string
		err     error
	}{
		"a test fails":                           {killed, Found, "TestAdd/ones", nil},
		"no test fails":                          {survivor, NotFound, "", nil},
		"mutant does not compile":                {modified(killed, func(m *Mutant) { m.Replacement = "a +" }), Errored, "", ErrDoesNotCompile},
		"tests do not compile with the mutant":   {modified(killed, func(m *Mutant) { m.Text, m.Replacement = "func add", "func plus" }), Errored, "", ErrNoFailedTest},
		"mutant does not apply":                  {modified(killed, func(m *Mutant) { m.Text = "a * b" }), Errored, "", ErrTextNotFound},
		"tests fail without the mutant":          {modified(killed, func(m *Mutant) { m.Tests.Run = "TestAdd|TestRed" }), Errored, "", ErrBaselineFails},
		"no test matches":                        {modified(killed, func(m *Mutant) { m.Tests.Run = "TestNothing" }), Errored, "", ErrNoTests},
		"mutant panics":                          {modified(killed, func(m *Mutant) { m.Replacement = "a / (b - 1)" }), Found, "TestAdd/ones", nil},
		"tests do not end":                       {Mutant{File: "spin.go", Text: "false", Replacement: "true", Tests: Tests{".", "TestSpins"}}, TimedOut, "", nil},
		"no test fails for an equivalent mutant": {modified(survivor, func(m *Mutant) { m.Equivalent = "unused function" }), Equivalent, "", nil},
		"a test fails for an equivalent mutant":  {modified(killed, func(m *Mutant) { m.Equivalent = "unused function" }), Errored, "", ErrNotEquivalent},
	} {
		t.Run(name, func(t *testing.T) {
			p := Runner{Root: root, Timeout: time.Minute, Parallel: 1}
			if test.verdict == TimedOut {
				p.Timeout = 2 * time.Second
			}
			test.mutant.Name = "m"
			results := 0
			p.Run(context.Background(), []Mutant{test.mutant}, func(r Result) {
				results++
				if r.Verdict != test.verdict || r.Test != test.test || !errors.Is(r.Err, test.err) {
					t.Errorf("%s by %q, %v; want %s by %q, %v", r.Verdict, r.Test, r.Err, test.verdict, test.test, test.err)
				}
			})
			if results != 1 {
				t.Errorf("%d results, want 1", results)
			}
		})
	}
}
