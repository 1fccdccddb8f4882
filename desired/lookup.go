package desired

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// DefaultWorkspace is the workspace of every caller if the document defines no
// workspaces.
const DefaultWorkspace = "default"

// Service returns the service with the given name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// ServiceForModel returns the service that serves the given model.
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

// Workspace returns the workspace with the given name. DefaultWorkspace has no
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

// WorkspaceForKey returns the name of the workspace that a bearer key belongs to.
// If the document defines no workspaces, every key, including an empty one,
// belongs to DefaultWorkspace. To avoid a timing side channel, every hash is
// compared, each in constant time.
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

// HashKey returns the hash of a bearer key as documents store it.
func HashKey(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

// NonIdempotent reports whether a call of the service must run at most once. The
// call with the longest matching path applies. For paths of equal length, an
// exact path takes precedence over a prefix, and then an exact method over "*".
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

// match reports whether the call matches a request, and how specifically. The
// highest rank is the most specific: the path length, without "*", counts most,
// then an exact path, then an exact method.
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
