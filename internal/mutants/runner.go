package mutants

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// Verdict is the outcome of running a mutant.
type Verdict string

// The verdicts. Only Found and Equivalent are passes.
const (
	Found    Verdict = "found"
	NotFound Verdict = "NOT FOUND"
	TimedOut Verdict = "TIMED OUT"
	Errored  Verdict = "ERROR"
	// Equivalent means that no test failed, as expected: the list has the reason why no test can detect the mutant.
	Equivalent Verdict = "equivalent"
)

// Errors of running a mutant.
var (
	// ErrDoesNotCompile means that the package of the mutant does not compile.
	ErrDoesNotCompile = errors.New("the mutant does not compile")
	// ErrNoTests means that the expression matches no test in one of its packages.
	ErrNoTests = errors.New("no test matches")
	// ErrBaselineFails means that the tests fail without the mutant.
	ErrBaselineFails = errors.New("the tests fail without a mutant")
	// ErrNoFailedTest means that the run failed but no test did, for example because the tests do not compile with the mutant.
	ErrNoFailedTest = errors.New("the test run failed, but no test did")
	// ErrNotEquivalent means that a test detects a mutant that the list calls equivalent.
	ErrNotEquivalent = errors.New("a test detects a mutant that the list calls equivalent")
)

// Result is the result of running a mutant.
type Result struct {
	Mutant  Mutant
	Verdict Verdict
	Test    string // the test that failed first
	Err     error
	Elapsed time.Duration
}

// Passed reports whether a test detected the mutant, or none can.
func (r *Result) Passed() bool { return r.Verdict == Found || r.Verdict == Equivalent }

// Runner runs the tests of a module against mutants.
type Runner struct {
	Root     string        // root directory of the module
	Timeout  time.Duration // time limit for the tests of one mutant
	Parallel int           // number of mutants that run at the same time
	Skip     string        // regular expression of tests to skip because they fail without a mutant; empty for none
}

// Run runs all mutants and calls report with each result as soon as it is known. Calls of report do not overlap.
func (p *Runner) Run(ctx context.Context, list []Mutant, report func(Result)) {
	baselineErrs := p.runBaseline(ctx, list)
	var mu sync.Mutex
	p.forEach(len(list), func(i int) {
		start := time.Now()
		r := p.runMutant(ctx, list[i], baselineErrs[list[i].Tests])
		r.Elapsed = time.Since(start)
		mu.Lock()
		defer mu.Unlock()
		report(r)
	})
}

// forEach calls f with each number below n, up to Parallel calls at a time.
func (p *Runner) forEach(n int, f func(i int)) {
	next := make(chan int)
	var workers sync.WaitGroup
	for range max(p.Parallel, 1) {
		workers.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	workers.Wait()
}

// runBaseline runs each set of tests on the unmodified sources, and returns the error of each set or nil.
func (p *Runner) runBaseline(ctx context.Context, list []Mutant) map[Tests]error {
	errs := map[Tests]error{}
	var sets []Tests
	for _, m := range list {
		if _, ok := errs[m.Tests]; !ok {
			errs[m.Tests] = nil
			sets = append(sets, m.Tests)
		}
	}
	var mu sync.Mutex
	p.forEach(len(sets), func(i int) {
		output, err := p.runTests(ctx, sets[i], "")
		mu.Lock()
		defer mu.Unlock()
		switch {
		case strings.Contains(output, "no tests to run") || strings.Contains(output, "no test files"):
			errs[sets[i]] = fmt.Errorf("%w: %s in %s", ErrNoTests, sets[i].Run, sets[i].Packages)
		case err != nil:
			errs[sets[i]] = fmt.Errorf("%w: %s", ErrBaselineFails, firstFailedTest(output))
		}
	})
	return errs
}

// runMutant builds one mutant and runs its tests.
func (p *Runner) runMutant(ctx context.Context, m Mutant, baselineErr error) Result {
	errorResult := func(err error) Result { return Result{Mutant: m, Verdict: Errored, Err: err} }
	if baselineErr != nil {
		return errorResult(baselineErr)
	}
	dir, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return errorResult(err)
	}
	defer os.RemoveAll(dir)
	overlayPath, err := p.writeOverlay(dir, &m)
	if err != nil {
		return errorResult(err)
	}
	if output, err := p.build(ctx, &m, overlayPath); err != nil {
		return errorResult(fmt.Errorf("%w: %s", ErrDoesNotCompile, output))
	}
	output, err := p.runTests(ctx, m.Tests, overlayPath)
	r := Result{Mutant: m, Verdict: verdictFromOutput(output, err)}
	switch {
	case r.Verdict == Found:
		r.Test = firstFailedTest(output)
		if m.Equivalent != "" {
			return errorResult(fmt.Errorf("%w: %s", ErrNotEquivalent, r.Test))
		}
	case r.Verdict == Errored && err != nil:
		r.Err = fmt.Errorf("%w: %s", ErrNoFailedTest, output)
	case r.Verdict == NotFound && m.Equivalent != "":
		r.Verdict = Equivalent
	}
	return r
}

