package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"daisystage.example/daisystage/internal/peer/operator"
	"daisystage.example/daisystage/internal/wire/operatorapi"
)

const usageSettings = `Read and change the settings under paths.

Paths are teams/<team>/routes/<route> and teams/<team>/limits. A token gives
access to the subtree of one team.`

const usageSettingsGet = `Print the setting in force.

Example: daisystage settings get teams/gaisma/routes/find --operator 10.0.0.4:8402 --token T`

const usageSettingsPut = `Change a setting.

--based-on is the hash of the revision that the change was made from, as printed
by "get --json". The change is refused if the setting has been changed since.
Without --based-on a new setting is created. With --wait the command returns
when the change is in force on all live entry VMs.

Example: daisystage settings put teams/gaisma/routes/find --file find.toml \
  --based-on 3f2a… --reason "more time on Saturdays" --wait --operator 10.0.0.4:8402 --token T`

const usageSettingsLog = `Print the revisions of a setting, newest first.

Example: daisystage settings log teams/gaisma/routes/find --operator 10.0.0.4:8402 --token T`

const usageSettingsWait = `Wait until a version is in force on all live entry VMs.

Example: daisystage settings wait teams/gaisma/routes/find --version 17 --operator 10.0.0.4:8402 --token T`

const (
	pollInterval    = 200 * time.Millisecond
	operatorTimeout = 30 * time.Second
)

// target is the operator API that a subcommand calls, with the flags for it.
type target struct {
	address, token string
	json           bool
}

func (tg *target) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("operator", "Operator address of any entry VM.").Envar("DAISYSTAGE_OPERATOR").Required().StringVar(&tg.address)
	cmd.Flag("token", "Token of the team.").Envar("DAISYSTAGE_TOKEN").Required().StringVar(&tg.token)
	cmd.Flag("json", "Print JSON.").BoolVar(&tg.json)
}

func (tg *target) client() (*operatorapi.Client, error) {
	return operator.NewClient(tg.address, tg.token, &http.Client{Timeout: operatorTimeout})
}

func addSettings(app *kingpin.Application, tl terminal) {
	cmd := app.Command("settings", usageSettings)
	addSettingsGet(cmd, tl)
	addSettingsPut(cmd, tl)
	addSettingsLog(cmd, tl)
	addSettingsWait(cmd, tl)
}

func addSettingsGet(settings *kingpin.CmdClause, tl terminal) {
	cmd := settings.Command("get", usageSettingsGet)
	tg := &target{}
	tg.flags(cmd)
	path := cmd.Arg("path", "Path of the setting.").Required().String()
	cmd.Action(action(func() error {
		client, err := tg.client()
		if err != nil {
			return err
		}
		st, err := client.GetSetting(context.Background(), operatorapi.GetSettingParams{Path: *path})
		if err != nil {
			return refusalError(err)
		}
		if tg.json {
			return printJSON(tl, st)
		}
		fmt.Fprintf(tl.out, "# %s version %d hash %s\n%s", st.Path, st.Version, st.Hash, st.Body)
		return nil
	}))
}

func addSettingsPut(settings *kingpin.CmdClause, tl terminal) {
	cmd := settings.Command("put", usageSettingsPut)
	tg := &target{}
	tg.flags(cmd)
	path := cmd.Arg("path", "Path of the setting.").Required().String()
	file := cmd.Flag("file", "Text of the setting; standard input by default.").String()
	basedOn := cmd.Flag("based-on", "Hash of the revision that the change was made from.").String()
	reason := cmd.Flag("reason", "Why the change is made.").Required().String()
	changeID := cmd.Flag("change-id", "Id of the change, the same each time it is sent; a new one by default.").String()
	wait := cmd.Flag("wait", "Return when the change is in force on all live entry VMs.").Bool()
	limit := cmd.Flag("timeout", "Maximum time to wait.").Default("15s").Duration()
	cmd.Action(action(func() error {
		body, err := readFileOrStdin(*file, tl)
		if err != nil {
			return usageError{err}
		}
		change := operatorapi.Change{Body: body, BasedOn: *basedOn, ChangeID: *changeID, Reason: *reason}
		if change.ChangeID == "" {
			change.ChangeID = uuid.NewString()
		}
		return putSetting(tg, *path, change, *wait, *limit, tl)
	}))
}

