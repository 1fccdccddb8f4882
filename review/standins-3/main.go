// Command standins plays the cases of the third review: stand-ins of the platform's store, of workers and of
// clients in one process, beside gateways that run as processes of their own.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// outcome is the result of a case.
type outcome int

const (
	held outcome = iota
	broken
	notRun
)

var cases = map[string]func(rec *recorder, trouble bool) outcome{
	"memory":  memoryCase,
	"refused": refusedCase,
	"leaving": leavingCase,
	"stale":   staleCase,
	"joined":  joinedCase,
}

// timeLimit bounds a case.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(int(notRun))
	}
	rec := newRecorder(os.Args[2])
	// The gateways end with this process.
	time.AfterFunc(timeLimit, func() {
		rec.add("error", "not done after %s", timeLimit)
		os.Exit(int(notRun))
	})
	os.Exit(int(play(rec, cases[os.Args[1]], os.Getenv("TROUBLE") != "0")))
}

func play(rec *recorder, c func(*recorder, bool) outcome, trouble bool) (out outcome) {
	defer func() {
		if cause := recover(); cause != nil {
			rec.add("error", "%v", cause)
			out = notRun
		}
	}()
	begin := time.Now()
	out = c(rec, trouble)
	rec.add("result", "%s after %.1f s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[out], time.Since(begin).Seconds())
	return out
}
