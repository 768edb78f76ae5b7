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

	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/world/contract"
)

const usageExplain = `Explain how a request was answered: from which snapshot, settings and servers,
and why each missing shard is missing.

RECEIPT is a file with a receipt, or the id of a request whose receipts the
platform keeps. The settings are read from the platform, so no entry VM needs to
be running.

Example: daisystage explain 0193… --platform 10.0.0.1:8000`

const explainTimeout = 20 * time.Second

func addExplain(app *kingpin.Application, tl terminal) {
	cmd := app.Command("explain", usageExplain)
	receipt := cmd.Arg("receipt", "File or request id.").Required().String()
	addresses := cmd.Flag("platform", "Address of the platform; may be given several times.").Required().Strings()
	cmd.Action(action(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
		defer cancel()
		store, err := platform.New(*addresses, &http.Client{}, platform.RateLimits{ReadsPerSecond: 50, WritesPerSecond: 1})
		if err != nil {
			return err
		}
		receipts, err := findReceipts(ctx, store, *receipt, tl)
		if err != nil {
			return err
		}
		for _, rc := range receipts {
			explain(ctx, store, rc, tl)
		}
		return nil
	}))
}

// findReceipts returns the receipts of a request id, from the platform, or the
// receipt in a file.
func findReceipts(ctx context.Context, store platform.Store, receipt string, tl terminal) ([]contract.Receipt, error) {
	if id, err := uuid.Parse(receipt); err == nil {
		found, err := platform.FindReceipts(ctx, time.Now(), store, id)
		if err == nil && len(found) == 0 {
			err = fmt.Errorf("the platform keeps no receipt of request %s; whole answers of idempotent requests are kept by their callers only", id)
		}
		return found, err
	}
	body, err := readFileOrStdin(receipt, tl)
	if err != nil {
		return nil, usageError{err}
	}
	var rc contract.Receipt
	if err := json.Unmarshal([]byte(body), &rc); err != nil {
		return nil, usageError{fmt.Errorf("%s is not a receipt: %w", receipt, err)}
	}
	return []contract.Receipt{rc}, nil
}

// explain prints one receipt as sentences.
func explain(ctx context.Context, store platform.Store, rc contract.Receipt, tl terminal) {
	fmt.Fprintf(tl.out, "Request %s reached entry VM %s in zone %s at %s.\n", rc.RequestID, rc.EntryVM, rc.Zone, rc.ReceivedAt.Format(time.RFC3339Nano))
	fmt.Fprintf(tl.out, "Its outcome after %s was %s", rc.AnsweredAt.Sub(rc.ReceivedAt).Round(time.Microsecond), rc.Outcome)
	if rc.Code != "" {
		fmt.Fprintf(tl.out, " (%s): %s", rc.Code, rc.Reason)
	}
	fmt.Fprintln(tl.out, ".")
	explainSetting(ctx, store, rc, tl)
	if rc.UnconfirmedSince != nil {
		fmt.Fprintf(tl.out, "The settings had not been confirmed since %s.\n", rc.UnconfirmedSince.Format(time.RFC3339))
	}
	if rc.Snapshot == "" {
		return
	}
	fmt.Fprintf(tl.out, "The answer came from snapshot %s of collection %s and covers %d of %d shards.\n",
		rc.Snapshot, rc.Collection, rc.Coverage.Answered, rc.Coverage.Total)
	if rc.Restarts > 0 {
		fmt.Fprintf(tl.out, "It was started again %d times because a snapshot vanished.\n", rc.Restarts)
	}
	for _, pt := range rc.Parts {
		explainPart(pt, tl)
	}
}

// explainSetting prints the revision of the settings that a request ran under.
func explainSetting(ctx context.Context, store platform.Store, rc contract.Receipt, tl terminal) {
	if rc.Setting.Hash == "" {
		return
	}
	fmt.Fprintf(tl.out, "It ran under %s version %d, revision %s.\n", rc.Setting.Path, rc.Setting.Version, rc.Setting.Hash)
	st, err := platform.GetRevision(ctx, store, rc.Setting.Hash)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		fmt.Fprintln(tl.out, "The platform no longer keeps that revision.")
	case err != nil:
		fmt.Fprintf(tl.out, "That revision can't be read: %v.\n", err)
	default:
		fmt.Fprintf(tl.out, "%s wrote it at %s (%s):\n", st.Author, st.WrittenAt.Format(time.RFC3339), st.Reason)
		for line := range strings.Lines(st.Body) {
			fmt.Fprintf(tl.out, "    %s\n", strings.TrimRight(line, "\n"))
		}
	}
}

// explainPart prints how one shard was answered or why it is missing.
func explainPart(pt contract.PartRecord, tl terminal) {
	if pt.Server == "" {
		fmt.Fprintf(tl.out, "Shard %s is missing (%s).", pt.Shard, pt.Cause)
	} else {
		fmt.Fprintf(tl.out, "Shard %s came from server %s in %s, after %d sends.", pt.Shard, pt.Server, pt.Took.Round(time.Microsecond), pt.Attempts)
	}
	for _, fa := range pt.FailedAttempts {
		fmt.Fprintf(tl.out, " Server %s gave no answer (%s).", fa.Server, fa.Cause)
	}
	fmt.Fprintln(tl.out)
}
