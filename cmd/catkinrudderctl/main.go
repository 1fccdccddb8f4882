// Command catkinrudderctl is the command-line tool for operators and clients.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/internal/ctl"
	"github.com/catkinrudder/catkinrudder/internal/logservice"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	tool := ctl.Tool{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		NewLog: func(addr string) commitlog.Log { return logservice.NewLog(addr) },
	}
	code := tool.Run(ctx, os.Args)
	stop()
	os.Exit(code)
}
