package sidecar

import (
	"context"
	"testing"

	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

func TestEngineClientReadsNoResponseWithoutEnd(t *testing.T) {
	chat := func(ctx context.Context, address string) error {
		_, err := newBackend(address).chat(ctx, &peerv1.RunRequest{Body: []byte("{}"), Model: true}, func(*peerv1.Delta) bool { return true })
		return err
	}
	state := func(ctx context.Context, address string) error {
		_, err := newBackend(address).engineState(ctx)
		return err
	}
	const endlessEvent = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: "
	t.Run("head", func(t *testing.T) {
		platformtest.CheckEndless(t, platformtest.EndlessHead, platformtest.EndlessLimits{ReadBytes: 64 << 10, AllocatedBytes: 4 << 20}, chat)
	})
	t.Run("event", func(t *testing.T) {
		platformtest.CheckEndless(t, endlessEvent, platformtest.EndlessLimits{ReadBytes: 16 << 20, AllocatedBytes: 256 << 20}, chat)
	})
	t.Run("state", func(t *testing.T) {
		platformtest.CheckEndless(t, platformtest.EndlessBody, platformtest.EndlessLimits{ReadBytes: 64 << 10, AllocatedBytes: 1 << 20}, state)
	})
}
