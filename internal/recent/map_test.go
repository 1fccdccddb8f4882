package recent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEntriesAreForgottenAfterTheirRetention(t *testing.T) {
	const retention = time.Minute
	for name, c := range map[string]struct {
		age  time.Duration
		held bool
	}{
		"new": {0, true}, "within": {retention - 1, true}, "end": {retention, true}, "twice": {2 * retention, false}, "long": {9 * retention, false},
	} {
		m, now := New[string, int](retention, 100), time.Unix(1000, 0)
		m.Put("a", 7, now)
		value, held := m.Get("a", now.Add(c.age))
		assert.Equal(t, held, c.held, name)
		assert.Equal(t, value == 7, c.held, name)
	}
}

func TestEntrySurvivesTheNextGeneration(t *testing.T) {
	m, now := New[string, int](time.Minute, 100), time.Unix(1000, 0)
	m.Put("a", 1, now)
	m.Put("b", 2, now.Add(59*time.Second))
	m.Put("c", 3, now.Add(61*time.Second))
	_, held := m.Get("b", now.Add(118*time.Second))
	assert.Assert(t, held)
}

func TestRenewedEntryStays(t *testing.T) {
	m, now := New[string, int](time.Minute, 100), time.Unix(1000, 0)
	for i := range 10 {
		m.Put("a", i, now.Add(time.Duration(i)*30*time.Second))
	}
	value, held := m.Get("a", now.Add(300*time.Second))
	assert.Assert(t, held)
	assert.Equal(t, value, 9)
	m.Delete("a")
	_, held = m.Get("a", now.Add(300*time.Second))
	assert.Assert(t, !held)
}

func TestMapIsBounded(t *testing.T) {
	m, now := New[int, int](time.Minute, 100), time.Unix(1000, 0)
	for i := range 1000 {
		m.Put(i, i, now)
		assert.Assert(t, m.Len() <= 100)
	}
	_, held := m.Get(999, now)
	assert.Assert(t, held)
}