// writeOverlay writes the modified file and the overlay that refers to it, and returns the path of the overlay.
func (p *Runner) writeOverlay(dir string, m *Mutant) (string, error) {
	source, err := m.Apply(p.Root)
	if err != nil {
		return "", err
	}
	mutatedFile := filepath.Join(dir, filepath.Base(m.File))
	if err := os.WriteFile(mutatedFile, source, 0o600); err != nil {
		return "", err
	}
	content, err := json.Marshal(map[string]map[string]string{"Replace": {filepath.Join(p.Root, m.File): mutatedFile}})
	if err != nil {
		return "", err
	}
	overlayPath := filepath.Join(dir, "overlay.json")
	return overlayPath, os.WriteFile(overlayPath, content, 0o600)
}

// build builds the package of the mutant.
func (p *Runner) build(ctx context.Context, m *Mutant, overlayPath string) (output string, err error) {
	return p.runGo(ctx, "build", "-overlay", overlayPath, "./"+filepath.Dir(m.File))
}

// runTests runs tests, with an overlay unless its path is empty.
func (p *Runner) runTests(ctx context.Context, tests Tests, overlayPath string) (output string, err error) {
	args := []string{"test", "-count=1", "-vet=off", "-failfast", "-p", "1", "-timeout", p.Timeout.String()}
	if overlayPath != "" {
		args = append(args, "-overlay", overlayPath)
	}
	if tests.Run != "" {
		args = append(args, "-run", tests.Run)
	}
	if p.Skip != "" {
		args = append(args, "-skip", p.Skip)
	}
	return p.runGo(ctx, append(args, strings.Fields(tests.Packages)...)...)
}

// runGo runs the go command in the root directory of the module.
func (p *Runner) runGo(ctx context.Context, args ...string) (output string, err error) {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = p.Root
	combined, err := cmd.CombinedOutput()
	return string(combined), err
}

// verdictFromOutput derives the verdict from the output and the error of go test.
func verdictFromOutput(output string, err error) Verdict {
	switch {
	case err == nil:
		return NotFound
	case strings.Contains(output, "[build failed]") || strings.Contains(output, "[setup failed]"):
		return Errored
	case strings.Contains(output, "panic: test timed out"):
		return TimedOut
	case firstFailedTest(output) == "":
		return Errored
	}
	return Found
}

var (
	failPattern  = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)
	panicPattern = regexp.MustCompile(`(?m)^panic: .*$`)
)

// firstFailedTest returns the name of the first failed test, with its subtest, or the message of a panic, or an empty string.
func firstFailedTest(output string) string {
	name := ""
	for _, match := range failPattern.FindAllStringSubmatch(output, -1) {
		if name != "" && !strings.HasPrefix(match[1], name+"/") {
			break
		}
		name = match[1]
	}
	if name == "" {
		return panicPattern.FindString(output)
	}
	return name
}
