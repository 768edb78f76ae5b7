package request

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// maxRefusalDelay bounds how long a refusal is delayed while the claim of the
	// request is read or abandoned.
	maxRefusalDelay = 200 * time.Millisecond
	// settleTimeout bounds the write that records the result of a claimed request.
	settleTimeout = 2 * time.Second
)

// answerNonIdempotent answers a call that must run at most once. Before each
// refusal it reads the claim, since an earlier send of the same call may be
// running.
func (sv *Service) answerNonIdempotent(ctx context.Context, now time.Time, rn *run) (*Reply, error) {
	if _, err := contract.ClaimKey(now, rn.call.ID); err != nil {
		return nil, err
	}
	if err := sv.checkRunnable(now, rn); err != nil {
		return nil, sv.refuseAfterClaimLookup(ctx, rn, err)
	}
	ticket, err := sv.acquire(ctx, now, rn)
	if err != nil {
		return nil, sv.refuseAfterClaimLookup(ctx, rn, err)
	}
	rn.ticket = ticket
	defer func() { ticket.Release(time.Now(), rn.receipt.Coverage.Ratio() == 1) }()
	return sv.claimAndRun(ctx, rn)
}

// refuseAfterClaimLookup returns cause, the refusal of this send, unless an
// earlier send of the call ran or may have run, or its claim can't be read;
// then it returns the refusal for that.
func (sv *Service) refuseAfterClaimLookup(ctx context.Context, rn *run, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, maxRefusalDelay)
	defer cancel()
	if err := sv.Claims.Check(ctx, time.Now(), rn.call.ID); err != nil {
		return err
	}
	return cause
}

// claimAndRun claims the call, runs it and records the result in the claim.
func (sv *Service) claimAndRun(ctx context.Context, rn *run) (*Reply, error) {
	claimCtx, cancel := context.WithDeadline(ctx, sv.partsDeadline(rn))
	err := sv.Claims.Claim(claimCtx, time.Now(), rn.call.ID, rn.attempt)
	cancel()
	if errors.Is(err, contract.ErrClaimUncertain) {
		return sv.abandonClaim(rn, err)
	}
	if err != nil {
		return sv.replyFromClaim(rn, err)
	}
	// The process may have been paused while it claimed the call.
	if err := sv.checkRunnable(time.Now(), rn); err != nil {
		return nil, sv.settleClaim(rn, contract.ClaimNotRun, nil, err)
	}
	// A caller that disconnects must not leave the claim open.
	an, err := sv.scatter(context.WithoutCancel(ctx), rn)
	if err != nil {
		return nil, sv.settleClaim(rn, claimStateOf(an), nil, err)
	}
	if an.Coverage.Answered == an.Coverage.Total {
		reply := sv.reply(rn, an)
		text, _ := json.Marshal(storedAnswerOf(rn, an))
		_ = sv.settleClaim(rn, contract.ClaimRan, text, nil)
		return reply, nil
	}
	if an.MayHaveRun {
		return nil, sv.settleClaim(rn, contract.ClaimUnknown, nil, contract.NewRefusal(contract.Unknown, contract.CodeNoAnswer,
			"the request was sent to server %s and its answer did not come (%s)", lastServer(an), lastCause(an)))
	}
	return nil, sv.settleClaim(rn, contract.ClaimNotRun, nil, contract.NewRefusal(contract.NotRun, contract.CodeServerRefused,
		"no server ran the request (%s)", lastCause(an)))
}

// abandonClaim ends a call whose claim may or may not have taken effect. If
// that can't be recorded within maxRefusalDelay, the caller gets cause, and the
// write continues in the background.
func (sv *Service) abandonClaim(rn *run, cause error) (*Reply, error) {
	settled := make(chan error, 1)
	sv.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		settled <- sv.Claims.Abandon(ctx, time.Now(), rn.call.ID, rn.attempt)
	})
	timer := time.NewTimer(maxRefusalDelay)
	defer timer.Stop()
	select {
	case err := <-settled:
		if err != nil {
			return sv.replyFromClaim(rn, err)
		}
		return nil, contract.NewRefusal(contract.NotRun, contract.CodeClaimLost, "the request could not be claimed before its deadline")
	case <-timer.C:
		return nil, cause
	}
}

