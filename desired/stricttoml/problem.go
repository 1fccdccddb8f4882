// Package stricttoml decodes TOML files strictly. It reports an unknown key, a value
// of the wrong type and a failed check with file, line, column, key and, if one is
// known, the likely fix.
package stricttoml

import (
	"fmt"
	"strings"
)

// Problem describes one error in a file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from one; zero means that the location is unknown.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Key is the path of the invalid key, as in "service[1].kind".
	Key     string `json:"key"`
	Message string `json:"message"`
	// Fix is the likely correction; it may be empty.
	Fix string `json:"fix,omitempty"`
}

// String formats the problem in the style of a compiler message.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	if p.Fix != "" {
		b.WriteString(" (" + p.Fix + ")")
	}
	return b.String()
}

// Error is the error for a file with at least one problem.
type Error struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Collector collects the problems found in decoded values.
type Collector struct {
	problems []Problem
}

// Add adds a problem with the value of a key.
func (c *Collector) Add(key, fix, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Message: fmt.Sprintf(format, args...), Fix: fix})
}

// Err returns an *Error with the collected problems, or nil if there are none.
func (c *Collector) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &Error{Problems: c.problems}
}
