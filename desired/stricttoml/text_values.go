package stricttoml

import (
	"encoding"
	"reflect"

	"github.com/pelletier/go-toml/v2/unstable"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// textProblems finds the keys of a type that reads text, like a duration,
// whose value is not a string: the decoder would take a bare integer for
// nanoseconds.
func textProblems(file string, raw []byte, t reflect.Type) []Problem {
	w := textWalk{file: file}
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

type textWalk struct {
	file     string
	parser   unstable.Parser
	problems []Problem
}

func (w *textWalk) keyValue(table reflect.Type, e *unstable.Node) {
	w.value(typeAt(table, keyParts(e)), e, e.Value())
}

// value checks the value v of the key-value e, which is to become a t.
func (w *textWalk) value(t reflect.Type, e, v *unstable.Node) {
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
		if readsText(t) {
			w.add(e)
		}
	}
}

func (w *textWalk) add(e *unstable.Node) {
	at := keyPlace(&w.parser, e)
	parts := keyParts(e)
	w.problems = append(w.problems, Problem{
		File: w.file, Line: at.line, Column: at.column, Key: parts[len(parts)-1],
		Message: "not a string with a unit", Fix: durationFix,
	})
}

func readsText(t reflect.Type) bool {
	return t != nil && reflect.PointerTo(t).Implements(textUnmarshaler)
}

// typeAt returns the type of the value at a key, nil if there is none.
func typeAt(t reflect.Type, key []string) reflect.Type {
	for _, part := range key {
		if t == nil {
			return nil
		}
		t = fieldsOf(t)[part]
	}
	return t
}