// putSetting sends a change and prints how it differs from the revision it is
// based on. With wait it returns when the change is in force.
func putSetting(tg *target, path string, change operatorapi.Change, wait bool, limit time.Duration, tl terminal) error {
	client, err := tg.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	before := ""
	if change.BasedOn != "" {
		st, err := client.GetRevision(ctx, operatorapi.GetRevisionParams{Hash: change.BasedOn})
		if err != nil {
			return refusalError(err)
		}
		before = st.Body
	}
	st, err := client.PutSetting(ctx, &change, operatorapi.PutSettingParams{Path: path})
	if err != nil {
		return fmt.Errorf("change %s: %w", change.ChangeID, refusalError(err))
	}
	if tg.json {
		if err := printJSON(tl, st); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(tl.out, "%s is now version %d, hash %s\n%s", path, st.Version, st.Hash, diffLines(before, change.Body))
	}
	if !wait {
		return nil
	}
	return waitInForce(ctx, client, path, st.Version, limit, tg.json, tl)
}

// diffLines returns the removed lines, marked with "-", and the added ones,
// marked with "+". It does not show moved lines.
func diffLines(before, after string) string {
	var rows strings.Builder
	for _, line := range missingLines(before, after) {
		fmt.Fprintf(&rows, "- %s\n", line)
	}
	for _, line := range missingLines(after, before) {
		fmt.Fprintf(&rows, "+ %s\n", line)
	}
	return rows.String()
}

// missingLines returns the lines of text that other does not contain, without
// surrounding space and empty lines.
func missingLines(text, other string) []string {
	have := map[string]bool{"": true}
	for line := range strings.Lines(other) {
		have[strings.TrimSpace(line)] = true
	}
	var missing []string
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); !have[line] {
			missing = append(missing, line)
		}
	}
	return missing
}

func addSettingsLog(settings *kingpin.CmdClause, tl terminal) {
	cmd := settings.Command("log", usageSettingsLog)
	tg := &target{}
	tg.flags(cmd)
	path := cmd.Arg("path", "Path of the setting.").Required().String()
	limit := cmd.Flag("limit", "Maximum number of revisions.").Default("20").Int()
	cmd.Action(action(func() error {
		client, err := tg.client()
		if err != nil {
			return err
		}
		rows, err := client.LogSetting(context.Background(), operatorapi.LogSettingParams{Path: *path, Limit: operatorapi.NewOptInt(*limit)})
		if err != nil {
			return refusalError(err)
		}
		if tg.json {
			return printJSON(tl, rows)
		}
		for _, st := range rows {
			fmt.Fprintf(tl.out, "%s  %s  %s: %s\n", st.WrittenAt.Format(time.RFC3339), st.Hash, st.Author, st.Reason)
		}
		return nil
	}))
}

func addSettingsWait(settings *kingpin.CmdClause, tl terminal) {
	cmd := settings.Command("wait", usageSettingsWait)
	tg := &target{}
	tg.flags(cmd)
	path := cmd.Arg("path", "Path of the setting.").Required().String()
	version := cmd.Flag("version", "Version to wait for.").Required().Int64()
	limit := cmd.Flag("timeout", "Maximum time to wait.").Default("15s").Duration()
	cmd.Action(action(func() error {
		client, err := tg.client()
		if err != nil {
			return err
		}
		return waitInForce(context.Background(), client, *path, *version, *limit, tg.json, tl)
	}))
}

// waitInForce polls until all live entry VMs have at least the version in force.
// After limit it returns an error that names those that do not.
func waitInForce(ctx context.Context, client *operatorapi.Client, path string, version int64, limit time.Duration, asJSON bool, tl terminal) error {
	startedAt := time.Now()
	for {
		rows, err := client.ListForce(ctx, operatorapi.ListForceParams{Path: path})
		if err != nil {
			return refusalError(err)
		}
		lagging := laggingEntryVMs(rows, version)
		if len(lagging) == 0 {
			if asJSON {
				return printJSON(tl, rows)
			}
			fmt.Fprintf(tl.out, "in force on %d entry VMs after %s\n", len(rows), time.Since(startedAt).Round(time.Millisecond))
			return nil
		}
		if time.Since(startedAt) > limit {
			return fmt.Errorf("version %d is not in force after %s on %s", version, limit, strings.Join(lagging, ", "))
		}
		time.Sleep(pollInterval)
	}
}

// laggingEntryVMs describes the entry VMs that were not reached or have an older
// version in force.
func laggingEntryVMs(rows []operatorapi.Force, version int64) []string {
	var lagging []string
	for _, row := range rows {
		switch {
		case !row.Reached:
			lagging = append(lagging, row.EntryVM+" (not reached)")
		case row.Version < version:
			lagging = append(lagging, fmt.Sprintf("%s (version %d)", row.EntryVM, row.Version))
		}
	}
	return lagging
}

// refusalError turns a refusal by the operator API into an error with its code
// and reason. Other errors are returned unchanged.
func refusalError(err error) error {
	if rs := (*operatorapi.RefusedStatusCode)(nil); errors.As(err, &rs) {
		return fmt.Errorf("%s: %s", rs.Response.Code, rs.Response.Reason)
	}
	return err
}

func printJSON(tl terminal, value any) error {
	encoder := json.NewEncoder(tl.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
