package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestBurstOverCapacityIsServed plays a burst of four times the requests that a backend
// server takes at once. Each request ends long before the deadline of the last one, so
// callers are better served by waiting than by a refusal.
func TestBurstOverCapacityIsServed(t *testing.T) {
	const burst = 16
	b := platformtest.NewBackend(t, "b")
	b.CallDuration = 100 * time.Millisecond
	f := newFixture(t, b)
	var wg sync.WaitGroup
	errs := make([]error, burst)
	for i := range burst {
		wg.Go(func() { _, errs[i] = f.serve(request(fmt.Sprint(i), "/call"), route(catalog.Call, nil)) })
	}
	wg.Wait()
	for _, err := range errs {
		assert.NilError(t, err)
	}
}
