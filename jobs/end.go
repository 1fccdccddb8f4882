package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/upstream"
)

var errEndUnproved = errors.New("jobs: nothing shows that the response is complete")

// examineEnd returns what shows that the response of a run, which has ended, is complete.
func (s *Service) examineEnd(ctx context.Context, response *upstream.Response, b catalog.Backend, p Progress) upstream.Evidence {
	evidence := response.FramingEvidence()
	if evidence == upstream.Unproved {
		evidence = s.opts.Quarantine.Examine(b, nil, time.Time{}).Evidence(ctx)
	}
	if s.opts.ResponseEnded != nil {
		s.opts.ResponseEnded(catalog.Batch.String(), evidence)
	}
	if !evidence.Proves() {
		event.Log(s.opts.Logger, event.EndUnproved, "request", response.RequestID(), "backend", b.ID, "version", b.Version,
			"evidence", evidence, "last_event", p.LastEvent)
	}
	return evidence
}

// endUnproved returns the outcome of a run whose response may have been cut off by the end of its
// backend server. Another run goes on after the events received.
func (s *Service) endUnproved(ctx context.Context, b catalog.Backend, p Progress, evidence upstream.Evidence) outcome {
	if cancelledHere(ctx) {
		return outcome{runCancelled, p, ctx.Err()}
	}
	if evidence == upstream.ServerEnded {
		s.ejector().RecordFailure(b, false)
	}
	return outcome{runInterrupted, p, errors.Wrap(errEndUnproved, string(evidence))}
}
