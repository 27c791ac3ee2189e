// Package fit fits a straight line to measurements and states how far they are
// from it.
package fit

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrTooFewSizes means that the points do not determine a line.
var ErrTooFewSizes = errors.New("a line needs points of at least two sizes")

// Point is one measurement.
type Point struct {
	// Size is the independent variable.
	Size float64 `json:"size"`
	// Value is the measured quantity.
	Value float64 `json:"value"`
}

// Line is a least-squares line with its residuals.
type Line struct {
	// Slope is the change of the value per unit of size.
	Slope float64 `json:"slope"`
	// Intercept is the value at size 0.
	Intercept float64 `json:"intercept"`
	// MaxDeviation is the largest distance of a point from the line, relative to
	// the value of the point. A value of 0 is compared with the mean value.
	MaxDeviation float64 `json:"max_deviation"`
	// R2 is the coefficient of determination; 1 if all values are equal and on
	// the line.
	R2 float64 `json:"r2"`
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the line with the smallest sum of squared distances. The order of
// the points does not matter.
func Fit(points []Point) (Line, error) {
	n := float64(len(points))
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.Size / n
		meanValue += p.Value / n
	}
	// Sums of products around the means lose no digits to large offsets.
	var sizes, products, values float64
	for _, p := range points {
		sizes += (p.Size - meanSize) * (p.Size - meanSize)
		products += (p.Size - meanSize) * (p.Value - meanValue)
		values += (p.Value - meanValue) * (p.Value - meanValue)
	}
	if len(points) < 2 || sizes == 0 {
		return Line{}, errors.WithStack(ErrTooFewSizes)
	}
	l := Line{Slope: products / sizes, R2: 1}
	l.Intercept = meanValue - l.Slope*meanSize
	var residuals float64
	for _, p := range points {
		distance := p.Value - l.At(p.Size)
		residuals += distance * distance
		l.MaxDeviation = max(l.MaxDeviation, relative(distance, p.Value, meanValue))
	}
	if values > 0 {
		l.R2 = 1 - residuals/values
	}
	return l, nil
}

// relative returns |distance| as a fraction of the value, or of the mean value
// if the value is 0.
func relative(distance, value, mean float64) float64 {
	if value == 0 {
		value = mean
	}
	if value == 0 {
		return 0
	}
	return math.Abs(distance / value)
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