// claimStateOf returns the state to record for a call that was not answered.
func claimStateOf(an scatter.Answer) contract.ClaimState {
	if an.MayHaveRun {
		return contract.ClaimUnknown
	}
	return contract.ClaimNotRun
}

// settleClaim records the result of the call and returns callerErr, the error
// for the caller. A call that did not run is recorded before this returns,
// since a resend would find the claim open until then. The other states are
// recorded in the background.
func (sv *Service) settleClaim(rn *run, state contract.ClaimState, answer json.RawMessage, callerErr error) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	if state != contract.ClaimNotRun {
		sv.settling.Go(func() {
			defer cancel()
			_ = sv.Claims.Settle(ctx, rn.call.ID, rn.attempt, state, answer)
		})
		return callerErr
	}
	defer cancel()
	if err := sv.Claims.Settle(ctx, rn.call.ID, rn.attempt, state, answer); err != nil {
		return contract.NewRefusal(contract.Unknown, contract.CodeClaimLost,
			"this send did not run, but that could not be recorded: %v", err)
	}
	return callerErr
}

// storedAnswer is the part of an answer that is stored in the claim.
type storedAnswer struct {
	Snapshot string                `json:"snapshot"`
	Setting  contract.SettingRef   `json:"setting"`
	Coverage contract.Coverage     `json:"coverage"`
	Parts    []scatter.ShardAnswer `json:"parts"`
}

func storedAnswerOf(rn *run, an scatter.Answer) storedAnswer {
	return storedAnswer{Snapshot: an.Manifest.ID, Setting: rn.receipt.Setting, Coverage: an.Coverage, Parts: an.Parts}
}

// AlreadyRunError is the refusal of a call that an earlier send already ran,
// with the stored answer of that send.
type AlreadyRunError struct {
	// Refusal has the outcome AlreadyRun.
	*contract.Refusal
	// Answer is empty if the answer was not stored.
	Answer json.RawMessage
}

// Unwrap returns the refusal.
func (ae *AlreadyRunError) Unwrap() error {
	return ae.Refusal
}

// replyFromClaim returns the stored answer if err is an AlreadyRunError that
// has one, otherwise err.
func (sv *Service) replyFromClaim(rn *run, err error) (*Reply, error) {
	ae := (*AlreadyRunError)(nil)
	if !errors.As(err, &ae) || len(ae.Answer) == 0 {
		return nil, err
	}
	var sa storedAnswer
	if json.Unmarshal(ae.Answer, &sa) != nil {
		return nil, err
	}
	rn.receipt.Snapshot, rn.receipt.Setting, rn.receipt.Coverage = sa.Snapshot, sa.Setting, sa.Coverage
	return &Reply{
		Outcome:  contract.AlreadyRun,
		Snapshot: sa.Snapshot,
		Setting:  sa.Setting,
		Coverage: sa.Coverage,
		Parts:    sa.Parts,
		Receipt:  rn.receipt,
	}, nil
}

// lastFailedAttempt returns the last failed attempt at the first shard. A call
// that is not idempotent has only one shard.
func lastFailedAttempt(an scatter.Answer) contract.FailedAttempt {
	if len(an.Records) == 0 {
		return contract.FailedAttempt{}
	}
	failed := an.Records[0].FailedAttempts
	if len(failed) == 0 {
		return contract.FailedAttempt{Cause: an.Records[0].Cause}
	}
	return failed[len(failed)-1]
}

func lastServer(an scatter.Answer) string {
	return lastFailedAttempt(an).Server
}

func lastCause(an scatter.Answer) contract.Cause {
	return lastFailedAttempt(an).Cause
}
