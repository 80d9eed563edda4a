// Package jujubeslope measures what one entry instance spends, at four sizes or more, and fits lines through the points.
// docs/CAPACITY.md works out the target size from these lines.
package jujubeslope

import "math"

// Point is one measured value.
type Point struct {
	Size  float64
	Value float64
}

// Fit is the least-squares line through points: Value = Intercept + Slope * Size.
type Fit struct {
	Intercept float64
	Slope     float64
	// R2 is the share of the variance that the line explains; 1 when the values don't vary.
	R2 float64
}

// FitLine returns the least-squares line. With a single size the line is flat.
func FitLine(points []Point) Fit {
	if len(points) == 0 {
		return Fit{}
	}
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.Size / float64(len(points))
		meanValue += p.Value / float64(len(points))
	}
	var covariance, sizes, values float64
	for _, p := range points {
		covariance += (p.Size - meanSize) * (p.Value - meanValue)
		sizes += (p.Size - meanSize) * (p.Size - meanSize)
		values += (p.Value - meanValue) * (p.Value - meanValue)
	}
	fit := Fit{Intercept: meanValue, R2: 1}
	if sizes > 0 {
		fit.Slope = covariance / sizes
		fit.Intercept -= fit.Slope * meanSize
	}
	var rest float64
	for _, p := range points {
		rest += math.Pow(p.Value-fit.At(p.Size), 2)
	}
	if values > 0 {
		fit.R2 = 1 - rest/values
	}
	return fit
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }
