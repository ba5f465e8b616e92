package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// sortedCauses returns the causes in alphabetical order.
func sortedCauses(ends map[string]*hdrhistogram.Histogram) []string {
	return slices.Sorted(maps.Keys(ends))
}

// drawChart draws one line for each cause: the share of certain ends that were reported by a time after the loss.
func drawChart(path string, ends map[string]*hdrhistogram.Histogram) error {
	p := plot.New()
	p.Title.Text = "Reports of certain ends"
	p.X.Label.Text, p.Y.Label.Text = "ms after the loss", "share"
	p.Y.Min, p.Y.Max, p.X.Min = 0, 1, 0
	for i, cause := range sortedCauses(ends) {
		var points plotter.XYs
		for q := 0.0; q <= 100; q++ {
			points = append(points, plotter.XY{X: float64(ends[cause].ValueAtQuantile(q)), Y: q / 100})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(cause, line)
	}
	if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, path); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}
