package waiting

import (
	"math"
	"time"
)

const (
	// shareWindow is the time constant with which served requests are forgotten. A burst of a
	// workspace counts against it for as long as the burst's requests wait.
	shareWindow = 2 * time.Second
	// minShare is the share below which a workspace is forgotten.
	minShare = 0.05
	// sweepInterval is the time between two searches for forgotten workspaces.
	sweepInterval = 10 * time.Second
)

// shares holds how many requests of each workspace were served of late. Its size is bounded
// by the requests of some shareWindows.
type shares struct {
	byWorkspace map[string]share
	swept       time.Time
}

// share is an exponentially decaying count as of at.
type share struct {
	amount float64
	at     time.Time
}

func (s share) decayed(now time.Time) float64 {
	return s.amount * math.Exp(-now.Sub(s.at).Seconds()/shareWindow.Seconds())
}

func (s *shares) of(workspace string, now time.Time) float64 {
	return s.byWorkspace[workspace].decayed(now)
}

func (s *shares) add(workspace string, now time.Time) {
	if s.byWorkspace == nil {
		s.byWorkspace = make(map[string]share)
	}
	s.byWorkspace[workspace] = share{amount: s.of(workspace, now) + 1, at: now}
	if now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	for name, sh := range s.byWorkspace {
		if sh.decayed(now) < minShare {
			delete(s.byWorkspace, name)
		}
	}
}
