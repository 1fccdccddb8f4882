package spec_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	testName   = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)`")
	testFunc   = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)\(`)
	mutantName = regexp.MustCompile("`([a-z]+-[A-Z_]+)`")
)

// TestProofsNameExistingTests checks that all tests and mutants that
// docs/proofs.md and the README name exist in the tree and in the Makefile.
func TestProofsNameExistingTests(t *testing.T) {
	declared := testsInTree(t)
	makefile, err := os.ReadFile("Makefile")
	assert.NilError(t, err)
	for _, page := range []string{"../docs/proofs.md", "README.md"} {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range testName.FindAllStringSubmatch(string(text), -1) {
			assert.Check(t, declared[m[1]], "%s names %s, which does not exist", page, m[1])
		}
		for _, m := range mutantName.FindAllStringSubmatch(string(text), -1) {
			assert.Check(t, strings.Contains(string(makefile), m[1]), "%s names mutant %s, which the Makefile does not run", page, m[1])
		}
	}
}

func testsInTree(t *testing.T) map[string]bool {
	declared := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllStringSubmatch(string(text), -1) {
			declared[m[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	return declared
}
