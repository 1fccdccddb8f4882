package stricttoml

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// index maps the path of each key of a file to its place. Elements of an array
// of tables are numbered from zero, like "service[1].call[0].path".
type index struct {
	places map[string]place
	counts map[string]int
}

type place struct {
	line, column int
}

func newIndex(raw []byte) *index {
	ix := &index{places: make(map[string]place), counts: make(map[string]int)}
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

// at returns the place of the key or of the nearest enclosing table.
func (ix *index) at(key string) (line, column int) {
	for key != "" {
		if p, ok := ix.places[key]; ok {
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

// KeyLine returns the line of a key of raw, zero if raw does not set it.
func KeyLine(raw []byte, key string) int { return newIndex(raw).places[key].line }

func (ix *index) record(p *unstable.Parser, e *unstable.Node, path string) {
	if _, ok := ix.places[path]; ok {
		return
	}
	ix.places[path] = keyPlace(p, e)
}

// keyPlace returns the place of the first part of an expression's key.
func keyPlace(p *unstable.Parser, e *unstable.Node) place {
	key := e.Key()
	if !key.Next() {
		return place{line: 1, column: 1}
	}
	start := p.Shape(key.Node().Raw).Start
	return place{line: start.Line, column: start.Column}
}

// resolve numbers the arrays of tables on the way of a table's key.
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
