package contract

import (
	"flag"
	"maps"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// modelStore models one object of the platform with conditional writes. Some
// writes take effect long after they were sent, and some answers are lost.
type modelStore struct {
	version int
	claims  map[string]Claim
	delayed []modelWrite
}

type modelWrite struct {
	ifVersion int
	claims    map[string]Claim
}

func (ms *modelStore) put(wr modelWrite) bool {
	if wr.ifVersion != ms.version {
		return false
	}
	ms.version++
	ms.claims = maps.Clone(wr.claims)
	return true
}

// modelAttempt is one send of the request by a caller through an entry VM.
type modelAttempt struct {
	name string
	// state determines the next step: "new" reads the bucket, "lost" reads it
	// again after the answer to a write was lost, "writing" writes the claim,
	// "claimed" runs or sheds the request, "shed" and "abandon" abandon the claim,
	// and "gone" does nothing more.
	state   string
	version int
	bucket  ClaimBucket
}

// The seed is fixed, so that each run checks the same histories.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

const modelRequest = "request"

// TestClaimedRequestRunsAtMostOnce guards against a request that is not idempotent
// running twice. It interleaves attempts at one request with lost answers, delayed
// writes, pauses and crashes, and counts the runs.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := &modelStore{claims: map[string]Claim{}}
		attempts := []*modelAttempt{{name: "a", state: "new"}, {name: "b", state: "new"}, {name: "c", state: "new"}}
		runs := 0
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for range steps {
			at := attempts[rapid.IntRange(0, len(attempts)-1).Draw(rt, "attempt")]
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				at.state = "gone"
			case 1:
				if len(ms.delayed) > 0 {
					ms.put(ms.delayed[0])
					ms.delayed = ms.delayed[1:]
				}
			default:
				runs += at.step(rt, ms)
			}
			if runs > 1 {
				rt.Fatalf("the request ran %d times", runs)
			}
		}
	})
}

// step makes the next step of an attempt and returns how often the request ran
// in it.
func (at *modelAttempt) step(rt *rapid.T, ms *modelStore) int {
	now := time.Unix(0, 0)
	switch at.state {
	case "new", "lost":
		at.version, at.bucket = ms.version, ClaimBucket{Claims: maps.Clone(ms.claims)}
		status, _ := at.bucket.Check(modelRequest, at.name)
		switch {
		case status == ClaimOwned && at.bucket.Claims[modelRequest].State == ClaimOpen:
			at.state = "claimed"
		case status == ClaimFree:
			at.state = "writing"
		default:
			at.state = "gone"
		}
	case "writing":
		at.bucket.Claims[modelRequest] = Claim{Attempt: at.name, State: ClaimOpen}
		at.state = at.write(rt, ms, "claimed", "lost")
	case "claimed":
		if rapid.Bool().Draw(rt, "shed") {
			at.state = "shed"
			return 0
		}
		at.state = "gone"
		return 1
	case "shed", "abandon":
		at.version, at.bucket = ms.version, ClaimBucket{Claims: maps.Clone(ms.claims)}
		changed, _ := at.bucket.Abandon(now, modelRequest, at.name, "entry")
		if !changed {
			at.state = "gone"
			return 0
		}
		at.state = at.write(rt, ms, "gone", "abandon")
	}
	return 0
}

// write writes the attempt's bucket and returns the next state: done if the write
// succeeded, unknown or "abandon" if its answer was lost. After a version conflict
// it returns a state in which the attempt reads the bucket again.
func (at *modelAttempt) write(rt *rapid.T, ms *modelStore, done, unknown string) string {
	wr := modelWrite{ifVersion: at.version, claims: at.bucket.Claims}
	switch rapid.IntRange(0, 3).Draw(rt, "result of the write") {
	case 0:
		ms.put(wr)
		return rapid.SampledFrom([]string{unknown, "abandon"}).Draw(rt, "after a lost answer")
	case 1:
		ms.delayed = append(ms.delayed, wr)
		return rapid.SampledFrom([]string{unknown, "abandon"}).Draw(rt, "after no answer")
	}
	if ms.put(wr) {
		return done
	}
	if unknown == "lost" {
		return "new"
	}
	return unknown
}

func TestClaimKey(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	idAt := func(at time.Time) uuid.UUID {
		id := uuid.Must(uuid.NewV7())
		for i := range 6 {
			id[i] = byte(at.UnixMilli() >> (40 - 8*i))
		}
		return id
	}
	tests := []struct {
		name string
		id   uuid.UUID
		ok   bool
	}{
		{"now", idAt(now), true},
		{"an hour ago", idAt(now.Add(-ClaimRetention)), true},
		{"too old", idAt(now.Add(-ClaimRetention - time.Second)), false},
		{"a little ahead", idAt(now.Add(30 * time.Second)), true},
		{"too far ahead", idAt(now.Add(2 * time.Minute)), false},
		{"version 4", uuid.New(), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			key, err := ClaimKey(now, tt.id)
			assert.Equal(t, err == nil, tt.ok, "%v", err)
			if !tt.ok {
				return
			}
			again, err := ClaimKey(now.Add(-time.Second), tt.id)
			assert.NilError(t, err)
			assert.Equal(t, again, key)
			end, err := ClaimEpochEnd(key)
			assert.NilError(t, err)
			// A claim must not be deleted while its id may still be sent, by the
			// clock of an entry VM that is behind.
			seconds, nanos := tt.id.Time().UnixTime()
			lastSend := time.Unix(seconds, nanos).Add(ClaimRetention + maxClockAhead)
			assert.Assert(t, !end.Add(ClaimSweepAfter).Before(lastSend))
		})
	}
}
