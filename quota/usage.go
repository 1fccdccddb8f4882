package quota

// Usage is what a gateway says of its use of a quota, since it said so last.
type Usage struct {
	// Returned is how many permits have lapsed unused, Spent how many requests it has admitted
	// without a permit, and Denied how many it has denied by an earlier denial of the owner.
	Returned, Spent, Denied int
}

// Request is a request for permits, from a gateway to the owner of a workspace in its region.
type Request struct {
	Workspace string
	// Want is the number of permits that the sender would use within grantTime.
	Want int
	// Version is the version of the sender's configuration. Limit is the quota there.
	Version int64
	Limit   Limit
	Usage   Usage
}

// Reply is the reply of an owner.
type Reply struct {
	// Granted is the number of permits; 0 is a denial.
	Granted int
	Denial  Denial
	// Fresh states that the sender has just become the owner and may have denied a permit because
	// it does not know what is left.
	Fresh bool
	// Unsettled states that the sender knows too little of the others to hand out permits yet.
	Unsettled bool
	// Owner names another gateway if the sender is not the owner.
	Owner string
	// Version is the version of the configuration that the owner goes by.
	Version int64
}

// decided reports whether the sender has decided as the owner.
func (r Reply) decided() bool { return !r.Unsettled && r.Owner == "" }
