package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/quarantine"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// errEndUnproved reports a response that has ended and of which nothing shows that it is complete.
var errEndUnproved = errors.New("nothing shows that the response is complete")

// checkEnd returns errEndUnproved if nothing shows that a response that has ended is complete. The
// examination of its backend server goes with the error.
func (o *onlineRequest) checkEnd(ctx context.Context, b catalog.Backend, response *upstream.Response) (*quarantine.Examination, error) {
	evidence := response.FramingEvidence()
	var examination *quarantine.Examination
	if evidence == upstream.Unproved {
		examination = o.g.Quarantine.Examine(b, o.suspects(), o.attemptBegan)
		o.examination = examination
		evidence = examination.Evidence(ctx)
	}
	o.logEnd(b, evidence)
	if evidence.Proves() {
		return nil, nil
	}
	return examination, errors.Wrap(errEndUnproved, string(evidence))
}

// handleUnprovedEnd handles a response that may have been cut off by the end of its backend server.
// It counts as a failure of the server only if that has ended: a sound one may end its responses by
// closing the connection.
func (o *onlineRequest) handleUnprovedEnd(ctx context.Context, b catalog.Backend, err error, examination *quarantine.Examination) (retry bool, _ error) {
	if ctx.Err() != nil {
		return false, o.finalError(o.expiredError(ctx))
	}
	if examination.Ended(ctx) {
		o.reportFailure(b, false)
	}
	return o.tryElsewhere(ctx, b, err, examination)
}

// handleInterruption handles a response that was cut off.
func (o *onlineRequest) handleInterruption(ctx context.Context, b catalog.Backend, err error) (retry bool, _ error) {
	if ctx.Err() != nil {
		return false, o.finalError(o.expiredError(ctx))
	}
	o.reportFailure(b, false)
	return o.tryElsewhere(ctx, b, err, o.examineInterruption(b))
}

// examineInterruption begins to find out whether a backend server that has broken off the attempt has ended.
func (o *onlineRequest) examineInterruption(b catalog.Backend) *quarantine.Examination {
	o.examination = o.g.Quarantine.RunInterrupted(b, o.suspects(), o.attemptBegan)
	return o.examination
}

// tryElsewhere decides whether another backend server may repeat a run that has broken off, or go on
// with its stream.
func (o *onlineRequest) tryElsewhere(ctx context.Context, b catalog.Backend, err error, examination *quarantine.Examination) (retry bool, _ error) {
	o.lastFailure = errkind.Wrap(err, errkind.BackendFailed, "backend server %s broke off", b.ID)
	if !o.mayRepeat() || o.headSent && !o.mayContinue() || o.suspected(ctx, examination) {
		return false, o.finalError(o.lastFailure)
	}
	o.logRetry(b, err)
	return true, nil
}
