package ctl

import (
	"context"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/internal/load"
)

const (
	flagModel     = "model"
	flagSystem    = "system"
	flagMaxTokens = "max-tokens"
	flagStore     = "store"
)

func (t Tool) chatCommand() *cli.Command {
	return &cli.Command{
		Name: "chat", Usage: "send one streamed request", ArgsUsage: "TEXT...", Action: withTimeout(t.chat),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagModel, Usage: "`MODEL` that generates the response", Required: true},
			&cli.StringFlag{Name: flagSystem, Usage: "system message"},
			&cli.IntFlag{Name: flagMaxTokens, Value: 64, Usage: "maximum number of generated tokens"},
			&cli.BoolFlag{Name: flagStore, Usage: "store the response so that it can be read by its id"},
			&cli.StringFlag{Name: flagIdempotencyKey, Usage: "`KEY` under which a repeated request gets the recorded response"},
		},
	}
}

func (t Tool) chat(ctx context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return withCode(ExitUsage, errors.New("chat: TEXT is missing"))
	}
	client, err := t.entry(c)
	if err != nil {
		return err
	}
	req := chatRequest(c)
	onText := func(s string) { t.printf("%s", s) }
	if c.Bool(flagJSON) {
		onText = nil
	}
	response, err := client.Stream(ctx, req, c.String(flagIdempotencyKey), onText)
	if err != nil {
		return withTransportCode(err)
	}
	if c.Bool(flagJSON) {
		return t.writeJSON(response)
	}
	t.printf("\n")
	return nil
}

func chatRequest(c *cli.Command) load.ChatRequest {
	req := load.ChatRequest{Model: c.String(flagModel), MaxTokens: c.Int(flagMaxTokens)}
	if s := c.String(flagSystem); s != "" {
		req.Messages = append(req.Messages, load.Message{Role: "system", Content: s})
	}
	req.Messages = append(req.Messages, load.Message{Role: "user", Content: strings.Join(c.Args().Slice(), " ")})
	if c.IsSet(flagStore) {
		store := c.Bool(flagStore)
		req.Store = &store
	}
	return req
}
