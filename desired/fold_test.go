package desired

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// referenceModel is a simple implementation of the rules for a stream from which
// nothing has expired: a loop over all records.
type referenceModel struct {
	entries  []commitlog.Entry
	verdicts []State
	// inForce[i] is the version in force before record i.
	inForce []uint64
}

func (n *referenceModel) next() commitlog.Offset { return commitlog.Offset(len(n.entries)) }

func (n *referenceModel) now() uint64 { return n.inForce[len(n.inForce)-1] }

func (n *referenceModel) publish(t assert.TestingT, p PublishRecord, valid bool) {
	e, err := commitlog.NewEntry(KindPublish, p)
	assert.NilError(t, err)
	state, now := Accepted, n.now()
	switch {
	case p.Recover && now > uint64(p.Seen), !p.Recover && p.Base != now:
		state = Conflicted
	case !valid:
		state = Invalid
	default:
		now = uint64(n.next()) + 1
	}
	n.add(e, state, now)
}

func (n *referenceModel) renew(t assert.TestingT, r Renewal) {
	e, err := commitlog.NewEntry(KindRenewal, r)
	assert.NilError(t, err)
	n.add(e, "", n.now())
}

func (n *referenceModel) add(e commitlog.Entry, s State, now uint64) {
	n.entries = append(n.entries, e)
	n.verdicts = append(n.verdicts, s)
	n.inForce = append(n.inForce, now)
}

// renewal returns the renewal that a reader of the whole stream certifies now.
func (n *referenceModel) renewal(t assert.TestingT) Renewal {
	r := Renewal{Version: n.now(), Seen: n.next()}
	if r.Version > 0 {
		var p PublishRecord
		assert.NilError(t, n.entries[r.Version-1].Decode(&p))
		r.Base, r.Document = p.Base, p.Document
	}
	return r
}

func document(i int) []byte {
	return []byte(fmt.Sprintf("[[service]]\nname = \"s%d\"\nkind = \"plain\"\n", i))
}

// generate draws a stream with concurrent publications, invalid documents and
// delayed renewals.
func generate(t *rapid.T) *referenceModel {
	n := &referenceModel{inForce: []uint64{0}}
	var prepared []Renewal
	for i := range rapid.IntRange(1, 30).Draw(t, "records") {
		switch rapid.IntRange(0, 6).Draw(t, "record") {
		case 0, 1, 2:
			n.publish(t, PublishRecord{ID: fmt.Sprint(i), Base: n.now(), Document: document(i)}, true)
		case 3:
			base := rapid.SampledFrom(n.inForce).Draw(t, "base")
			raw := rapid.SampledFrom([][]byte{document(i), []byte("no = 1")}).Draw(t, "document")
			n.publish(t, PublishRecord{Base: base, Document: raw}, len(raw) > 6)
		case 4:
			prepared = append(prepared, n.renewal(t))
		case 5:
			r := n.renewal(t)
			if len(prepared) > 0 {
				r = rapid.SampledFrom(prepared).Draw(t, "stale")
			}
			n.renew(t, r)
		case 6:
			seen := rapid.Uint64Range(0, uint64(n.next())).Draw(t, "seen")
			n.publish(t, PublishRecord{Recover: true, Seen: commitlog.Offset(seen), Document: document(i)}, true)
		}
	}
	if n.next() == 0 {
		n.publish(t, PublishRecord{ID: "only", Document: document(0)}, true)
	}
	return n
}

// fold applies the records [from, to) to a table and compares it with the reference
// model after each.
func fold(t *rapid.T, table *Table, n *referenceModel, from, to commitlog.Offset) {
	for at := from; at < to; at++ {
		before, _ := table.InForce()
		err := table.Apply(commitlog.Position{Offset: at}, n.entries[at])
		assert.Assert(t, err == nil || errors.Is(err, ErrStaleRenewal), "%v", err)
		now, _ := table.InForce()
		assert.Assert(t, now.Number >= before.Number, "version went down")
		assert.Assert(t, now.Number <= n.inForce[at+1], "version was never accepted")
		if table.Known() {
			assert.Equal(t, now.Number, n.inForce[at+1])
		}
	}
	for _, v := range table.History() {
		if v.State != Undecided {
			assert.Equal(t, v.Accepted(), n.verdicts[v.Offset] == Accepted, "offset %d: %s", v.Offset, v)
		}
	}
}

func TestTableMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := generate(t)
		whole := NewTable(Hooks{})
		fold(t, whole, n, 0, n.next())
		assert.Assert(t, whole.Known())

		// A reader that stopped at a record and then found a gap, or that starts
		// after records have expired.
		last := rapid.Uint64Range(0, uint64(n.next())).Draw(t, "last")
		first := rapid.Uint64Range(last, uint64(n.next())).Draw(t, "first")
		late := NewTable(Hooks{})
		fold(t, late, n, 0, commitlog.Offset(last))
		late.SkipTo(commitlog.Offset(first))
		fold(t, late, n, commitlog.Offset(first), n.next())

		// A fresh renewal makes the late reader's state known.
		r, ok := whole.Renewal()
		assert.Assert(t, ok)
		end := n.next()
		n.renew(t, r)
		fold(t, late, n, end, n.next())
		assert.Assert(t, late.Known())
		got, _ := late.InForce()
		want, _ := whole.InForce()
		assert.Equal(t, got.Number, want.Number)
		assert.DeepEqual(t, got.Raw, want.Raw)
	})
}

// A newer version expires before a stale renewal of an older version does. The
// stale renewal must not restore the older version.
func TestStaleRenewalDoesNotRestoreOldVersion(t *testing.T) {
	n := &referenceModel{inForce: []uint64{0}}
	n.publish(t, PublishRecord{Document: document(1)}, true)
	stale := n.renewal(t)
	n.publish(t, PublishRecord{Base: 1, Document: document(2)}, true)
	holder := NewTable(Hooks{})
	apply(t, holder, n, 0, nil)
	n.renew(t, stale)

	fresh := NewTable(Hooks{})
	fresh.SkipTo(2) // version 2 at offset 1 has expired, the stale renewal has not
	apply(t, fresh, n, 2, ErrStaleRenewal)
	_, ok := fresh.InForce()
	assert.Assert(t, !ok && !fresh.Known())

	apply(t, holder, n, 2, nil)
	_, overtaken := holder.NewestCopy()
	assert.Assert(t, overtaken, "a table that holds the newer version must renew at once")
	r, ok := holder.Renewal()
	assert.Assert(t, ok)
	n.renew(t, r)
	apply(t, holder, n, 3, nil)
	apply(t, fresh, n, 3, nil)
	_, overtaken = holder.NewestCopy()
	assert.Assert(t, !overtaken)
	v, ok := fresh.InForce()
	assert.Assert(t, ok)
	assert.Equal(t, v.Number, uint64(2))
}

// apply applies the records from an offset on.
func apply(t *testing.T, table *Table, n *referenceModel, from commitlog.Offset, want error) {
	t.Helper()
	for at := from; at < n.next(); at++ {
		assert.ErrorIs(t, table.Apply(commitlog.Position{Offset: at}, n.entries[at]), want)
	}
}

// Records expire between the query for the oldest offset and the first read.
func TestExpiryBeforeFirstRead(t *testing.T) {
	n := &referenceModel{inForce: []uint64{0}}
	n.publish(t, PublishRecord{Document: document(1)}, true)
	n.publish(t, PublishRecord{Document: document(2)}, false)
	table := NewTable(Hooks{})
	table.SkipTo(0)
	apply(t, table, n, 1, nil)
	assert.Assert(t, !table.Known())
	_, ok := table.InForce()
	assert.Assert(t, !ok, "a publication that lost is in force")
}

func TestAdoptIgnoresOlderVersion(t *testing.T) {
	var seen []uint64
	table := NewTable(Hooks{InForce: func(v Version) { seen = append(seen, v.Number) }})
	took, err := table.Adopt(9, document(9))
	assert.Assert(t, took && err == nil)
	took, err = table.Adopt(3, document(3))
	assert.Assert(t, !took && err == nil)
	_, err = table.Adopt(12, []byte("no = 1"))
	assert.ErrorContains(t, err, "unknown key")

	n := &referenceModel{inForce: []uint64{0}}
	n.publish(t, PublishRecord{Document: document(1)}, true)
	n.publish(t, PublishRecord{Base: 1, Document: []byte("no = 1")}, false)
	apply(t, table, n, 0, nil)
	v, _ := table.InForce()
	assert.Equal(t, v.Number, uint64(9))
	assert.DeepEqual(t, seen, []uint64{9})
	verdict, ok := table.Verdict(1)
	assert.Assert(t, ok && verdict.State == Invalid)
}

func FuzzApply(f *testing.F) {
	publish, _ := commitlog.NewEntry(KindPublish, PublishRecord{Document: document(1)})
	renewal, _ := commitlog.NewEntry(KindRenewal, Renewal{Version: 1, Seen: 1, Document: document(1)})
	f.Add(uint16(KindPublish), publish.Body, uint64(0))
	f.Add(uint16(KindRenewal), renewal.Body, uint64(5))
	f.Add(uint16(9), []byte{0xff}, uint64(1))
	f.Fuzz(func(t *testing.T, kind uint16, body []byte, at uint64) {
		table := NewTable(Hooks{})
		table.SkipTo(commitlog.Offset(at))
		_ = table.Apply(commitlog.Position{Offset: commitlog.Offset(at)}, commitlog.Entry{Kind: commitlog.EntryKind(kind), Body: body})
		if v, ok := table.InForce(); ok {
			assert.Assert(t, v.Number <= at+1)
			assert.NilError(t, v.Document.Validate())
		}
	})
}
