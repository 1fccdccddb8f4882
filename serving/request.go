// Package serving defines the types of a request inside the system. They are
// independent of the interface that received the request.
package serving

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request to a model. The zero value is a request to
// a plain service.
type Prompt struct {
	Model string
	// InputTokens and MaxOutputTokens bound the size of the request.
	InputTokens     int
	MaxOutputTokens int
	// Parts lists the parts of the prompt in order.
	Parts []PromptPart
}

// SharedParts returns the ids of the parts that other requests may share: all but the last,
// which belongs to the request itself.
func (p Prompt) SharedParts() []string {
	var ids []string
	for i := range len(p.Parts) - 1 {
		ids = append(ids, p.Parts[i].ID)
	}
	return ids
}

// Identity is what is known of the caller of a request.
type Identity struct {
	// Checked states that callers identify themselves. Backend servers then get the name of the
	// workspace from this system only.
	Checked bool
	// Workspace is the name of the caller's workspace; it is empty for an anonymous caller.
	Workspace string
}

// Request is one attempt of a caller. It is not modified after it has been decoded.
type Request struct {
	// ID is the id that the caller gave the attempt.
	ID string
	// Caller is the address of the caller without its port.
	Caller string
	Method string
	Host   string
	// Target is the path and the query as received.
	Target string
	Path   string
	// Header holds the header fields to forward.
	Header http.Header
	Body   []byte
	// ReceivedAt is when the head of the request was read.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting; zero if it did not send one.
	Deadline time.Time
	// LastEventID is the id of the last event that the caller has received; empty if
	// the stream starts from the beginning.
	LastEventID string
	// Resumes is the id of the caller's attempt that brought the first event of the
	// stream; empty if the stream starts from the beginning or the caller does not say.
	Resumes string
	Prompt  Prompt
	// Identity is the identity of the caller.
	Identity Identity
}

// Attempt is one attempt to send a request to one backend server.
type Attempt struct {
	BackendID string
	// StartedMs is the start of the backend server that was chosen, in Unix milliseconds; 0 if it is unknown.
	StartedMs int64
	Address   string
	// Batch states that the request is an item of a batch job.
	Batch bool
	// Deadline is when the backend server has to stop working on the request.
	Deadline time.Time
	// ResumeAfter is the id of the last event received; empty to start from the
	// beginning.
	ResumeAfter string
	// Crossing states, for the metrics, why the attempt goes to the backend server's zone; it is
	// empty for items.
	Crossing string
}

// Load is the load that a backend server reports in a response.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the server at this moment, relative to the usual time: 2.5
	// means two and a half times as long. It is only set if HasPace is true.
	Pace    float64
	HasPace bool
}

// RateLimit is what a response says about the requests that its backend server takes. The zero
// value says that the server names no limit.
type RateLimit struct {
	// Named states that the server names a limit: PerSecond requests a second from all gateways
	// together.
	Named     bool
	PerSecond float64
	// Malformed states that the response names a limit that can't be read; Text is its value.
	Malformed bool
	Text      string
}

// ResponseInfo is the information in the head of a backend server's response.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to; empty if the
	// response names none.
	RequestID string
	// NotRun states that the backend server did not and will not run the request.
	NotRun bool
	// Misdirected states that another backend server now uses the address.
	Misdirected bool
	// Leaving states that the backend server drains and wants no more requests.
	Leaving bool
	// Load is only set if HasLoad is true.
	Load    Load
	HasLoad bool
	// RateLimit is the limit that the backend server names.
	RateLimit RateLimit
	// KeepAlive is how long the backend server keeps an idle connection open; zero
	// if it does not report a time.
	KeepAlive time.Duration
}

// OutgoingRequest is a request as sent to a backend server.
type OutgoingRequest struct {
	Method string
	// Target is the path and the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Process identifies a process that serves at an address. Fields that are zero are not known.
type Process struct {
	// ID is the id of the backend server, which may start again under it.
	ID string
	// StartedMs is when the process has started, in Unix milliseconds.
	StartedMs int64
	// Another states that the process is not the one that was asked for.
	Another bool
}

// Codec converts requests and responses to and from a backend server's protocol.
type Codec interface {
	// Encode returns the request to send.
	Encode(r *Request, a Attempt) OutgoingRequest
	// Decode reads the head of a response.
	Decode(resp *http.Response) ResponseInfo
	// EncodeIdentityRequests returns the requests whose responses identify the process that serves
	// at an address, the most exact first. healthPath is the path of the service's health check; it
	// may be empty.
	EncodeIdentityRequests(backendID, address, healthPath string) []OutgoingRequest
	// DecodeProcess reads what a response to such a request says about the process.
	DecodeProcess(resp *http.Response) Process
}
