package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"cherryrelay/internal/scale"
)

// workerCommandName is the subcommand with which this program starts itself as a worker process.
const workerCommandName = "scale-worker"

// scaleFlags holds the flags of a scale run. A negative number stands for the value of the scenario.
type scaleFlags struct {
	seed                        uint64
	controllers, real, services int
	program, json               string
	quiet                       bool
}

func scaleCommand() *cobra.Command {
	var f scaleFlags
	c := &cobra.Command{
		Use: "scale SCENARIO.ini", Short: "Run and measure a large fleet, most of it without callers",
		Long: "Runs hollow controllers, many in a process, and a few real ones that serve calls. Reports their resource usage and the time until\n" +
			"changes are active. Kinds of faults in a scenario: " + strings.Join(scale.EventKinds(), ", ") + ".\n" +
			"The exit status is 1 if a rule was broken or the run exceeded its limits; docs/scale.md describes both.",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error { return f.run(c, args[0]) },
	}
	c.Flags().IntVar(&f.controllers, "controllers", -1, "number of hollow controllers (default: that of the scenario)")
	c.Flags().IntVar(&f.real, "real", -1, "number of real controllers (default: that of the scenario)")
	c.Flags().IntVar(&f.services, "services", -1, "number of services (default: that of the scenario)")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the random events and their times")
	c.Flags().StringVar(&f.json, "json", "", "file for the result")
	c.Flags().StringVar(&f.program, "program", "", "program of the real controllers (default: cherryrelay in the directory of this program)")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "do not show progress")
	c.AddCommand(scaleChartCommand())
	return c
}

// scaleWorkerCommand returns the command of the worker processes that scale starts.
func scaleWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use: workerCommandName, Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return scale.RunWorker(os.Stdin, os.Stdout) },
	}
}

func (f *scaleFlags) run(c *cobra.Command, path string) error {
	s, err := f.scenario(c.ErrOrStderr(), path)
	if err != nil {
		return err
	}
	own, err := os.Executable()
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	if f.program == "" {
		f.program = filepath.Join(filepath.Dir(own), "cherryrelay")
	}
	o := scale.Options{Worker: []string{own, workerCommandName}, Program: []string{f.program}, Version: version(), Command: f.commandLine(path, s)}
	if !f.quiet {
		o.Progress = scaleProgress(c.ErrOrStderr())
	}
	r, err := scale.Run(c.Context(), s, f.seed, o)
	if err != nil {
		return fmt.Errorf("%w; repeat with: %s", err, o.Command)
	}
	if err := r.Print(c.OutOrStdout()); err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	if f.json != "" {
		text, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return err //nolint:wrapcheck // the error names its operation
		}
		if err := os.WriteFile(f.json, append(text, '\n'), 0o644); err != nil {
			return err //nolint:wrapcheck // the error names its operation
		}
	}
	if !r.Passed() {
		return fmt.Errorf("%d rules were broken", len(r.Violations))
	}
	return nil
}

// scenario reads the scenario and applies the flags that override it.
func (f *scaleFlags) scenario(errOut io.Writer, path string) (*scale.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names its operation
	}
	s, faults := scale.ReadScenario(text)
	for _, fault := range faults {
		fmt.Fprintf(errOut, "%s: %v\n", path, fault)
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%s is invalid, faults: %d", path, len(faults))
	}
	for _, flag := range []struct{ value, target *int }{{&f.controllers, &s.Controllers}, {&f.real, &s.RealControllers}, {&f.services, &s.Services}} {
		if *flag.value >= 0 {
			*flag.target = *flag.value
		}
	}
	return s, nil
}

// commandLine returns the command that repeats the run.
func (f *scaleFlags) commandLine(path string, s *scale.Scenario) string {
	return fmt.Sprintf("%s scale %s --controllers %d --real %d --services %d --seed %d", os.Args[0], path, s.Controllers, s.RealControllers, s.Services, f.seed)
}

// scaleProgress returns a function that redraws a progress bar in place.
func scaleProgress(out io.Writer) func(string, float64) {
	const width = 40
	return func(phase string, fraction float64) {
		done := int(max(min(fraction, 1), 0) * width)
		fmt.Fprintf(out, "\r[%s%s] %-12s", strings.Repeat("#", done), strings.Repeat(" ", width-done), phase)
		if fraction >= 1 {
			fmt.Fprint(out, "\r\033[K")
		}
	}
}
