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
	repositoryRoot = "../.."
	metricPrefix   = "catkinrudder_"
	// metricCells is the number of parts of a table row split at "|", including the
	// empty parts at both ends.
	metricCells = 8
)

// constructors maps the functions that create a metric to the metric's type.
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

// metric holds the columns of docs/metrics.md that the source code determines.
type metric struct{ Kind, Labels string }

// documentedMetrics parses the table in docs/metrics.md.
func documentedMetrics(t *testing.T) map[string]metric {
	t.Helper()
	raw, err := os.ReadFile(repositoryRoot + "/docs/metrics.md")
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
		_, duplicate := out[name]
		assert.Assert(t, !duplicate, "%s is listed twice", name)
		assert.Assert(t, cells[4] != "" && cells[6] != "", "%s has no unit or no description", name)
		labels := strings.NewReplacer("`", "", " ", "", "none", "").Replace(cells[3])
		out[name] = metric{Kind: cells[2], Labels: labels}
	}
	return out
}

// leadingLiteral returns the string literal that an expression begins with, and the
// concatenated text of all string literals in the expression.
func leadingLiteral(e ast.Expr) (first *ast.BasicLit, text string, ok bool) {
	if call, isCall := e.(*ast.CallExpr); isCall {
		return seriesLiteral(call)
	}
	if b, joined := e.(*ast.BinaryExpr); joined {
		left, text, ok := leadingLiteral(b.X)
		_, right, _ := leadingLiteral(b.Y)
		return left, text + right, ok
	}
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return nil, "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return lit, text, err == nil
}

// seriesLiteral returns the name in a call of series with its labels, in the form in which other literals
// hold them. Each label has to be a literal of the type label whose name is a string literal.
func seriesLiteral(call *ast.CallExpr) (first *ast.BasicLit, text string, ok bool) {
	f, isIdent := call.Fun.(*ast.Ident)
	if !isIdent || f.Name != "series" || len(call.Args) == 0 {
		return nil, "", false
	}
	first, text, ok = leadingLiteral(call.Args[0])
	separator := "{"
	for _, arg := range call.Args[1:] {
		l, isLabel := arg.(*ast.CompositeLit)
		if !isLabel || len(l.Elts) != 2 {
			return nil, "", false
		}
		_, name, isName := leadingLiteral(l.Elts[0])
		if !isName {
			return nil, "", false
		}
		text += separator + name + `="`
		separator = ","
	}
	return first, text, ok
}

// splitLiteral separates a metric's literal into its name and its label names.
func splitLiteral(literal string) (name, labels string) {
	name, _, _ = strings.Cut(literal, "{")
	var names []string
	for _, m := range labelName.FindAllStringSubmatch(literal, -1) {
		names = append(names, m[1])
	}
	sort.Strings(names)
	return name, strings.Join(names, ",")
}

// scanFile adds the metrics of one source file to found. It fails the test on a metric
// name that is not an argument of a constructor.
func scanFile(t *testing.T, path string, found map[string]metric) {
	t.Helper()
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	constructed := make(map[*ast.BasicLit]bool)
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			sel, ok := n.Fun.(*ast.SelectorExpr)
			if !ok || constructors[sel.Sel.Name] == "" || len(n.Args) == 0 {
				return true
			}
			lit, literal, ok := leadingLiteral(n.Args[0])
			if !ok {
				return true
			}
			if strings.HasPrefix(literal, metricPrefix) {
				constructed[lit] = true
				name, labels := splitLiteral(literal)
				found[name] = metric{Kind: constructors[sel.Sel.Name], Labels: labels}
			}
		case *ast.BasicLit:
			literal, err := strconv.Unquote(n.Value)
			if n.Kind == token.STRING && err == nil && strings.HasPrefix(literal, metricPrefix) {
				assert.Assert(t, constructed[n], "%s: the metric name %s is not an argument of a constructor", fset.Position(n.Pos()), literal)
			}
		}
		return true
	})
}

// registeredMetrics returns the metrics that the repository's code creates.
func registeredMetrics(t *testing.T) map[string]metric {
	t.Helper()
	found := make(map[string]metric)
	err := filepath.WalkDir(repositoryRoot, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != repositoryRoot:
			return filepath.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			scanFile(t, path, found)
		}
		return nil
	})
	assert.NilError(t, err)
	return found
}

func TestDocsListEveryMetric(t *testing.T) {
	docs, code := documentedMetrics(t), registeredMetrics(t)
	assert.Assert(t, len(code) > 0)
	assert.DeepEqual(t, docs, code)
}

func TestMetricNamesStateTypeAndUnit(t *testing.T) {
	for name, m := range registeredMetrics(t) {
		assert.Equal(t, strings.HasSuffix(name, "_total"), m.Kind == "counter", "%s is a %s", name, m.Kind)
		if m.Kind == "histogram" || m.Kind == "summary" {
			ok := strings.HasSuffix(name, "_seconds") || strings.HasSuffix(name, "_bytes")
			assert.Assert(t, ok, "%s does not end in its unit", name)
		}
	}
}
