// Package errkind defines the closed list of error kinds and maps each kind to
// the response that a caller receives.
package errkind

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind identifies a way in which a request can fail.
type Kind string

// The closed list of kinds. Kinds are part of the public API.
const (
	BadRequest       Kind = "bad_request"
	BadBatchLine     Kind = "bad_batch_line"
	Unauthorized     Kind = "unauthorized"
	NotFound         Kind = "not_found"
	MethodNotAllowed Kind = "method_not_allowed"
	UnknownService   Kind = "unknown_service"
	KeyReused        Kind = "idempotency_key_reused"
	InProgress       Kind = "in_progress"
	Conflict         Kind = "conflict"
	TooLarge         Kind = "too_large"
	HeaderTooLarge   Kind = "header_too_large"
	RateLimited      Kind = "rate_limited"
	Overloaded       Kind = "overloaded"
	DeadlineTooShort Kind = "deadline_too_short"
	Timeout          Kind = "timeout"
	NoBackend        Kind = "no_backend"
	Draining         Kind = "draining"
	Quarantined      Kind = "quarantined"
	BackendFailed    Kind = "backend_failed"
	BackendRefused   Kind = "backend_refused"
	OutcomeUnknown   Kind = "outcome_unknown"
	LogUnavailable   Kind = "log_unavailable"
	Expired          Kind = "expired"
	Cancelled        Kind = "cancelled"
	Internal         Kind = "internal"
)

// Outcome states whether a failed request was executed.
type Outcome string

// The outcomes. NotRun is reported only if it is proven. Unknown means that the
// request may have been executed, and Complete that it was executed to its end.
const (
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	Complete Outcome = "complete"
)

// Response is the response that a caller receives for a kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Type is the error type in the OpenAI error format.
	Type string
	// RetryAfter is the default delay before a retry, or zero if a retry does not
	// help.
	RetryAfter time.Duration
	// Outcome is the default outcome.
	Outcome Outcome
}

const (
	typeInvalid   = "invalid_request_error"
	typeAuth      = "authentication_error"
	typeRateLimit = "rate_limit_error"
	typeServer    = "server_error"
)

var responses = map[Kind]Response{
	BadRequest:       {http.StatusBadRequest, typeInvalid, 0, NotRun},
	BadBatchLine:     {http.StatusBadRequest, typeInvalid, 0, NotRun},
	Unauthorized:     {http.StatusUnauthorized, typeAuth, 0, NotRun},
	NotFound:         {http.StatusNotFound, typeInvalid, 0, NotRun},
	MethodNotAllowed: {http.StatusMethodNotAllowed, typeInvalid, 0, NotRun},
	UnknownService:   {http.StatusNotFound, typeInvalid, 0, NotRun},
	KeyReused:        {http.StatusUnprocessableEntity, typeInvalid, 0, NotRun},
	InProgress:       {http.StatusConflict, typeInvalid, time.Second, Unknown},
	Conflict:         {http.StatusConflict, typeInvalid, 0, NotRun},
	TooLarge:         {http.StatusRequestEntityTooLarge, typeInvalid, 0, NotRun},
	HeaderTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, typeInvalid, 0, NotRun},
	RateLimited:      {http.StatusTooManyRequests, typeRateLimit, time.Second, NotRun},
	Overloaded:       {http.StatusServiceUnavailable, typeServer, time.Second, NotRun},
	DeadlineTooShort: {http.StatusServiceUnavailable, typeServer, time.Second, NotRun},
	Timeout:          {http.StatusGatewayTimeout, typeServer, time.Second, Unknown},
	NoBackend:        {http.StatusServiceUnavailable, typeServer, 2 * time.Second, NotRun},
	Draining:         {http.StatusServiceUnavailable, typeServer, time.Second, NotRun},
	Quarantined:      {http.StatusServiceUnavailable, typeServer, 30 * time.Second, NotRun},
	BackendFailed:    {http.StatusBadGateway, typeServer, time.Second, Unknown},
	BackendRefused:   {http.StatusBadGateway, typeServer, 0, Complete},
	OutcomeUnknown:   {http.StatusBadGateway, typeServer, 0, Unknown},
	LogUnavailable:   {http.StatusServiceUnavailable, typeServer, 5 * time.Second, NotRun},
	Expired:          {http.StatusGone, typeInvalid, 0, Complete},
	Cancelled:        {499, typeInvalid, 0, Unknown},
	Internal:         {http.StatusInternalServerError, typeServer, time.Second, Unknown},
}

// Kinds returns every kind with its response.
func Kinds() map[Kind]Response {
	out := make(map[Kind]Response, len(responses))
	for k, r := range responses {
		out[k] = r
	}
	return out
}

// Lookup returns the response for a kind, or that of Internal for an unlisted
// kind.
func Lookup(k Kind) Response {
	if r, ok := responses[k]; ok {
		return r
	}
	return responses[Internal]
}

// Error is a failure of a listed kind.
type Error struct {
	Kind    Kind
	Message string
	// Param names the invalid part of the request; it may be empty.
	Param string
	// Outcome overrides the default outcome of the kind if it is set.
	Outcome Outcome
	// RetryAfter overrides the default of the kind if it is positive.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of the given kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind with a cause.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = cause
	return e
}

// WithParam sets the invalid part of the request.
func (e *Error) WithParam(p string) *Error {
	e.Param = p
	return e
}

// WithOutcome sets the outcome that is reported to the caller.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return e
}

// WithRetryAfter sets the delay after which the caller may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Response returns the response for the error's kind with the error's overrides
// applied. A status that promises that the request has not run is replaced by 504 if the
// outcome does not say so.
func (e *Error) Response() Response {
	r := Lookup(e.Kind)
	if e.Outcome != "" {
		r.Outcome = e.Outcome
	}
	if e.RetryAfter > 0 {
		r.RetryAfter = e.RetryAfter
	}
	if r.Outcome != NotRun && promisesNotRun(r.Status) {
		r.Status = http.StatusGatewayTimeout
	}
	return r
}

// From returns err as an *Error. An error without a kind is wrapped as Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error")
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
