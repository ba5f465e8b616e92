// Command cherryrelay-lab runs trials: several controllers as processes, with fake peers and injected faults, whose calls are checked at
// both ends. It also measures one controller (capacity) and large fleets (scale), and runs the in-memory store alone.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"cherryrelay/internal/capacity"
	"cherryrelay/internal/store"
	"cherryrelay/internal/trial"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cherryrelay-lab:", err)
		stop()
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use: "cherryrelay-lab", Short: "Trials of several controllers under faults, and large fleets", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE:              func(c *cobra.Command, _ []string) error { return c.Help() },
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	c.AddCommand(trialCommand(), storeCommand())
	c.AddCommand(capacity.Command())
	c.AddCommand(scaleCommand(), scaleWorkerCommand())
	return c
}

func storeCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use: "store", Short: "Run the in-memory replacement of etcd alone until it is interrupted", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s := store.New(1)
			address, err := s.Listen(listen)
			if err != nil {
				return err //nolint:wrapcheck // the error names its operation
			}
			defer s.Close()
			fmt.Fprintln(c.OutOrStdout(), "serving at", address)
			<-c.Context().Done()
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:2379", "listen address")
	return c
}

// trialFlags holds the flags of a trial.
type trialFlags struct {
	seed        uint64
	seeds       int
	controllers int
	program     string
	out         string
	quiet       bool
}

func trialCommand() *cobra.Command {
	var t trialFlags
	c := &cobra.Command{
		Use: "trial SCENARIO.ini", Short: "Run a scenario, once or for many seeds",
		Long: "Runs a scenario on controllers that it starts as processes. Actions in a scenario:\n  " + strings.Join(trial.Actions(), ", ") +
			"\nThe exit status is 1 if a rule was broken; the command that repeats that seed is printed.",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error { return t.run(c, args[0]) },
	}
	c.Flags().Uint64Var(&t.seed, "seed", 1, "seed, or the first of several")
	c.Flags().IntVar(&t.seeds, "seeds", 1, "number of seeds")
	c.Flags().IntVar(&t.controllers, "controllers", 0, "number of controllers (default: that of the scenario)")
	c.Flags().StringVar(&t.program, "program", "", "controller program (default: cherryrelay in the directory of this program)")
	c.Flags().StringVar(&t.out, "out", "", "directory for the results: a JSON file for each seed, and a chart")
	c.Flags().BoolVar(&t.quiet, "quiet", false, "do not show progress")
	return c
}

func (t *trialFlags) run(c *cobra.Command, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	s, faults := trial.ReadScenario(text)
	for _, f := range faults {
		fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", path, f)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%s is invalid, faults: %d", path, len(faults))
	}
	if t.controllers > 0 {
		s.Controllers = t.controllers
	}
	if t.program == "" {
		own, err := os.Executable()
		if err != nil {
			return err //nolint:wrapcheck // the error names its operation
		}
		t.program = filepath.Join(filepath.Dir(own), "cherryrelay")
	}
	if t.out != "" {
		if err := os.MkdirAll(t.out, 0o755); err != nil {
			return err //nolint:wrapcheck // the error names its operation
		}
	}
	sum := summary{ends: map[string]*hdrhistogram.Histogram{}}
	for i := range t.seeds {
		if c.Context().Err() != nil {
			break
		}
		seed := t.seed + uint64(i)
		r, err := trial.RunScenario(s, seed, []string{t.program}, nil, version(), t.progress(c.ErrOrStderr(), i))
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if err := t.save(r); err != nil {
			return err
		}
		sum.add(r)
		if !r.Passed() {
			sum.failed++
			fmt.Fprintf(c.OutOrStdout(), "seed %d: %s\nrepeat with: %s trial %s --seed %d --controllers %d\n", seed,
				strings.Join(append(append([]string{fmt.Sprintf("%d unanswered, together %v", r.Unanswered, r.Converged)}, r.Violations...), r.LeaseViolations...), "\n  "),
				os.Args[0], path, seed, s.Controllers)
		}
	}
	if err := sum.print(c.OutOrStdout(), s); err != nil {
		return err
	}
	if t.out != "" {
		if err := drawChart(filepath.Join(t.out, "ends.svg"), sum.ends); err != nil {
			return err
		}
	}
	if sum.failed > 0 {
		return fmt.Errorf("%d of %d seeds broke a rule", sum.failed, sum.seeds)
	}
	return nil
}

