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
	// lookTime bounds the reading of a claim before a refusal.
	lookTime = 200 * time.Millisecond
	// settleTime bounds the record of a claim's end.
	settleTime = 2 * time.Second
)

// answerOnce runs a call that is not idempotent. Each refusal is checked
// against the claims, since an earlier send of the call may be running.
func (sv *Service) answerOnce(ctx context.Context, now time.Time, rn *run) (*Reply, error) {
	if _, err := contract.ClaimKey(now, rn.call.ID); err != nil {
		return nil, err
	}
	if err := sv.permit(now, rn); err != nil {
		return nil, sv.refuseOnce(ctx, rn, err)
	}
	ticket, err := sv.enter(ctx, now, rn)
	if err != nil {
		return nil, sv.refuseOnce(ctx, rn, err)
	}
	rn.ticket = ticket
	defer func() { ticket.Leave(time.Now(), rn.receipt.Coverage.Share() == 1) }()
	return sv.claimAndRun(ctx, rn)
}

// refuseOnce says not_run only if no other send of the call holds a claim.
func (sv *Service) refuseOnce(ctx context.Context, rn *run, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	if err := sv.Claims.Look(ctx, time.Now(), rn.call.ID); err != nil {
		return err
	}
	return cause
}

func (sv *Service) claimAndRun(ctx context.Context, rn *run) (*Reply, error) {
	claimCtx, cancel := context.WithDeadline(ctx, sv.answerBy(rn))
	err := sv.Claims.Claim(claimCtx, time.Now(), rn.call.ID, rn.attempt)
	cancel()
	if errors.Is(err, contract.ErrFateOpen) {
		return sv.abandon(rn, err)
	}
	if err != nil {
		return sv.recorded(rn, err)
	}
	// The process may have been paused while it claimed.
	if err := sv.permit(time.Now(), rn); err != nil {
		return nil, sv.settle(rn, contract.ClaimNotRun, nil, err)
	}
	// A caller that hangs up must not leave the claim open.
	an, err := sv.scatter(context.WithoutCancel(ctx), rn)
	if err != nil {
		return nil, sv.settle(rn, stateOf(an), nil, err)
	}
	if an.Coverage.Answered == an.Coverage.Total {
		reply := sv.reply(rn, an)
		text, _ := json.Marshal(recordOf(rn, an))
		_ = sv.settle(rn, contract.ClaimRan, text, nil)
		return reply, nil
	}
	if an.MayHaveRun {
		return nil, sv.settle(rn, contract.ClaimUnknown, nil, contract.Refuse(contract.Unknown, contract.CodeNoAnswer,
			"the request was sent to server %s and its answer did not come (%s)", lastServer(an), lastCause(an)))
	}
	return nil, sv.settle(rn, contract.ClaimNotRun, nil, contract.Refuse(contract.NotRun, contract.CodeServerRefused,
		"no server ran the request (%s)", lastCause(an)))
}

// abandon ends a call whose claim has an open fate. What can't be settled in a
// moment is settled after the caller was told that the fate is unknown.
func (sv *Service) abandon(rn *run, cause error) (*Reply, error) {
	settled := make(chan error, 1)
	sv.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		settled <- sv.Claims.Abandon(ctx, time.Now(), rn.call.ID, rn.attempt)
	})
	timer := time.NewTimer(lookTime)
	defer timer.Stop()
	select {
	case err := <-settled:
		if err != nil {
			return sv.recorded(rn, err)
		}
		return nil, contract.Refuse(contract.NotRun, contract.CodeClaimLost, "the request could not be claimed before its deadline")
	case <-timer.C:
		return nil, cause
	}
}

func stateOf(an scatter.Answer) contract.ClaimState {
	if an.MayHaveRun {
		return contract.ClaimUnknown
	}
	return contract.ClaimNotRun
}

// settle records the end of the call and returns what to tell the caller.
// not_run is told only once it is recorded, since until then a resend would
// find an open claim.
func (sv *Service) settle(rn *run, state contract.ClaimState, answer json.RawMessage, told error) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	if state != contract.ClaimNotRun {
		sv.settling.Go(func() {
			defer cancel()
			_ = sv.Claims.Settle(ctx, rn.call.ID, rn.attempt, state, answer)
		})
		return told
	}
	defer cancel()
	if err := sv.Claims.Settle(ctx, rn.call.ID, rn.attempt, state, answer); err != nil {
		return contract.Refuse(contract.Unknown, contract.CodeClaimLost,
			"this send did not run, but that could not be recorded: %v", err)
	}
	return told
}

// record is what a claim keeps of an answer.
type record struct {
	Snapshot string                `json:"snapshot"`
	Setting  contract.SettingRef   `json:"setting"`
	Coverage contract.Coverage     `json:"coverage"`
	Parts    []scatter.ShardAnswer `json:"parts"`
}

func recordOf(rn *run, an scatter.Answer) record {
	return record{Snapshot: an.Manifest.ID, Setting: rn.receipt.Setting, Coverage: an.Coverage, Parts: an.Parts}
}

// AlreadyRunError carries the recorded answer of an earlier send.
type AlreadyRunError struct {
	// Refusal has the outcome AlreadyRun.
	*contract.Refusal
	// Answer is empty if it was not kept.
	Answer json.RawMessage
}

// Unwrap returns the refusal.
func (ae *AlreadyRunError) Unwrap() error {
	return ae.Refusal
}

// recorded turns the claim of an earlier send that ran into its answer.
func (sv *Service) recorded(rn *run, err error) (*Reply, error) {
	ran := (*AlreadyRunError)(nil)
	if !errors.As(err, &ran) || len(ran.Answer) == 0 {
		return nil, err
	}
	var rd record
	if json.Unmarshal(ran.Answer, &rd) != nil {
		return nil, err
	}
	rn.receipt.Snapshot, rn.receipt.Setting, rn.receipt.Coverage = rd.Snapshot, rd.Setting, rd.Coverage
	return &Reply{
		Outcome:  contract.AlreadyRun,
		Snapshot: rd.Snapshot,
		Setting:  rd.Setting,
		Coverage: rd.Coverage,
		Parts:    rd.Parts,
		Receipt:  rn.receipt,
	}, nil
}

func lastMiss(an scatter.Answer) contract.Miss {
	if len(an.Records) == 0 {
		return contract.Miss{}
	}
	misses := an.Records[0].Misses
	if len(misses) == 0 {
		return contract.Miss{Cause: an.Records[0].Cause}
	}
	return misses[len(misses)-1]
}

func lastServer(an scatter.Answer) string {
	return lastMiss(an).Server
}

func lastCause(an scatter.Answer) contract.Cause {
	return lastMiss(an).Cause
}
