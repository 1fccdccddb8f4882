package upstream

import "net/http"

// Evidence is what shows that a response which has ended is complete.
type Evidence string

// The kinds of evidence.
const (
	// ByLength: the body has the length that the head states.
	ByLength Evidence = "length"
	// ByLastChunk: the body ended with its last chunk.
	ByLastChunk Evidence = "last_chunk"
	// ByProcess: the connection was closed, and the process that sent the response serves on. The end
	// of a process closes its connections too.
	ByProcess Evidence = "same_process"
	// ServerEnded: the connection was closed, and the process no longer serves at its address.
	ServerEnded Evidence = "server_ended"
	// Unproved: the connection was closed, and nothing is known of the process.
	Unproved Evidence = "unproved"
)

// Evidences lists every kind of evidence.
func Evidences() []Evidence {
	return []Evidence{ByLength, ByLastChunk, ByProcess, ServerEnded, Unproved}
}

// Proves reports whether the response is complete.
func (e Evidence) Proves() bool { return e != ServerEnded && e != Unproved }

// FramingEvidence returns what the framing of the response shows about its end.
func (r *Response) FramingEvidence() Evidence {
	switch {
	case r.resp.ContentLength >= 0, r.resp.Body == http.NoBody:
		return ByLength
	case len(r.resp.TransferEncoding) > 0:
		return ByLastChunk
	}
	return Unproved
}

// RequestID returns the id of the request that the response belongs to.
func (r *Response) RequestID() string { return r.requestID }
