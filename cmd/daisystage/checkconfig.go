package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"daisystage.example/daisystage/platform"
)

const usageCheckConfig = `Check the operator's configuration on the users' platform before it is submitted.

FILE is the configuration object as the store holds it, in JSON, or "-" for standard
input. Each finding is an error or a warning with its line, column (in bytes) and place.
An error is refused by "daisystage forward", or certain to refuse requests. With --against
the differences from another version, such as the one in force, follow; the new version
must be higher. Customers' keys are never printed.

The exit code is 0 if nothing was found, 1 if an error or a warning was found, and 2 if a
file can't be read. Differences alone are not findings.

Examples:
  daisystage check config new.json
  daisystage check config new.json --against in-force.json --entry-vms 65 --json`

// checkConfigFlags are the arguments of "check config".
type checkConfigFlags struct {
	file, against *string
	// compares is set if --against is given, even as "-", which is parsed to an empty text.
	compares bool
	entryVMs *uint16
	asJSON   *bool
}

func addCheckConfig(parent *kingpin.CmdClause, tl terminal) {
	cmd := parent.Command("config", usageCheckConfig)
	cf := &checkConfigFlags{}
	cf.file = cmd.Arg("file", "The configuration to check.").Required().String()
	cf.against = cmd.Flag("against", "The configuration to compare with, such as the version in force.").IsSetByUser(&cf.compares).String()
	cf.entryVMs = cmd.Flag("entry-vms", "Number of entry VMs, to check connection limits.").Uint16()
	cf.asJSON = cmd.Flag("json", "Print one JSON object.").Bool()
	cmd.Action(action(func() error { return cf.run(tl) }))
}

// configurationReport is the output of "check config".
type configurationReport struct {
	Findings []platform.ConfigurationFinding `json:"findings"`
	// Comparison is nil without --against, and if the configuration can't be decoded.
	Comparison *platform.ConfigurationChanges `json:"comparison,omitempty"`
}

// errFound is returned if a configuration has findings.
var errFound = errors.New("the configuration has findings")

func (cf *checkConfigFlags) run(tl terminal) error {
	text, err := readConfiguration(*cf.file, tl)
	if err != nil {
		return usageError{err}
	}
	var against []byte
	inForce := int64(0)
	if cf.compares {
		if nameOfFile(*cf.against) == nameOfFile(*cf.file) && nameOfFile(*cf.file) == standardInput {
			return usageError{errors.New("only one of FILE and --against can be standard input")}
		}
		if against, err = readConfiguration(*cf.against, tl); err != nil {
			return usageError{err}
		}
		if inForce, err = platform.VersionOf(against); err != nil {
			return usageError{fmt.Errorf("%s: %w", nameOfFile(*cf.against), err)}
		}
	}
	report := configurationReport{Findings: platform.CheckConfiguration(text, int(*cf.entryVMs), inForce)}
	if cf.compares {
		// A configuration that can't be decoded has a finding that says so.
		if cc, err := platform.CompareConfigurations(against, text); err == nil {
			report.Comparison = &cc
		}
	}
	if err := cf.print(report, tl.out); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return errFound
	}
	return nil
}

func (cf *checkConfigFlags) print(report configurationReport, out io.Writer) error {
	if *cf.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return fmt.Errorf("print findings: %w", err)
		}
		return nil
	}
	for _, fi := range report.Findings {
		fmt.Fprintf(out, "%s:%d:%d: %s: %s\n", nameOfFile(*cf.file), fi.Line, fi.Column, fi.Severity, describeFinding(fi))
	}
	if len(report.Findings) == 0 {
		fmt.Fprintf(out, "%s has no errors and no warnings\n", nameOfFile(*cf.file))
	}
	if report.Comparison != nil {
		printChanges(*report.Comparison, out)
	}
	return nil
}

// describeFinding returns the place, message and code of a finding.
func describeFinding(fi platform.ConfigurationFinding) string {
	text := fi.Message
	if fi.Place != "" {
		text = fi.Place + ": " + text
	}
	if fi.Nearest != "" {
		text += fmt.Sprintf("; the nearest known key is %q", fi.Nearest)
	}
	return fmt.Sprintf("%s [%s]", text, fi.Code)
}

func printChanges(cc platform.ConfigurationChanges, out io.Writer) {
	fmt.Fprintf(out, "version %d -> %d, %d differences\n", cc.OldVersion, cc.NewVersion, len(cc.Changes))
	for _, ch := range cc.Changes {
		object := ch.Object
		if ch.Name != "" {
			object += " " + ch.Name
		}
		switch {
		case ch.Kind != platform.ChangeChanged:
			fmt.Fprintf(out, "  %s %s\n", object, ch.Kind)
		case ch.Old == nil:
			fmt.Fprintf(out, "  %s: %s: %d added, %d removed\n", object, ch.Field, ch.KeysAdded, ch.KeysRemoved)
		default:
			fmt.Fprintf(out, "  %s: %s: %s -> %s\n", object, ch.Field, ch.Old, ch.New)
		}
	}
}

const standardInput = "standard input"

// nameOfFile returns the name of a file for messages.
func nameOfFile(path string) string {
	if path == "" || path == "-" {
		return standardInput
	}
	return path
}

// readConfiguration reads a file, or standard input for "-".
func readConfiguration(path string, tl terminal) ([]byte, error) {
	text, err := readFileOrStdin(path, tl)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return []byte(text), nil
}
