// Command standin plays one case of the review: it starts entry VMs as processes of
// their own, plays the platform's store, the servers and the callers, injects the
// disruption of the case and checks one rule on what callers and servers saw.
//
// Usage: standin CASE FOLDER, in the root of the repository. TROUBLE=0 in the
// environment leaves the disruption out. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case could not run.
package main

import (
	_ "embed" // for names.json
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playLimit ends a case that hangs.
const playLimit = 115 * time.Second

//go:embed names.json
var namesText []byte

// names holds the names of the users' wire.
var names struct {
	ID, Deadline, Seal, Expect, NotRun, Instance, Boot, Objects, Ready, Resolve, NonIdempotent, Idempotent string
}

// cases maps the name of each case to the function that plays it. The function
// reports whether the rule was broken.
var cases = map[string]func(pl *play) (bool, error){
	"second-copy": playSecondCopy,
	"stop":        playStop,
	"half-close":  playHalfClose,
	"crash":       playCrash,
	"blocked":     playBlocked,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitFailed
	}
	if err := json.Unmarshal(namesText, &names); err != nil {
		fmt.Fprintln(os.Stderr, "decode names:", err)
		return exitFailed
	}
	broken, err := playCase(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

var (
	errTooLong = errors.New("the case took too long")
	errStopped = errors.New("the case was stopped")
)

func playCase(name, folder string) (bool, error) {
	rc, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer rc.close()
	temporary, err := os.MkdirTemp("", "daisystage-review-")
	if err != nil {
		return false, fmt.Errorf("make a temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	pl := &play{record: rc, folder: temporary, trouble: os.Getenv("TROUBLE") != "0"}
	defer pl.end()
	rc.add("case %s, trouble %t", name, pl.trouble)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](pl)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		return false, errStopped
	case oc := <-done:
		rc.add("broken %t, error %v", oc.broken, oc.err)
		return oc.broken, oc.err
	case <-time.After(playLimit):
		return false, errTooLong
	}
}
