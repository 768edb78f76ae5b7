package contract

import "time"

// Coverage counts the shards that an answer holds.
type Coverage struct {
	Answered int `json:"answered"`
	// Total is the number of shards of the pinned snapshot that the request
	// went to.
	Total   int      `json:"total"`
	Missing []string `json:"missing"`
}

// Share returns the answered part of the total, in [0, 1].
func (cv Coverage) Share() float64 {
	if cv.Total == 0 {
		return 0
	}
	return float64(cv.Answered) / float64(cv.Total)
}

// Miss is one attempt at a part that gave no answer.
type Miss struct {
	Server string `json:"server"`
	Cause  Cause  `json:"cause"`
}

// PartRecord tells how one shard was answered.
type PartRecord struct {
	Shard string `json:"shard"`
	// Server gave the answer; empty for a missing shard.
	Server   string        `json:"server,omitempty"`
	Attempts int           `json:"attempts"`
	Hedges   int           `json:"hedges,omitempty"`
	Took     time.Duration `json:"took_ns"`
	Misses   []Miss        `json:"misses,omitempty"`
	// Cause says why the shard is missing.
	Cause Cause `json:"cause,omitempty"`
	// Why says why the shard was not asked again.
	Why Why `json:"why,omitempty"`
}

// Why says why a part was not asked again after an attempt failed.
type Why string

// The reasons.
const (
	WhyMayHaveRun Why = "may_have_run"
	WhySuspect    Why = "suspect_request"
	WhyNoReplica  Why = "no_replica_left"
	WhyBudget     Why = "budget_spent"
	WhyNoRoom     Why = "replicas_full"
)

// SettingRef names the revision that a request ran under.
type SettingRef struct {
	Path    string `json:"path"`
	Version int64  `json:"version"`
	Hash    string `json:"hash"`
}

// Receipt tells a reviewer how a request was answered.
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
	// Restarts counts the snapshots that vanished under the request.
	Restarts   int       `json:"restarts,omitempty"`
	ReceivedAt time.Time `json:"received_at"`
	AnsweredAt time.Time `json:"answered_at"`
	// UnconfirmedSince is set when the settings may have been out of date.
	UnconfirmedSince *time.Time `json:"unconfirmed_since,omitempty"`
}

// MustKeep reports whether the receipt goes to the platform.
func (rc *Receipt) MustKeep(idempotent bool) bool {
	return !idempotent || rc.Outcome != Whole
}
