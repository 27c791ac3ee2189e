package slopes

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
)

// TableHeader is the header line of the table of results.
const TableHeader = "quantity\tunit\tper\tslope\tintercept\tlargest deviation\tR2\tsizes\n"

// WriteTable writes results as a table with aligned columns.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, TableHeader); err != nil {
		return err
	}
	for _, r := range results {
		first, last := r.Points[0], r.Points[len(r.Points)-1]
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f%%\t%.4f\t%.0f to %.0f\n", r.Name, r.Unit, r.Per,
			formatNumber(r.Slope), formatNumber(r.Intercept), 100*r.MaxDeviation, r.R2, first.Size, last.Size)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

// maxRoundingError is the absolute value below which a number counts as a rounding
// error.
const maxRoundingError = 1e-6

// formatNumber formats a value with three significant digits and no exponent.
func formatNumber(v float64) string {
	if math.Abs(v) < maxRoundingError {
		return "0"
	}
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'e', 2, 64), 64)
	if err != nil {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}

// WriteMarkdown writes results in the format of the table of slopes in
// docs/CAPACITY.md.
func WriteMarkdown(w io.Writer, results []Result) error {
	_, err := io.WriteString(w, "| slope | unit | per | slope | intercept | largest deviation, R2 | sizes: values |\n| --- | --- | --- | ---: | ---: | --- | --- |\n")
	if err != nil {
		return err
	}
	for _, r := range results {
		var points []string
		for _, p := range r.Points {
			points = append(points, formatNumber(p.Size)+": "+formatNumber(p.Value))
		}
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s | %.0f%%, %.3f | %s |\n", r.Name, r.Unit, r.Per,
			formatNumber(r.Slope), formatNumber(r.Intercept), 100*r.MaxDeviation, r.R2, strings.Join(points, "; ")); err != nil {
			return err
		}
	}
	return nil
}
