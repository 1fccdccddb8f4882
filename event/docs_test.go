package event

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = ".."

func TestDocsListEveryEvent(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "docs", "events.md"))
	assert.NilError(t, err)
	rows := make(map[string]string)
	for _, line := range strings.Split(string(raw), "\n") {
		if cells := strings.Split(line, "|"); len(cells) == 7 && strings.TrimSpace(cells[1]) != "" {
			rows[strings.TrimSpace(cells[1])] = line
		}
	}
	for _, s := range Catalogue() {
		id := fmt.Sprint(int(s.ID))
		want := fmt.Sprintf("| %s | `%s` | %s | %s |", id, s.Name, s.Level, s.Help)
		assert.Assert(t, strings.HasPrefix(rows[id], want), "docs/events.md, %s:\ngot  %s\nwant %s", id, rows[id], want)
		delete(rows, id)
	}
	for id, line := range rows {
		var n int
		if _, err := fmt.Sscan(id, &n); err == nil {
			t.Errorf("docs/events.md lists an event that is not in the catalogue: %s", line)
		}
	}
}

func TestCatalogueIsOrderedAndUnique(t *testing.T) {
	names := make(map[string]bool)
	last := ID(0)
	for _, s := range Catalogue() {
		assert.Assert(t, s.ID > last, "%d follows %d", s.ID, last)
		assert.Assert(t, !names[s.Name] && s.Name != "" && s.Help != "", "%d", s.ID)
		names[s.Name], last = true, s.ID
	}
}

// TestEveryConstantIsCatalogued checks that every constant of type ID has an entry
// in the catalogue. TestCodeLogsConstantsOnly requires that only such constants
// are logged.
func TestEveryConstantIsCatalogued(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	assert.NilError(t, err)
	count := 0
	for _, decl := range file.Decls {
		g, ok := decl.(*ast.GenDecl)
		if !ok || g.Tok != token.CONST {
			continue
		}
		for _, spec := range g.Specs {
			v, ok := spec.(*ast.ValueSpec)
			if !ok {
				continue
			}
			if typ, ok := v.Type.(*ast.Ident); ok && typ.Name == "ID" {
				count += len(v.Names)
			}
		}
	}
	assert.Equal(t, count, len(Catalogue()))
}

func TestCodeLogsConstantsOnly(t *testing.T) {
	calls := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		calls += checkFile(t, path)
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, calls > 0)
}

// checkFile checks the calls of event.Log in one file: the event is a constant of
// this package, and keys and values come in pairs.
func checkFile(t *testing.T, path string) (calls int) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	assert.NilError(t, err)
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || !isEventSelector(call.Fun, "Log") {
			return true
		}
		calls++
		assert.Assert(t, len(call.Args) >= 2 && isEventSelector(call.Args[1], ""), "%s: the event is not a constant of package event", fset.Position(call.Pos()))
		assert.Assert(t, call.Ellipsis.IsValid() || len(call.Args)%2 == 0, "%s: a log key has no value", fset.Position(call.Pos()))
		return true
	})
	return calls
}

// isEventSelector reports whether e is event.name, or event followed by any name
// if name is empty.
func isEventSelector(e ast.Expr, name string) bool {
	sel, ok := e.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	pkg, ok := sel.X.(*ast.Ident)
	return ok && pkg.Name == "event" && (name == "" || sel.Sel.Name == name)
}
