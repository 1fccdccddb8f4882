package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Unit is the unit of a measured value.
type Unit string

// The units of measured values.
const (
	Nanoseconds    Unit = "ns"
	Bytes          Unit = "B"
	PerSecond      Unit = "1/s"
	BytesPerSecond Unit = "B/s"
)

// Quantity is one measured cost as a function of a size.
type Quantity struct {
	// ID names the quantity in the tables of docs/CAPACITY.md.
	ID string `json:"id"`
	// Help describes what is measured.
	Help string `json:"help"`
	Unit Unit   `json:"unit"`
	// Per names what the sizes count. The slope is the cost of one of these.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Line
}

// WriteTable writes the quantities as a table.
func WriteTable(w io.Writer, quantities []Quantity) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "quantity\tper\tunit\tsizes\tvalues\tslope\tintercept")
	for _, q := range quantities {
		sizes, values := make([]string, len(q.Points)), make([]string, len(q.Points))
		for i, p := range q.Points {
			sizes[i], values[i] = formatNumber(p.Size), formatNumber(p.Value)
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", q.ID, q.Per, q.Unit,
			strings.Join(sizes, " "), strings.Join(values, " "), formatNumber(q.Slope), formatNumber(q.Intercept))
	}
	return errors.Wrap(tw.Flush(), "capacity: write table")
}

// WriteJSON writes the quantities as one JSON array.
func WriteJSON(w io.Writer, quantities []Quantity) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(quantities), "capacity: write JSON")
}

// formatNumber formats v with four significant digits.
func formatNumber(v float64) string { return fmt.Sprintf("%.4g", v) }
