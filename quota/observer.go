package quota

// PermitOutcome is what became of permits.
type PermitOutcome string

// The outcomes of permits.
const (
	// Granted: this gateway got it from the owner.
	Granted PermitOutcome = "granted"
	// Denied: there was none for a request.
	Denied PermitOutcome = "denied"
	// Lapsed: this gateway did not use it in time and has given it back.
	Lapsed PermitOutcome = "lapsed"
	// Spent: a request was admitted without one, as the owner did not answer.
	Spent PermitOutcome = "spent"
)

// AskOutcome is what became of a request to another gateway for permits.
type AskOutcome string

// The outcomes of requests for permits.
const (
	Answered   AskOutcome = "answered"
	Redirected AskOutcome = "redirected"
	Unanswered AskOutcome = "unanswered"
)

// Observer counts what a Limiter does.
type Observer interface {
	Permits(o PermitOutcome, n int)
	Asked(o AskOutcome)
}
