package scatter

import (
	"context"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/zone"
)

// Sender carries one message to one server and returns its answer. Its errors
// are of type *contract.PartError; the answer beside an error is a failure that
// the server reported, if it did. It returns soon after the context ends.
type Sender[M, A any] interface {
	Send(ctx context.Context, sv *machine.Server, message M) (A, error)
}

// ExtraBudget bounds the sends of a shard beyond the first.
type ExtraBudget interface {
	// TryHedge is asked for a second attempt while the first is open. decides
	// is set if the answer is of no use without the part.
	TryHedge(now time.Time, decides bool) bool
	// TryRetry is asked after an attempt ended with a cause.
	TryRetry(now time.Time, cause contract.Cause, decides bool) bool
}

// Shard is one part of a job with the servers that can answer it.
type Shard struct {
	Name string
	// Replicas is not changed.
	Replicas []*machine.Server
	Budget   ExtraBudget
}

// Terms are what a job was promised.
type Terms struct {
	Class contract.Class
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxAttempts is the most servers of one shard on which the job may run; 0
	// sets no bound.
	MaxAttempts int
	// MinCoverage is in [0, 1]; an answer below it is of no use.
	MinCoverage float64
	// Goal is the time within which an answer is worth most; 0 if none.
	Goal          time.Duration
	HedgeQuantile float64
	HedgeShare    float64
	Canary        contract.Canary
	ReplyMargin   time.Duration
	// TryAgain allows a second send to a server that rejected the first.
	TryAgain bool
}

// Job is one request resolved to shards.
type Job[M any] struct {
	Fingerprint uint64
	Terms       Terms
	Shards      []Shard
	// Message returns what is sent to a shard; attempts are numbered from 1.
	Message func(sh *Shard, attempt int32) M
	// Latency is of the parts of such requests.
	Latency *link.Latency
	// AnswerBy ends the gathering.
	AnswerBy time.Time
	// EnoughAt is the time from which MinCoverage is enough; zero waits for
	// all parts.
	EnoughAt time.Time
	// Holds reports whether a server may have the shard's data; it may be nil.
	Holds func(now time.Time, sv *machine.Server) bool
	// Lost is told of a server that does not have them; it may be nil.
	Lost func(now time.Time, sv *machine.Server)
	// PartOver is called for each part that is answered or given up; it may be
	// nil.
	PartOver func()
	// MayRestart is set while the job can be started again on other shards.
	MayRestart bool
}

// PartResult is what became of one shard.
type PartResult[A any] struct {
	Record   contract.PartRecord
	Answered bool
	// Answer is of a server; without Answered it is a failure that a server
	// reported, if Failed is set.
	Answer A
	Failed bool
}

// Result is what became of a job.
type Result[A any] struct {
	// Parts is in the order of the shards.
	Parts []PartResult[A]
	// Vanished is set when no server has a shard's data any more and the job
	// may be restarted.
	Vanished bool
	// MayHaveRun is false only if no attempt can have run.
	MayHaveRun bool
	// Sends counts the first attempts; Hedges and Retries the others.
	Sends, Hedges, Retries int
}

// Answered counts the parts that were answered.
func (rs *Result[A]) Answered() int {
	count := 0
	for i := range rs.Parts {
		if rs.Parts[i].Answered {
			count++
		}
	}
	return count
}

// Engine runs jobs under its policies. One is shared by all requests.
type Engine[R ReplicaPolicy, H HedgePolicy, M, A any] struct {
	Replicas   R
	Hedges     H
	Sender     Sender[M, A]
	Zone       zone.Zone
	Quarantine *contract.Quarantine
	// Rank returns the place of this entry VM among all; it may be nil. Entry
	// VMs that race with one request take different shards first.
	Rank func(now time.Time) int
	// Crashed is told of servers newly lost to a fingerprint; it may be nil.
	Crashed func(now time.Time, fingerprint uint64, server string)
}

// Run gathers until the answer is whole or enough, nothing is left to try, or
// AnswerBy is reached.
func (en *Engine[R, H, M, A]) Run(ctx context.Context, jb *Job[M]) Result[A] {
	ga := newGather(en, jb)
	ga.run(ctx)
	return ga.result()
}
