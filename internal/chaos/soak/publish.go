package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform"
)

const (
	host    = "h.example"
	service = "svc"

	routeTimeout = 3 * time.Second
	maxAttempts  = 3

	pollInterval = 150 * time.Millisecond
	// configBound is how soon a published configuration must be in force.
	configBound = 4 * time.Second
)

// configuration returns version n of the configuration: the routes of the round, and an
// additional one for each version up to n.
func (p Plan) configuration(n int) ([]byte, error) {
	type route map[string]any
	online := func(kind OpKind, routeType string, resumable bool) route {
		return route{
			"Name": string(kind), "Host": host, "PathPrefix": paths[kind], "RouteType": routeType, "Service": service,
			"TimeoutMs": routeTimeout.Milliseconds(), "TargetLatencyMs": 300, "GapAimMs": 300,
			"MaxAttempts": maxAttempts, "Resumable": resumable,
		}
	}
	routes := []route{
		online(Stream, "stream", true), online(FinalStream, "stream", false),
		online(SafeCall, "safe", false), online(UnsafeCall, "unsafe", false),
		{
			"Name": "batch", "Host": host, "PathPrefix": "/batch/", "RouteType": "batch", "Service": service,
			"TargetLatencyMs": 400, "CompletionTargetMs": 18000, "RetentionS": 120, "MaxAttempts": maxAttempts, "Cap": 1 << 30,
		},
	}
	for i := 1; i <= n; i++ {
		r := online(SafeCall, "safe", false)
		r["Name"], r["PathPrefix"], r["Service"] = fmt.Sprint("version-", i), versionPath(i), "nobody"
		routes = append(routes, r)
	}
	var identified []any
	if p.Workspaces {
		identified = workspaces(n)
	}
	return json.Marshal(map[string]any{
		"Tenants": identified, "Version": n, "Routes": routes, "Services": []any{map[string]any{"Name": service, "MaxConnections": 200}},
		"Limits": map[string]any{"MaxBodyBytes": 1 << 20},
	})
}

// versionPath returns a path that has a route from version n on.
func versionPath(n int) string { return fmt.Sprintf("/version-%d/", n) }

// publish appends the next version. It retries until the store acknowledges it.
func (r *Round) publish(ctx context.Context) {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	next := r.published + 1
	value, err := r.plan.configuration(next)
	if err != nil {
		r.recordError(err)
		return
	}
	for write(r.store.Log, platform.ConfigTopic, keyedlog.Record{Key: platform.ConfigKey, Value: value}) != nil {
		if !delay.Wait(ctx, pollInterval) {
			return
		}
	}
	r.published = next
	r.history.update(func(h *History) { h.Published = next })
}

// watchVersions probes each gateway for the newest version that was in force at it and
// for the next one, until ctx ends.
func (r *Round) watchVersions(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range r.gateways {
		wg.Go(func() {
			for newest := 1; delay.Wait(ctx, pollInterval); {
				if r.probeVersion(ctx, g, newest+1) {
					newest++
				}
				r.probeVersion(ctx, g, newest)
			}
		})
	}
	wg.Wait()
}

// probeVersion requests the route of a version from a gateway, without the forwarder. The
// route has no backend server: every status but 404 shows that the version is in force. With
// workspaces, so does the refusal of the key that the version has withdrawn.
func (r *Round) probeVersion(ctx context.Context, g *proctest.Gateway, version int) (inForce bool) {
	inForce = r.probe(ctx, g, version, versionPath(version), key(workspaceName(0)), func(status int) bool { return status != http.StatusNotFound })
	if r.plan.Workspaces {
		r.probe(ctx, g, version, versionPath(1), versionKey(version-1), func(status int) bool { return status == http.StatusUnauthorized })
	}
	return inForce
}

// probe sends a request whose status shows whether a version is in force.
func (r *Round) probe(ctx context.Context, g *proctest.Gateway, version int, path, key string, shows func(status int) bool) (inForce bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	starts := g.Starts()
	sent := time.Now()
	req, err := newRequest(ctx, http.MethodPost, g.CallerAddr, path, fmt.Sprintf("look-%d", version), "", key)
	if err != nil {
		return false
	}
	req.Header.Set("Deadline-Ms", "100")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if starts != g.Starts() || startingUp(resp) {
		return false // the process was restarted meanwhile, or has no configuration yet
	}
	inForce = shows(resp.StatusCode)
	r.history.update(func(h *History) {
		h.Probes = append(h.Probes, Probe{Gateway: g.Name, Starts: starts, At: sent, Version: version, InForce: inForce})
	})
	return inForce
}

// startingUp reports whether a response says that the gateway has no configuration yet.
// Only that refusal has a retry time of one second.
func startingUp(resp *http.Response) bool { return resp.Header.Get("Retry-After") == "1.000" }
