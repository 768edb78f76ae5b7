// Standin2 runs the cases of a review against the project's own programs. Each case
// starts entry VMs as processes of their own and brings stand-ins for the store, the
// servers and the clients.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

//go:embed names.json
var namesText []byte

// names holds the names on the wire by what they mean.
var names = func() map[string]string {
	all := map[string]string{}
	if err := json.Unmarshal(namesText, &all); err != nil {
		panic(err)
	}
	return all
}()

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]func(ev *env, trouble bool) (verdict, error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	ev, err := newEnv(record)
	if err != nil {
		record.line("could not run: %v", err)
		return exitNotRun
	}
	defer ev.close()
	type outcome struct {
		vd  verdict
		err error
	}
	done := make(chan outcome, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, trouble %t", os.Args[1], trouble)
	go func() {
		vd, err := cases[os.Args[1]](ev, trouble)
		done <- outcome{vd, err}
	}()
	select {
	case oc := <-done:
		switch {
		case oc.err != nil:
			record.line("could not run: %v", oc.err)
			return exitNotRun
		case oc.vd.broken:
			record.line("BROKEN: %s", oc.vd.reason)
			return exitBroken
		}
		record.line("HELD: %s", oc.vd.reason)
		return exitHeld
	case <-time.After(maxRunTime):
		record.line("could not run: the case took too long")
		return exitNotRun
	}
}
