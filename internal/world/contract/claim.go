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
	// claimEpoch is the span of request ids whose claims stand together.
	claimEpoch = time.Minute
	// claimBuckets is the number of objects of one epoch.
	claimBuckets = 16
	// ClaimRetention is how long a request id may be sent again.
	ClaimRetention = time.Hour
	// ClaimSweepAfter is the age at which an epoch may be deleted. The
	// difference to ClaimRetention covers clocks that differ.
	ClaimSweepAfter = ClaimRetention + 10*time.Minute
	// claimAhead is how far a caller's clock may be ahead.
	claimAhead = time.Minute
	// ClaimAnswerLimit is the largest answer that a claim keeps, in bytes.
	ClaimAnswerLimit = 4096
	// PrefixClaims is the prefix of the claims in the platform.
	PrefixClaims = "claims/"
)

// ClaimState is how far a claimed request went.
type ClaimState string

// The states of a claim.
const (
	// ClaimOpen is from the claim on: the request may run.
	ClaimOpen ClaimState = "open"
	// ClaimNotRun says that it is proved that the request did not run.
	ClaimNotRun ClaimState = "not_run"
	// ClaimRan says that the request ran and was answered.
	ClaimRan ClaimState = "ran"
	// ClaimUnknown says that the request was sent and not answered.
	ClaimUnknown ClaimState = "unknown"
)

// Claim is the right of one attempt to run a non-idempotent request. It never
// moves to another attempt unless the request is proved not to have run.
type Claim struct {
	// Attempt is unique for each send by a caller.
	Attempt string     `json:"attempt"`
	EntryVM string     `json:"entry_vm"`
	State   ClaimState `json:"state"`
	At      time.Time  `json:"at"`
	// Answer is kept when the state is ClaimRan and it is small.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// ClaimBucket is the value of one object of claims.
type ClaimBucket struct {
	Claims map[string]Claim `json:"claims"`
}

// ErrFateOpen says that it is not known whether a claim took effect.
var ErrFateOpen = errors.New("it is not known whether the claim took effect")

// ClaimVerdict says what a bucket means for an attempt.
type ClaimVerdict int

// The verdicts.
const (
	// ClaimFree says that the attempt may claim.
	ClaimFree ClaimVerdict = iota
	// ClaimMine says that the attempt holds the claim.
	ClaimMine
	// ClaimTaken says that another attempt holds it.
	ClaimTaken
)

// Judge says whether an attempt may claim a request, with the claim that
// stands in its way.
func (cb ClaimBucket) Judge(request, attempt string) (ClaimVerdict, Claim) {
	have, ok := cb.Claims[request]
	switch {
	case !ok:
		return ClaimFree, Claim{}
	case have.Attempt == attempt:
		return ClaimMine, have
	case have.State == ClaimNotRun:
		return ClaimFree, have
	default:
		return ClaimTaken, have
	}
}

// Abandon records that an attempt never runs, whether or not its claim stands
// yet: a claim of it that is still on its way to the platform will find the
// bucket changed. It returns the claim of another attempt that ran or may have
// run.
func (cb ClaimBucket) Abandon(now time.Time, request, attempt, entryVM string) (changed bool, taken Claim) {
	verdict, have := cb.Judge(request, attempt)
	if verdict == ClaimTaken {
		return false, have
	}
	if verdict == ClaimMine && have.State != ClaimOpen {
		return false, Claim{}
	}
	cb.Claims[request] = Claim{Attempt: attempt, EntryVM: entryVM, State: ClaimNotRun, At: now}
	return true, Claim{}
}

// Settle records the end of an attempt and reports whether that changed the
// bucket. A claim of another attempt stays as it is.
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

// ClaimKey returns the key of the bucket of a request id, the same for each
// send of the request. It refuses ids that are not of UUID version 7, too old
// or from the future.
func ClaimKey(now time.Time, id uuid.UUID) (string, error) {
	if id.Version() != 7 {
		return "", Refuse(Invalid, CodeBadRequest, "request_id of a request that is not idempotent must be a UUID of version 7")
	}
	seconds, nanos := id.Time().UnixTime()
	made := time.Unix(seconds, nanos)
	switch {
	case now.Sub(made) > ClaimRetention:
		return "", Refuse(Invalid, CodeClaimExpired, "request_id is older than %s, so its claim may be gone", ClaimRetention)
	case made.Sub(now) > claimAhead:
		return "", Refuse(Invalid, CodeClaimExpired, "request_id is more than %s ahead of this clock", claimAhead)
	}
	bucket := xxhash.Sum64(id[:]) % claimBuckets
	return fmt.Sprintf("%s%012d/%02d", PrefixClaims, made.Unix()/int64(claimEpoch/time.Second), bucket), nil
}

// ClaimEpochEnd returns the end of the epoch of a claim's key.
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
