package jobs

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestReportsOfWaitingTokensAreBounded reports more accounts than fit: those that are left out are
// said to be unknown, so that receivers count all of their jobs.
func TestReportsOfWaitingTokensAreBounded(t *testing.T) {
	sums := map[account]int64{{"", "r"}: 7}
	for i := range 20 {
		sums[account{fmt.Sprint("w", i), "r"}] = int64(i + 1)
	}
	var r ShardReport
	assert.Equal(t, r.setWaiting(sums, 5), 5)
	raw, err := cbor.Marshal(r)
	assert.NilError(t, err)
	assert.Assert(t, len(raw) < 100, "%d bytes", len(raw))
	var got ShardReport
	assert.NilError(t, cbor.Unmarshal(raw, &got))
	for a, want := range sums {
		tokens, stated := got.waitingOf(a)
		assert.Equal(t, stated, a.workspace == "" || want > 15, "%v", a)
		assert.Assert(t, !stated || tokens == want, "%v: %d", a, tokens)
	}
	r = ShardReport{}
	r.setWaiting(sums, 20)
	tokens, stated := r.waitingOf(account{"idle", "r"})
	assert.Assert(t, stated && tokens == 0)
}

func TestRecordsOfOlderReleasesAreRead(t *testing.T) {
	raw, err := cbor.Marshal(struct {
		Host   string  `cbor:"1,keyasint"`
		Route  string  `cbor:"2,keyasint"`
		At     int64   `cbor:"3,keyasint"`
		Tokens []int64 `cbor:"4,keyasint"`
	}{"h", "r", 5, []int64{1, 2}})
	assert.NilError(t, err)
	var s summary
	assert.NilError(t, decode(raw, &s))
	assert.DeepEqual(t, s, summary{Host: "h", Route: "r", SubmittedMs: 5, Tokens: []int64{1, 2}})
	again, err := encode(&s)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, raw)
}
