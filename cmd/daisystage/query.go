package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"daisystage.example/daisystage/internal/peer/caller"
)

const usageQuery = `Send one request the way a caller does: get the list of entries, choose the
nearest and send the request to it.

The exit code is 0 for a whole, partial or recorded answer and 1 for a refusal.
A request that is not idempotent may be resent with the same --request-id.

Example: daisystage query --entry 10.0.0.4:8401 --team gaisma --route find '{"text":"Jonah"}'`

func addQuery(app *kingpin.Application, tl terminal) {
	cmd := app.Command("query", usageQuery)
	entries := cmd.Flag("entry", "Caller address of any entry VM; may be given several times.").Required().Strings()
	zone := cmd.Flag("zone", "Zone of the caller.").String()
	team := cmd.Flag("team", "Team of the route.").Required().String()
	route := cmd.Flag("route", "Name of the route.").Required().String()
	id := cmd.Flag("request-id", "UUID of the request; a new one by default.").String()
	deadline := cmd.Flag("deadline", "Deadline of the request, if shorter than the route's.").Duration()
	asJSON := cmd.Flag("json", "Print the answer as JSON.").Bool()
	query := cmd.Arg("query", "The query, as JSON.").Required().String()
	cmd.Action(action(func() error {
		if !json.Valid([]byte(*query)) {
			return usageError{fmt.Errorf("the query is not JSON: %s", *query)}
		}
		request := uuid.Must(uuid.NewV7())
		if *id != "" {
			parsed, err := uuid.Parse(*id)
			if err != nil {
				return usageError{fmt.Errorf("--request-id: %w", err)}
			}
			request = parsed
		}
		client := caller.NewClient(&http.Client{}, *zone, *entries)
		rs, err := client.Query(context.Background(), *team, *route, request, []byte(*query), *deadline)
		if err != nil {
			return err
		}
		return printResult(rs, *asJSON, tl)
	}))
}

// printResult prints an answer, or returns an error for a refusal.
func printResult(rs caller.Result, asJSON bool, tl terminal) error {
	if rs.Refusal != nil {
		if asJSON {
			if err := printJSON(tl, rs.Refusal); err != nil {
				return err
			}
		}
		return fmt.Errorf("%s (%s): %s", rs.Refusal.Outcome, rs.Refusal.Code, rs.Refusal.Reason)
	}
	if asJSON {
		return printJSON(tl, rs.Answer)
	}
	an := rs.Answer
	fmt.Fprintf(tl.out, "%s answer through %s in %s\n", an.Outcome, rs.Entry, rs.Took.Round(100*time.Microsecond))
	fmt.Fprintf(tl.out, "  request   %s\n", an.RequestID)
	fmt.Fprintf(tl.out, "  snapshot  %s\n", an.Snapshot)
	fmt.Fprintf(tl.out, "  settings  %s version %d hash %.12s\n", an.Settings.Path, an.Settings.Version, an.Settings.Hash)
	fmt.Fprintf(tl.out, "  coverage  %d of %d shards\n", an.Coverage.Answered, an.Coverage.Total)
	if len(an.Coverage.Missing) > 0 {
		fmt.Fprintf(tl.out, "  missing   %s\n", strings.Join(an.Coverage.Missing, " "))
	}
	for i, pt := range an.Parts {
		if i == 3 && len(an.Parts) > 4 {
			fmt.Fprintf(tl.out, "  … and %d more parts\n", len(an.Parts)-i)
			break
		}
		fmt.Fprintf(tl.out, "  %s  %s\n", pt.Shard, pt.Body)
	}
	return printReceipt(rs, tl)
}

// printReceipt prints the hedges and failed attempts recorded in the receipt.
func printReceipt(rs caller.Result, tl terminal) error {
	rc, err := rs.Receipt()
	if err != nil {
		return err
	}
	attempts, hedges := 0, 0
	for _, pt := range rc.Parts {
		attempts += pt.Attempts
		hedges += pt.Hedges
	}
	fmt.Fprintf(tl.out, "  receipt   entry VM %s, %d sends for %d shards, %d of them hedges\n", rc.EntryVM, attempts, rc.Coverage.Total, hedges)
	for _, pt := range rc.Parts {
		for _, fa := range pt.FailedAttempts {
			fmt.Fprintf(tl.out, "            %s: server %s gave no answer (%s)\n", pt.Shard, fa.Server, fa.Cause)
		}
	}
	return nil
}
