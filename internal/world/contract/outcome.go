// Package contract describes what the system promised: the settings of routes,
// the outcome of a request, its budgets, its claim and its receipt.
package contract

import "fmt"

// Outcome is the fate of a request as told to the caller.
type Outcome string

// The outcomes.
const (
	// Whole is an answer from all shards of one snapshot.
	Whole Outcome = "whole"
	// Partial is an answer from some shards of one snapshot.
	Partial Outcome = "partial"
	// NotRun says that no part of this request ran.
	NotRun Outcome = "not_run"
	// Unknown says that the request may have run.
	Unknown Outcome = "unknown"
	// AlreadyRun says that an earlier send of the request ran.
	AlreadyRun Outcome = "already_run"
	// Invalid says that the request can't be run as it is.
	Invalid Outcome = "invalid"
)

// Code names the cause of a refusal. Codes are stable.
type Code string

// The codes of refusals.
const (
	CodeBadRequest       Code = "bad_request"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeNoRoute          Code = "no_such_route"
	CodeNoSnapshot       Code = "no_snapshot"
	CodeIsolated         Code = "isolated"
	CodeStarting         Code = "starting"
	CodeQueueFull        Code = "queue_full"
	CodeDeadlineHopeless Code = "deadline_hopeless"
	CodeTeamLimit        Code = "team_limit"
	CodeQuarantined      Code = "quarantined"
	CodePlatformDown     Code = "platform_down"
	CodeClaimExpired     Code = "claim_expired"
	CodeClaimOpen        Code = "claim_open"
	CodeClaimLost        Code = "claim_answer_lost"
	CodeNoServer         Code = "no_server"
	CodeServerRefused    Code = "server_refused"
	CodeNoAnswer         Code = "no_answer"
	CodeLowCoverage      Code = "coverage_below_minimum"
	CodeAlreadyRun       Code = "already_run"
)

// Refusal is the error of a request that gets no answer.
type Refusal struct {
	// Outcome is NotRun, Unknown, AlreadyRun or Invalid.
	Outcome Outcome
	Code    Code
	// Reason is one sentence.
	Reason string
	// Err is what lies under the refusal; it may be nil.
	Err error
}

// Unwrap returns what lies under the refusal.
func (rf *Refusal) Unwrap() error {
	return rf.Err
}

// Error returns the code and the reason.
func (rf *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", rf.Outcome, rf.Code, rf.Reason)
}

// Refuse returns a refusal with a formatted reason.
func Refuse(outcome Outcome, code Code, format string, args ...any) *Refusal {
	return &Refusal{Outcome: outcome, Code: code, Reason: fmt.Sprintf(format, args...)}
}

// Cause says why one attempt at a part gave no answer.
type Cause string

// The causes.
const (
	CauseNoReplica    Cause = "no_replica"
	CauseDialFailed   Cause = "dial_failed"
	CauseNoLink       Cause = "no_link"
	CauseLinkBroken   Cause = "link_broken"
	CauseLinkReset    Cause = "link_reset"
	CauseLinkSilent   Cause = "link_silent"
	CauseMismatched   Cause = "answer_mismatched"
	CauseShed         Cause = "shed"
	CauseDraining     Cause = "draining"
	CauseSnapshotLost Cause = "snapshot_lost"
	CauseServerError  Cause = "server_error"
	CauseDeadline     Cause = "deadline"
	CauseCanceled     Cause = "canceled"
	CauseQuarantined  Cause = "quarantined"
)

// PartError is the error of one attempt at a part.
type PartError struct {
	Cause Cause
	// NotRun is set only when it is proved that the attempt did not run.
	NotRun bool
	Err    error
}

// Error returns the cause and what lies under it.
func (pe *PartError) Error() string {
	if pe.Err == nil {
		return string(pe.Cause)
	}
	return fmt.Sprintf("%s: %v", pe.Cause, pe.Err)
}

// Unwrap returns the error under this one.
func (pe *PartError) Unwrap() error {
	return pe.Err
}
