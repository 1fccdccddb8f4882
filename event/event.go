// Package event numbers the events that the processes log. docs/events.md is the
// published catalogue; a test compares it with this package.
package event

import "github.com/charmbracelet/log"

// ID is the number of a kind of event.
type ID int

// Level is the severity an event is logged at.
type Level = log.Level

// Spec describes one event of the catalogue.
type Spec struct {
	ID    ID
	Name  string
	Level Level
	// Help describes when the event is logged.
	Help string
}

// The events: 1xx lifecycle, 2xx routing, 3xx placement and batch,
// 4xx admission, 5xx commit log, 6xx configuration, 7xx membership.
const (
	Started          ID = 101
	Draining         ID = 102
	Stopped          ID = 103
	Reloaded         ID = 104
	LinesLeftOut     ID = 105
	RequestRouted    ID = 201
	RequestRefused   ID = 202
	RequestRetried   ID = 203
	RequestDone      ID = 204
	StreamResumed    ID = 205
	PermitDenied     ID = 206
	QuotaRefused     ID = 207
	QuotaUnanswered  ID = 208
	EndUnproved      ID = 209
	EventOutOfOrder  ID = 210
	ItemPlaced       ID = 301
	ItemDone         ID = 302
	JobAccepted      ID = 303
	JobFinished      ID = 304
	ItemsHeld        ID = 305
	ItemRequeued     ID = 306
	ModelAssigned    ID = 307
	OrderSent        ID = 308
	JobFailed        ID = 309
	JobStepFailed    ID = 310
	ShardAssigned    ID = 311
	ShardOwned       ID = 312
	ShardReleased    ID = 313
	ShardsLeft       ID = 314
	ItemPanicked     ID = 315
	JobWithoutRoute  ID = 316
	ItemWaits        ID = 317
	ContentStored    ID = 318
	ContentUnknown   ID = 319
	MembershipBroken ID = 320
	AttemptAdmitted  ID = 401
	AttemptRefused   ID = 402
	BatchPreempted   ID = 403
	AttemptVetoed    ID = 404
	LogDown          ID = 501
	LogUp            ID = 502
	RecordSkipped    ID = 503
	RetentionGap     ID = 504
	RenewalFailed    ID = 505
	RecordOutdated   ID = 506
	ConfigInForce    ID = 601
	ConfigRefused    ID = 602
	ConfigFromPeer   ID = 603
	BackendSeen      ID = 701
	BackendLeaving   ID = 702
	BackendGone      ID = 703
	BackendEjected   ID = 704
	BackendLapsed    ID = 705
	PeerSeen         ID = 706
	PeerGone         ID = 707
	PeerSnapshot     ID = 708
	SourceChanged    ID = 709
	BackendCrashed   ID = 710
	PartHeld         ID = 711
	PartReleased     ID = 712
	BackendLimited   ID = 713
	LimitMalformed   ID = 714
	QuotaOwner       ID = 715
	SoftwareRecorded ID = 716
	TrialStarted     ID = 717
	TrialEnded       ID = 718
)

