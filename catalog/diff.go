package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Difference is one difference between two configurations. Old or New is empty if there is none.
type Difference struct {
	Place string `json:"place"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String formats the difference as a single line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s = %s", d.Place, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s = %s", d.Place, d.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Place, d.Old, d.New)
}

// Diff returns the differences between two configurations, sorted by place. Keys are counted, not
// shown.
func Diff(from, to *Config) []Difference {
	a, b := from.fields(), to.fields()
	var out []Difference
	for place, old := range a {
		if b[place] != old {
			out = append(out, Difference{place, old, b[place]})
		}
	}
	for place, value := range b {
		if _, known := a[place]; !known {
			out = append(out, Difference{Place: place, New: value})
		}
	}
	out = append(out, keyDifferences(from, to)...)
	slices.SortFunc(out, func(x, y Difference) int { return cmp.Compare(x.Place, y.Place) })
	return out
}

// fields maps the place of each value that is set to the value.
func (c *Config) fields() map[string]string {
	out := make(map[string]string)
	set := func(place, field string, value any) {
		if text := fmt.Sprint(value); text != "" && text != "0" && text != "0s" && text != "false" {
			out[place+" "+field] = text
		}
	}
	for i := range c.Routes {
		setRoute(set, &c.Routes[i])
	}
	for _, s := range c.Services {
		place := "service " + s.Name
		set(place, "listed", true)
		set(place, "max_connections", s.MaxConnections)
		set(place, "slots", s.Slots)
		set(place, "kv_cache_tokens", s.KVCacheTokens)
	}
	for _, w := range c.workspaces {
		place := "workspace " + w.Name
		set(place, "listed", true)
		set(place, "requests_per_second", w.RequestsPerSecond)
		set(place, "burst", w.Burst)
		if w.HasPriority {
			out[place+" priority"] = fmt.Sprint(w.Priority)
		}
	}
	set("limits", "max_header_bytes", c.Limits.MaxHeaderBytes)
	set("limits", "max_body_bytes", c.Limits.MaxBodyBytes)
	set("limits", "header_timeout", c.Limits.HeaderTimeout)
	set("limits", "idle_timeout", c.Limits.IdleTimeout)
	return out
}

func setRoute(set func(place, field string, value any), r *Route) {
	place := "route " + r.Name
	var splits []string
	for _, s := range r.Splits {
		splits = append(splits, fmt.Sprintf("%s:%v", s.Service, s.Weight))
	}
	set(place, "match", r.Host+r.Prefix)
	set(place, "kind", r.Kind)
	set(place, "services", strings.Join(splits, ","))
	set(place, "anonymous", r.Anonymous)
	set(place, "idempotent", r.Idempotent)
	set(place, "resumable", r.Resumable)
	set(place, "max_attempts", r.MaxAttempts)
	set(place, "priority", r.Priority)
	set(place, "max_job_tokens", r.MaxJobTokens)
	for field, d := range map[string]time.Duration{
		"timeout": r.Timeout, "first_byte_objective": r.FirstByteObjective, "event_gap_objective": r.EventGapObjective,
		"job_completion_target": r.JobCompletionTarget, "job_retention": r.JobRetention,
	} {
		set(place, field, d)
	}
}

// keyDifferences counts the keys that workspaces get and lose.
func keyDifferences(from, to *Config) []Difference {
	var out []Difference
	for name, w := range to.workspaces {
		old := from.workspaces[name]
		if old == nil {
			old = &Workspace{}
		}
		added, removed := missing(old.Credentials, w.Credentials), missing(w.Credentials, old.Credentials)
		if added+removed > 0 {
			out = append(out, Difference{"workspace " + name + " keys", keyCount(len(old.Credentials)),
				fmt.Sprintf("%s, %d added and %d withdrawn", keyCount(len(w.Credentials)), added, removed)})
		}
	}
	return out
}

func keyCount(n int) string { return fmt.Sprintf("%d keys", n) }

// missing counts the elements of b that a lacks.
func missing(a, b []Credential) int {
	n := 0
	for _, c := range b {
		if !slices.Contains(a, c) {
			n++
		}
	}
	return n
}
