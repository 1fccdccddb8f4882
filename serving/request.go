// Package serving holds the types of a request as the system handles it,
// independent of the interface it came in by.
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

// Prompt describes a request for tokens. The zero value is a plain request.
type Prompt struct {
	Model string
	// InputTokens and MaxOutputTokens bound the size of the request.
	InputTokens     int
	MaxOutputTokens int
	// Parts lists the parts of the prompt in order.
	Parts []PromptPart
}

// Request is one attempt of a caller. It is not changed once decoded.
type Request struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	Host   string
	// Target is the path with its query, as it came.
	Target string
	Path   string
	// Header holds the headers to be forwarded.
	Header http.Header
	Body   []byte
	// Arrived is when the head of the request was read.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting; zero if it did not say.
	Deadline time.Time
	// LastEvent is the id of the last event that the caller has; empty if it
	// starts from the beginning.
	LastEventID string
	Prompt      Prompt
}

// Attempt is one try at one backend server.
type Attempt struct {
	BackendID string
	Address   string
	// Deadline is when the backend server is to stop work.
	Deadline time.Time
	// ResumeAfter is the id of the last event received; empty to start anew.
	ResumeAfter string
}

// Load is what a backend server tells of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// ResponseInfo is what the head of a backend server's answer says about the run.
type ResponseInfo struct {
	// RequestID is the id that the answer belongs to; empty if it names none.
	RequestID string
	// NotRun is the backend server's word that it did not and will not run it.
	NotRun bool
	// Misdirected says that another backend server has the address.
	Misdirected bool
	// Load is set if HasLoad is.
	Load    Load
	HasLoad bool
	// KeepAlive is how long the backend server keeps an idle connection; zero
	// if it does not say.
	KeepAlive time.Duration
}

// OutgoingRequest is a request as it goes to a backend server.
type OutgoingRequest struct {
	Method string
	// Target is the path with its query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Codec speaks a backend server's interface.
type Codec interface {
	// Encode returns the request to send.
	Encode(r *Request, a Attempt) OutgoingRequest
	// Decode reads the head of an answer.
	Decode(resp *http.Response) ResponseInfo
}
