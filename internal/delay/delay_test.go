package delay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.Assert(t, delay.Wait(t.Context(), time.Minute))
		assert.Equal(t, time.Since(start), time.Minute)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, !delay.Wait(ctx, time.Minute))
		assert.Equal(t, time.Since(start), time.Minute+time.Second)

		assert.Assert(t, delay.Wait(t.Context(), 0))
		assert.Assert(t, !delay.Wait(ctx, 0))
	})
}
