package catalog

import (
	"cmp"
	"slices"
	"strings"
)

// NewConfig indexes routes for Match. The routes are kept and not copied.
func NewConfig(version int64, routes []Route, services map[string]Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: make(map[string][]*Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of host whose prefix is the longest that begins path,
// or nil.
func (c *Config) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService picks the service for a request: point, in [0,1), falls into the part
// of one of the weighted splits. It is empty if the route names none.
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
