package load_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/catkinrudder/catkinrudder/internal/load"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

func TestClientReadsNoResponseWithoutEnd(t *testing.T) {
	call := func(ctx context.Context, address string) error {
		var out any
		return load.NewClient("http://"+address, "").JSON(ctx, load.Request{Method: http.MethodGet, Path: "/"}, nil, &out)
	}
	t.Run("head", func(t *testing.T) {
		platformtest.CheckEndless(t, platformtest.EndlessHead, platformtest.EndlessLimits{ReadBytes: 64 << 10, AllocatedBytes: 4 << 20}, call)
	})
	t.Run("body", func(t *testing.T) {
		platformtest.CheckEndless(t, platformtest.EndlessBody, platformtest.EndlessLimits{ReadBytes: 64 << 20, AllocatedBytes: 512 << 20}, call)
	})
}
