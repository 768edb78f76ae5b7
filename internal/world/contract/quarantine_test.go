package contract

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQuarantineTellsCausesFromVictims plays sequences of sends, crashes and answers of
// one request, and guards against requests that are blocked for what befell the servers,
// and against ones that are never blocked.
func TestQuarantineTellsCausesFromVictims(t *testing.T) {
	type step struct {
		// do is "send", "crash" of the attempt of that number, or "answer".
		do      string
		attempt int
	}
	send, answer := step{do: "send"}, step{do: "answer"}
	crash := func(attempt int) step { return step{"crash", attempt} }
	tests := []struct {
		name     string
		steps    []step
		suspect  bool
		blocked  bool
		services []string
	}{
		{name: "one after the other", steps: []step{send, crash(0), send, crash(1), send, crash(2)}, suspect: true, blocked: true},
		{name: "two", steps: []step{send, crash(0), send, crash(1)}, suspect: true},
		{name: "three at once", steps: []step{send, send, send, crash(0), crash(1), crash(2)}, suspect: true},
		{name: "two at once", steps: []step{send, send, crash(0), crash(1)}},
		{name: "answered in between", steps: []step{send, crash(0), send, crash(1), send, answer, send, crash(3)}},
		{name: "answered before", steps: []step{send, answer, send, crash(1), send, crash(2), send, crash(3)}, suspect: true},
		{name: "answered before, once more", steps: []step{send, answer, send, crash(1), send, crash(2), send, crash(3), send, crash(4)}, suspect: true, blocked: true},
		{name: "answered before, many at once", steps: []step{send, answer, send, send, send, send, crash(1), crash(2), crash(3), crash(4)}},
		{name: "cleared after the send", steps: []step{send, crash(0), send, crash(1), send, send, answer, crash(2)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qn := NewQuarantine()
			qn.SuspectAt, qn.BlockAt, qn.BlockAtOnce = 2, 3, 8
			now := time.Unix(1_000_000, 0)
			var generations []int
			for _, st := range tt.steps {
				now = now.Add(time.Second)
				switch st.do {
				case "send":
					generations = append(generations, qn.NextGeneration(now, 7, "s"))
				case "answer":
					qn.MarkAnswered(now, 7, "s")
				case "crash":
					server := fmt.Sprint("i-", st.attempt)
					qn.RecordCrash(now, 7, Crash{CrashKey: CrashKey{Server: server}, Service: "s", Generation: generations[st.attempt]})
				}
			}
			now = now.Add(qn.Pause)
			assert.Equal(t, qn.IsSuspect(now, 7), tt.suspect)
			assert.Equal(t, qn.IsBlocked(now, 7), tt.blocked)
			assert.Assert(t, !qn.IsBlocked(now.Add(CrashRetention), 7), "each block ends")
		})
	}
}

// TestAnswersOfOtherServicesClearNothing guards against a request that crashes the servers
// of one shard and is never blocked, since the other shards answer it.
func TestAnswersOfOtherServicesClearNothing(t *testing.T) {
	qn := NewQuarantine()
	now := time.Unix(1_000_000, 0)
	for at := range 2 {
		generation := qn.NextGeneration(now, 7, "crashing")
		qn.MarkAnswered(now, 7, "other")
		qn.RecordCrash(now, 7, Crash{CrashKey: CrashKey{Server: fmt.Sprint(at)}, Service: "crashing", Generation: generation})
		qn.MarkAnswered(now, 7, "other")
	}
	assert.Assert(t, qn.IsBlocked(now, 7))
	assert.Equal(t, qn.SuspectService(now, 7), "crashing")
}

// TestCrashMerge merges copies of crashes in random orders. The result must be the same
// for each, and no crash may last longer than its oldest copy.
func TestCrashMerge(t *testing.T) {
	rn := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_000_000, 0)
	for range 200 {
		var copies []Crash
		oldest := start.Add(time.Hour)
		for range 1 + rn.IntN(6) {
			at := start.Add(time.Duration(rn.IntN(10)) * time.Second)
			copies = append(copies, Crash{CrashKey: CrashKey{Server: "i"}, At: at, Generation: rn.IntN(4), Cleared: rn.IntN(4) == 0})
			if at.Before(oldest) {
				oldest = at
			}
		}
		var first Crash
		for round := range 10 {
			order := rn.Perm(len(copies))
			merged := copies[order[0]]
			for _, at := range append(order, order...) {
				merged = merged.Merge(copies[at])
			}
			if round == 0 {
				first = merged
			}
			assert.Equal(t, merged, first)
			assert.Equal(t, merged.At, oldest)
		}
	}
}

func BenchmarkQuarantineCheck(b *testing.B) {
	qn := NewQuarantine()
	now := time.Now()
	for at := range 64 {
		qn.RecordCrash(now, uint64(at), Crash{CrashKey: CrashKey{Server: "i"}, Service: "s", Generation: 1})
	}
	for b.Loop() {
		_ = qn.IsBlocked(now, 1_000)
		_ = qn.NextGeneration(now, 1_000, "s")
		qn.MarkAnswered(now, 1_000, "s")
	}
}
