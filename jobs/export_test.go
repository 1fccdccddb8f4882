package jobs

// WaitingByRoute returns the tokens of unfinished items of all workspaces by route.
func (s *Service) WaitingByRoute() map[string]int64 { return s.waitingByRoute() }

// ShardOf returns the shard of a job.
func ShardOf(id string, shards int) int { return shardOf(id, shards) }

// WaitingTokens returns the tokens that count as waiting on a route for all workspaces together.
func (s *Service) WaitingTokens(route string) int64 { return s.waitingTokens(account{route: route}) }
