package contract

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// claimEpoch is the time span of request ids whose claims share a key prefix
	// and are deleted together.
	claimEpoch = time.Minute
	// bucketsPerEpoch is the number of objects that hold the claims of one epoch.
	bucketsPerEpoch = 16
	// ClaimRetention is how long a request may be sent again with the same id.
	ClaimRetention = time.Hour
	// ClaimSweepAfter is the age at which the claims of an epoch may be deleted.
	// It exceeds ClaimRetention to allow for clock skew.
	ClaimSweepAfter = ClaimRetention + 10*time.Minute
	// maxClockAhead is how far the time in a request id may be ahead of the local
	// clock.
	maxClockAhead = time.Minute
	// ClaimAnswerLimit is the size of the largest answer that is stored in a
	// claim, in bytes.
	ClaimAnswerLimit = 4096
	// PrefixClaims is the key prefix of claims in the platform.
	PrefixClaims = "claims/"
)

// ClaimState is the state of a claimed request.
type ClaimState string

// The states of a claim.
const (
	// ClaimOpen is the initial state: the request may be running.
	ClaimOpen ClaimState = "open"
	// ClaimNotRun means that the request provably did not run.
	ClaimNotRun ClaimState = "not_run"
	// ClaimRan means that the request ran and was answered.
	ClaimRan ClaimState = "ran"
	// ClaimUnknown means that the request was sent, but not answered, so that it
	// may have run.
	ClaimUnknown ClaimState = "unknown"
)

// Claim is the exclusive right of one attempt to run a non-idempotent request.
// Another attempt can take it over only if the request provably did not run.
type Claim struct {
	// Attempt identifies one send of the request by a caller.
	Attempt string     `json:"attempt"`
	EntryVM string     `json:"entry_vm"`
	State   ClaimState `json:"state"`
	At      time.Time  `json:"at"`
	// Answer is stored in state ClaimRan if it is no larger than
	// ClaimAnswerLimit.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// ClaimBucket is the value of one object of the platform; it holds claims by
// request id.
type ClaimBucket struct {
	Claims map[string]Claim `json:"claims"`
}

// ErrClaimUncertain is returned when it is unknown whether the write of a claim
// took effect.
var ErrClaimUncertain = errors.New("it is not known whether the claim took effect")

// ClaimStatus tells whether an attempt may claim a request.
type ClaimStatus int

// The claim statuses.
const (
	// ClaimFree means that the attempt may claim the request.
	ClaimFree ClaimStatus = iota
	// ClaimOwned means that the attempt already holds the claim.
	ClaimOwned
	// ClaimTaken means that another attempt holds the claim.
	ClaimTaken
)

// Check returns whether an attempt may claim a request, and the existing claim
// of the request, if any.
func (cb ClaimBucket) Check(request, attempt string) (ClaimStatus, Claim) {
	have, ok := cb.Claims[request]
	switch {
	case !ok:
		return ClaimFree, Claim{}
	case have.Attempt == attempt:
		return ClaimOwned, have
	case have.State == ClaimNotRun:
		return ClaimFree, have
	default:
		return ClaimTaken, have
	}
}

// Abandon records that an attempt will never run, even if its claim is not in the
// bucket yet. A write of that claim which is still in transit to the platform then
// fails, since the version of the bucket has changed. Abandon reports whether it
// changed the bucket; if another attempt holds the claim, it returns that claim.
func (cb ClaimBucket) Abandon(now time.Time, request, attempt, entryVM string) (changed bool, taken Claim) {
	status, have := cb.Check(request, attempt)
	if status == ClaimTaken {
		return false, have
	}
	if status == ClaimOwned && have.State != ClaimOpen {
		return false, Claim{}
	}
	cb.Claims[request] = Claim{Attempt: attempt, EntryVM: entryVM, State: ClaimNotRun, At: now}
	return true, Claim{}
}

// Settle records the final state of an attempt, with its answer if that is small
// enough, and reports whether the bucket changed. A claim of another attempt is
// not changed.
func (cb ClaimBucket) Settle(request, attempt string, state ClaimState, answer json.RawMessage) bool {
	have, ok := cb.Claims[request]
	if !ok || have.Attempt != attempt || have.State != ClaimOpen {
		return false
	}
	have.State = state
	if len(answer) <= ClaimAnswerLimit {
		have.Answer = answer
	}
	cb.Claims[request] = have
	return true
}

// ClaimKey returns the key of the bucket for a request id. It depends only on the
// id, so that all sends of a request have the same key. ClaimKey returns a Refusal
// for ids that are not UUIDs of version 7, are older than ClaimRetention, or are
// more than maxClockAhead in the future.
func ClaimKey(now time.Time, id uuid.UUID) (string, error) {
	if id.Version() != 7 {
		return "", NewRefusal(Invalid, CodeBadRequest, "request_id of a request that is not idempotent must be a UUID of version 7")
	}
	seconds, nanos := id.Time().UnixTime()
	created := time.Unix(seconds, nanos)
	switch {
	case now.Sub(created) > ClaimRetention:
		return "", NewRefusal(Invalid, CodeClaimExpired, "request_id is older than %s, so its claim may be gone", ClaimRetention)
	case created.Sub(now) > maxClockAhead:
		return "", NewRefusal(Invalid, CodeClaimExpired, "request_id is more than %s ahead of this clock", maxClockAhead)
	}
	bucket := xxhash.Sum64(id[:]) % bucketsPerEpoch
	return fmt.Sprintf("%s%012d/%02d", PrefixClaims, created.Unix()/int64(claimEpoch/time.Second), bucket), nil
}

// ClaimEpochEnd returns the end of the epoch to which a bucket key belongs.
func ClaimEpochEnd(key string) (time.Time, error) {
	if len(key) < len(PrefixClaims)+12 {
		return time.Time{}, fmt.Errorf("claim key %q is too short", key)
	}
	epoch, err := strconv.ParseInt(key[len(PrefixClaims):len(PrefixClaims)+12], 10, 64)
	if err != nil {
		return time.Time{}, fmt.Errorf("epoch of claim key %q: %w", key, err)
	}
	return time.Unix((epoch+1)*int64(claimEpoch/time.Second), 0), nil
}
