package desired

import (
	"encoding"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Key is the path of the value. Elements of arrays are identified by name,
	// as in "service[tuner-assistant].slots".
	Key string `json:"key"`
	// Old and New are the values as written, or empty if there is none.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change as a single line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s = %s", c.Key, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s = %s", c.Key, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Key, c.Old, c.New)
}

// Diff returns the differences between two documents, sorted by key. It does not
// compare the bases or the order of workspaces, services and calls.
func Diff(from, to Document) []Change {
	a, b := flatten(from), flatten(to)
	var changes []Change
	for key, v := range a {
		if b[key] != v {
			changes = append(changes, Change{Key: key, Old: v, New: b[key]})
		}
	}
	for key, v := range b {
		if _, ok := a[key]; !ok {
			changes = append(changes, Change{Key: key, New: v})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// flatten maps the path of each value that is set to the value as written.
func flatten(d Document) map[string]string {
	d.Base = 0
	out := make(map[string]string)
	flattenValue(out, "", reflect.ValueOf(d))
	return out
}

func flattenValue(out map[string]string, path string, v reflect.Value) {
	if v.IsZero() {
		return
	}
	if text, ok := v.Interface().(encoding.TextMarshaler); ok {
		b, _ := text.MarshalText()
		out[path] = string(b)
		return
	}
	switch {
	case v.Kind() == reflect.Struct:
		flattenStruct(out, path, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		for i := range v.Len() {
			flattenValue(out, fmt.Sprintf("%s[%s]", path, elementName(v.Index(i))), v.Index(i))
		}
	default:
		out[path] = fmt.Sprintf("%v", v.Interface())
	}
}

func flattenStruct(out map[string]string, path string, v reflect.Value) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
		if path != "" {
			name = path + "." + name
		}
		flattenValue(out, name, v.Field(i))
	}
}

// elementName returns the name that identifies an element of an array of tables.
func elementName(v reflect.Value) string {
	switch element := v.Interface().(type) {
	case Call:
		return element.Method + " " + element.Path
	case Deployment:
		return element.Model
	}
	return v.FieldByName("Name").String()
}
