// Command standin serves stand-ins for the platform and the backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	cmd := &cli.Command{
		Name:  "standin",
		Usage: "serve stand-ins for the platform's services and for backend servers",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "TOML `FILE` with the settings of the stand-ins", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := standin.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return standin.Run(ctx, s)
		},
	}
	err := cmd.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
