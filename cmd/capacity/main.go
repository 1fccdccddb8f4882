// Command capacity measures on the local machine how the cost of each component
// grows with its size. docs/CAPACITY.md quotes the slopes.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/internal/capacity"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how the cost of each component grows with its size",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	quantities, err := capacity.Run(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return capacity.WriteJSON(os.Stdout, quantities)
	}
	return capacity.WriteTable(os.Stdout, quantities)
}
