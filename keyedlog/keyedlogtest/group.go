package keyedlogtest

import (
	"context"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// Shards is the number of partitions that a group assigns.
const Shards = 4

type group struct {
	generation int64
	members    map[string]time.Time // the expiry of each membership
	order      []string
}

// Join implements keyedlog.Groups for one group.
func (l *Log) Join(_ context.Context, _, member, topic string, ttl time.Duration, _ int64) (keyedlog.Membership, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recordCall("join", keyedlog.Partition{Topic: topic}) != None {
		return keyedlog.Membership{}, keyedlog.ErrRefused
	}
	now := time.Now()
	g := &l.group
	for name, until := range g.members {
		if now.After(until) {
			g.remove(name)
		}
	}
	if _, in := g.members[member]; !in {
		g.order = append(g.order, member)
		g.generation++
	}
	g.members[member] = now.Add(ttl)
	m := keyedlog.Membership{Generation: g.generation}
	at := slices.Index(g.order, member)
	for i := at; i < Shards; i += len(g.order) {
		m.Owned = append(m.Owned, keyedlog.Partition{Topic: topic, Index: i})
	}
	return m, nil
}

// Leave implements keyedlog.Groups.
func (l *Log) Leave(_ context.Context, _, member string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recordCall("leave", keyedlog.Partition{}) != None {
		return keyedlog.ErrRefused
	}
	l.group.remove(member)
	return nil
}

func (g *group) remove(member string) {
	if _, in := g.members[member]; !in {
		return
	}
	delete(g.members, member)
	g.order = slices.DeleteFunc(g.order, func(m string) bool { return m == member })
	g.generation++
}
