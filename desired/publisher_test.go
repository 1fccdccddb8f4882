package desired

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/commitlog/commitlogtest"
)

func publish(t *testing.T, l commitlog.Log, base uint64, i int) (Verdict, error) {
	t.Helper()
	return NewPublisher(l, nil).Publish(t.Context(), Publication{Base: base, Document: document(i), Author: "ada"})
}

func TestPublishThroughFaults(t *testing.T) {
	for name, fault := range map[string]commitlogtest.Fault{
		"none": commitlogtest.None, "drop": commitlogtest.Drop,
		"lost answer": commitlogtest.DropResponse, "late": commitlogtest.ApplyLate,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := commitlogtest.NewMemLog()
				first := true
				l.OnAppend(func(string, []byte) commitlogtest.Fault {
					if !first {
						return commitlogtest.None
					}
					first = false
					return fault
				})
				v, err := publish(t, l, 0, 1)
				assert.NilError(t, err)
				assert.Equal(t, v.State, Accepted)
				l.Flush()
				s, err := NewPublisher(l, nil).Read(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, len(s.History), 1, "the publication is accepted or listed twice")
				assert.Equal(t, s.InForce.Number, v.Version)
			})
		})
	}
}

func TestRacingPublishersHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := commitlogtest.NewMemLog()
		const racers = 8
		var wg sync.WaitGroup
		verdicts := make([]Verdict, racers)
		for i := range racers {
			wg.Go(func() { verdicts[i], _ = publish(t, l, 0, i) })
		}
		wg.Wait()
		won := 0
		for _, v := range verdicts {
			if v.State == Accepted {
				won++
				continue
			}
			assert.Equal(t, v.State, Conflicted)
			assert.Equal(t, v.Winner, uint64(1))
			assert.Equal(t, v.String(), "conflict: based on version 0, but version 1 (by ada) is in force")
		}
		assert.Equal(t, won, 1)
	})
}

func TestPublishRefusesBeforeAppending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := commitlogtest.NewMemLog()
		appends := 0
		l.OnAppend(func(string, []byte) commitlogtest.Fault { appends++; return commitlogtest.None })
		p := NewPublisher(l, nil)
		_, err := p.Publish(t.Context(), Publication{Document: []byte("bases = 1")})
		assert.ErrorContains(t, err, `did you mean "base"?`)
		v, err := p.Publish(t.Context(), Publication{Base: 4, Document: document(1)})
		assert.NilError(t, err)
		assert.Equal(t, v.State, Conflicted)
		assert.Equal(t, appends, 0)
		l.SetDown(true)
		_, err = p.Publish(t.Context(), Publication{Document: document(1)})
		assert.ErrorIs(t, err, commitlogtest.ErrDown)
	})
}

func TestPublishUnconfirmedWhenLogGoesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := commitlogtest.NewMemLog()
		l.OnAppend(func(string, []byte) commitlogtest.Fault { return commitlogtest.ApplyLate })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := NewPublisher(l, nil).Publish(ctx, Publication{Document: document(1)})
		assert.ErrorIs(t, err, ErrUnconfirmed)
		l.OnAppend(nil)
		again, err := publish(t, l, 0, 2)
		assert.NilError(t, err)
		assert.Equal(t, again.State, Accepted)
		l.Flush()
		s, err := NewPublisher(l, nil).Read(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.InForce.Number, again.Version, "the delayed first append took effect")
		assert.Equal(t, s.History[1].State, Conflicted)
	})
}

func TestRecoverAfterEveryCopyExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := commitlogtest.NewMemLog()
		_, err := publish(t, l, 0, 1)
		assert.NilError(t, err)
		p := NewPublisher(l, nil)
		recovery := Publication{Document: document(2), Recover: true}
		_, err = p.Publish(t.Context(), recovery)
		assert.ErrorIs(t, err, ErrNothingToRecover)
		l.Expire(Stream, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = p.Publish(ctx, Publication{Base: 1, Document: document(3)})
		assert.ErrorIs(t, err, ErrUndecided)
		v, err := p.Publish(t.Context(), recovery)
		assert.NilError(t, err)
		assert.Equal(t, v.State, Accepted)
	})
}

func TestRenewerKeepsVersionPastRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := commitlogtest.NewMemLog()
		v, err := publish(t, l, 0, 1)
		assert.NilError(t, err)
		table := NewTable(Hooks{})
		assert.NilError(t, InitTable(t.Context(), l, table))
		stream := commitlog.NewStream(l, Stream, commitlog.Options{Writer: "w", Fold: table})
		ctx, cancel := context.WithCancel(t.Context())
		go stream.Run(ctx)
		renewer := Renewer{Table: table, Stream: stream, Interval: time.Minute, OnError: func(err error) {
			assert.Assert(t, errors.Is(err, commitlog.ErrStopped) || ctx.Err() != nil, "%v", err)
		}}
		go renewer.Run(ctx)
		for range 5 {
			time.Sleep(2 * time.Minute)
			l.Expire(Stream, stream.NextOffset()-1)
		}
		s, err := NewPublisher(l, nil).Read(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, s.Known)
		assert.Equal(t, s.InForce.Number, v.Version)
		assert.Assert(t, stream.NextOffset() <= 12, "%d records in 10 minutes", stream.NextOffset())
		cancel()
		synctest.Wait()
	})
}
