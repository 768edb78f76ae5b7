package scatter

import (
	"context"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/zone"
)

// Sender sends one message to one server and returns its answer. Its errors are
// of type *contract.PartError. An answer returned along with an error is a
// failure that the server reported. Send returns soon after the context ends.
type Sender[M, A any] interface {
	Send(ctx context.Context, sv *machine.Server, message M) (A, error)
}

// ExtraBudget limits the hedges and retries of a shard.
type ExtraBudget interface {
	// TryHedge spends budget on a second attempt while the first is in flight, and
	// reports whether that is allowed. required is set if the answer would fall
	// below the minimum coverage without the part.
	TryHedge(now time.Time, required bool) bool
	// TryRetry spends budget on a further attempt after one that failed with
	// cause, and reports whether that is allowed.
	TryRetry(now time.Time, cause contract.Cause, required bool) bool
}

// Shard is one part of a job with the servers that can answer it.
type Shard struct {
	Name string
	// Replicas is not modified.
	Replicas []*machine.Server
	Budget   ExtraBudget
	// Contention holds back less urgent requests; nil if priorities don't matter.
	Contention *contract.Contention
}

// JobSettings holds the settings of the route that apply to a job.
type JobSettings struct {
	Class contract.Class
	// Priority is that of the request; 0 is the highest.
	Priority int
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxAttempts limits the attempts at one shard that may have run; 0 means no
	// limit.
	MaxAttempts int
	// MinCoverage is the least share of answered parts, in [0, 1], with which an
	// answer is usable.
	MinCoverage float64
	// Goal is the latency goal of the route; 0 if it has none.
	Goal          time.Duration
	HedgeQuantile float64
	HedgeShare    float64
	Canary        contract.Canary
	ReplyMargin   time.Duration
	// RetrySameServer allows a second attempt at a server that rejected or reset
	// the first, or whose answer belonged to another message.
	RetrySameServer bool
}

// Job is one request resolved to shards.
type Job[M any] struct {
	Fingerprint uint64
	Settings    JobSettings
	Shards      []Shard
	// Message returns the message for an attempt at a shard; attempts are numbered
	// from 1.
	Message func(sh *Shard, attempt int32) M
	// Latency holds the recent latencies of parts of the same kind of request.
	Latency *link.Latency
	// Costs holds the expected work of requests of the same kind; nil if work is not
	// estimated.
	Costs *contract.RouteCosts
	// Deadline is when the parts that are still pending are given up.
	Deadline time.Time
	// PartialAfter is the time from which an answer with MinCoverage is returned
	// without the missing parts; the zero time waits for all parts.
	PartialAfter time.Time
	// MayHaveData reports whether a server may have the shard's data; nil means
	// that all replicas have it.
	MayHaveData func(now time.Time, sv *machine.Server) bool
	// OnDataMissing is called for a server that reported that it lacks the shard's
	// data; it may be nil.
	OnDataMissing func(now time.Time, sv *machine.Server)
	// OnPartDone is called once for each part that is answered or given up; it may
	// be nil.
	OnPartDone func()
	// MayRestart is set if the job can be restarted on other shards.
	MayRestart bool
}

// PartResult is the result for one shard.
type PartResult[A any] struct {
	Record   contract.PartRecord
	Answered bool
	// Answer is the server's answer if Answered is set, or the failure that a
	// server reported if Failed is set.
	Answer A
	Failed bool
}

// Result is the result of a job.
type Result[A any] struct {
	// Parts is in the order of the shards.
	Parts []PartResult[A]
	// SnapshotLost is set if all replicas of a shard lack its data and a restart
	// of the job can help.
	SnapshotLost bool
	// MayHaveRun is false only if it is proved that no attempt ran.
	MayHaveRun bool
	// Sends counts the first attempts, Hedges and Retries the additional ones.
	Sends, Hedges, Retries int
	// HeldBack is set if the job was refused in favor of more urgent ones.
	HeldBack bool
	// ExpectedWork and ActualWork are the server time of the answered parts for which both
	// are known: those that did not wait for a slot.
	ExpectedWork, ActualWork time.Duration
}

// Answered returns the number of parts that were answered.
func (rs *Result[A]) Answered() int {
	count := 0
	for i := range rs.Parts {
		if rs.Parts[i].Answered {
			count++
		}
	}
	return count
}

// Engine runs jobs with a choice of policies. One engine is shared by all
// requests.
type Engine[R ReplicaPolicy, H HedgePolicy, S StartPolicy, M, A any] struct {
	Replicas   R
	Hedges     H
	Starts     S
	Sender     Sender[M, A]
	Zone       zone.Zone
	Quarantine *contract.Quarantine
	// EntryVMRank returns the position of this entry VM among all entry VMs; nil
	// means 0. Entry VMs that receive the same request at once choose different
	// canary parts by it.
	EntryVMRank func(now time.Time) int
	// OnServerLost is called when a server was lost while it ran a request of the
	// fingerprint, unless that server was already recorded for the fingerprint; it
	// may be nil.
	OnServerLost func(now time.Time, fingerprint uint64, server string)
	// Cold limits the requests to cold servers; nil if nothing does.
	Cold *machine.ColdLimit
}

// Run sends the job to its shards and returns when all parts are answered or
// given up, the answer is sufficient or can't become so, or the deadline is
// reached.
func (en *Engine[R, H, S, M, A]) Run(ctx context.Context, jb *Job[M]) Result[A] {
	ga := newGather(en, jb)
	if ga.heldBack = ga.isHeldBack(time.Now()); ga.heldBack {
		ga.giveUpAll(contract.CauseNoRoom)
	} else {
		ga.run(ctx)
	}
	ga.finishContention(time.Now())
	return ga.result()
}
