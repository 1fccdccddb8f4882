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
	// Attempt is unique for ever.
	Attempt string
	// Key is the same for every attempt at the item, from whatever instance;
	// calls that may not be repeated are claimed under it.
	Key     string
	Service string
	// Model is empty for plain services.
	Model  string
	Method string
	// Path is the URL path with its query.
	Path string
	Body []byte
	// ResumeText and ResumeTokens are what an earlier, preempted attempt had
	// produced; the answer's body must hold the whole.
	ResumeText   string
	ResumeTokens int
	// Deadline is the job's.
	Deadline time.Time
	Try      int
	// Alone asks for a backend server that runs no other batch item, so that
	// its death can be told from the item's fault.
	Alone bool
	// Avoid names a backend server that the item failed on last.
	AvoidBackend string
}

// Response is the whole answer to an item.
type Response struct {
	Status    int
	RequestID string
	Body      []byte
	// Worker is the backend server that answered.
	Backend string
}

// Dispatcher runs items on backend servers. Both methods are called
// concurrently.
type Dispatcher interface {
	// Room returns how many more items of a service may start now.
	FreeSlots(service string) int
	// Dispatch runs one item and returns its whole answer, whatever its
	// status. It returns soon after ctx ends. The error is a *PreemptedError,
	// a *WorkerDiedError or of an errkind: a kind whose outcome is
	// errkind.NotRun costs the item no try.
	Dispatch(ctx context.Context, it Item) (Response, error)
}

// PreemptedError says that an attempt was stopped for online work.
type PreemptedError struct {
	// ResumeText and ResumeTokens are all that the item has produced so far.
	ResumeText   string
	ResumeTokens int
}

// Error implements error.
func (e *PreemptedError) Error() string {
	return fmt.Sprintf("batch: preempted after %d tokens", e.ResumeTokens)
}

// BackendLostError says that a backend server was lost with the attempt on it.
type BackendLostError struct{ Backend string }

// Error implements error.
func (e *BackendLostError) Error() string {
	return fmt.Sprintf("batch: backend server %s died", e.Backend)
}

// permanent reports whether another try of the same item cannot help.
func permanent(k errkind.Kind) bool {
	switch k {
	case errkind.BadRequest, errkind.BadBatchLine, errkind.UnknownService, errkind.NotFound,
		errkind.MethodNotAllowed, errkind.TooLarge, errkind.HeaderTooLarge, errkind.KeyReused,
		errkind.Conflict, errkind.BackendRefused, errkind.OutcomeUnknown, errkind.Expired,
		errkind.Unauthorized:
		return true
	}
	return false
}
