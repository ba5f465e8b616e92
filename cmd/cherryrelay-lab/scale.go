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

// workerCommandName is the sub-command with which this program starts itself as a worker process.
const workerCommandName = "scale-worker"

// scaleFlags are the flags of a scale run. Negative numbers leave it to the scenario.
type scaleFlags struct {
	seed                        uint64
	controllers, real, services int
	program, json               string
	quiet                       bool
}

func scaleCommand() *cobra.Command {
	var f scaleFlags
	c := &cobra.Command{
		Use: "scale SCENARIO.ini", Short: "Run a large fleet, most of it without callers, and measure it",
		Long: "Runs hollow controllers, many in a process, beside a few real ones that carry calls, and tells what each takes and how long changes need\n" +
			"to be in force. What a fault of a scenario does: " + strings.Join(scale.Kinds(), ", ") + ".\n" +
			"Exit status 1 says that a rule was broken, or that the run was ended at its bounds; docs/scale.md has both.",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error { return f.run(c, args[0]) },
	}
	c.Flags().IntVar(&f.controllers, "controllers", -1, "hollow ones, in place of the scenario's")
	c.Flags().IntVar(&f.real, "real", -1, "in place of the scenario's")
	c.Flags().IntVar(&f.services, "services", -1, "in place of the scenario's")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "what is drawn, and when it happens")
	c.Flags().StringVar(&f.json, "json", "", "a file for the result")
	c.Flags().StringVar(&f.program, "program", "", "the real controller (else cherryrelay beside this program)")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "no progress")
	c.AddCommand(scaleChartCommand())
	return c
}

// scaleWorkerCommand is what the program is in the processes that scale starts.
func scaleWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use: workerCommandName, Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return scale.Work(os.Stdin, os.Stdout) },
	}
}

func (f *scaleFlags) run(c *cobra.Command, path string) error {
	s, err := f.scenario(c.ErrOrStderr(), path)
	if err != nil {
		return err
	}
	own, err := os.Executable()
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	if f.program == "" {
		f.program = filepath.Join(filepath.Dir(own), "cherryrelay")
	}
	o := scale.Options{Worker: []string{own, workerCommandName}, Program: []string{f.program}, Version: version(), Command: f.commandLine(path, s)}
	if !f.quiet {
		o.Progress = scaleProgress(c.ErrOrStderr())
	}
	r, err := scale.Play(c.Context(), s, f.seed, o)
	if err != nil {
		return fmt.Errorf("%w; played by: %s", err, o.Command)
	}
	if err := r.Print(c.OutOrStdout()); err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	if f.json != "" {
		text, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return err //nolint:wrapcheck // it says what it is
		}
		if err := os.WriteFile(f.json, append(text, '\n'), 0o644); err != nil {
			return err //nolint:wrapcheck // it says what it is
		}
	}
	if !r.Passed() {
		return fmt.Errorf("%d rules were broken", len(r.Faults))
	}
	return nil
}

// scenario reads the file, and what the flags put in its place.
func (f *scaleFlags) scenario(faultsTo io.Writer, path string) (*scale.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	s, faults := scale.Read(text)
	for _, fault := range faults {
		fmt.Fprintf(faultsTo, "%s: %v\n", path, fault)
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%s has faults: %d", path, len(faults))
	}
	for _, flag := range []struct{ value, into *int }{{&f.controllers, &s.Controllers}, {&f.real, &s.Real}, {&f.services, &s.Services}} {
		if *flag.value >= 0 {
			*flag.into = *flag.value
		}
	}
	return s, nil
}

// commandLine is the line that plays the run again.
func (f *scaleFlags) commandLine(path string, s *scale.Scenario) string {
	return fmt.Sprintf("%s scale %s --controllers %d --real %d --services %d --seed %d", os.Args[0], path, s.Controllers, s.Real, s.Services, f.seed)
}

// scaleProgress draws a bar that stays in its line.
func scaleProgress(out io.Writer) func(string, float64) {
	const wide = 40
	return func(phase string, part float64) {
		done := int(max(min(part, 1), 0) * wide)
		fmt.Fprintf(out, "\r[%s%s] %-12s", strings.Repeat("#", done), strings.Repeat(" ", wide-done), phase)
		if part >= 1 {
			fmt.Fprint(out, "\r\033[K")
		}
	}
}
