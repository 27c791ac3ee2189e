package fit

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong slope, intercept or residual of the line.
func TestFit(t *testing.T) {
	const delta = 1e-9
	for _, test := range []struct {
		name   string
		points []Point
		want   Line
	}{
		{"exact", []Point{{1, 5}, {2, 7}, {10, 23}}, Line{Slope: 2, Intercept: 3, R2: 1}},
		{"order", []Point{{10, 23}, {1, 5}, {2, 7}}, Line{Slope: 2, Intercept: 3, R2: 1}},
		{"falling", []Point{{0, 4}, {2, 0}}, Line{Slope: -2, Intercept: 4, R2: 1}},
		{"constant", []Point{{1, 6}, {2, 6}, {3, 6}}, Line{Intercept: 6, R2: 1}},
		{"zero", []Point{{1, 0}, {2, 0}}, Line{R2: 1}},
		// Expected values from the normal equations: means 1 and 1; slope 0;
		// residuals -1, 2, -1.
		{"no trend", []Point{{0, 0}, {1, 3}, {2, 0}}, Line{Intercept: 1, MaxDeviation: 1, R2: 0}},
		// Means 2 and 8/3; slope 4/2; residuals 1/3, -2/3, 1/3.
		{"residual", []Point{{1, 1}, {2, 2}, {3, 5}}, Line{Slope: 2, Intercept: -4.0 / 3, MaxDeviation: 1.0 / 3, R2: 1 - (6.0/9)/(26.0/3)}},
		{"equal sizes repeated", []Point{{1, 1}, {1, 3}, {2, 4}}, Line{Slope: 2, Intercept: 0, MaxDeviation: 1, R2: 1 - 2/(14.0/3)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := Fit(test.points)
			require.NoError(t, err)
			require.InDelta(t, test.want.Slope, got.Slope, delta)
			require.InDelta(t, test.want.Intercept, got.Intercept, delta)
			require.InDelta(t, test.want.MaxDeviation, got.MaxDeviation, delta)
			require.InDelta(t, test.want.R2, got.R2, delta)
		})
	}
}

// Guards against a line that is fitted to points that do not determine one.
func TestFitNeedsTwoSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}}, {{3, 1}, {3, 2}}} {
		_, err := Fit(points)
		require.ErrorIs(t, err, ErrTooFewSizes)
	}
}

// Guards against a line that does not minimize the squared residuals: a line with
// a slightly different slope or intercept must have a larger sum.
func TestFitIsLeastSquares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	squares := func(l Line, points []Point) (sum float64) {
		for _, p := range points {
			sum += (p.Value - l.At(p.Size)) * (p.Value - l.At(p.Size))
		}
		return sum
	}
	for range 100 {
		points := make([]Point, 5)
		for i := range points {
			points[i] = Point{Size: float64(i), Value: random.NormFloat64()}
		}
		best, err := Fit(points)
		require.NoError(t, err)
		for _, step := range []struct{ slope, intercept float64 }{{0.01, 0}, {-0.01, 0}, {0, 0.01}, {0, -0.01}} {
			other := Line{Slope: best.Slope + step.slope, Intercept: best.Intercept + step.intercept}
			require.Greater(t, squares(other, points), squares(best, points))
		}
	}
}

// Guards against a median that depends on the order or changes its argument.
func TestMedian(t *testing.T) {
	values := []float64{9, 1, 5}
	require.Equal(t, 5.0, Median(values))
	require.Equal(t, []float64{9, 1, 5}, values)
	require.Equal(t, 3.0, Median([]float64{4, 1, 2, 100}))
}
