package stricttoml

import (
	"bytes"
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Decode decodes raw into out, a pointer to a struct. Its error is an *Error.
func Decode(file string, raw []byte, out any) error {
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	err := dec.Decode(out)
	if problems := textProblems(file, raw, reflect.TypeOf(out)); len(problems) > 0 {
		return &Error{Problems: problems}
	}
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return unknownKeys(file, missing, reflect.TypeOf(out))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return &Error{Problems: []Problem{decodeProblem(file, decode)}}
	}
	return &Error{Problems: []Problem{{File: file, Message: cleanMessage(err.Error())}}}
}

// Locate sets the file, line and column of the problems in err, which is a result
// of Collector.Err for values that were decoded from raw.
func Locate(file string, raw []byte, err error) error {
	var list *Error
	if !errors.As(err, &list) {
		return err
	}
	ix := newIndex(raw)
	for i := range list.Problems {
		p := &list.Problems[i]
		p.File = file
		p.Line, p.Column = ix.locate(p.Key)
	}
	return list
}

func unknownKeys(file string, missing *toml.StrictMissingError, t reflect.Type) error {
	list := &Error{}
	for i := range missing.Errors {
		e := &missing.Errors[i]
		line, column := e.Position()
		key := e.Key()
		list.Problems = append(list.Problems, Problem{
			File: file, Line: line, Column: column,
			Key:     strings.Join(key, "."),
			Message: "unknown key",
			Fix:     suggestKey(t, key),
		})
	}
	return list
}

func decodeProblem(file string, e *toml.DecodeError) Problem {
	line, column := e.Position()
	message := cleanMessage(e.Error())
	return Problem{
		File: file, Line: line, Column: column,
		Key:     strings.Join(e.Key(), "."),
		Message: message,
		Fix:     fixForValue(message),
	}
}

// structField matches the part of a decoder message that contains Go types.
var structField = regexp.MustCompile(`cannot decode TOML (\w+) into struct field \S+ of type (\S+)`)

func cleanMessage(s string) string {
	s = strings.TrimPrefix(strings.TrimPrefix(s, "toml: "), "time: ")
	return structField.ReplaceAllString(s, "the value is of type $1, but $2 is wanted")
}

const durationFix = `write a duration as a string with a unit of ms, s, m or h, like "1.5s"`

// fixForValue returns the likely correction of a value that cannot be decoded.
func fixForValue(message string) string {
	for _, fault := range []string{"missing unit in duration", "unknown unit", "invalid duration"} {
		if strings.Contains(message, fault) {
			return durationFix
		}
	}
	return ""
}

// suggestKey returns a suggestion for an unknown key from the known keys of the
// same table.
func suggestKey(t reflect.Type, key []string) string {
	for depth, part := range key {
		fields := fieldsOf(t)
		next, ok := fields[part]
		if ok {
			t = next
			continue
		}
		if depth != len(key)-1 && len(fields) == 0 {
			return ""
		}
		names := make([]string, 0, len(fields))
		for name := range fields {
			names = append(names, name)
		}
		return Suggest(part, names)
	}
	return ""
}

// fieldsOf maps the TOML keys of a struct, or of a slice of structs or a pointer to
// one, to the types of their values.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}
