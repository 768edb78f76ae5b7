package contract

import "time"

// Coverage counts the shards that an answer includes.
type Coverage struct {
	Answered int `json:"answered"`
	// Total is the number of shards of the pinned snapshot to which the request
	// was addressed.
	Total   int      `json:"total"`
	Missing []string `json:"missing"`
}

// Ratio returns Answered divided by Total, in [0, 1]; 0 if Total is 0.
func (cv Coverage) Ratio() float64 {
	if cv.Total == 0 {
		return 0
	}
	return float64(cv.Answered) / float64(cv.Total)
}

// FailedAttempt is one attempt at a part that ended without an answer.
type FailedAttempt struct {
	Server string `json:"server"`
	Cause  Cause  `json:"cause"`
}

// PartRecord describes how one shard was queried.
type PartRecord struct {
	Shard string `json:"shard"`
	// Server is the server that answered; empty for a missing shard.
	Server         string          `json:"server,omitempty"`
	Attempts       int             `json:"attempts"`
	Hedges         int             `json:"hedges,omitempty"`
	Took           time.Duration   `json:"took_ns"`
	FailedAttempts []FailedAttempt `json:"misses,omitempty"`
	// Cause is why the shard is missing; empty if it was answered.
	Cause Cause `json:"cause,omitempty"`
	// NoRetryReason is why the part was not retried after a failed attempt.
	NoRetryReason NoRetryReason `json:"why,omitempty"`
}

// NoRetryReason is the reason why a part was not retried after a failed
// attempt.
type NoRetryReason string

// The reasons.
const (
	NoRetryMayHaveRun   NoRetryReason = "may_have_run"
	NoRetrySuspect      NoRetryReason = "suspect_request"
	NoRetryNoReplica    NoRetryReason = "no_replica_left"
	NoRetryBudget       NoRetryReason = "budget_spent"
	NoRetryReplicasFull NoRetryReason = "replicas_full"
	// NoRetryNoRoom means that the part was never sent, since all servers had queues.
	NoRetryNoRoom NoRetryReason = "no_room"
)

// SettingRef identifies the revision of the route's setting that applied to a
// request.
type SettingRef struct {
	Path    string `json:"path"`
	Version int64  `json:"version"`
	Hash    string `json:"hash"`
}

// Receipt is an audit record of how a request was answered.
type Receipt struct {
	RequestID  string       `json:"request_id"`
	EntryVM    string       `json:"entry_vm"`
	Zone       string       `json:"zone"`
	Setting    SettingRef   `json:"setting"`
	Collection string       `json:"collection,omitempty"`
	Snapshot   string       `json:"snapshot,omitempty"`
	Outcome    Outcome      `json:"outcome"`
	Code       Code         `json:"code,omitempty"`
	Reason     string       `json:"reason,omitempty"`
	Coverage   Coverage     `json:"coverage"`
	Parts      []PartRecord `json:"parts,omitempty"`
	// Restarts counts how often the request was started again because its
	// snapshot was lost while it ran.
	Restarts   int       `json:"restarts,omitempty"`
	ReceivedAt time.Time `json:"received_at"`
	AnsweredAt time.Time `json:"answered_at"`
	// UnconfirmedSince is set if the settings were not confirmed and may have been
	// out of date; it is the time of their last confirmation.
	UnconfirmedSince *time.Time `json:"unconfirmed_since,omitempty"`
}

// MustStore reports whether the receipt must be stored in the platform:
// requests that are not idempotent or were not answered in full.
func (rc *Receipt) MustStore(idempotent bool) bool {
	return !idempotent || rc.Outcome != Whole
}
