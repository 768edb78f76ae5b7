// Daisystage is a query tier over many shards: an entry VM's process and the
// tools of its operators.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"daisystage.example/daisystage/internal/world/contract"
)

const usageMain = `A query tier over many shards.

Start with "daisystage demo", which runs a whole site in one process.
docs/OPERATORS.md explains each part.`

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error of the command line or of a settings file.
type usageError struct{ error }

func (ue usageError) Unwrap() error { return ue.error }

// tool is what subcommands write to and read from.
type tool struct {
	out, err io.Writer
	in       io.Reader
}

func main() {
	os.Exit(run(os.Args[1:], tool{out: os.Stdout, err: os.Stderr, in: os.Stdin}))
}

func run(args []string, tl tool) int {
	app := kingpin.New("daisystage", usageMain)
	app.UsageWriter(tl.out)
	app.ErrorWriter(tl.err)
	exited := -1
	app.Terminate(func(code int) { exited = code })
	addServe(app, tl)
	addForward(app, tl)
	addCheck(app, tl)
	addSettings(app, tl)
	addQuery(app, tl)
	addExplain(app, tl)
	addDump(app, tl)
	addDemo(app, tl)
	_, err := app.Parse(args)
	if exited >= 0 && err == nil {
		return exited
	}
	return exitCode(tl, args, err)
}

func exitCode(tl tool, args []string, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(tl.err, "daisystage: %v\n", err)
	if isUsage(err) || len(args) == 0 {
		return exitUsage
	}
	return exitFailed
}

func isUsage(err error) bool {
	usage, setting, field := usageError{}, (*contract.SettingError)(nil), (*contract.FieldError)(nil)
	if errors.As(err, &usage) || errors.As(err, &setting) || errors.As(err, &field) {
		return true
	}
	failed := failure{}
	return !errors.As(err, &failed)
}

// failure is an error of a subcommand that ran; all others are of the command
// line.
type failure struct{ error }

func (fl failure) Unwrap() error { return fl.error }

// action makes a subcommand's errors failures.
func action(do func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := do(); err != nil {
			return failure{err}
		}
		return nil
	}
}
