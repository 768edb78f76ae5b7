// Package contract describes what the system guarantees to callers and teams: the
// settings of routes, the outcome of a request, its retry budgets, its claim and
// its receipt.
package contract

import (
	"fmt"
	"time"
)

// Outcome is the result of a request as returned to the caller.
type Outcome string

// The outcomes.
const (
	// Whole is an answer from all shards of one snapshot.
	Whole Outcome = "whole"
	// Partial is an answer from some shards of one snapshot.
	Partial Outcome = "partial"
	// NotRun means that no part of the request ran.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// AlreadyRun means that an earlier send of the request ran.
	AlreadyRun Outcome = "already_run"
	// Invalid means that the request is not acceptable in its current form.
	Invalid Outcome = "invalid"
)

// Code is the machine-readable reason of a refusal. Codes are stable.
type Code string

// The codes of refusals.
const (
	CodeBadRequest       Code = "bad_request"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeNoRoute          Code = "no_such_route"
	CodeNoSnapshot       Code = "no_snapshot"
	CodeIsolated         Code = "isolated"
	CodeStarting         Code = "starting"
	CodeStopping         Code = "stopping"
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
	// CodeServerFailed refuses a request that a server ran, with a failure that can't be
	// forwarded.
	CodeServerFailed Code = "server_failed"
	CodeOverloaded   Code = "overloaded"
	CodeNoAnswer     Code = "no_answer"
	CodeLowCoverage  Code = "coverage_below_minimum"
	CodeAlreadyRun   Code = "already_run"
	CodeCallerGone   Code = "caller_gone"
	// CodeUnknownKey refuses a request without a key that the configuration knows.
	CodeUnknownKey Code = "unknown_key"
	// CodeStaleKeys refuses a request with a key, since the configuration may be out of
	// date.
	CodeStaleKeys Code = "stale_keys"
	// CodeStaleRoutes refuses a request for which the configuration has no route, since it
	// may be out of date.
	CodeStaleRoutes Code = "stale_routes"
	// CodeUnusableRoute refuses a request for a route that the configuration lists and that
	// can't be used.
	CodeUnusableRoute Code = "unusable_route"
	// CodeOverLimit refuses a request beyond the limit of its customer.
	CodeOverLimit Code = "over_limit"
)

// Refusal is the error of a request that is not answered.
type Refusal struct {
	// Outcome is NotRun, Unknown, AlreadyRun or Invalid.
	Outcome Outcome
	Code    Code
	// Reason is one sentence.
	Reason string
	// Err is the underlying error; it may be nil.
	Err error
	// RetryAfter is how long the caller should wait before it sends the request
	// again; 0 if that is unknown.
	RetryAfter time.Duration
}

// Unwrap returns the underlying error.
func (rf *Refusal) Unwrap() error {
	return rf.Err
}

// Error returns the outcome, the code and the reason.
func (rf *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", rf.Outcome, rf.Code, rf.Reason)
}

// NewRefusal returns a Refusal with a formatted reason.
func NewRefusal(outcome Outcome, code Code, format string, args ...any) *Refusal {
	return &Refusal{Outcome: outcome, Code: code, Reason: fmt.Sprintf(format, args...)}
}

// Cause is the reason why one attempt at a part ended without an answer.
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
	// CauseNoRoom means that the request was not started, because too few shards had a
	// server with room.
	CauseNoRoom Cause = "no_room"
	// CauseNoMemory means that the answer does not fit beside those of the other
	// requests in flight.
	CauseNoMemory Cause = "no_memory"
	// CauseWithheld means that the attempt was not sent, because the server is
	// leaving or asked for no requests meanwhile, or the request's key is no longer
	// accepted.
	CauseWithheld Cause = "withheld"
)

// PartError is the error of one attempt at a part.
type PartError struct {
	Cause Cause
	// NotRun is set only if the attempt provably did not run.
	NotRun bool
	Err    error
}

// Error returns the cause and the underlying error.
func (pe *PartError) Error() string {
	if pe.Err == nil {
		return string(pe.Cause)
	}
	return fmt.Sprintf("%s: %v", pe.Cause, pe.Err)
}

// Unwrap returns the underlying error.
func (pe *PartError) Unwrap() error {
	return pe.Err
}
