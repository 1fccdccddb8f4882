// Package jobs takes batch jobs, keeps them and their results on a keyed log,
// and runs their items.
//
// One topic holds summaries of the jobs, which every process follows. A job is
// accepted when its summary stands there; the order of that log decides which jobs
// fit a route's quota. Two more topics have a partition for each shard; a job's
// content, which is written before its summary, and its results stand in the shard
// that its id hashes to. One process at a time owns a shard. It reads the content,
// runs the items and writes the results under an epoch that the log checks, so a
// former owner can waste work but change nothing. Others ask the owner.
package jobs

import (
	"hash/fnv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxItems bounds the items of a job.
const MaxItems = 200

// Item is one request of a job.
type Item struct {
	ID string `cbor:"1,keyasint"`
	// Target is the path that the item is sent to.
	Target string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint,omitempty"`
	Body   []byte            `cbor:"4,keyasint,omitempty"`
	// Tokens are those of the prompt and of the longest output together.
	Tokens int64 `cbor:"5,keyasint"`
}

// Job is a batch job as it was accepted. It is immutable.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Host and Route are those of the route that took the job.
	Host  string `cbor:"2,keyasint"`
	Route string `cbor:"3,keyasint"`
	// SubmittedMs is when the job was first seen, in Unix milliseconds.
	SubmittedMs int64  `cbor:"4,keyasint"`
	Items       []Item `cbor:"5,keyasint"`
}

// Tokens returns the tokens of all items.
func (j *Job) Tokens() int64 { return j.summary().total() }

// summary returns what every process is to know of the job.
func (j *Job) summary() *summary {
	s := &summary{Host: j.Host, Route: j.Route, SubmittedMs: j.SubmittedMs, Tokens: make([]int64, len(j.Items))}
	for i := range j.Items {
		s.Tokens[i] = j.Items[i].Tokens
	}
	return s
}

// summary is what every process knows of an accepted job. Its items, which may
// be long, are known to the owner of its shard only.
type summary struct {
	Host        string `cbor:"1,keyasint"`
	Route       string `cbor:"2,keyasint"`
	SubmittedMs int64  `cbor:"3,keyasint"`
	// Tokens holds the tokens of each item.
	Tokens []int64 `cbor:"4,keyasint"`
}

// submitted returns when the job was first seen.
func (s *summary) submitted() time.Time { return time.UnixMilli(s.SubmittedMs) }

func (s *summary) total() int64 {
	var sum int64
	for _, n := range s.Tokens {
		sum += n
	}
	return sum
}

// Result is the end of one item.
type Result struct {
	// Item is the item's index in its job.
	Item int `cbor:"1,keyasint"`
	// Completed is false for an item that was given up.
	Completed bool `cbor:"2,keyasint,omitempty"`
	// Text is the data of all events, separated by line feeds.
	Text []byte `cbor:"3,keyasint,omitempty"`
}

// Progress is what an item has produced when its run was handed over.
type Progress struct {
	// LastEvent is the id of the last event in Text.
	LastEvent string `cbor:"1,keyasint"`
	Text      []byte `cbor:"2,keyasint,omitempty"`
	// Events counts the events in Text.
	Events int `cbor:"3,keyasint,omitempty"`
	// Failures counts the runs that the backend server answered with an error.
	Failures int `cbor:"4,keyasint,omitempty"`
}

// shardOf returns the shard of a job.
func shardOf(id string, shards int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int(h.Sum32() % uint32(shards))
}

func encode(v any) ([]byte, error) {
	raw, err := cbor.Marshal(v)
	return raw, errors.Wrap(err, "jobs: encode")
}

func decode(raw []byte, v any) error { return errors.Wrap(cbor.Unmarshal(raw, v), "jobs: decode") }
