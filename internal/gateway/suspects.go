package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/quarantine"
)

const (
	// maxExaminationWait is how long a retry waits until it is known whether the server of the
	// last attempt has ended: a connection to another region takes less.
	maxExaminationWait = 100 * time.Millisecond
	// eagerIdentityBytes is the size of the largest body whose digest is computed without need.
	eagerIdentityBytes = 16 << 10
)

// suspected waits until it is known whether the backend server of the last attempt has ended, and
// reports whether a further attempt would probably end another server.
func (o *onlineRequest) suspected(ctx context.Context, examination *quarantine.Examination) bool {
	ctx, cancel := context.WithTimeout(ctx, maxExaminationWait)
	defer cancel()
	examination.Ended(ctx)
	return o.g.Quarantine.Suspected(o.suspects())
}

// quarantinedError returns the error of a request that must not be sent to a backend server for now.
func quarantinedError(v quarantine.Verdict) *errkind.Error {
	return errkind.New(errkind.Quarantined, "backend servers end under requests with the prompt part or identity %s", v.Suspect).
		WithRetryAfter(max(v.Wait, minQuarantinedRetryAfter))
}

// trialPollInterval is the time after which a request that has announced its trial asks again for its turn.
const trialPollInterval = 50 * time.Millisecond

// minQuarantinedRetryAfter is the shortest Retry-After of such a request.
const minQuarantinedRetryAfter = time.Second

// identify returns the identities of the request, whose digests are computed when they are first
// needed.
func (o *onlineRequest) identify() []string {
	if o.identities == nil {
		o.identities = quarantine.Identities(o.r)
	}
	return o.identities
}

// suspects returns what may crash a backend server that runs the request: the parts of its prompt and
// the request itself.
func (o *onlineRequest) suspects() []string { return append(slices.Clone(o.parts), o.identify()...) }

// suspectsIfNeeded is suspects, but leaves the request itself out if its digest would be computed for
// a body of more than eager bytes although no request is suspected.
func (o *onlineRequest) suspectsIfNeeded(eager int) []string {
	if o.identities == nil && len(o.r.Body) > eager && !o.g.Quarantine.SuspectsRequests() {
		return o.parts
	}
	return o.suspects()
}

// loggedIdentity returns the identity for log lines, unless the digest of a large body would have to
// be computed for it.
func (o *onlineRequest) loggedIdentity() string {
	if o.identities == nil && len(o.r.Body) > eagerIdentityBytes {
		return ""
	}
	return o.identify()[0]
}
