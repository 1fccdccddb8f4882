package soak

import (
	"fmt"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
)

const (
	// workspaceCount is the number of workspaces of a round that has them. One in workspacesEvery
	// seeds has them.
	workspaceCount  = 3
	workspacesEvery = 2
	// forgedWorkspace is the name that callers send for themselves.
	forgedWorkspace = "forged"
)

func workspaceName(i int) string { return fmt.Sprint("workspace-", i) }

// workspaceOf returns the workspace that the caller of an operation belongs to.
func workspaceOf(op Op) string {
	if op.Kind == UnsafeCall {
		return limitedWorkspace
	}
	return workspaceName(op.Caller % workspaceCount)
}

// key returns the key of a workspace that all versions of the configuration hold.
func key(workspace string) string { return "key-of-" + workspace }

// versionKey returns the key that version n of the configuration holds and the next one withdraws.
func versionKey(n int) string { return fmt.Sprint("key-of-version-", n) }

// otherKey returns the key of another workspace than the caller's.
func otherKey(op Op) string { return key(workspaceName((op.Caller + 1) % workspaceCount)) }

// workspaces returns the workspaces of version n of the configuration.
func workspaces(n int) []any {
	var out []any
	for i := range workspaceCount {
		keys := []string{key(workspaceName(i))}
		if i == 0 {
			keys = append(keys, versionKey(n))
		}
		out = append(out, map[string]any{"Name": workspaceName(i), "ApiKeys": keys})
	}
	return append(out, map[string]any{
		"Name": limitedWorkspace, "ApiKeys": []string{key(limitedWorkspace)}, "RatePerS": quotaRate, "Burst": quotaBurst,
	})
}

// checkWorkspaces checks that backend servers got the name of the caller's workspace and no key, and
// that no job was shown to another workspace.
func (c *checker) checkWorkspaces() {
	if !c.plan.Workspaces {
		return
	}
	for _, r := range c.history.Records {
		c.checkArrivals(r.Op.ID, workspaceOf(r.Op))
	}
	for _, j := range c.history.Jobs {
		for i := range j.Op.Items {
			c.checkArrivals(itemID(j.Op, i), workspaceOf(j.Op))
		}
		for _, text := range j.ShownToOthers {
			c.verdict.AddFinding(chaos.WrongResponse, "job %s was shown to another workspace: %s", j.Op.ID, text)
		}
	}
}

func (c *checker) checkArrivals(id, workspace string) {
	for _, a := range c.arrivals[id] {
		if a.Workspace != workspace || a.Header.Get("X-Api-Key") != "" {
			c.verdict.AddFinding(chaos.WrongResponse, "%s reached %s for workspace %q, want %q, key %q", id, a.backend, a.Workspace, workspace, a.Header.Get("X-Api-Key"))
		}
	}
}
