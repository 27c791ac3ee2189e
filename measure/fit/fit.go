// Package fit fits a straight line to measurements and reports the deviation of
// the measurements from it.
package fit

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrTooFewSizes is returned if the points do not determine a line.
var ErrTooFewSizes = errors.New("fitting a line requires points of at least two sizes")

// Point is one measurement.
type Point struct {
	// Size is the independent variable.
	Size float64 `json:"size"`
	// Value is the measured quantity.
	Value float64 `json:"value"`
}

// Line is a least-squares line with measures of its goodness of fit.
type Line struct {
	// Slope is the change of the value per unit of size.
	Slope float64 `json:"slope"`
	// Intercept is the value at size 0.
	Intercept float64 `json:"intercept"`
	// MaxDeviation is the largest residual relative to the value of its point, or
	// relative to the mean value if the value of the point is 0.
	MaxDeviation float64 `json:"max_deviation"`
	// R2 is the coefficient of determination. It is 1 if all values are equal.
	R2 float64 `json:"r2"`
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the line with the smallest sum of squared residuals. The order of
// the points does not matter.
func Fit(points []Point) (Line, error) {
	n := float64(len(points))
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.Size / n
		meanValue += p.Value / n
	}
	// Centering at the means avoids a loss of precision for large offsets.
	var sizeSquares, crossProducts, valueSquares float64
	for _, p := range points {
		sizeSquares += (p.Size - meanSize) * (p.Size - meanSize)
		crossProducts += (p.Size - meanSize) * (p.Value - meanValue)
		valueSquares += (p.Value - meanValue) * (p.Value - meanValue)
	}
	if len(points) < 2 || sizeSquares == 0 {
		return Line{}, errors.WithStack(ErrTooFewSizes)
	}
	l := Line{Slope: crossProducts / sizeSquares, R2: 1}
	l.Intercept = meanValue - l.Slope*meanSize
	var residualSquares float64
	for _, p := range points {
		residual := p.Value - l.At(p.Size)
		residualSquares += residual * residual
		l.MaxDeviation = max(l.MaxDeviation, relativeDeviation(residual, p.Value, meanValue))
	}
	if valueSquares > 0 {
		l.R2 = 1 - residualSquares/valueSquares
	}
	return l, nil
}

// relativeDeviation returns the absolute residual as a fraction of the value, or
// of the mean value if the value is 0.
func relativeDeviation(residual, value, mean float64) float64 {
	if value == 0 {
		value = mean
	}
	if value == 0 {
		return 0
	}
	return math.Abs(residual / value)
}

// Median returns the median of values, which must not be empty.
func Median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
