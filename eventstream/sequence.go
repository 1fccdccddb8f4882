package eventstream

import (
	"fmt"
	"strconv"
)

// Reason is why an event does not continue the events before it.
type Reason string

// The reasons.
const (
	// Gap: at least one event is missing before it.
	Gap Reason = "gap"
	// Repeated: its number is not higher than that of the event before.
	Repeated Reason = "repeated"
	// Unnumbered: it has no number, and the event before has one.
	Unnumbered Reason = "unnumbered"
	// Numbered: it has a number, and the event before has none.
	Numbered Reason = "numbered"
	// NotAtStart: it is the first event of a run from the start, and its number is a later one.
	NotAtStart Reason = "not_at_start"
)

// maxFirstNumber is the highest number of the first event of a run. Servers count from 0 or from 1.
const maxFirstNumber = 1

// OrderError is the error of an event that does not continue the events before it.
type OrderError struct {
	Reason Reason
	// Last is the id of the event before; it is empty at the start and if that event has none.
	Last string
	// ID is the id of the event, shortened if it is long.
	ID string
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("event id %q does not follow %q: %s, expected %s", e.ID, e.Last, e.Reason, e.expected())
}

// expected describes the id that the event should have had.
func (e *OrderError) expected() string {
	switch e.Reason {
	case NotAtStart:
		return fmt.Sprintf("a number from 0 to %d", maxFirstNumber)
	case Numbered:
		return "no number"
	}
	return "the next number"
}

// numbering is what the ids of a sequence are.
type numbering uint8

const (
	// atStart: no event has come, and the run begins with its first one.
	atStart numbering = iota
	// unchecked: no event has come, and nothing is known of those before it.
	unchecked
	// numbered: each event has the number after that of the event before.
	numbered
	// unnumbered: no event has a number.
	unnumbered
)

// Sequence decides which event may come next in the output of one request, which several runs may
// produce one after the other. The zero value is a sequence of which no event has come.
type Sequence struct {
	numbering numbering
	number    int64
	last      string
}

// After returns the sequence of a run that was asked to go on after the event with the id last. An
// empty one is the start.
func After(last string) Sequence {
	if last == "" {
		return Sequence{}
	}
	if n, ok := number(last); ok {
		return Sequence{numbering: numbered, number: n, last: last}
	}
	return Sequence{numbering: unchecked, last: last}
}

// Accept adds an event to the sequence, or returns an OrderError and leaves the sequence as it is. A
// comment, which has neither an id nor data, is no part of the sequence and may come anywhere.
func (s *Sequence) Accept(id string, hasData bool) error {
	if id == "" && !hasData {
		return nil
	}
	n, isNumber := number(id)
	if reason := s.violation(n, isNumber); reason != "" {
		return &OrderError{Reason: reason, Last: s.last, ID: shorten(id)}
	}
	s.numbering, s.number, s.last = unnumbered, 0, shorten(id)
	if isNumber {
		s.numbering, s.number = numbered, n
	}
	return nil
}

// violation returns why an event may not come next, or an empty reason.
func (s *Sequence) violation(n int64, isNumber bool) Reason {
	switch {
	case s.numbering == unnumbered && isNumber:
		return Numbered
	case s.numbering == numbered && !isNumber:
		return Unnumbered
	case s.numbering == numbered && n <= s.number:
		return Repeated
	case s.numbering == numbered && n-1 != s.number:
		return Gap
	case s.numbering == atStart && isNumber && (n < 0 || n > maxFirstNumber):
		return NotAtStart
	}
	return ""
}

// Unnumbered reports whether events have come that have no numbers. Another run can't go on after
// them.
func (s *Sequence) Unnumbered() bool { return s.numbering == unnumbered }

func number(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// maxShownIDBytes bounds the ids that an error names.
const maxShownIDBytes = 64

func shorten(id string) string { return id[:min(len(id), maxShownIDBytes)] }
