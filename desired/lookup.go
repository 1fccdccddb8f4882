package desired

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// DefaultWorkspace is the workspace of every caller while the document sets no
// workspaces.
const DefaultWorkspace = "default"

// Service returns the service of a name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// ServiceForModel returns the service that serves a model.
func (d *Document) ServiceForModel(model string) (*Service, bool) {
	for i := range d.Services {
		for _, m := range d.Services[i].Models {
			if m == model {
				return &d.Services[i], true
			}
		}
	}
	return nil, false
}

// Workspace returns the workspace of a name; the open default workspace has no
// limits.
func (d *Document) Workspace(name string) (Workspace, bool) {
	if len(d.Workspaces) == 0 && name == DefaultWorkspace {
		return Workspace{Name: DefaultWorkspace}, true
	}
	for _, w := range d.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// WorkspaceForKey returns the workspace that a bearer key belongs to. Without
// workspaces every key, an empty one too, belongs to DefaultWorkspace. Every
// hash is compared, each in constant time.
func (d *Document) WorkspaceForKey(bearer string) (name string, ok bool) {
	if len(d.Workspaces) == 0 {
		return DefaultWorkspace, true
	}
	hash := []byte(HashKey(bearer))
	for _, w := range d.Workspaces {
		for _, known := range w.KeySHA256 {
			if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(known))) == 1 {
				name, ok = w.Name, true
			}
		}
	}
	return name, ok
}

// HashKey returns the form in which a document holds a bearer key.
func HashKey(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

// NonIdempotent reports whether a call of the service must run at most once.
// The longest matching path decides, an exact method before "*".
func (s *Service) NonIdempotent(method, path string) bool {
	best, bestRank := false, -1
	for _, c := range s.Calls {
		rank, ok := c.match(method, path)
		if ok && rank > bestRank {
			best, bestRank = c.NonIdempotent, rank
		}
	}
	return best
}

// match returns how closely the call describes a request.
func (c Call) match(method, path string) (rank int, ok bool) {
	if c.Method != "*" && c.Method != method {
		return 0, false
	}
	prefix, wildcard := strings.CutSuffix(c.Path, "*")
	if path != c.Path && (!wildcard || !strings.HasPrefix(path, prefix)) {
		return 0, false
	}
	rank = 4 * len(prefix)
	if !wildcard {
		rank += 2
	}
	if c.Method != "*" {
		rank++
	}
	return rank, true
}
