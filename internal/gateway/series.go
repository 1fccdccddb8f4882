package gateway

import "strings"

// label is a label of a series.
type label struct{ name, value string }

// labelEscaper escapes the value of a label.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// String returns the label as it stands in the name of a series. Its value may come from outside the
// process and hold any bytes.
func (l label) String() string {
	return l.name + `="` + labelEscaper.Replace(strings.ToValidUTF8(l.value, "\uFFFD")) + `"`
}

// series returns the name of the series of a metric with these labels.
func series(metric string, labels ...label) string {
	var name strings.Builder
	name.WriteString(metric)
	separator := byte('{')
	for _, l := range labels {
		name.WriteByte(separator)
		name.WriteString(l.String())
		separator = ','
	}
	name.WriteByte('}')
	return name.String()
}

// hasLabel reports whether a series has a label. A quotation mark in a value is escaped, so no value
// can look like the label of another series.
func hasLabel(name string, l label) bool {
	return strings.Contains(name, "{"+l.String()) || strings.Contains(name, ","+l.String())
}
