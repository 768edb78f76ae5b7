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

Paths are teams/<team>/routes/<route> and teams/<team>/limits. The token allows
one team's subtree.`

const usageSettingsGet = `Print the setting in force.

Example: daisystage settings get teams/gaisma/routes/find --operator 10.0.0.4:8402 --token T`

const usageSettingsPut = `Change a setting.

The change needs the hash that it was based on, as "get --json" tells it; it is
refused if somebody else changed the setting since. Without --based-on a new
setting is made. With --wait the command returns when all live entry VMs have
the change in force.

Example: daisystage settings put teams/gaisma/routes/find --file find.toml \
  --based-on 3f2a… --reason "more time on Saturdays" --wait --operator 10.0.0.4:8402 --token T`

const usageSettingsLog = `Print the revisions of a setting, newest first.

Example: daisystage settings log teams/gaisma/routes/find --operator 10.0.0.4:8402 --token T`

const usageSettingsWait = `Wait until all live entry VMs have a version in force.

Example: daisystage settings wait teams/gaisma/routes/find --version 17 --operator 10.0.0.4:8402 --token T`

const (
	waitPause      = 200 * time.Millisecond
	operatorBudget = 30 * time.Second
)

// target is the operator API that a subcommand speaks to.
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
	return operator.NewClient(tg.address, tg.token, &http.Client{Timeout: operatorBudget})
}

func addSettings(app *kingpin.Application, tl tool) {
	cmd := app.Command("settings", usageSettings)
	addSettingsGet(cmd, tl)
	addSettingsPut(cmd, tl)
	addSettingsLog(cmd, tl)
	addSettingsWait(cmd, tl)
}

func addSettingsGet(settings *kingpin.CmdClause, tl tool) {
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
			return told(err)
		}
		if tg.json {
			return printJSON(tl, st)
		}
		fmt.Fprintf(tl.out, "# %s version %d hash %s\n%s", st.Path, st.Version, st.Hash, st.Body)
		return nil
	}))
}

func addSettingsPut(settings *kingpin.CmdClause, tl tool) {
	cmd := settings.Command("put", usageSettingsPut)
	tg := &target{}
	tg.flags(cmd)
	path := cmd.Arg("path", "Path of the setting.").Required().String()
	file := cmd.Flag("file", "Text of the setting; standard input by default.").String()
	basedOn := cmd.Flag("based-on", "Hash of the revision that the change was made from.").String()
	reason := cmd.Flag("reason", "Why the change is made.").Required().String()
	changeID := cmd.Flag("change-id", "Id of the change, the same for each send of it.").String()
	wait := cmd.Flag("wait", "Return when the change is in force everywhere.").Bool()
	limit := cmd.Flag("timeout", "Longest wait.").Default("15s").Duration()
	cmd.Action(action(func() error {
		body, err := readFile(*file, tl)
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

func putSetting(tg *target, path string, change operatorapi.Change, wait bool, limit time.Duration, tl tool) error {
	client, err := tg.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	before := ""
	if change.BasedOn != "" {
		st, err := client.GetRevision(ctx, operatorapi.GetRevisionParams{Hash: change.BasedOn})
		if err != nil {
			return told(err)
		}
		before = st.Body
	}
	st, err := client.PutSetting(ctx, &change, operatorapi.PutSettingParams{Path: path})
	if err != nil {
		return fmt.Errorf("change %s: %w", change.ChangeID, told(err))
	}
	if tg.json {
		if err := printJSON(tl, st); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(tl.out, "%s is now version %d, hash %s\n%s", path, st.Version, st.Hash, difference(before, change.Body))
	}
	if !wait {
		return nil
	}
	return waitForce(ctx, client, path, st.Version, limit, tg.json, tl)
}

// difference returns the lines that one text lacks of the other.
func difference(before, after string) string {
	var rows strings.Builder
	for _, line := range missingLines(before, after) {
		fmt.Fprintf(&rows, "- %s\n", line)
	}
	for _, line := range missingLines(after, before) {
		fmt.Fprintf(&rows, "+ %s\n", line)
	}
	return rows.String()
}

// missingLines returns the lines of one text that the other lacks.
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

func addSettingsLog(settings *kingpin.CmdClause, tl tool) {
	cmd := settings.Command("log", usageSettingsLog)
	tg := &target{}
	tg.flags(cmd)
	path := cmd.Arg("path", "Path of the setting.").Required().String()
	limit := cmd.Flag("limit", "Most revisions.").Default("20").Int()
	cmd.Action(action(func() error {
		client, err := tg.client()
		if err != nil {
			return err
		}
		rows, err := client.LogSetting(context.Background(), operatorapi.LogSettingParams{Path: *path, Limit: operatorapi.NewOptInt(*limit)})
		if err != nil {
			return told(err)
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

func addSettingsWait(settings *kingpin.CmdClause, tl tool) {
	cmd := settings.Command("wait", usageSettingsWait)
	tg := &target{}
	tg.flags(cmd)
	path := cmd.Arg("path", "Path of the setting.").Required().String()
	version := cmd.Flag("version", "Version to wait for.").Required().Int64()
	limit := cmd.Flag("timeout", "Longest wait.").Default("15s").Duration()
	cmd.Action(action(func() error {
		client, err := tg.client()
		if err != nil {
			return err
		}
		return waitForce(context.Background(), client, *path, *version, *limit, tg.json, tl)
	}))
}

// waitForce asks until all live entry VMs have the version, and names those
// that lag when the time is over.
func waitForce(ctx context.Context, client *operatorapi.Client, path string, version int64, limit time.Duration, asJSON bool, tl tool) error {
	startedAt := time.Now()
	for {
		rows, err := client.ListForce(ctx, operatorapi.ListForceParams{Path: path})
		if err != nil {
			return told(err)
		}
		lagging := laggards(rows, version)
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
		time.Sleep(waitPause)
	}
}

func laggards(rows []operatorapi.Force, version int64) []string {
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

// told turns a refusal of the operator API into its sentence.
func told(err error) error {
	if rs := (*operatorapi.RefusedStatusCode)(nil); errors.As(err, &rs) {
		return fmt.Errorf("%s: %s", rs.Response.Code, rs.Response.Reason)
	}
	return err
}

func printJSON(tl tool, value any) error {
	encoder := json.NewEncoder(tl.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
