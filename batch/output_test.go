package batch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// TestRenewedSegmentIsReadLikeTheOriginal guards against a reader that decodes only
// original segments: renewed segments could not be read, and a job that was still
// open after a renewal never ended (chaos seed 41).
func TestRenewedSegmentIsReadLikeTheOriginal(t *testing.T) {
	first, err := NewSegment("j", []Result{{Index: 3, CustomID: "c3", Status: 200, Body: []byte("{}")}}, 1)
	assert.NilError(t, err)
	for kind, body := range map[commitlog.EntryKind]any{
		KindSegment:      first,
		KindRenewSegment: RenewSegment{Segment: first},
	} {
		e, err := commitlog.NewEntry(kind, body)
		assert.NilError(t, err)
		got, err := decodeSegment(e)
		assert.NilError(t, err, "kind %d", kind)
		assert.DeepEqual(t, got, first)
	}
	other, err := commitlog.NewEntry(KindCancel, Cancel{Job: "j"})
	assert.NilError(t, err)
	_, err = decodeSegment(other)
	assert.ErrorIs(t, err, commitlog.ErrFormat)
}

// TestInvalidLineFailsOnlyItsItem checks that a line that can no longer be parsed
// fails only its own item.
func TestInvalidLineFailsOnlyItsItem(t *testing.T) {
	r := &Runner{}
	out := r.runItem(t.Context(), JobView{}, Start{}, 4, 1, []byte("{"))
	assert.Equal(t, out.result.ErrorCode, string(errkind.BadBatchLine))
	assert.Equal(t, out.result.Index, uint32(4))
	assert.Assert(t, out.result.Failed())
}
