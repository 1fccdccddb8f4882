package quarantine

import (
	"slices"
	"time"
)

const (
	// momentWidth is the time in which servers that end are lost together.
	momentWidth = 250 * time.Millisecond
	// minUnexplained is how many servers must end together without a run of a suspect, for their loss to
	// have another cause.
	minUnexplained = 3
	// maxEndings bounds the memory for ends of servers.
	maxEndings = 256
)

// ending is the end of a backend server, with the suspects of the runs that all gateways together have
// reported there.
type ending struct {
	server   uint32
	at       time.Time
	suspects map[string]bool
}

// endings are the last ends of backend servers, oldest first.
type endings []ending

// record adds what one gateway knows about the end of a server.
func (e endings) record(server uint32, runs Runs, now time.Time) endings {
	i := slices.IndexFunc(e, func(known ending) bool { return known.server == server && now.Sub(known.at) < sameCrash })
	if i < 0 {
		if len(e) == maxEndings {
			e = slices.Delete(e, 0, 1)
		}
		e = append(e, ending{server, now, make(map[string]bool, len(runs))})
		i = len(e) - 1
	}
	for suspect := range runs {
		e[i].suspects[suspect] = true
	}
	return e
}

// last returns when a server has last ended; zero if none has.
func (e endings) last() time.Time {
	if len(e) == 0 {
		return time.Time{}
	}
	return e[len(e)-1].at
}

// explains reports whether a suspect may have caused what happened at the time of a crash. It has not if
// several servers were lost at that moment, and most of them ran nothing with the suspect.
func (e endings) explains(suspect string, at time.Time) bool {
	with, without := 0, 0
	for _, known := range e {
		switch {
		case known.at.Sub(at).Abs() >= momentWidth:
		case known.suspects[suspect]:
			with++
		default:
			without++
		}
	}
	return without < minUnexplained || without <= with
}
