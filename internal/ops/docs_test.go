package ops

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	repository   = "../.."
	metricPrefix = "catkinrudder_"
	metricCells  = 8
)

// constructors maps the functions that make a metric to its type.
var constructors = map[string]string{
	"NewCounter":              "counter",
	"GetOrCreateCounter":      "counter",
	"NewFloatCounter":         "counter",
	"GetOrCreateFloatCounter": "counter",
	"NewGauge":                "gauge",
	"GetOrCreateGauge":        "gauge",
	"NewHistogram":            "histogram",
	"GetOrCreateHistogram":    "histogram",
	"NewSummary":              "summary",
	"GetOrCreateSummary":      "summary",
}

var labelName = regexp.MustCompile(`[{,]\s*([a-z_]+)="`)

// metric is a row of docs/metrics.md as far as the code shows it.
type metric struct{ Kind, Labels string }

// documented reads the table of docs/metrics.md.
func documented(t *testing.T) map[string]metric {
	t.Helper()
	raw, err := os.ReadFile(repository + "/docs/metrics.md")
	assert.NilError(t, err)
	out := make(map[string]metric)
	for _, line := range strings.Split(string(raw), "\n") {
		if !strings.HasPrefix(line, "| `"+metricPrefix) {
			continue
		}
		cells := strings.Split(line, "|")
		assert.Equal(t, len(cells), metricCells, "%s", line)
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		name := strings.Trim(cells[1], "`")
		_, twice := out[name]
		assert.Assert(t, !twice, "%s is listed twice", name)
		assert.Assert(t, cells[4] != "" && cells[6] != "", "%s has no unit or meaning", name)
		labels := strings.NewReplacer("`", "", " ", "", "none", "").Replace(cells[3])
		out[name] = metric{Kind: cells[2], Labels: labels}
	}
	return out
}

// leading returns the string literal that an expression begins with, and the text
// of every literal that it is joined from.
func leading(e ast.Expr) (first *ast.BasicLit, text string, ok bool) {
	if b, joined := e.(*ast.BinaryExpr); joined {
		left, text, ok := leading(b.X)
		_, right, _ := leading(b.Y)
		return left, text + right, ok
	}
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return nil, "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return lit, text, err == nil
}

// split parts a metric's literal into its name and label names.
func split(literal string) (name, labels string) {
	name, _, _ = strings.Cut(literal, "{")
	var names []string
	for _, m := range labelName.FindAllStringSubmatch(literal, -1) {
		names = append(names, m[1])
	}
	sort.Strings(names)
	return name, strings.Join(names, ",")
}

// scan adds the metrics of one source file and reports names that no
// constructor takes.
func scan(t *testing.T, path string, found map[string]metric) {
	t.Helper()
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	made := make(map[*ast.BasicLit]bool)
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			sel, ok := n.Fun.(*ast.SelectorExpr)
			if !ok || constructors[sel.Sel.Name] == "" || len(n.Args) == 0 {
				return true
			}
			lit, literal, ok := leading(n.Args[0])
			if !ok {
				return true
			}
			if strings.HasPrefix(literal, metricPrefix) {
				made[lit] = true
				name, labels := split(literal)
				found[name] = metric{Kind: constructors[sel.Sel.Name], Labels: labels}
			}
		case *ast.BasicLit:
			literal, err := strconv.Unquote(n.Value)
			if n.Kind == token.STRING && err == nil && strings.HasPrefix(literal, metricPrefix) {
				assert.Assert(t, made[n], "%s: no constructor takes the metric name %s", fset.Position(n.Pos()), literal)
			}
		}
		return true
	})
}

// registered finds the metrics that the repository's code makes.
func registered(t *testing.T) map[string]metric {
	t.Helper()
	found := make(map[string]metric)
	err := filepath.WalkDir(repository, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != repository:
			return filepath.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			scan(t, path, found)
		}
		return nil
	})
	assert.NilError(t, err)
	return found
}

func TestDocsListEveryMetric(t *testing.T) {
	docs, code := documented(t), registered(t)
	assert.Assert(t, len(code) > 0)
	assert.DeepEqual(t, docs, code)
}

func TestMetricNamesTellTypeAndUnit(t *testing.T) {
	for name, m := range registered(t) {
		assert.Equal(t, strings.HasSuffix(name, "_total"), m.Kind == "counter", "%s is a %s", name, m.Kind)
		if m.Kind == "histogram" || m.Kind == "summary" {
			ok := strings.HasSuffix(name, "_seconds") || strings.HasSuffix(name, "_bytes")
			assert.Assert(t, ok, "%s does not end in its unit", name)
		}
	}
}
