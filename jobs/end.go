package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/upstream"
)

var errUnframedCut = errors.New("jobs: the backend server has ended with the stream")

// examineEnd returns what shows that the response of a run, which has ended, is complete.
func (s *Service) examineEnd(ctx context.Context, response *upstream.Response, b catalog.Backend, p Progress) upstream.Evidence {
	evidence := response.FramingEvidence()
	if evidence == upstream.Unproved {
		examination := s.opts.Quarantine.Examine(b, nil, time.Time{})
		switch {
		case examination.Ended(ctx):
			evidence = upstream.ServerEnded
		case examination.Lives(ctx):
			evidence = upstream.ByReachability
		}
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
