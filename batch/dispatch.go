package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// Item is one attempt at one request of a job.
type Item struct {
	Job       string
	Workspace string
	Index     uint32
	CustomID  string
	// Attempt is never reused.
	Attempt string
	// Key is the same for every attempt at the item, from any instance; calls
	// that must not be repeated are claimed under it.
	Key     string
	Service string
	// Model is empty for plain services.
	Model  string
	Method string
	// Path is the URL path, including the query.
	Path string
	Body []byte
	// ResumeText and ResumeTokens are the output of an earlier attempt that was
	// preempted. The body of the response must contain the complete output.
	ResumeText   string
	ResumeTokens int
	// Deadline is the deadline of the job.
	Deadline time.Time
	// Try counts from one.
	Try int
	// Exclusive requests a backend server that runs no other batch item, so that
	// a loss of the backend server can be attributed to the item.
	Exclusive bool
	// AvoidBackend names the backend server on which the item last failed.
	AvoidBackend string
}

// Response is the complete response to an item.
type Response struct {
	Status    int
	RequestID string
	Body      []byte
	// Backend is the backend server that responded.
	Backend string
}

// Dispatcher runs items on backend servers. Both methods are called
// concurrently.
type Dispatcher interface {
	// FreeSlots returns how many more items of a service may start now.
	FreeSlots(service string) int
	// Dispatch runs one item and returns its complete response, whatever its
	// status. It returns soon after ctx ends. The error is a *PreemptedError, a
	// *BackendLostError or has an errkind. A kind whose outcome is errkind.NotRun
	// does not count as a try of the item.
	Dispatch(ctx context.Context, it Item) (Response, error)
}

// PreemptedError reports that an attempt was stopped in favour of online requests.
type PreemptedError struct {
	// ResumeText and ResumeTokens are the complete output of the item so far.
	ResumeText   string
	ResumeTokens int
}

// Error implements error.
func (e *PreemptedError) Error() string {
	return fmt.Sprintf("batch: preempted after %d tokens", e.ResumeTokens)
}

// BackendLostError reports that a backend server was lost while it ran the attempt.
type BackendLostError struct{ Backend string }

// Error implements error.
func (e *BackendLostError) Error() string {
	return fmt.Sprintf("batch: backend server %s was lost", e.Backend)
}

// isPermanent reports whether another try of the same item cannot succeed.
func isPermanent(k errkind.Kind) bool {
	switch k {
	case errkind.BadRequest, errkind.BadBatchLine, errkind.UnknownService, errkind.NotFound,
		errkind.MethodNotAllowed, errkind.TooLarge, errkind.HeaderTooLarge, errkind.KeyReused,
		errkind.Conflict, errkind.BackendRefused, errkind.OutcomeUnknown, errkind.Expired,
		errkind.Unauthorized:
		return true
	}
	return false
}
