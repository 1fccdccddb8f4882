package jobs

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// digestBytes is the length of a digest of content.
const digestBytes = 16

// digestOf returns the digest of the chunks of a value. Values with equal digests have equal records.
func digestOf(chunks [][]byte) string {
	h := sha256.New()
	for _, c := range chunks {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(c)))) // never fails
		_, _ = h.Write(c)                                                  // never fails
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}

// chunksOf returns the chunks that records hold.
func chunksOf(records []keyedlog.Record) [][]byte {
	chunks := make([][]byte, len(records))
	for i, r := range records {
		chunks[i] = r.Value[chunkHeaderBytes:]
	}
	return chunks
}

// contentID identifies content: the job that was submitted with it, and its digest. Two submissions of a job may
// encode it in different ways, and an append without a response may be executed late. As the digest is a part of the
// keys, no submission replaces records of another one.
type contentID struct {
	job string
	// digest is empty for content of older releases, whose submissions share their keys.
	digest string
}

// key returns the key of the content's value.
func (c contentID) key() string {
	if c.digest == "" {
		return sharedPrefix + c.job
	}
	return contentPrefix + c.job + "/" + c.digest
}

// parseContentKey is the reverse of key. It returns false for keys of other values.
func parseContentKey(key string) (contentID, bool) {
	if job, ok := strings.CutPrefix(key, sharedPrefix); ok {
		return contentID{job: job}, true
	}
	name, ok := strings.CutPrefix(key, contentPrefix)
	i := strings.LastIndexByte(name, '/')
	if !ok || i < 0 {
		return contentID{}, false
	}
	return contentID{job: name[:i], digest: name[i+1:]}, true
}

// The formats in which jobs are stored. A release reads its own format and all older ones.
const (
	// sharedContentFormat: all submissions of a job write its content under the same keys.
	sharedContentFormat = 0
	// StoredFormat is the format of this release: content is stored under its digest, which the summary names.
	StoredFormat = 1
)

// contentValue is the content of a submission, ready to be appended.
type contentValue struct {
	id      contentID
	records []keyedlog.Record
}

// contentValues returns the content of a submission under its digest and, if a process reads only the format of older
// releases, also in that one.
func contentValues(job string, encoded []byte, recordBytes, oldestFormat int) []contentValue {
	id := contentID{job, digestOf(chunksOf(splitValue("", encoded, recordBytes)))}
	values := []contentValue{{id, splitValue(id.key(), encoded, recordBytes)}}
	if oldestFormat == sharedContentFormat {
		shared := contentID{job: job}
		values = append(values, contentValue{shared, splitValue(shared.key(), encoded, recordBytes)})
	}
	return values
}

// content is what one submission of a job has written, as far as it has been read.
type content struct {
	// chunks is the number of its records. Some of them may not be there.
	chunks int
	// seen is when its first record was read.
	seen time.Time
	// whole states that all records have been read. Only then submittedMs is known: when the job was first received, in
	// Unix milliseconds.
	whole       bool
	submittedMs int64
	// unreadable states that all records were there and are not those of one submission.
	unreadable bool
	// items are dropped once it is known which content the job was accepted with.
	items []Item
}

// submittedBefore reports whether the content was submitted before at. Content of which records are missing counts as
// submitted when it was read.
func (c *content) submittedBefore(at time.Time) bool {
	if !c.whole {
		return c.seen.Before(at)
	}
	return time.UnixMilli(c.submittedMs).Before(at)
}

// applyContent applies a record of content, which has count records. chunks holds them once all of them are there.
func (t *Table) applyContent(id contentID, chunks [][]byte, count int) error {
	e := t.entry(id.job)
	c := e.contents[id.digest]
	if c == nil {
		c = &content{chunks: count, seen: time.Now()}
		e.contents[id.digest] = c
	}
	c.chunks = max(c.chunks, count)
	if chunks == nil || c.whole {
		return nil
	}
	job, err := decodeContent(id, chunks)
	if err != nil {
		c.unreadable = true
		return err
	}
	c.unreadable = false
	c.whole, c.submittedMs, c.items = true, job.SubmittedMs, job.Items
	e.selectContent()
	return nil
}

// decodeContent returns the job that the chunks of content hold.
func decodeContent(id contentID, chunks [][]byte) (*Job, error) {
	if actual := digestOf(chunks); id.digest != "" && actual != id.digest {
		return nil, errors.Errorf("jobs: content of job %s has digest %s", id.job, actual)
	}
	job := &Job{}
	return job, decode(bytes.Join(chunks, nil), job)
}

// lacksContent reports whether the content that the job was accepted with can't be read.
func (e *entry) lacksContent() bool {
	c := e.contents[e.job.Content]
	return e.items == nil && c != nil && c.unreadable
}

// selectContent makes the items of the content that the job was accepted with those of the job, and drops those of other
// content, whose records stay until the job is deleted: another process may know the job by them.
func (e *entry) selectContent() {
	if e.job == nil {
		return
	}
	for digest, c := range e.contents {
		if digest == e.job.Content && e.items == nil {
			e.items = c.items
		}
		c.items = nil
	}
}

// contentExpiredBefore reports whether all contents of a job that was never accepted were submitted before at.
func (e *entry) contentExpiredBefore(at time.Time) bool {
	for _, c := range e.contents {
		if !c.submittedBefore(at) {
			return false
		}
	}
	return len(e.contents) > 0
}

// contentTombstones returns the records that delete all contents of a job.
func (e *entry) contentTombstones(id string) (records []keyedlog.Record) {
	for digest, c := range e.contents {
		records = append(records, tombstones(contentID{id, digest}.key(), c.chunks)...)
	}
	return records
}

// deleteContent deletes content that no job was accepted with.
func (t *Table) deleteContent(id contentID) {
	e := t.byID[id.job]
	if e == nil || e.job != nil {
		return
	}
	delete(e.contents, id.digest)
	if len(e.contents) == 0 && !e.cancelled && len(e.results) == 0 {
		delete(t.byID, id.job)
	}
}
