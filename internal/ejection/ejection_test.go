package ejection_test

import (
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/internal/ejection"
	"github.com/catkinrudder/catkinrudder/upstream"
)

func TestEjectionIsLoggedOnce(t *testing.T) {
	var lines strings.Builder
	e := ejection.Ejector{
		Table: balance.New(balance.Options{PeerTTL: time.Second}), Pool: upstream.NewPool(upstream.Options{}), Log: log.New(&lines),
	}
	b := catalog.Backend{ID: "i-1", Address: "127.0.0.1:9"}
	e.RecordFailure(b, false)
	assert.Equal(t, lines.String(), "", "a single failure, which may be chance, ejected the backend server")
	e.RecordFailure(b, false)
	e.RecordFailure(b, true)
	assert.Equal(t, strings.Count(lines.String(), "backend_ejected"), 1, "%s", lines.String())
}
