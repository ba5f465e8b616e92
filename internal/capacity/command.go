package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// options holds the flags of the command.
type options struct {
	sizes       []int
	repetitions int
	json        string
	program     string
	window      time.Duration
	sockets     int
	memoryMB    int64
	processes   int
	shownSize   int
}

// Command returns the command "cherryrelay-lab capacity".
func Command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "capacity MEASUREMENT", Short: "Measure the resource usage of one controller by size",
		Long: "Starts a controller with fake peers on loopback, measures the process at several sizes, and fits a line to each figure.\n" + measurementTable(),
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error { return o.run(c, args[0]) },
	}
	c.Flags().IntSliceVar(&o.sizes, "sizes", nil, "sizes (default: those of the measurement)")
	c.Flags().IntVar(&o.repetitions, "plays", 3, "number of repetitions of each size")
	c.Flags().StringVar(&o.json, "json", "", "file for all samples and fitted lines")
	c.Flags().StringVar(&o.program, "program", "", "controller program (default: cherryrelay in the directory of this program)")
	c.Flags().DurationVar(&o.window, "lasting", 4*time.Second, "length of the measured interval")
	c.Flags().IntVar(&o.sockets, "sockets", 20_000, "limits.sockets of the controller")
	c.Flags().Int64Var(&o.memoryMB, "memory-mb", 6144, "limit on the total memory of all processes")
	c.Flags().IntVar(&o.processes, "processes", 8, "limit on the number of processes")
	c.Flags().IntVar(&o.shownSize, "at", 0, "size at which the fitted lines are evaluated (default: that of the deployment)")
	c.AddCommand(relayCommand())
	return c
}

// measurementTable returns the help text that lists all measurements.
func measurementTable() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, m := range measurements {
		fmt.Fprintf(w, "  %s\t%s, by %s\n", m.Name, m.Short, m.SizeOf)
	}
	_ = w.Flush() // writing to a strings.Builder does not fail
	return b.String()
}

// Report is the JSON result of the command.
type Report struct {
	Measurement string   `json:"measurement"`
	SizeOf      string   `json:"size_of"`
	Command     string   `json:"command"`
	Begun       string   `json:"begun"`
	Samples     []Sample `json:"samples"`
	Fits        []Fit    `json:"fits"`
}

func (o *options) validate() error {
	switch {
	case o.repetitions < 1:
		return errors.New("--plays must be at least 1")
	case o.window <= 0:
		return errors.New("--lasting must be above 0")
	}
	for _, size := range o.sizes {
		if size < 1 {
			return errors.New("--sizes must be at least 1 each")
		}
	}
	return nil
}

func (o *options) run(c *cobra.Command, name string) error {
	m, err := findMeasurement(name)
	if err != nil {
		return err
	}
	if err := o.validate(); err != nil {
		return err
	}
	if len(o.sizes) == 0 {
		o.sizes = m.Sizes
	}
	if o.program == "" {
		own, err := ownProgram()
		if err != nil {
			return err
		}
		o.program = filepath.Join(filepath.Dir(own), "cherryrelay")
	}
	r := Report{Measurement: m.Name, SizeOf: m.SizeOf, Command: o.commandLine(m), Begun: time.Now().UTC().Format(time.RFC3339)}
	err = runMeasurement(c.Context(), m, *o, func(s Sample) {
		r.Samples = append(r.Samples, s)
		printProgress(c.ErrOrStderr(), s)
	})
	if o.shownSize == 0 {
		o.shownSize = m.At
	}
	r.Fits = fitAll(r.Samples)
	printFits(c.OutOrStdout(), r, o.shownSize)
	if o.json != "" {
		err = errors.Join(err, r.write(o.json))
	}
	return err
}

// commandLine returns the command that repeats the measurement.
func (o *options) commandLine(m Measurement) string {
	var sizes []string
	for _, s := range o.sizes {
		sizes = append(sizes, strconv.Itoa(s))
	}
	return fmt.Sprintf("bin/cherryrelay-lab capacity %s --sizes %s --plays %d --lasting %v --sockets %d", m.Name, strings.Join(sizes, ","), o.repetitions, o.window, o.sockets)
}

func (r Report) write(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	return os.WriteFile(path, append(text, '\n'), 0o644) //nolint:wrapcheck // the error names its operation
}

// printFits writes the fitted lines as a table, followed by the failed samples.
func printFits(out io.Writer, r Report, at int) {
	fmt.Fprintf(out, "%s, by %s; repeat with: %s\n", r.Measurement, r.SizeOf, r.Command)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "figure\tunit\tslope\tspread\toffset\tat %d\tresidual\tmedian (least to most) by size\n", at)
	for _, f := range r.Fits {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g to %.4g\t%.4g\t%.4g\t%.0f%%\t", f.Figure, f.Unit, f.Slope, f.Spread.Least, f.Spread.Most, f.Offset,
			Line{Slope: f.Slope, Offset: f.Offset}.At(float64(at)), 100*f.Residual)
		for _, row := range f.AtSizes {
			fmt.Fprintf(w, "%d: %.4g (%.4g to %.4g)  ", row.Size, row.Median, row.Range.Least, row.Range.Most)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // a failed write to the output cannot be reported there
	for _, s := range r.Samples {
		if s.Error != "" {
			fmt.Fprintf(out, "size %d, play %d failed: %s\n", s.Size, s.Repetition, s.Error)
		}
	}
}
