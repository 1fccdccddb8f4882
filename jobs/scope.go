package jobs

import (
	"net/url"

	"github.com/catkinrudder/catkinrudder/serving"
)

// scopeSeparator ends the name of a workspace in the id of a job. Neither part contains it.
const scopeSeparator = "/"

// MaxIDBytes bounds the length of the id of a job, which is a part of the keys of its records.
const MaxIDBytes = 220

// ScopedID returns the id that a job of a caller has in this system. Callers choose ids, and those
// of two workspaces may be equal: each workspace has ids of its own, so that nothing that a caller
// does with an id can reach a job of another workspace.
func ScopedID(caller serving.Identity, id string) string {
	if !caller.Checked {
		return UnscopedID(id)
	}
	return url.PathEscape(caller.Workspace) + scopeSeparator + url.PathEscape(id)
}

// UnscopedID returns the id of a job that was accepted while there were no workspaces. Whoever knows
// it may use it, as when it was accepted.
func UnscopedID(id string) string { return url.PathEscape(id) }

// account is what the tokens of a job count against: the jobs of a workspace on a route.
type account struct{ workspace, route string }

func (s *summary) account() account { return account{s.Workspace, s.Route} }
