package origins

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
)

var v1, v2 = catalog.Software{Service: "s", Version: "v1"}, catalog.Software{Service: "s", Version: "v2"}

func TestOriginIsKeptForItsRetention(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Record("a", v1, now)
	table.Record("b", v2, now.Add(Retention))
	s, known := table.Lookup("a")
	assert.Assert(t, known)
	assert.Equal(t, s, v1)
	table.Record("c", v2, now.Add(2*Retention))
	_, known = table.Lookup("a")
	assert.Assert(t, !known)
	_, known = table.Lookup("b")
	assert.Assert(t, known)
	table.Record("d", v2, now.Add(5*Retention))
	_, known = table.Lookup("c")
	assert.Assert(t, !known)
}

func TestFirstOriginCounts(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Record("a", v1, now)
	table.Record("a", v2, now)
	s, _ := table.Lookup("a")
	assert.Equal(t, s, v1)
}

func TestUnknownVersionIsNoOrigin(t *testing.T) {
	table := NewTable()
	table.Record("a", catalog.Software{Service: "s"}, time.Now())
	_, known := table.Lookup("a")
	assert.Assert(t, !known)
}

func TestTableIsBounded(t *testing.T) {
	table, now := NewTable(), time.Now()
	for i := range 2 * maxEntries {
		table.Record(fmt.Sprint(i), v1, now)
	}
	assert.Assert(t, len(table.current)+len(table.previous) <= maxEntries)
	_, known := table.Lookup(fmt.Sprint(2*maxEntries - 1))
	assert.Assert(t, known)
}
