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

// configRace is two operators who read the version in force and publish on it
// at the same time.
func (r *Round) configRace(ctx context.Context, op Op) {
	var wg sync.WaitGroup
	var read sync.WaitGroup
	read.Add(operators)
	for i := range operators {
		wg.Go(func() {
			base, ok := r.readVersion(ctx, i)
			read.Done()
			read.Wait()
			if ok {
				r.publish(ctx, i, base, saltOf(op.ID))
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
	r.history.add(func(h *History) { h.Publishes = append(h.Publishes, rec) })
	return rec.Read, true
}

func (r *Round) publish(ctx context.Context, client int, base uint64, salt int) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	rec := PublishRecord{Client: client, Base: base, Start: time.Now()}
	v, err := r.publisher.Publish(ctx, desired.Publication{
		Base: base, Author: fmt.Sprintf("operator-%d", client), Document: []byte(document(base, 6+client+2*salt)),
	})
	rec.End = time.Now()
	rec.Known = err == nil && v.State != desired.Undecided
	rec.Accepted, rec.Version = v.Accepted(), v.Version
	r.history.add(func(h *History) { h.Publishes = append(h.Publishes, rec) })
}

type processStatus struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"incarnation"`
	ConfigVersion uint64 `json:"config_version"`
}

type statusAnswer struct {
	Processes []processStatus `json:"processes"`
}

// status asks one entry for what it knows of every process.
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
	var out statusAnswer
	if err != nil || json.Unmarshal(body, &out) != nil {
		return nil, false
	}
	return out.Processes, len(out.Processes) > 0
}

// watchVersions notes every process whose version in force goes down, until
// ctx ends.
func (r *Round) watchVersions(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range r.cluster.Entries {
		wg.Go(func() {
			highest := make(map[processStatus]uint64)
			for ctx.Err() == nil {
				name := n.Name()
				if ps, ok := status(ctx, n); ok {
					r.noteVersions(highest, ownIncarnation(ps, name), ps)
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

// noteVersions compares what one entry reports with what it reported before.
func (r *Round) noteVersions(highest map[processStatus]uint64, viewer string, ps []processStatus) {
	for _, p := range ps {
		// A process that has not reported to this entry yet has no incarnation.
		if p.Incarnation == "" {
			continue
		}
		key := processStatus{Instance: viewer + "/" + p.Instance, Incarnation: p.Incarnation}
		if was := highest[key]; p.ConfigVersion < was {
			text := fmt.Sprintf("%s went from version %d to %d", p.Instance, was, p.ConfigVersion)
			r.history.add(func(h *History) { h.Reverts = append(h.Reverts, text) })
		}
		highest[key] = max(highest[key], p.ConfigVersion)
	}
}

// firstVersion notes the version in force at the start.
func (r *Round) firstVersion(ctx context.Context) error {
	snap, err := r.publisher.Read(ctx)
	if err != nil {
		return err
	}
	if snap.InForce != nil {
		r.history.add(func(h *History) { h.First = snap.InForce.Number })
	}
	return nil
}

// awaitInForce returns how long it takes until the newest version is in force
// at every process; negative if it is not in time.
func (r *Round) awaitInForce(ctx context.Context) time.Duration {
	started := time.Now()
	snap, err := r.publisher.Read(ctx)
	if err != nil || snap.InForce == nil {
		return -1
	}
	for time.Since(started) < inForceTimeout {
		if r.allAt(ctx, snap.InForce.Number) {
			return time.Since(started)
		}
		delay.Wait(ctx, statusInterval)
	}
	return -1
}

func (r *Round) allAt(ctx context.Context, version uint64) bool {
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
