package slopes

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// TableHeader is the first line of the table of results.
const TableHeader = "quantity\tunit\tper\tslope\tintercept\tlargest deviation\tR2\tsizes\n"

// Table writes results as a table.
func Table(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, TableHeader); err != nil {
		return err
	}
	for _, r := range results {
		first, last := r.Points[0], r.Points[len(r.Points)-1]
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f%%\t%.4f\t%.0f to %.0f\n", r.Name, r.Unit, r.Per,
			number(r.Slope), number(r.Intercept), 100*r.MaxDeviation, r.R2, first.Size, last.Size)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

// number writes three significant digits without an exponent.
func number(v float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'e', 2, 64), 64)
	if err != nil {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
