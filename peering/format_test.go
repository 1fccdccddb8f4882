package peering

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// TestOneGatewayOfAnOlderReleaseDecidesTheFormatOfStoredJobs guards against jobs that the owner of their shard can't read
// while two releases run.
func TestOneGatewayOfAnOlderReleaseDecidesTheFormatOfStoredJobs(t *testing.T) {
	p := New(Options{Name: "own", Table: balance.New(balance.Options{Zone: "z", PeerTTL: ReportTTL}), Logger: log.New(io.Discard)})
	assert.Equal(t, p.OldestFormat(), jobs.StoredFormat)
	record := func(name string, format int) {
		raw, err := cbor.Marshal(Peer{Address: "10.0.0.1:1", JobFormat: format})
		assert.NilError(t, err)
		p.Apply([]keyedlog.Record{{Key: name, Value: raw}})
	}
	seq := uint64(0)
	report := func(name string, format int) {
		seq++
		p.apply(report{From: name, Boot: 1, Seq: seq, JobFormat: format}, &net.UDPAddr{}, time.Now())
	}
	raw, err := EncodePeer(Peer{Address: "10.0.0.1:1"})
	assert.NilError(t, err)
	p.Apply([]keyedlog.Record{{Key: "present", Value: raw}})
	report("present", jobs.StoredFormat)
	assert.Equal(t, p.OldestFormat(), jobs.StoredFormat)
	record("older", 0)
	assert.Equal(t, p.OldestFormat(), 0)
	report("older", jobs.StoredFormat) // it runs this release now
	assert.Equal(t, p.OldestFormat(), jobs.StoredFormat)
	report("unlisted", 0)
	assert.Equal(t, p.OldestFormat(), 0)
}
