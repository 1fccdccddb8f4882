package logservice

import (
	"context"
	"testing"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

func TestClientsReadNoResponseWithoutEnd(t *testing.T) {
	for name, call := range map[string]func(context.Context, string) error{
		"log": func(ctx context.Context, address string) error {
			_, err := NewLog(address).Read(ctx, "s", 0, 1, 0)
			return err
		},
		"instances": func(ctx context.Context, address string) error {
			_, err := NewInstances(address).List(ctx)
			return err
		},
	} {
		t.Run(name+" head", func(t *testing.T) {
			platformtest.CheckEndless(t, platformtest.EndlessHead, platformtest.EndlessLimits{ReadBytes: 64 << 10, AllocatedBytes: 4 << 20}, call)
		})
		t.Run(name+" body", func(t *testing.T) {
			platformtest.CheckEndless(t, platformtest.EndlessBody, platformtest.EndlessLimits{ReadBytes: 64 << 20, AllocatedBytes: 512 << 20}, call)
		})
	}
}
