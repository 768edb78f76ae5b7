package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"daisystage.example/daisystage/internal/peer/operator"
)

const usageDump = `Print the state of an entry VM's process, as JSON.

Example: daisystage dump 10.0.0.4:8402 --token T`

func addDump(app *kingpin.Application, tl terminal) {
	cmd := app.Command("dump", usageDump)
	address := cmd.Arg("address", "Operator address of the entry VM.").Required().String()
	token := cmd.Flag("token", "Token of a team.").Envar("DAISYSTAGE_TOKEN").Required().String()
	cmd.Action(action(func() error {
		client, err := operator.NewClient(*address, *token, &http.Client{Timeout: operatorTimeout})
		if err != nil {
			return err
		}
		state, err := client.Dump(context.Background())
		if err != nil {
			return refusalError(err)
		}
		var indented bytes.Buffer
		if err := json.Indent(&indented, state, "", "  "); err != nil {
			return fmt.Errorf("print dump: %w", err)
		}
		fmt.Fprintln(tl.out, indented.String())
		return nil
	}))
}
