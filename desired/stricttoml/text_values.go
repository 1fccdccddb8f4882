package stricttoml

import (
	"encoding"
	"reflect"

	"github.com/pelletier/go-toml/v2/unstable"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// textProblems returns the keys whose type implements encoding.TextUnmarshaler,
// such as a duration, but whose value is not a string. The decoder would otherwise
// accept a bare integer as nanoseconds.
func textProblems(file string, raw []byte, t reflect.Type) []Problem {
	w := textChecker{file: file}
	w.parser.Reset(raw)
	table := t
	for w.parser.NextExpression() {
		e := w.parser.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			w.keyValue(table, e)
		case unstable.Table, unstable.ArrayTable:
			table = typeAt(t, keyParts(e))
		}
	}
	return w.problems
}

type textChecker struct {
	file     string
	parser   unstable.Parser
	problems []Problem
}

func (w *textChecker) keyValue(table reflect.Type, e *unstable.Node) {
	w.value(typeAt(table, keyParts(e)), e, e.Value())
}

// value checks the value v of the key-value pair e, which is decoded to type t.
func (w *textChecker) value(t reflect.Type, e, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			w.keyValue(t, it.Node())
		}
	case unstable.Array:
		for it := v.Children(); it.Next(); {
			w.value(t, e, it.Node())
		}
	case unstable.String:
	default:
		if unmarshalsText(t) {
			w.add(e)
		}
	}
}

func (w *textChecker) add(e *unstable.Node) {
	at := keyLocation(&w.parser, e)
	parts := keyParts(e)
	w.problems = append(w.problems, Problem{
		File: w.file, Line: at.line, Column: at.column, Key: parts[len(parts)-1],
		Message: "not a string with a unit", Fix: durationFix,
	})
}

func unmarshalsText(t reflect.Type) bool {
	return t != nil && reflect.PointerTo(t).Implements(textUnmarshaler)
}

// typeAt returns the type of the value at a key, or nil if there is none.
func typeAt(t reflect.Type, key []string) reflect.Type {
	for _, part := range key {
		if t == nil {
			return nil
		}
		t = fieldsOf(t)[part]
	}
	return t
}
