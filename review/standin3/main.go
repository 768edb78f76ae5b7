// Command standin3 plays the cases of the third review: it starts the system's processes
// beside stand-ins of the platform, its servers and its clients.
//
// Usage: standin3 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(en *env) (broken bool, err error){
	"restored-store":  restoredStore,
	"forgotten-crash": forgottenCrash,
	"last-unlisted":   lastUnlisted,
	"left-owners":     leftOwners,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	en, err := newEnv(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		en.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](en)
	en.close()
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
