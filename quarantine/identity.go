package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strconv"

	"github.com/catkinrudder/catkinrudder/serving"
)

const (
	// requestPrefix and callerPrefix begin the identities of requests. Ids of prompt parts
	// contain no colon.
	requestPrefix = "request:"
	callerPrefix  = "caller:"
	// itemPrefix begins the identities of items of batch jobs.
	itemPrefix = "item:"
	// identityBytes is the length of the digest in an identity.
	identityBytes = 16
)

// credentialHeaders lists the header fields that tell callers behind one address apart.
var credentialHeaders = []string{"Authorization", "Cookie", "X-Api-Key"}

// ItemSuspect returns the identity of an item of a batch job, given by the job's id and the index of the item.
func ItemSuspect(job string, item int) string { return itemPrefix + job + "/" + strconv.Itoa(item) }

// Identities returns the identities of a request, which are the same for each time that its caller
// sends it, at any gateway: that of its method, host, target and body, and that of the same from this
// caller. They are digests, as they go into logs and the store. Ids of attempts, deadlines and other
// header fields differ between two sends and don't count.
func Identities(r *serving.Request) []string {
	h := sha256.New()
	for _, field := range []string{r.Method, r.Host, r.Target, string(r.Body)} {
		writeField(h, field)
	}
	content := h.Sum(nil)
	h.Reset()
	writeField(h, string(content))
	writeField(h, r.Caller)
	for _, name := range credentialHeaders {
		writeField(h, r.Header.Get(name))
	}
	if r.Identity.Checked {
		writeField(h, r.Identity.Workspace)
	}
	return []string{
		requestPrefix + hex.EncodeToString(content[:identityBytes]),
		callerPrefix + hex.EncodeToString(h.Sum(nil)[:identityBytes]),
	}
}

// writeField writes a field behind its length, so that no two lists of fields are equal.
func writeField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = h.Write(length[:])       // never fails
	_, _ = io.WriteString(h, field) // never fails
}