// progress returns a function that redraws a progress bar in place.
func (t *trialFlags) progress(out io.Writer, seed int) func(float64) {
	if t.quiet {
		return func(float64) {}
	}
	const width = 40
	return func(fraction float64) {
		done := int(min(fraction, 1) * width)
		fmt.Fprintf(out, "\r%d of %d [%s%s]", seed+1, t.seeds, strings.Repeat("#", done), strings.Repeat(" ", width-done))
		if fraction >= 1 {
			fmt.Fprint(out, "\r\033[K")
		}
	}
}

// save writes a result as a JSON file, if there is a directory for results.
func (t *trialFlags) save(r *trial.Result) error {
	if t.out == "" {
		return nil
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	return os.WriteFile(filepath.Join(t.out, fmt.Sprintf("%d.json", r.Seed)), append(text, '\n'), 0o644) //nolint:wrapcheck // the error names its operation
}

// lostConnectionRow names the table row of the time until callers are notified about an established call whose connection was lost.
const lostConnectionRow = "a lost connection"

// summary adds up the results of all seeds.
type summary struct {
	seeds, failed                          int
	calls, setUps, unanswered, unconfirmed int
	steps, samples, resumes                int
	requests                               int
	durationMs                             int64
	ends                                   map[string]*hdrhistogram.Histogram // milliseconds until a certain end, by cause
}

func (s *summary) add(r *trial.Result) {
	s.seeds++
	s.calls, s.setUps, s.unanswered, s.unconfirmed = s.calls+r.Calls, s.setUps+r.SetUps, s.unanswered+r.Unanswered, s.unconfirmed+r.Unnotified
	s.steps, s.samples, s.requests, s.durationMs = s.steps+len(r.Plan), s.samples+r.Samples, s.requests+r.Store.Total(), s.durationMs+r.TookMs
	s.resumes += r.Resumes
	if len(r.ResumeDelaysMs) > 0 {
		r.EndDelays = append(r.EndDelays, trial.EndDelays{Cause: lostConnectionRow, Ms: r.ResumeDelaysMs})
	}
	for _, e := range r.EndDelays {
		h := s.ends[e.Cause]
		if h == nil {
			h = hdrhistogram.New(1, 600_000, 3)
			s.ends[e.Cause] = h
		}
		for _, ms := range e.Ms {
			_ = h.RecordValue(max(ms, 1)) // no end takes longer than ten minutes
		}
	}
}

func (s *summary) print(out io.Writer, scenario *trial.Scenario) error {
	if s.seeds == 0 {
		return errors.New("no seed was run")
	}
	fmt.Fprintf(out, "%d seeds, %d broke a rule; %d controllers, lease %v; %d deeds, %d calls, %d set-ups, %d resumes, %d unanswered, %d ends untold; %d samples of beliefs; %.1f store requests a second a controller\n",
		s.seeds, s.failed, scenario.Controllers, scenario.Lease, s.steps, s.calls, s.setUps, s.resumes, s.unanswered, s.unconfirmed, s.samples,
		float64(s.requests)/(float64(s.durationMs)/1000)/float64(scenario.Controllers))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "to a certain end, or a word, after\tcount\tp50 ms\tp90 ms\tp99 ms\tmax ms")
	for _, cause := range sortedCauses(s.ends) {
		h := s.ends[cause]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", cause, h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max())
	}
	return table.Flush() //nolint:wrapcheck // the error names its operation
}

// version returns the VCS revision of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
