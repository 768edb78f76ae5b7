package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"daisystage.example/daisystage/internal/node/entryvm"
	"daisystage.example/daisystage/internal/world/contract"
)

const usageCheck = `Check a file before it is put in force.

Without a subcommand: an entry.toml, or the text of a setting. The error names the
file, the line, the key and the accepted range.

Examples:
  daisystage check --config entry.toml
  daisystage check --path teams/gaisma/routes/find --file find.toml
  daisystage check config new.json --against in-force.json`

func addCheck(app *kingpin.Application, tl terminal) {
	cmd := app.Command("check", usageCheck)
	// The default, so that the flags may follow "check".
	entry := cmd.Command("entry", "Check an entry.toml, or the text of a setting.\n\nExample: daisystage check --config entry.toml").Default()
	config := entry.Flag("config", "The entry.toml to check.").String()
	path := entry.Flag("path", "Path of the setting to check.").String()
	file := entry.Flag("file", "Text of the setting; standard input by default.").String()
	entry.Action(action(func() error { return check(*config, *path, *file, tl) }))
	addCheckConfig(cmd, tl)
}

func check(config, path, file string, tl terminal) error {
	if config == "" && path == "" {
		return usageError{errors.New("check needs --config or --path")}
	}
	if config != "" {
		if _, err := entryvm.ReadConfig(config); err != nil {
			return usageError{err}
		}
		fmt.Fprintf(tl.out, "%s is correct\n", config)
	}
	if path == "" {
		return nil
	}
	body, err := readFileOrStdin(file, tl)
	if err != nil {
		return usageError{err}
	}
	if err := contract.CheckBody(path, body); err != nil {
		return usageError{err}
	}
	fmt.Fprintf(tl.out, "%s is correct\n", path)
	return nil
}

// readFileOrStdin reads a file, or standard input if path is empty or "-".
func readFileOrStdin(path string, tl terminal) (string, error) {
	if path == "" || path == "-" {
		body, err := io.ReadAll(tl.in)
		if err != nil {
			return "", fmt.Errorf("read standard input: %w", err)
		}
		return string(body), nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read file: %w", err)
	}
	return string(body), nil
}