var catalogue = []Spec{
	{Started, "started", log.InfoLevel, "a process has started and serves requests"},
	{Draining, "draining", log.InfoLevel, "a process is draining: it refuses new work and completes running work"},
	{Stopped, "stopped", log.InfoLevel, "a process has completed its work and exits"},
	{Reloaded, "reloaded", log.InfoLevel, "a process has reread its settings"},
	{LinesLeftOut, "lines_left_out", log.WarnLevel, "log lines were suppressed or were not accepted by the reader of the output"},
	{RequestRouted, "request_routed", log.InfoLevel, "an entry chose a backend server for an online request"},
	{RequestRefused, "request_refused", log.InfoLevel, "an entry sent the final error response to a request"},
	{RequestRetried, "request_retried", log.InfoLevel, "an entry retries a request on another backend server"},
	{RequestDone, "request_done", log.InfoLevel, "the response to an online request is complete"},
	{StreamResumed, "stream_resumed", log.InfoLevel, "a caller resumes a stream; the line names the version that began it, if it is known"},
	{PermitDenied, "permit_denied", log.InfoLevel, "the limit that a backend server names left no room for a request, which tries another one or waits"},
	{QuotaRefused, "quota_refused", log.InfoLevel, "a request is beyond the quota of its workspace"},
	{QuotaUnanswered, "quota_unanswered", log.InfoLevel, "the gateway that hands out the permits of a workspace did not answer in time"},
	{EndUnproved, "end_unproved", log.WarnLevel, "a response of a backend server has ended, and nothing shows that it is complete"},
	{EventOutOfOrder, "event_out_of_order", log.WarnLevel, "an event of a stream or of a batch item does not follow the one before it"},
	{ItemPlaced, "item_placed", log.InfoLevel, "a batch item was sent to a backend server"},
	{ItemDone, "item_done", log.InfoLevel, "the result of a batch item is committed"},
	{JobAccepted, "job_accepted", log.InfoLevel, "a batch job was read from the log and applied to the state"},
	{JobFinished, "job_finished", log.InfoLevel, "every item of a batch job has its result"},
	{ItemsHeld, "items_held", log.InfoLevel, "items of a service begin to wait until online requests leave slots"},
	{ItemRequeued, "item_requeued", log.InfoLevel, "a batch item is returned to its job's queue"},
	{ModelAssigned, "model_assigned", log.InfoLevel, "an entry selected the model for a backend server to load"},
	{OrderSent, "order_sent", log.InfoLevel, "a sidecar sent its backend server an order to load a model"},
	{JobFailed, "job_failed", log.WarnLevel, "the input of a batch job is invalid and none of its items is run"},
	{JobStepFailed, "job_step_failed", log.WarnLevel, "a step of a batch job failed and is retried"},
	{ShardAssigned, "shard_assigned", log.InfoLevel, "the group assigned the ownership of a shard of batch jobs to this process"},
	{ShardOwned, "shard_owned", log.InfoLevel, "this process is the only writer of a shard's results and has read all earlier writes"},
	{ShardReleased, "shard_released", log.InfoLevel, "this process no longer owns a shard"},
	{ShardsLeft, "shards_left", log.InfoLevel, "this process leaves the shards of batch jobs to stronger ones"},
	{ItemPanicked, "item_panicked", log.ErrorLevel, "a fault of this process ended a run of a batch item, which is run again"},
	{JobWithoutRoute, "job_without_route", log.WarnLevel, "the configuration has no route for the items of an accepted batch job"},
	{ItemWaits, "item_waits", log.InfoLevel, "an open batch item has waited for 5 s for one reason or without any run, then for 10 s, 20 s and so on"},
	{ContentStored, "content_stored", log.InfoLevel, "the content of a submission is on the log; its job is not accepted yet"},
	{ContentUnknown, "content_unknown", log.WarnLevel, "appends of the content of a submission had no response and may be executed later"},
	{MembershipBroken, "membership_broken", log.InfoLevel, "the group renewed a membership that had lapsed, or that has another generation"},
	{AttemptAdmitted, "attempt_admitted", log.InfoLevel, "a sidecar started an attempt at its backend server"},
	{AttemptRefused, "attempt_refused", log.InfoLevel, "a sidecar refused an attempt"},
	{BatchPreempted, "batch_preempted", log.InfoLevel, "a sidecar cancelled a batch stream for an arriving online request"},
	{AttemptVetoed, "attempt_vetoed", log.InfoLevel, "a sidecar guaranteed never to start an attempt"},
	{LogDown, "log_down", log.WarnLevel, "the log service is unavailable"},
	{LogUp, "log_up", log.InfoLevel, "the log service is available again"},
	{RecordSkipped, "record_skipped", log.ErrorLevel, "a record of the log could not be read and was skipped as specified"},
	{RetentionGap, "retention_gap", log.ErrorLevel, "a reader fell behind the log's retention"},
	{RenewalFailed, "renewal_failed", log.WarnLevel, "records that must outlive the log's retention could not be appended again; the append is retried"},
	{RecordOutdated, "record_outdated", log.InfoLevel, "a registration that is older than what is known of its backend server was ignored"},
	{ConfigInForce, "config_in_force", log.InfoLevel, "a configuration version is in force in this process"},
	{ConfigRefused, "config_refused", log.WarnLevel, "a configuration record was refused"},
	{ConfigFromPeer, "config_from_peer", log.WarnLevel, "a process has read from a peer a newer configuration than the one that it has from the store"},
	{BackendSeen, "backend_seen", log.InfoLevel, "a backend server was added to the table"},
	{BackendLeaving, "backend_leaving", log.InfoLevel, "a backend server is draining and receives no new work"},
	{BackendGone, "backend_gone", log.InfoLevel, "a backend server was removed from the table"},
	{BackendEjected, "backend_ejected", log.WarnLevel, "a backend server failed too often and receives no work for a limited time"},
	{BackendLapsed, "backend_lapsed", log.InfoLevel, "a backend server is no longer registered; it remains in use for a short time"},
	{PeerSeen, "peer_seen", log.InfoLevel, "another gateway is reachable"},
	{PeerGone, "peer_gone", log.InfoLevel, "another gateway is no longer reachable"},
	{PeerSnapshot, "peer_snapshot", log.InfoLevel, "a starting process loaded configuration and backend servers from a peer"},
	{SourceChanged, "source_changed", log.InfoLevel, "a gateway reads the registrations of backend servers from another source"},
	{BackendCrashed, "backend_crashed", log.WarnLevel, "a backend server has ended under running requests; the line names the parts of their prompts and their identities"},
	{PartHeld, "part_held", log.WarnLevel, "requests with a prompt part, the repetitions of one request, or an item of a batch job, are held, because backend servers end under them"},
	{PartReleased, "part_released", log.InfoLevel, "a prompt part, request or item is no longer held: a run of it has completed or was served for a second, or its item needs no run any more"},
	{BackendLimited, "backend_limited", log.InfoLevel, "a backend server names a limit for the requests a second that it takes from all gateways together, or another one, or none any more"},
	{LimitMalformed, "limit_malformed", log.WarnLevel, "a backend server names a limit that cannot be read; the last one stays in force"},
	{QuotaOwner, "quota_owner", log.InfoLevel, "a gateway begins to hand out the permits of a workspace, or another one takes over"},
	{SoftwareRecorded, "software_recorded", log.InfoLevel, "a gateway records in the store which software is in service, or that some has left"},
	{TrialStarted, "trial_started", log.InfoLevel, "a run with a held prompt part, or of a held request or item, is tried at one backend server"},
	{TrialEnded, "trial_ended", log.InfoLevel, "a trial has ended, and what it tried is still held"},
}

var byID = func() map[ID]Spec {
	m := make(map[ID]Spec, len(catalogue))
	for _, s := range catalogue {
		m[s.ID] = s
	}
	return m
}()

// Catalogue returns every event in the order of its number.
func Catalogue() []Spec {
	return append([]Spec(nil), catalogue...)
}

// Log writes one line for an event with alternating keys and values, unless the
// line limiter of the process suppresses it.
func Log(l *log.Logger, id ID, kv ...any) {
	if !allowed(id) {
		return
	}
	s := byID[id]
	l.Log(s.Level, s.Name, append([]any{"event", int(id)}, kv...)...)
}
