package stricttoml

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// index maps the path of each key in a file to its location. Elements of arrays of
// tables are numbered from zero, as in "service[1].call[0].path".
type index struct {
	locations map[string]location
	counts    map[string]int
}

type location struct {
	line, column int
}

func newIndex(raw []byte) *index {
	ix := &index{locations: make(map[string]location), counts: make(map[string]int)}
	var p unstable.Parser
	p.Reset(raw)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = ix.resolve(keyParts(e))
			ix.record(&p, e, table)
		case unstable.ArrayTable:
			table = ix.nextElement(keyParts(e))
			ix.record(&p, e, table)
		case unstable.KeyValue:
			ix.record(&p, e, join(table, strings.Join(keyParts(e), ".")))
		}
	}
	return ix
}

// locate returns the location of a key, or of its nearest enclosing table.
func (ix *index) locate(key string) (line, column int) {
	for key != "" {
		if p, ok := ix.locations[key]; ok {
			return p.line, p.column
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 1, 1
}

// KeyLine returns the line of a key in raw, or zero if raw does not set it.
func KeyLine(raw []byte, key string) int { return newIndex(raw).locations[key].line }

func (ix *index) record(p *unstable.Parser, e *unstable.Node, path string) {
	if _, ok := ix.locations[path]; ok {
		return
	}
	ix.locations[path] = keyLocation(p, e)
}

// keyLocation returns the location of the first part of an expression's key.
func keyLocation(p *unstable.Parser, e *unstable.Node) location {
	key := e.Key()
	if !key.Next() {
		return location{line: 1, column: 1}
	}
	start := p.Shape(key.Node().Raw).Start
	return location{line: start.Line, column: start.Column}
}

// resolve returns the path of a table, with the index of the current element for
// each array of tables in it.
func (ix *index) resolve(parts []string) string {
	path := ""
	for _, part := range parts {
		path = join(path, part)
		if n := ix.counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func (ix *index) nextElement(parts []string) string {
	last := len(parts) - 1
	path := join(ix.resolve(parts[:last]), parts[last])
	ix.counts[path]++
	return fmt.Sprintf("%s[%d]", path, ix.counts[path]-1)
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func keyParts(e *unstable.Node) []string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return parts
}
