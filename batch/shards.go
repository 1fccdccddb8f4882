package batch

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// DefaultShards is how many shards a deployment has.
const DefaultShards = 16

// Shards are all shards of a deployment. Their number is part of the stored
// format: it decides where a workspace lives.
type Shards []Shard

// ForWorkspace returns the shard that a workspace lives in.
func (s Shards) ForWorkspace(workspace string) Shard {
	return s[xxhash.Sum64String(workspace)%uint64(len(s))]
}

// StreamName returns the name of a shard's log stream.
func StreamName(shard int) string { return fmt.Sprintf("batch-%02d", shard) }
