package errkind_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
)

var kindConst = regexp.MustCompile(`(?m)^\t(\w+)\s+Kind = "(\w+)"`)

// TestEveryKindHasATest checks that each kind is used in a test of another
// package.
func TestEveryKindHasATest(t *testing.T) {
	source, err := os.ReadFile("errkind.go")
	assert.NilError(t, err)
	names := kindConst.FindAllStringSubmatch(string(source), -1)
	assert.Equal(t, len(names), len(errkind.Kinds()))
	tests := testSources(t)
	for _, m := range names {
		used := regexp.MustCompile(`\berrkind\.` + m[1] + `\b`)
		assert.Assert(t, used.MatchString(tests), "no test outside this package uses kind %s", m[2])
	}
}

func testSources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../errkind/") {
			return err
		}
		b, err := os.ReadFile(path)
		all.Write(b)
		return err
	})
	assert.NilError(t, err)
	return all.String()
}
