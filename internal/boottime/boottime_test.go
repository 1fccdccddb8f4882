package boottime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/boottime"
)

func TestStampIsOfTheLastEvent(t *testing.T) {
	var s boottime.Stamp
	_, happened := s.Age()
	assert.Assert(t, !happened)
	s.Set()
	age, happened := s.Age()
	assert.Assert(t, happened)
	assert.Assert(t, age >= 0 && age < time.Minute, "%s", age)
}

func TestDeadlinePasses(t *testing.T) {
	var d boottime.Deadline
	assert.Assert(t, d.Passed())
	d.Extend(time.Hour)
	assert.Assert(t, !d.Passed())
	d.Extend(-time.Nanosecond)
	assert.Assert(t, d.Passed())
}
