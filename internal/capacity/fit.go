package capacity

import (
	"math"
	"slices"
)

// Line is a straight line through samples: value = Offset + Slope x size.
type Line struct {
	Slope, Offset float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Offset + l.Slope*size }

// point is a measured value at a size.
type point struct{ size, value float64 }

// leastSquares fits a line with the method of least squares. If all sizes are equal, the line is flat at the mean.
func leastSquares(points []point) Line {
	if len(points) == 0 {
		return Line{}
	}
	n := float64(len(points))
	var sumSize, sumValue float64
	for _, p := range points {
		sumSize += p.size
		sumValue += p.value
	}
	meanSize, meanValue := sumSize/n, sumValue/n
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.size - meanSize) * (p.value - meanValue)
		variance += (p.size - meanSize) * (p.size - meanSize)
	}
	if variance == 0 {
		return Line{Offset: meanValue}
	}
	slope := covariance / variance
	return Line{Slope: slope, Offset: meanValue - slope*meanSize}
}

// Range holds the least and the greatest of a set of values.
type Range struct {
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
}

// Fit is the line fitted to one figure over all repetitions, with the spread between the single repetitions.
type Fit struct {
	Figure      string  `json:"figure"`
	Unit        string  `json:"unit"`
	Slope       float64 `json:"slope"`
	Offset      float64 `json:"offset"`
	Spread      Range   `json:"spread"` // slopes of the single repetitions
	Sizes       Range   `json:"sizes"`
	Repetitions int     `json:"plays"`
	// Residual is the greatest distance of a sample from the line, relative to the value of the line at the greatest size.
	Residual float64 `json:"residual"`
	AtSizes  []Row   `json:"at_sizes"`
}

// Row summarizes the values of a figure at one size.
type Row struct {
	Size   int     `json:"size"`
	Median float64 `json:"median"`
	Range  Range   `json:"range"`
}

// fitAll fits a line to each figure, in the order in which the figures first occur.
func fitAll(samples []Sample) []Fit {
	var all []Fit
	for _, s := range samples {
		for _, f := range s.Figures {
			if !slices.ContainsFunc(all, func(o Fit) bool { return o.Figure == f.Name }) {
				all = append(all, fitFigure(samples, f))
			}
		}
	}
	return all
}

// fitFigure fits a line to one figure.
func fitFigure(samples []Sample, figure Figure) Fit {
	var points []point
	byPlay, bySize := map[int][]point{}, map[int][]float64{}
	for _, s := range samples {
		for _, f := range s.Figures {
			if f.Name != figure.Name {
				continue
			}
			p := point{float64(s.Size), f.Value}
			points = append(points, p)
			byPlay[s.Repetition] = append(byPlay[s.Repetition], p)
			bySize[s.Size] = append(bySize[s.Size], f.Value)
		}
	}
	line := leastSquares(points)
	result := Fit{Figure: figure.Name, Unit: figure.Unit, Slope: line.Slope, Offset: line.Offset, Repetitions: len(byPlay)}
	var slopes, sizes []float64
	for _, ps := range byPlay {
		slopes = append(slopes, leastSquares(ps).Slope)
	}
	for size, values := range bySize {
		slices.Sort(values)
		sizes = append(sizes, float64(size))
		result.AtSizes = append(result.AtSizes, Row{Size: size, Median: values[len(values)/2], Range: rangeOf(values)})
	}
	slices.SortFunc(result.AtSizes, func(a, b Row) int { return a.Size - b.Size })
	result.Spread, result.Sizes = rangeOf(slopes), rangeOf(sizes)
	top := math.Abs(line.At(result.Sizes.Most))
	for _, p := range points {
		if top > 0 {
			result.Residual = max(result.Residual, math.Abs(p.value-line.At(p.size))/top)
		}
	}
	return result
}

func rangeOf(values []float64) Range {
	return Range{Least: slices.Min(values), Most: slices.Max(values)}
}
