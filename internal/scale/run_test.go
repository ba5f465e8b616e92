package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// workerEnv is the environment variable that makes this test program run as a worker process.
const workerEnv = "CHERRYRELAY_SCALE_WORKER"

func TestMain(m *testing.M) {
	if os.Getenv(workerEnv) != "" {
		if err := RunWorker(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// buildProgram builds the controller and returns its command.
func buildProgram(t *testing.T) []string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cherryrelay")
	if out, err := exec.Command("go", "build", "-o", path, "cherryrelay/cmd/cherryrelay").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return []string{path}
}

// readExample reads a scenario from example/scale.
func readExample(t *testing.T, name string) *Scenario {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "example", "scale", name))
	if err != nil {
		t.Fatal(err)
	}
	s, faults := ReadScenario(text)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return s
}

// mustRun runs a scenario, logs its report, and fails the test at errors and at violations of the rules of a run.
func mustRun(t *testing.T, s *Scenario, seed uint64) *Report {
	t.Helper()
	var program []string
	if s.RealControllers > 0 {
		program = buildProgram(t)
	}
	r, err := Run(t.Context(), s, seed, Options{Worker: []string{os.Args[0]}, Env: []string{workerEnv + "=1"}, Program: program})
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := r.Print(&text); err != nil {
		t.Error(err)
	}
	t.Log("\n" + text.String())
	for _, f := range r.Violations {
		t.Error(f)
	}
	return r
}

// TestSmallFleet injects each kind of fault once. Afterwards the fleet must converge, every controller must have the last change, the requests to
// the store must be within their limit, and the executed events must be those that the seed plans.
func TestSmallFleet(t *testing.T) {
	s := readExample(t, "small.ini")
	r := mustRun(t, s, 5)
	var planned []string
	for _, e := range s.Plan(5) {
		planned = append(planned, e.String())
	}
	if !slices.Equal(r.Events, planned) {
		t.Errorf("executed: %v\nplanned: %v", r.Events, planned)
	}
	if r.Processes > MaxProcesses || r.MemoryMB > MaxMemoryBytes>>20 {
		t.Errorf("%d processes and %d MB exceed the limits", r.Processes, r.MemoryMB)
	}
	if r.Latency.Calls == 0 {
		t.Error("no call was answered")
	}
	for _, kind := range []string{HollowKind, RealKind} {
		if !slices.ContainsFunc(r.Staleness, func(f StalenessRow) bool { return f.Kind == kind && f.Change == Settings && f.Count > 0 }) {
			t.Errorf("no %s controller reported a change of the settings", kind)
		}
		if !slices.ContainsFunc(r.Staleness, func(f StalenessRow) bool { return f.Kind == kind && f.Change == Change && f.Count > 0 }) {
			t.Errorf("no %s controller reported a change of the list", kind)
		}
	}
}
