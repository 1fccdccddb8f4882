package catalog

import (
	"cmp"
	"slices"
	"strings"
)

// NewConfig returns a configuration with an index of routes for Match and one of workspaces.
// It does not copy routes and workspaces.
func NewConfig(version int64, routes []Route, services map[string]Service, limits Limits, workspaces ...Workspace) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: make(map[string][]*Route)}
	c.indexWorkspaces(workspaces)
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of host with the longest prefix that path starts with, or nil
// if there is none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// BatchRoute returns the route of the jobs that a batch route of host has accepted under a name. Where no
// batch route has that name any more, it returns the one with the longest prefix that path starts with, or
// nil if there is none. A route of another kind whose prefix is longer has no part in it.
func (c *Config) BatchRoute(host, name, path string) *Route {
	var byPath *Route
	for _, r := range c.routesOf(host) {
		switch {
		case r.Kind != Batch:
		case r.Name == name:
			return r
		case byPath == nil && strings.HasPrefix(path, r.Prefix):
			byPath = r
		}
	}
	return byPath
}

// routesOf returns the routes of host, which may include a port.
func (c *Config) routesOf(host string) []*Route {
	name, _, _ := strings.Cut(host, ":")
	return c.byHost[strings.ToLower(name)]
}

// PickService returns the service for a request: the one whose share of the weights
// contains point, which is in [0,1). It returns an empty string if the route has no
// service.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := point * total
	last := ""
	for _, s := range r.Splits {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if at < s.Weight {
			return last
		}
		at -= s.Weight
	}
	return last
}
