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
	Started         ID = 101
	Draining        ID = 102
	Stopped         ID = 103
	Reloaded        ID = 104
	LinesLeftOut    ID = 105
	RequestRouted   ID = 201
	RequestRefused  ID = 202
	RequestRetried  ID = 203
	RequestDone     ID = 204
	ItemPlaced      ID = 301
	ItemDone        ID = 302
	JobAccepted     ID = 303
	JobFinished     ID = 304
	ItemRequeued    ID = 306
	ModelAssigned   ID = 307
	OrderSent       ID = 308
	JobFailed       ID = 309
	JobStepFailed   ID = 310
	ShardAssigned   ID = 311
	ShardOwned      ID = 312
	ShardReleased   ID = 313
	AttemptAdmitted ID = 401
	AttemptRefused  ID = 402
	BatchPreempted  ID = 403
	AttemptVetoed   ID = 404
	LogDown         ID = 501
	LogUp           ID = 502
	RecordSkipped   ID = 503
	RetentionGap    ID = 504
	RenewalFailed   ID = 505
	ConfigInForce   ID = 601
	ConfigRefused   ID = 602
	BackendSeen     ID = 701
	BackendLeaving  ID = 702
	BackendGone     ID = 703
	BackendEjected  ID = 704
	BackendLapsed   ID = 705
	PeerSeen        ID = 706
	PeerGone        ID = 707
	PeerSnapshot    ID = 708
	SourceChanged   ID = 709
)

var catalogue = []Spec{
	{Started, "started", log.InfoLevel, "a process serves"},
	{Draining, "draining", log.InfoLevel, "a process refuses new work and finishes what runs"},
	{Stopped, "stopped", log.InfoLevel, "a process has finished and exits"},
	{Reloaded, "reloaded", log.InfoLevel, "a process has read its settings again"},
	{LinesLeftOut, "lines_left_out", log.WarnLevel, "log lines were left out or not taken by the reader of the output"},
	{RequestRouted, "request_routed", log.InfoLevel, "an entry chose a backend server for an online request"},
	{RequestRefused, "request_refused", log.InfoLevel, "an entry gave a request its final, failed answer"},
	{RequestRetried, "request_retried", log.InfoLevel, "an entry tries a request again elsewhere"},
	{RequestDone, "request_done", log.InfoLevel, "an online request got its whole answer"},
	{ItemPlaced, "item_placed", log.InfoLevel, "a batch item was sent to a backend server"},
	{ItemDone, "item_done", log.InfoLevel, "a batch item has its committed result"},
	{JobAccepted, "job_accepted", log.InfoLevel, "a batch job was folded from the log"},
	{JobFinished, "job_finished", log.InfoLevel, "every item of a batch job has its result"},
	{ItemRequeued, "item_requeued", log.InfoLevel, "a batch item goes back to its job's queue"},
	{ModelAssigned, "model_assigned", log.InfoLevel, "an entry decided what a backend server is to load"},
	{OrderSent, "order_sent", log.InfoLevel, "a sidecar told its backend server what to load"},
	{JobFailed, "job_failed", log.WarnLevel, "the input of a batch job is invalid and none of it is run"},
	{JobStepFailed, "job_step_failed", log.WarnLevel, "a step of a batch job failed and is tried again"},
	{ShardAssigned, "shard_assigned", log.InfoLevel, "the group names this process as the owner of a shard of batch jobs"},
	{ShardOwned, "shard_owned", log.InfoLevel, "this process alone can write a shard's results and has read all that was written"},
	{ShardReleased, "shard_released", log.InfoLevel, "this process does not own a shard any more"},
	{AttemptAdmitted, "attempt_admitted", log.InfoLevel, "a sidecar started an attempt at its backend server"},
	{AttemptRefused, "attempt_refused", log.InfoLevel, "a sidecar refused an attempt"},
	{BatchPreempted, "batch_preempted", log.InfoLevel, "a sidecar cancelled a batch stream for an online arrival"},
	{AttemptVetoed, "attempt_vetoed", log.InfoLevel, "a sidecar promised never to start an attempt"},
	{LogDown, "log_down", log.WarnLevel, "the log service does not answer"},
	{LogUp, "log_up", log.InfoLevel, "the log service answers again"},
	{RecordSkipped, "record_skipped", log.ErrorLevel, "a record of the log could not be read and was skipped by rule"},
	{RetentionGap, "retention_gap", log.ErrorLevel, "a reader fell behind the log's retention"},
	{RenewalFailed, "renewal_failed", log.WarnLevel, "what must outlive the log's retention could not be appended again; it is tried again"},
	{ConfigInForce, "config_in_force", log.InfoLevel, "a configuration version is in force in this process"},
	{ConfigRefused, "config_refused", log.WarnLevel, "a configuration record was refused"},
	{BackendSeen, "backend_seen", log.InfoLevel, "a backend server joined the table"},
	{BackendLeaving, "backend_leaving", log.InfoLevel, "a backend server leaves and gets no new work"},
	{BackendGone, "backend_gone", log.InfoLevel, "a backend server left the table"},
	{BackendEjected, "backend_ejected", log.WarnLevel, "a backend server failed too often and gets no work for a while"},
	{BackendLapsed, "backend_lapsed", log.InfoLevel, "a backend server's registration has vanished; it is used for a short while more"},
	{PeerSeen, "peer_seen", log.InfoLevel, "another gateway is heard"},
	{PeerGone, "peer_gone", log.InfoLevel, "another gateway is not heard any more"},
	{PeerSnapshot, "peer_snapshot", log.InfoLevel, "a starting process took configuration and backend servers from a peer"},
	{SourceChanged, "source_changed", log.InfoLevel, "a gateway reads the registrations of backend servers from another source"},
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
