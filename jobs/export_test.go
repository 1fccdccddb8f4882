package jobs

// WaitingByRoute returns the tokens of unfinished items of all workspaces by route.
func (s *Service) WaitingByRoute() map[string]int64 { return s.waitingByRoute() }
