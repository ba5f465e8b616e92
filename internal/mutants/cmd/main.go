// Command cmd runs the tests of each mutant in the list. A mutant removes one mechanism from the sources, and its tests must fail.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cherryrelay/internal/mutants"
)

const (
	// defaultTimeout is the default time limit for the tests of one mutant.
	defaultTimeout = 3 * time.Minute
	// defaultParallel is the default number of mutants that run at the same time.
	defaultParallel = 2
)

func main() {
	name := flag.String("name", "", "run the mutant of this name and those whose names begin with it and a hyphen; empty for all")
	timeout := flag.Duration("limit", defaultTimeout, "time limit for the tests of one mutant")
	skip := flag.String("skip", "", "regular expression of tests to skip because they fail without a mutant")
	parallel := flag.Int("parallel", defaultParallel, "number of mutants that run at the same time")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root, err := filepath.Abs(".")
	if err != nil {
		fail(err)
	}
	list := selectByName(mutants.List(), *name)
	if len(list) == 0 {
		fail(fmt.Errorf("no mutant has the name or prefix %q", *name))
	}
	if err := mutants.Check(root, list); err != nil {
		fail(err)
	}
	if !runMutants(ctx, &mutants.Runner{Root: root, Timeout: *timeout, Parallel: *parallel, Skip: *skip}, list) {
		os.Exit(1)
	}
}

// selectByName returns the mutant with the given name and those whose names begin with it and a hyphen, or all if the name is empty.
func selectByName(list []mutants.Mutant, name string) []mutants.Mutant {
	return slices.DeleteFunc(slices.Clone(list), func(m mutants.Mutant) bool {
		return name != "" && m.Name != name && !strings.HasPrefix(m.Name, name+"-")
	})
}

// runMutants runs the mutants, prints a line for each, and reports whether all of them passed.
func runMutants(ctx context.Context, p *mutants.Runner, list []mutants.Mutant) bool {
	passed := 0
	p.Run(ctx, list, func(r mutants.Result) {
		if r.Passed() {
			passed++
		}
		fmt.Printf("%-10s  %-44s  %5.1f s  %s\n", r.Verdict, r.Mutant.Name, r.Elapsed.Seconds(), detail(r))
	})
	fmt.Printf("%d of %d mutants passed\n", passed, len(list))
	return passed == len(list)
}

// detail returns the error of a result, the reason why the mutant is equivalent, or the test that failed.
func detail(r mutants.Result) string {
	switch {
	case r.Err != nil:
		return r.Err.Error()
	case r.Verdict == mutants.Equivalent:
		return r.Mutant.Equivalent
	}
	return r.Test
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "mutants:", err)
	os.Exit(1)
}
