package origins

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
)

var v1, v2 = catalog.Software{Service: "s", Version: "v1"}, catalog.Software{Service: "s", Version: "v2"}

func TestOriginIsKeptForItsRetention(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Record("a", v1, now)
	s, known := table.Lookup("a", now.Add(Retention))
	assert.Assert(t, known)
	assert.Equal(t, s, v1)
	_, known = table.Lookup("a", now.Add(3*Retention))
	assert.Assert(t, !known)
}

func TestFirstOriginCounts(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Record("a", v1, now)
	table.Record("a", v2, now)
	s, _ := table.Lookup("a", now)
	assert.Equal(t, s, v1)
}

func TestUnknownVersionIsNoOrigin(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Record("a", catalog.Software{Service: "s"}, now)
	_, known := table.Lookup("a", now)
	assert.Assert(t, !known)
}
