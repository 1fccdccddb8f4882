package waiting_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/waiting"
)

var lineBegin = time.Unix(2000, 0)

func at(ms int) time.Time { return lineBegin.Add(time.Duration(ms) * time.Millisecond) }

// claim is a request that is in time until inTimeMs.
func claim(workspace string, priority, inTimeMs int, returned bool) waiting.Claim {
	return waiting.Claim{
		Workspace: workspace, Priority: priority, Returned: returned, Arrived: at(0),
		Objective: 300 * time.Millisecond, InTimeUntil: at(inTimeMs), Deadline: at(5000),
	}
}

// serve empties a line and returns the order, by the names of the waiters.
func serve(l *waiting.Line, names map[*waiting.Waiter]string, now time.Time) []string {
	var order []string
	for l.Len() > 0 {
		head := l.Head(now, 0)
		l.Leave(head)
		l.Served(head.Workspace, now)
		order = append(order, names[head])
	}
	return order
}

func TestOrderOfALine(t *testing.T) {
	var l waiting.Line
	names := make(map[*waiting.Waiter]string)
	join := func(name string, c waiting.Claim) { names[l.Join(c)] = name }
	join("later rank", claim("w", 1, 300, true))
	join("late", claim("w", 0, 50, true))
	join("w1", claim("w", 0, 300, false))
	join("w2", claim("w", 0, 300, false))
	join("w back", claim("w", 0, 300, true))
	join("v1", claim("v", 0, 300, false))
	join("v2", claim("v", 0, 300, false))
	l.Served("w", at(90))
	for w, name := range names {
		if name == "w2" {
			assert.Equal(t, l.Ahead(w, at(100), 0), 4)
		}
	}
	assert.DeepEqual(t, serve(&l, names, at(100)), []string{"v1", "w back", "v2", "w1", "w2", "late", "later rank"})
}

func TestLateWaitersYieldToThoseInTime(t *testing.T) {
	var l waiting.Line
	assert.Assert(t, l.Head(at(0), 0) == nil)
	early, late := l.Join(claim("", 0, 100, false)), l.Join(claim("", 0, 250, false))
	assert.Equal(t, l.Head(at(0), 0), early)
	assert.Equal(t, l.Head(at(150), 0), late, "the other one can still be in time")
	assert.Equal(t, l.Head(at(50), 80*time.Millisecond), late, "the first byte takes too long for the other one")
	assert.Equal(t, l.Head(at(300), 0), early, "nobody is in time")
	l.Leave(late)
	assert.Equal(t, l.Head(at(150), 0), early)
	l.Leave(early)
	assert.Equal(t, l.Len(), 0)
}

func TestWorkspacesTakeTurns(t *testing.T) {
	var l waiting.Line
	names := make(map[*waiting.Waiter]string)
	for range 20 {
		names[l.Join(claim("hot", 0, 300, false))] = "hot"
	}
	quiet := l.Join(claim("quiet", 0, 300, false))
	names[quiet] = "quiet"
	assert.Equal(t, l.Ahead(quiet, at(0), 0), 0)
	l.Served("quiet", at(0))
	assert.Equal(t, l.Ahead(quiet, at(0), 0), 1)
	assert.DeepEqual(t, serve(&l, names, at(0))[:3], []string{"hot", "hot", "quiet"})
}
