package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
)

const (
	operators      = 2
	publishTimeout = 3 * time.Second
	statusInterval = 100 * time.Millisecond
	statusTimeout  = time.Second
	inForceTimeout = 20 * time.Second
)

// runConfigRace runs two operators, each of which reads the version in force. Once both
// have read it, they publish concurrently on the version that they read.
func (r *Round) runConfigRace(ctx context.Context, op Op) {
	var wg sync.WaitGroup
	var read sync.WaitGroup
	read.Add(operators)
	for i := range operators {
		wg.Go(func() {
			base, ok := r.readVersion(ctx, i)
			read.Done()
			read.Wait()
			if ok {
				r.publish(ctx, i, base, entryIndexOf(op.ID))
			}
		})
	}
	wg.Wait()
}

func (r *Round) readVersion(ctx context.Context, client int) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	rec := PublishRecord{Client: client, IsRead: true, Start: time.Now()}
	snap, err := r.publisher.Read(ctx)
	if err != nil || snap.InForce == nil {
		return 0, false
	}
	rec.End, rec.Read, rec.Known = time.Now(), snap.InForce.Number, true
	r.history.update(func(h *History) { h.Publishes = append(h.Publishes, rec) })
	return rec.Read, true
}

func (r *Round) publish(ctx context.Context, client int, base uint64, variant int) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	rec := PublishRecord{Client: client, Base: base, Start: time.Now()}
	v, err := r.publisher.Publish(ctx, desired.Publication{
		Base: base, Author: fmt.Sprintf("operator-%d", client), Document: []byte(document(base, 6+client+2*variant)),
	})
	rec.End = time.Now()
	rec.Known = err == nil && v.State != desired.Undecided
	rec.Accepted, rec.Version = v.Accepted(), v.Version
	r.history.update(func(h *History) { h.Publishes = append(h.Publishes, rec) })
}

type processStatus struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"incarnation"`
	ConfigVersion uint64 `json:"config_version"`
}

type statusResponse struct {
	Processes []processStatus `json:"processes"`
}

// status queries an entry for the status of every process.
func status(ctx context.Context, n *proctest.Node) ([]processStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.OperatorAddr()+"/operator/status", nil)
	if err != nil {
		return nil, false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	var out statusResponse
	if err != nil || json.Unmarshal(body, &out) != nil {
		return nil, false
	}
	return out.Processes, len(out.Processes) > 0
}

// watchVersions records every decrease of a process's version in force until ctx ends.
func (r *Round) watchVersions(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range r.cluster.Entries {
		wg.Go(func() {
			highest := make(map[processStatus]uint64)
			for ctx.Err() == nil {
				name := n.Name()
				if ps, ok := status(ctx, n); ok {
					r.recordRegressions(highest, ownIncarnation(ps, name), ps)
				}
				delay.Wait(ctx, statusInterval)
			}
		})
	}
	wg.Wait()
}

func ownIncarnation(ps []processStatus, name string) string {
	for _, p := range ps {
		if p.Instance == name {
			return p.Incarnation
		}
	}
	return ""
}

// recordRegressions compares the status that an entry returns with what the same
// incarnation of the entry returned before. reporter is that incarnation.
func (r *Round) recordRegressions(highest map[processStatus]uint64, reporter string, ps []processStatus) {
	for _, p := range ps {
		// A process that has not reported to this entry yet has no incarnation.
		if p.Incarnation == "" {
			continue
		}
		key := processStatus{Instance: reporter + "/" + p.Instance, Incarnation: p.Incarnation}
		if was := highest[key]; p.ConfigVersion < was {
			text := fmt.Sprintf("%s went back from version %d to %d", p.Instance, was, p.ConfigVersion)
			r.history.update(func(h *History) { h.VersionRegressions = append(h.VersionRegressions, text) })
		}
		highest[key] = max(highest[key], p.ConfigVersion)
	}
}

// recordFirstVersion records the version in force at the start.
func (r *Round) recordFirstVersion(ctx context.Context) error {
	snap, err := r.publisher.Read(ctx)
	if err != nil {
		return err
	}
	if snap.InForce != nil {
		r.history.update(func(h *History) { h.FirstVersion = snap.InForce.Number })
	}
	return nil
}

// awaitInForce returns how long it takes until the newest version is in force at every
// process. It returns a negative duration if inForceTimeout passes first.
func (r *Round) awaitInForce(ctx context.Context) time.Duration {
	started := time.Now()
	snap, err := r.publisher.Read(ctx)
	if err != nil || snap.InForce == nil {
		return -1
	}
	for time.Since(started) < inForceTimeout {
		if r.allAtVersion(ctx, snap.InForce.Number) {
			return time.Since(started)
		}
		delay.Wait(ctx, statusInterval)
	}
	return -1
}

func (r *Round) allAtVersion(ctx context.Context, version uint64) bool {
	for _, n := range r.cluster.Entries {
		ps, ok := status(ctx, n)
		if !ok {
			return false
		}
		at := make(map[string]uint64, len(ps))
		for _, p := range ps {
			at[p.Instance] = p.ConfigVersion
		}
		for _, want := range r.cluster.Nodes() {
			if at[want.Name()] < version {
				return false
			}
		}
	}
	return true
}
