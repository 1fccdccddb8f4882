// Package jobs accepts batch jobs, stores them and their results on a keyed log,
// and runs their items.
//
// One topic holds the summaries of the jobs, and every process follows it. A job is
// accepted when its summary is on that topic; the order of its records decides which
// jobs fit a route's quota. Two more topics have one partition for each shard. The
// content of a job, which is written before its summary, and the results of a job are
// in the shard that its id hashes to. One process at a time owns a shard. The owner
// reads the content, runs the items and writes the results under an epoch that the
// log checks, so a former owner can waste work but can't change anything. Other
// processes query the owner.
package jobs

import (
	"hash/fnv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// MaxItems is the maximum number of items in a job.
const MaxItems = 200

// Item is one request of a job.
type Item struct {
	ID string `cbor:"1,keyasint"`
	// Target is the path that the item is sent to.
	Target string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint,omitempty"`
	Body   []byte            `cbor:"4,keyasint,omitempty"`
	// Tokens is the sum of the prompt tokens and the maximum output tokens.
	Tokens int64 `cbor:"5,keyasint"`
}

// Job is an accepted batch job. It is immutable.
type Job struct {
	// ID is the id that ScopedID returns.
	ID string `cbor:"1,keyasint"`
	// Host and Route identify the route that accepted the job.
	Host  string `cbor:"2,keyasint"`
	Route string `cbor:"3,keyasint"`
	// SubmittedMs is when the job was first received, in Unix milliseconds.
	SubmittedMs int64  `cbor:"4,keyasint"`
	Items       []Item `cbor:"5,keyasint"`
	// Workspace is the name of the workspace that owns the job. It is empty for a job of an
	// anonymous caller and for one that was accepted while there were no workspaces.
	Workspace string `cbor:"6,keyasint,omitempty"`
}

// Tokens returns the total tokens of all items.
func (j *Job) Tokens() int64 { return j.summary("").totalTokens() }

// summary returns the part of the job that every process stores. content is the digest of the
// content that the job is accepted with.
func (j *Job) summary(content string) *summary {
	s := &summary{
		Host: j.Host, Route: j.Route, SubmittedMs: j.SubmittedMs, Workspace: j.Workspace, Content: content,
		Tokens: make([]int64, len(j.Items)),
	}
	for i := range j.Items {
		s.Tokens[i] = j.Items[i].Tokens
	}
	return s
}

// summary is the part of an accepted job that every process stores. The items,
// which may be long, are stored by the owner of the job's shard only.
type summary struct {
	Host        string `cbor:"1,keyasint"`
	Route       string `cbor:"2,keyasint"`
	SubmittedMs int64  `cbor:"3,keyasint"`
	// Tokens holds the tokens of each item.
	Tokens    []int64 `cbor:"4,keyasint"`
	Workspace string  `cbor:"5,keyasint,omitempty"`
	// Content is the digest of the content that the job was accepted with. It is empty for a
	// job that an older release has accepted.
	Content string `cbor:"6,keyasint,omitempty"`
}

// submitted returns when the job was first received.
func (s *summary) submitted() time.Time { return time.UnixMilli(s.SubmittedMs) }

func (s *summary) totalTokens() int64 {
	var sum int64
	for _, n := range s.Tokens {
		sum += n
	}
	return sum
}

// Result is the final result of one item.
type Result struct {
	// Item is the item's index in its job.
	Item int `cbor:"1,keyasint"`
	// Completed is false for an item that was abandoned.
	Completed bool `cbor:"2,keyasint,omitempty"`
	// Text is the data of all events, separated by line feeds.
	Text []byte `cbor:"3,keyasint,omitempty"`
}

// Progress is the partial output of an item, from which another run can resume.
type Progress struct {
	// LastEvent is the id of the last event in Text.
	LastEvent string `cbor:"1,keyasint"`
	Text      []byte `cbor:"2,keyasint,omitempty"`
	// Events counts the events in Text.
	Events int `cbor:"3,keyasint,omitempty"`
	// Failures counts the runs that ended with an error response of the backend
	// server.
	Failures int `cbor:"4,keyasint,omitempty"`
	// UnansweredStops counts the runs that were stopped before the backend server had
	// answered, since its last answer. Such a run may have had an answer on its way.
	UnansweredStops int `cbor:"5,keyasint,omitempty"`
	// Service and Version are the software that has written Text. Records of older releases
	// do not hold them.
	Service string `cbor:"6,keyasint,omitempty"`
	Version string `cbor:"7,keyasint,omitempty"`
}

// origin returns the software that has written the output so far.
func (p Progress) origin() catalog.Software {
	return catalog.Software{Service: p.Service, Version: p.Version}
}

// started reports whether there is any output.
func (p Progress) started() bool { return p.LastEvent != "" || p.Events > 0 }

// withoutOutput returns the progress of an item that starts from the beginning again.
func (p Progress) withoutOutput() Progress {
	return Progress{Failures: p.Failures, UnansweredStops: p.UnansweredStops}
}

// withoutText returns the state of the progress without the text.
func (p Progress) withoutText() Progress {
	p.Text = nil
	return p
}

// equalState reports whether a record of q would add nothing to one of p.
func (p Progress) equalState(q Progress) bool {
	return p.Events == q.Events && p.Failures == q.Failures && p.UnansweredStops == q.UnansweredStops
}

// shardOf returns the shard of a job.
func shardOf(id string, shards int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int(h.Sum32() % uint32(shards))
}

// encoder writes equal values as equal bytes.
var encoder = must(cbor.CoreDetEncOptions().EncMode())

// must returns v; err is nil for constant options.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func encode(v any) ([]byte, error) {
	raw, err := encoder.Marshal(v)
	return raw, errors.Wrap(err, "jobs: encode")
}

func decode(raw []byte, v any) error { return errors.Wrap(cbor.Unmarshal(raw, v), "jobs: decode") }
