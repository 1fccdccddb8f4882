package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity is how serious a finding is.
type Severity string

// The severities.
const (
	// Error: a part of the configuration can't do what it says.
	Error Severity = "error"
	// Warning: a part of the configuration is probably not meant so.
	Warning Severity = "warning"
)

// Finding is a fault that a check of a configuration has found.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place names the entry, as in "route r-1" or "workspace harbour".
	Place   string `json:"place"`
	Message string `json:"message"`
}

// String formats the finding as a single line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Place, f.Severity, f.Message) }

// checker collects findings.
type checker struct {
	config   *Config
	findings []Finding
}

func (c *checker) add(s Severity, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{s, place, fmt.Sprintf(format, args...)})
}

// Check returns what is wrong with a configuration: entries that can never match, references to
// services that do not exist, and limits that contradict each other. Errors come first.
func (c *Config) Check() []Finding {
	ch := &checker{config: c}
	ch.checkRoutes()
	ch.checkWorkspaces()
	slices.SortStableFunc(ch.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(rank(a.Severity), rank(b.Severity)), cmp.Compare(a.Place, b.Place))
	})
	return ch.findings
}

func rank(s Severity) int {
	if s == Error {
		return 0
	}
	return 1
}

func routePlace(r *Route) string { return "route " + r.Name }

func (c *checker) checkRoutes() {
	names := make(map[string]bool)
	places := make(map[string]string)
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		if names[r.Name] {
			c.add(Warning, routePlace(r), "another route has this name")
		}
		names[r.Name] = true
		at := strings.ToLower(r.Host) + r.Prefix
		if earlier, taken := places[at]; taken {
			c.add(Error, routePlace(r), "never matches: route %s has the same host and prefix", earlier)
			continue
		}
		places[at] = r.Name
		c.checkRoute(r)
	}
}

func (c *checker) checkRoute(r *Route) {
	if !strings.HasPrefix(r.Prefix, "/") {
		c.add(Error, routePlace(r), "never matches: the prefix %q does not begin with a slash", r.Prefix)
	}
	c.checkSplits(r)
	if r.Kind == Batch {
		c.checkJobs(r)
		return
	}
	c.checkTimes(r)
	if r.MaxAttempts > 1 && !r.Idempotent {
		c.add(Warning, routePlace(r), "%d attempts are never made: requests of the route may run only once", r.MaxAttempts)
	}
}

func (c *checker) checkSplits(r *Route) {
	total := 0.0
	seen := make(map[string]bool)
	for _, s := range r.Splits {
		total += max(s.Weight, 0)
		if s.Weight <= 0 {
			c.add(Warning, routePlace(r), "service %s gets no requests: its weight is %v", s.Service, s.Weight)
		}
		if seen[s.Service] {
			c.add(Warning, routePlace(r), "service %s is named twice", s.Service)
		}
		seen[s.Service] = true
		if _, known := c.config.Services[s.Service]; !known {
			c.add(Error, routePlace(r), "there is no service %s", s.Service)
		}
	}
	if total <= 0 {
		c.add(Error, routePlace(r), "no service gets the requests of the route")
	}
}

func (c *checker) checkTimes(r *Route) {
	switch {
	case r.Timeout <= 0:
		c.add(Error, routePlace(r), "every request times out at once: the timeout is %v", r.Timeout)
	case r.FirstByteObjective > r.Timeout:
		c.add(Error, routePlace(r), "the objective of %v exceeds the timeout of %v", r.FirstByteObjective, r.Timeout)
	case r.EventGapObjective > r.Timeout:
		c.add(Error, routePlace(r), "the objective for gaps of %v exceeds the timeout of %v", r.EventGapObjective, r.Timeout)
	}
	if r.FirstByteObjective <= 0 {
		c.add(Warning, routePlace(r), "has no objective for the first byte")
	}
}

func (c *checker) checkJobs(r *Route) {
	if r.JobRetention > 0 && r.JobRetention < r.JobCompletionTarget {
		c.add(Error, routePlace(r), "items are abandoned after %v, before they are due after %v", r.JobRetention, r.JobCompletionTarget)
	}
	for _, s := range r.Splits {
		service := c.config.Services[s.Service]
		if service.Slots == 0 || r.MaxJobTokens <= 0 {
			continue
		}
		if item := int64(service.KVCacheTokens / service.Slots); r.MaxJobTokens < item {
			c.add(Error, routePlace(r), "the quota of %d tokens is below one item that fills a slot of service %s, %d tokens", r.MaxJobTokens, s.Service, item)
		}
	}
}

func (c *checker) checkWorkspaces() {
	owners := make(map[Credential]string)
	names := make(map[string]bool)
	for i := range c.config.workspaceList {
		w := &c.config.workspaceList[i]
		place := "workspace " + w.Name
		if names[w.Name] {
			c.add(Error, place, "another workspace has this name")
		}
		names[w.Name] = true
		if len(w.Credentials) == 0 {
			c.add(Warning, place, "has no key: nobody can use it")
		}
		for _, credential := range w.Credentials {
			if other, taken := owners[credential]; taken && other != w.Name {
				c.add(Error, place, "one of its keys never matches: it is that of workspace %s", other)
			}
			owners[credential] = w.Name
		}
		c.checkQuota(w, place)
	}
}

func (c *checker) checkQuota(w *Workspace, place string) {
	switch {
	case w.RequestsPerSecond < 0 || w.Burst < 0:
		c.add(Error, place, "a quota of %v requests a second and %v at once is below zero", w.RequestsPerSecond, w.Burst)
	case w.RequestsPerSecond == 0 && w.Burst > 0:
		c.add(Warning, place, "a burst without a rate has no effect")
	case w.RequestsPerSecond > 0 && w.Burst > 0 && w.Burst < 1:
		c.add(Error, place, "a burst of %v is below one request", w.Burst)
	}
}
