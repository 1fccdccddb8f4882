// Command cases runs one case of the second review with stand-ins of the platform, as its run.sh says:
// cases NUMBER RECORD. With TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) != 3 {
		fmt.Println("cases NUMBER RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	rec = &record{f: f, began: time.Now()}
	scratch, err = os.MkdirTemp("", "review-2-")
	must(err)
	if _, err := os.Stat(gatewayProgram); err != nil {
		cannotRun(err.Error())
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		cannotRun("it was stopped")
	}()
	time.AfterFunc(118*time.Second, func() { cannotRun("it takes longer than 118 s") })
	run, known := map[string]func() bool{"content": mixedContent, "held": heldPart, "stale": staleOwner, "regions": lostRegion}[os.Args[1]]
	if !known {
		cannotRun("no such case")
	}
	if broken := run(); broken {
		rec.line("RULE BROKEN")
		finish(1)
	}
	rec.line("the rule held")
	finish(0)
}
