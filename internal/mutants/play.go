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

// Verdict is what came of one mutant.
type Verdict string

// The verdicts. Found alone is a pass.
const (
	Found    Verdict = "found"
	NotFound Verdict = "NOT FOUND"
	TimedOut Verdict = "TIMED OUT"
	Faulty   Verdict = "ERROR"
	// Equivalent is a mutant that is on the list with the reason why no test can notice it, and that none has noticed.
	Equivalent Verdict = "equivalent"
)

// Errors of a play.
var (
	// ErrDoesNotCompile is a mutant that is no program.
	ErrDoesNotCompile = errors.New("the mutant does not compile")
	// ErrNoTests is an expression that matches no test in one of its packages.
	ErrNoTests = errors.New("no test matches")
	// ErrFailsAnyway is a set of tests that fails without a mutant.
	ErrFailsAnyway = errors.New("the tests fail without a mutant")
	// ErrNoVerdict is a run that ended without a test that failed, as where the tests do not compile with the mutant.
	ErrNoVerdict = errors.New("the tests did not run")
	// ErrNotEquivalent is a mutant that the list calls equivalent, and that a test notices.
	ErrNotEquivalent = errors.New("a test notices what the list calls equivalent")
)

// Result is what came of one mutant.
type Result struct {
	Mutant  Mutant
	Verdict Verdict
	Test    string // that failed first
	Err     error
	Took    time.Duration
}

// Passed reports whether nothing is wrong with the mutant or its tests.
func (r *Result) Passed() bool { return r.Verdict == Found || r.Verdict == Equivalent }

// Player plays mutants against the tests of a module.
type Player struct {
	Root     string        // of the module
	Limit    time.Duration // for the tests of one mutant
	Parallel int           // mutants that are played at once
	Skip     string        // an expression for tests that fail without a mutant; empty for none
}

// Play plays all mutants, and calls report with each result as it is known, one at a time.
func (p *Player) Play(ctx context.Context, list []Mutant, report func(Result)) {
	baseline := p.baseline(ctx, list)
	var mu sync.Mutex
	p.each(len(list), func(i int) {
		begun := time.Now()
		r := p.play(ctx, list[i], baseline[list[i].Tests])
		r.Took = time.Since(begun)
		mu.Lock()
		defer mu.Unlock()
		report(r)
	})
}

// each calls f with each number below n, Parallel at a time.
func (p *Player) each(n int, f func(i int)) {
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

// baseline runs each set of tests on the sources as they are, and returns what is wrong with it.
func (p *Player) baseline(ctx context.Context, list []Mutant) map[Tests]error {
	faults := map[Tests]error{}
	var sets []Tests
	for _, m := range list {
		if _, ok := faults[m.Tests]; !ok {
			faults[m.Tests] = nil
			sets = append(sets, m.Tests)
		}
	}
	var mu sync.Mutex
	p.each(len(sets), func(i int) {
		output, err := p.test(ctx, sets[i], "")
		mu.Lock()
		defer mu.Unlock()
		switch {
		case strings.Contains(output, "no tests to run") || strings.Contains(output, "no test files"):
			faults[sets[i]] = fmt.Errorf("%w: %s in %s", ErrNoTests, sets[i].Run, sets[i].Packages)
		case err != nil:
			faults[sets[i]] = fmt.Errorf("%w: %s", ErrFailsAnyway, failedTest(output))
		}
	})
	return faults
}

// play plays one mutant.
func (p *Player) play(ctx context.Context, m Mutant, baseline error) Result {
	faulty := func(err error) Result { return Result{Mutant: m, Verdict: Faulty, Err: err} }
	if baseline != nil {
		return faulty(baseline)
	}
	dir, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return faulty(err)
	}
	defer os.RemoveAll(dir)
	overlay, err := p.overlay(dir, &m)
	if err != nil {
		return faulty(err)
	}
	if output, err := p.build(ctx, &m, overlay); err != nil {
		return faulty(fmt.Errorf("%w: %s", ErrDoesNotCompile, output))
	}
	output, err := p.test(ctx, m.Tests, overlay)
	r := Result{Mutant: m, Verdict: verdictOf(output, err)}
	switch {
	case r.Verdict == Found:
		r.Test = failedTest(output)
		if m.Equivalent != "" {
			return faulty(fmt.Errorf("%w: %s", ErrNotEquivalent, r.Test))
		}
	case r.Verdict == Faulty && err != nil:
		r.Err = fmt.Errorf("%w: %s", ErrNoVerdict, output)
	case r.Verdict == NotFound && m.Equivalent != "":
		r.Verdict = Equivalent
	}
	return r
}

// overlay writes the mutant's file and the overlay that names it, and returns the path of the latter.
func (p *Player) overlay(dir string, m *Mutant) (string, error) {
	source, err := m.Apply(p.Root)
	if err != nil {
		return "", err
	}
	replacement := filepath.Join(dir, filepath.Base(m.File))
	if err := os.WriteFile(replacement, source, 0o600); err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]map[string]string{"Replace": {filepath.Join(p.Root, m.File): replacement}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, text, 0o600)
}

// build builds the package of the mutant.
func (p *Player) build(ctx context.Context, m *Mutant, overlay string) (output string, err error) {
	return p.command(ctx, "build", "-overlay", overlay, "./"+filepath.Dir(m.File))
}

// test runs tests, with an overlay if one is named.
func (p *Player) test(ctx context.Context, tests Tests, overlay string) (output string, err error) {
	args := []string{"test", "-count=1", "-vet=off", "-failfast", "-p", "1", "-timeout", p.Limit.String()}
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	if tests.Run != "" {
		args = append(args, "-run", tests.Run)
	}
	if p.Skip != "" {
		args = append(args, "-skip", p.Skip)
	}
	return p.command(ctx, append(args, strings.Fields(tests.Packages)...)...)
}

// command runs the go command in the module.
func (p *Player) command(ctx context.Context, args ...string) (output string, err error) {
	c := exec.CommandContext(ctx, "go", args...)
	c.Dir = p.Root
	text, err := c.CombinedOutput()
	return string(text), err
}

// verdictOf reads the verdict off the output of go test.
func verdictOf(output string, err error) Verdict {
	switch {
	case err == nil:
		return NotFound
	case strings.Contains(output, "[build failed]") || strings.Contains(output, "[setup failed]"):
		return Faulty
	case strings.Contains(output, "panic: test timed out"):
		return TimedOut
	case failedTest(output) == "":
		return Faulty
	}
	return Found
}

var (
	failed   = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)
	panicked = regexp.MustCompile(`(?m)^panic: .*$`)
)

// failedTest names the first test that failed, down to its subtest, or the panic that ended all; it is empty if there is neither.
func failedTest(output string) string {
	name := ""
	for _, match := range failed.FindAllStringSubmatch(output, -1) {
		if name != "" && !strings.HasPrefix(match[1], name+"/") {
			break
		}
		name = match[1]
	}
	if name == "" {
		return panicked.FindString(output)
	}
	return name
}
