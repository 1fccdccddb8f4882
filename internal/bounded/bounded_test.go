package bounded_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/bounded"
)

func TestReadAll(t *testing.T) {
	raw, err := bounded.ReadAll(strings.NewReader("1234"), 4)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "1234")
	rest := strings.NewReader("123456789")
	_, err = bounded.ReadAll(rest, 4)
	assert.ErrorContains(t, err, "longer than 4 bytes")
	assert.Equal(t, rest.Len(), 4)
}
