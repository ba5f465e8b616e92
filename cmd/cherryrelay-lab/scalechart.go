package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cherryrelay/internal/scale"
)

func scaleChartCommand() *cobra.Command {
	return &cobra.Command{
		Use: "chart OUT.svg RESULT.json...", Short: "Draw a chart of the results of several sizes", Args: cobra.MinimumNArgs(2),
		Long: "Draws three figures over the number of controllers, each from the phase without faults: the total store requests per second, the total\n" +
			"watch messages per second, and the p99 of the time until a change of the list is active, in ms. Both axes are logarithmic.",
		RunE: func(_ *cobra.Command, args []string) error {
			reports, err := readReports(args[1:])
			if err != nil {
				return err
			}
			return drawScaleChart(args[0], reports)
		},
	}
}

// readReports reads the results and sorts them by the number of controllers.
func readReports(paths []string) ([]*scale.Report, error) {
	var all []*scale.Report
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err //nolint:wrapcheck // the error names its operation
		}
		var r scale.Report
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, &r)
	}
	slices.SortStableFunc(all, func(a, b *scale.Report) int { return cmp.Compare(a.Controllers, b.Controllers) })
	return all, nil
}

// drawScaleChart draws each figure as a series of points, one for each result.
func drawScaleChart(path string, reports []*scale.Report) error {
	p := plot.New()
	p.Title.Text = "Fleet without faults"
	p.X.Label.Text, p.Y.Label.Text = "controllers", "a second, or ms"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	for i, figure := range []struct {
		name string
		of   func(*scale.Report) float64
	}{
		{"store requests/s", func(r *scale.Report) float64 { return ordinaryPhase(r).Requests }},
		{"watch messages/s", func(r *scale.Report) float64 { return ordinaryPhase(r).WatchMessages }},
		{"in force, p99 ms", hollowP99Ms},
	} {
		var points plotter.XYs
		for _, r := range reports {
			if y := figure.of(r); y > 0 && r.Controllers > 0 { // 0 has no logarithm
				points = append(points, plotter.XY{X: float64(r.Controllers), Y: y})
			}
		}
		if len(points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		scatter.Color, scatter.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(scatter)
		p.Legend.Add(figure.name, scatter)
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}

// ordinaryPhase returns the phase without faults, or an empty phase if there is none.
func ordinaryPhase(r *scale.Report) scale.Phase {
	for _, p := range r.Phases {
		if p.Name == scale.OrdinaryPhase {
			return p
		}
	}
	return scale.Phase{}
}

// hollowP99Ms returns the p99 of the time until a change of the list is active at hollow controllers in the phase without faults, in
// milliseconds.
func hollowP99Ms(r *scale.Report) float64 {
	for _, f := range r.Staleness {
		if f.Phase == scale.OrdinaryPhase && f.Kind == scale.HollowKind && f.Change == scale.Change {
			return f.P99
		}
	}
	return 0
}
