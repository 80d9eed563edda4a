// Package jujubeslope measures the resource usage of one entry instance at four or more sizes and fits lines to the points.
// docs/CAPACITY.md extrapolates to the target size with these lines.
package jujubeslope

import "math"

// Point is a value measured at a size.
type Point struct {
	Size  float64
	Value float64
}

// Fit is a least-squares line: Value = Intercept + Slope * Size.
type Fit struct {
	Intercept float64
	Slope     float64
	// R2 is the coefficient of determination; 1 if all values are equal.
	R2 float64
}

// FitLine returns the least-squares line through the points. If all points have the same size, the slope is 0.
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
	var residual float64
	for _, p := range points {
		residual += math.Pow(p.Value-fit.At(p.Size), 2)
	}
	if values > 0 {
		fit.R2 = 1 - residual/values
	}
	return fit
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }
