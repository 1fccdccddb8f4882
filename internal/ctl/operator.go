package ctl

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/internal/load"
	"github.com/catkinrudder/catkinrudder/internal/opsapi"
)

type jobList struct {
	Jobs []load.Batch `json:"jobs"`
}

func (t Tool) operatorCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "status", Usage: "list every process with its role, availability zone and configuration version", Action: withTimeout(t.status)},
		{Name: "backends", Usage: "list the backend servers with their load", Action: withTimeout(t.backends)},
		{Name: "jobs", Usage: "list the open batch jobs of all workspaces", Action: withTimeout(t.jobs)},
		{Name: "drain", Usage: "make an instance reject new work and finish the work in progress", ArgsUsage: "INSTANCE", Action: withTimeout(t.drain)},
	}
}

// operatorCall sends a request to the operator API and decodes the response into
// out.
func (t Tool) operatorCall(ctx context.Context, c *cli.Command, method, path string, out any) error {
	client, err := t.operator(c)
	if err != nil {
		return err
	}
	return withTransportCode(client.JSON(ctx, load.Request{Method: method, Path: path}, nil, out))
}

// withTransportCode sets the exit code of a transport error. If the connection
// could not be opened, nothing was run. After that the outcome is unknown.
func withTransportCode(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return withCode(ExitUnavailable, err)
	}
	var transport *url.Error
	if errors.As(err, &transport) {
		return withCode(ExitUnknown, err)
	}
	return err
}

func (t Tool) status(ctx context.Context, c *cli.Command) error {
	var list opsapi.ProcessList
	if err := t.operatorCall(ctx, c, http.MethodGet, "/operator/status", &list); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return t.writeJSON(list)
	}
	return t.table("INSTANCE\tROLE\tREGION\tAVAILABILITY ZONE\tCONFIG\tSTATE", func(w *tabwriter.Writer) {
		for _, p := range list.Processes {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", p.Instance, p.Role, p.Region, p.Zone, p.ConfigVersion, processState(p))
		}
	})
}

func processState(p opsapi.Process) string {
	switch {
	case p.Error != "":
		return p.Error
	case p.Draining:
		return "draining"
	}
	return "serving"
}

func (t Tool) backends(ctx context.Context, c *cli.Command) error {
	var list opsapi.BackendList
	if err := t.operatorCall(ctx, c, http.MethodGet, "/operator/backends", &list); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return t.writeJSON(list)
	}
	return t.table("INSTANCE\tSERVICE\tAVAILABILITY ZONE\tONLINE\tBATCH\tSLOTS\tBATCH ROOM\tSTEP\tSTATE", func(w *tabwriter.Writer) {
		for _, b := range list.Backends {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d+%d\t%d+%d\t%d\t%d\t%s\t%s\n", b.Instance, b.Service, b.Zone,
				b.RunningOnline, b.QueuedOnline, b.RunningBatch, b.QueuedBatch, b.Slots, b.BatchRoom,
				time.Duration(b.StepUS)*time.Microsecond, backendState(b))
		}
	})
}

func backendState(b opsapi.Backend) string {
	switch {
	case b.Leaving:
		return "leaving"
	case b.Ejected:
		return "ejected"
	}
	return "serving"
}

func (t Tool) jobs(ctx context.Context, c *cli.Command) error {
	var list jobList
	if err := t.operatorCall(ctx, c, http.MethodGet, "/operator/jobs", &list); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return t.writeJSON(list)
	}
	return t.table("ID\tWORKSPACE\tSTATUS\tTOTAL\tCOMPLETED\tFAILED\tCREATED", func(w *tabwriter.Writer) {
		for _, b := range list.Jobs {
			n := b.RequestCounts
			created := time.Unix(b.CreatedAt, 0).UTC().Format(time.RFC3339)
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", b.ID, b.Workspace, b.Status, n.Total, n.Completed, n.Failed, created)
		}
	})
}

func (t Tool) drain(ctx context.Context, c *cli.Command) error {
	instance, err := oneArg(c, "instance")
	if err != nil {
		return err
	}
	var result opsapi.DrainResult
	path := "/operator/drain?instance=" + url.QueryEscape(instance)
	if err := t.operatorCall(ctx, c, http.MethodPost, path, &result); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return t.writeJSON(result)
	}
	t.printf("%s drains, %d in progress\n", instance, result.InProgress)
	return nil
}

// table prints rows in aligned columns under a header.
func (t Tool) table(header string, rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(t.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	rows(w)
	return errors.Wrap(w.Flush(), "write table")
}
