// Daisystage is a query tier over many shards. The command runs the process of
// an entry VM and has tools for its operators.
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

// The exit codes: success, a failed subcommand, and an error in the command line
// or in a settings file.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks an error in the command line or in a settings file.
type usageError struct{ error }

func (ue usageError) Unwrap() error { return ue.error }

// terminal holds the standard streams of a subcommand.
type terminal struct {
	out, err io.Writer
	in       io.Reader
}

func main() {
	os.Exit(run(os.Args[1:], terminal{out: os.Stdout, err: os.Stderr, in: os.Stdin}))
}

// run executes the command line and returns the exit code.
func run(args []string, tl terminal) int {
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

// exitCode prints an error and returns the exit code for it.
func exitCode(tl terminal, args []string, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(tl.err, "daisystage: %v\n", err)
	if isUsageError(err) || len(args) == 0 {
		return exitUsage
	}
	return exitFailed
}

// isUsageError reports whether an error is in the command line or in a settings
// file. All other errors are failures of a subcommand.
func isUsageError(err error) bool {
	usage, setting, field := usageError{}, (*contract.SettingError)(nil), (*contract.FieldError)(nil)
	if errors.As(err, &usage) || errors.As(err, &setting) || errors.As(err, &field) {
		return true
	}
	failed := failure{}
	return !errors.As(err, &failed)
}

// failure marks an error returned by a subcommand. Errors without it come from
// parsing the command line.
type failure struct{ error }

func (fl failure) Unwrap() error { return fl.error }

// action returns a kingpin action that marks the errors of a subcommand as
// failures.
func action(do func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := do(); err != nil {
			return failure{err}
		}
		return nil
	}
}
