package batch

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// DefaultShards is the number of shards of a deployment.
const DefaultShards = 16

// Shards are all shards of a deployment. Their number is part of the stored
// format because it determines the shard of a workspace.
type Shards []Shard

// ForWorkspace returns the shard of a workspace.
func (s Shards) ForWorkspace(workspace string) Shard {
	return s[xxhash.Sum64String(workspace)%uint64(len(s))]
}

// StreamName returns the name of a shard's log stream.
func StreamName(shard int) string { return fmt.Sprintf("batch-%02d", shard) }
