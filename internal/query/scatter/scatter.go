// Package scatter sends one request to several shards: it chooses replicas,
// hedges, retries and gathers the answers. Engine does so for messages of any
// type; SnapshotRunner also pins a snapshot. The package is independent of the
// encoding of messages.
package scatter

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"time"

	"daisystage.example/daisystage/internal/container/quota"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/snapshot"
	"daisystage.example/daisystage/internal/world/view"
	"daisystage.example/daisystage/internal/world/zone"
)

// Request is one request with the settings it runs under.
type Request struct {
	ID          string
	Fingerprint uint64
	// Query is JSON and is not decoded here.
	Query []byte
	// ShardKey selects the shard of a route with scope "one".
	ShardKey string
	// Setting is the setting of the route.
	Setting *contract.Setting
	View    *view.View
	// Deadline is the caller's deadline minus the time reserved to return the
	// answer.
	Deadline time.Time
	// OnPartDone is called for each part that is answered or given up, on each
	// snapshot that the request runs on; it may be nil.
	OnPartDone func()
	// OnRestart is called before the request starts anew on another snapshot; it
	// may be nil.
	OnRestart func()
}

// AttemptLimits holds the limits of one attempt.
type AttemptLimits struct {
	Deadline time.Time
	// Idempotent attempts may be canceled and sent again.
	Idempotent bool
	// FirstByteTimeout is the time without a first byte after which the connection
	// is checked for silence; 0 leaves that to the operating system.
	FirstByteTimeout time.Duration
	// Memory bounds the answers of all attempts of the request together; nil sets
	// no bound.
	Memory *quota.Lease
	// Trail is shared by the attempts of one request if their answers can't be told
	// apart: none is sent on a connection on which another was rejected. Nil if the
	// answers name the attempt.
	Trail *link.Trail
	// MaySend reports whether the attempt may be sent at this moment. It is called when
	// the attempt has a connection, and once more right before it is written, since an
	// attempt may wait for either; nil permits all.
	MaySend func() bool
}

// Limits returns the limits. Message types that embed AttemptLimits inherit it.
func (al AttemptLimits) Limits() AttemptLimits {
	return al
}

// PartRequest is the message of one attempt at one shard.
type PartRequest struct {
	AttemptLimits
	RequestID string
	Attempt   int32
	Route     string
	Shard     string
	Snapshot  string
	Query     []byte
}

// ShardAnswer is the answer of one shard.
type ShardAnswer struct {
	Shard string `json:"shard"`
	// Body is JSON.
	Body json.RawMessage `json:"body"`
}

// Answer holds the gathered answers of a request.
type Answer struct {
	// Manifest is the pinned snapshot; nil if there was none.
	Manifest *snapshot.Manifest
	// Parts is in the order of the manifest.
	Parts    []ShardAnswer
	Coverage contract.Coverage
	Records  []contract.PartRecord
	// Restarts counts the restarts because a snapshot was no longer available.
	Restarts int
	// MayHaveRun is false only if it is proved that no attempt ran.
	MayHaveRun bool
	// Sends counts the first attempts, Extra the hedges and retries.
	Sends, Extra int
}

// SnapshotRunner runs requests on snapshots with a choice of policies. One
// runner is shared by all requests.
type SnapshotRunner[R ReplicaPolicy, H HedgePolicy] struct {
	Replicas   R
	Hedges     H
	Sender     Sender[PartRequest, []byte]
	Zone       zone.Zone
	Quarantine *contract.Quarantine
	// EntryVMRank and OnServerLost are as in Engine.
	EntryVMRank  func(now time.Time) int
	OnServerLost func(now time.Time, fingerprint uint64, server string)
}

// Run pins a snapshot and runs the request on it until all parts are answered
// or given up or the deadline is reached. If the snapshot is no longer
// available, the request restarts once on another. The error is
// snapshot.ErrNoSnapshot or nil.
func (sr *SnapshotRunner[R, H]) Run(ctx context.Context, rq *Request) (Answer, error) {
	lostSnapshots := map[string]bool{}
	mayHaveRun := false
	sends, extra := 0, 0
	for {
		mf, err := sr.pinSnapshot(rq, time.Now(), lostSnapshots)
		if err != nil {
			return Answer{Restarts: len(lostSnapshots), MayHaveRun: mayHaveRun}, err
		}
		jb := rq.job(mf)
		jb.MayRestart = len(lostSnapshots) == 0 && hasOtherSnapshot(rq, mf.ID)
		rs := sr.newEngine().Run(ctx, jb)
		an := newAnswer(rq, mf, rs)
		sends, extra = sends+an.Sends, extra+an.Extra
		mayHaveRun = mayHaveRun || an.MayHaveRun
		an.Restarts, an.MayHaveRun, an.Sends, an.Extra = len(lostSnapshots), mayHaveRun, sends, extra
		if !rs.SnapshotLost {
			return an, nil
		}
		lostSnapshots[mf.ID] = true
		if rq.OnRestart != nil {
			rq.OnRestart()
		}
	}
}

func (sr *SnapshotRunner[R, H]) newEngine() *Engine[R, H, StartAtOnce, PartRequest, []byte] {
	return &Engine[R, H, StartAtOnce, PartRequest, []byte]{
		Replicas: sr.Replicas, Hedges: sr.Hedges, Sender: sr.Sender, Zone: sr.Zone,
		Quarantine: sr.Quarantine, EntryVMRank: sr.EntryVMRank, OnServerLost: sr.OnServerLost,
	}
}

// pinSnapshot chooses the snapshot to run on, without those that were lost.
func (sr *SnapshotRunner[R, H]) pinSnapshot(rq *Request, now time.Time, lostSnapshots map[string]bool) (*snapshot.Manifest, error) {
	name := rq.Setting.Route.Collection
	cl, ok := rq.View.Collections.Get(name)
	if !ok {
		cl = &snapshot.Collection{Name: name}
	}
	return cl.Pin(
		func(id string) bool { return lostSnapshots[id] },
		func(name, id string) bool {
			sv, ok := rq.View.Servers.Get(name)
			return ok && !sv.IsLeaving(now) && sv.State.MayHoldSnapshot(now, id)
		})
}

// job resolves the request to the shards of a snapshot.
func (rq *Request) job(mf *snapshot.Manifest) *Job[PartRequest] {
	rt, state := rq.Setting.Route, rq.Setting.State
	shards := mf.Shards
	if rt.Shards == contract.ScopeOne {
		index := ShardOf(rq.ShardKey, len(shards))
		shards = shards[index : index+1]
	}
	jb := &Job[PartRequest]{
		Fingerprint: rq.Fingerprint,
		Settings: JobSettings{
			Class: rt.Class, Idempotent: rt.Idempotent, HedgeQuantile: rt.HedgeQuantile, HedgeShare: rt.HedgeShare,
			Canary: rt.Canary, ReplyMargin: rt.ReplyMargin.Duration,
		},
		Shards:        make([]Shard, len(shards)),
		Latency:       state.Latency,
		Deadline:      rq.Deadline,
		MayHaveData:   func(now time.Time, sv *machine.Server) bool { return sv.State.MayHoldSnapshot(now, mf.ID) },
		OnDataMissing: func(now time.Time, sv *machine.Server) { sv.State.MarkSnapshotLost(now, mf.ID) },
		OnPartDone:    rq.OnPartDone,
	}
	for i, sh := range shards {
		jb.Shards[i] = Shard{Name: sh.Name, Replicas: rq.serversOf(sh), Budget: routeBudget{state}}
	}
	firstByteTimeout := link.FirstByteTimeout(state.Latency.Recent().P99)
	jb.Message = func(sh *Shard, attempt int32) PartRequest {
		return PartRequest{
			AttemptLimits: AttemptLimits{Deadline: rq.Deadline, Idempotent: rt.Idempotent, FirstByteTimeout: firstByteTimeout},
			RequestID:     rq.ID, Attempt: attempt, Route: rq.Setting.Path, Shard: sh.Name, Snapshot: mf.ID, Query: rq.Query,
		}
	}
	return jb
}

// serversOf returns the known servers that are replicas of a shard.
func (rq *Request) serversOf(sh snapshot.Shard) []*machine.Server {
	servers := make([]*machine.Server, 0, len(sh.Replicas))
	for _, name := range sh.Replicas {
		if sv, ok := rq.View.Servers.Get(name); ok {
			servers = append(servers, sv)
		}
	}
	return servers
}

// routeBudget implements ExtraBudget with the budgets of a route.
type routeBudget struct{ state *contract.RouteState }

// TryHedge implements ExtraBudget.
func (rb routeBudget) TryHedge(now time.Time, _ bool) bool {
	return rb.state.Hedges.TrySpend(now)
}

// TryRetry implements ExtraBudget. A retry is free if the server lost the
// snapshot or is draining: that server did no work and gets no further requests
// for a while, so the retry adds no load.
func (rb routeBudget) TryRetry(now time.Time, cause contract.Cause, _ bool) bool {
	return cause == contract.CauseSnapshotLost || cause == contract.CauseDraining || rb.state.Retries.TrySpend(now)
}

// newAnswer converts the result of a job and credits the route's budgets with
// its first attempts.
func newAnswer(rq *Request, mf *snapshot.Manifest, rs Result[[]byte]) Answer {
	rt, state := rq.Setting.Route, rq.Setting.State
	state.Hedges.Earn(rs.Sends, rt.HedgeShare)
	state.Retries.Earn(rs.Sends, rt.RetryShare)
	an := Answer{
		Manifest:   mf,
		Coverage:   contract.Coverage{Total: len(rs.Parts), Missing: []string{}},
		Records:    make([]contract.PartRecord, len(rs.Parts)),
		Parts:      make([]ShardAnswer, 0, len(rs.Parts)),
		MayHaveRun: rs.MayHaveRun,
		Sends:      rs.Sends,
		Extra:      rs.Hedges + rs.Retries,
	}
	for i, pt := range rs.Parts {
		an.Records[i] = pt.Record
		if !pt.Answered {
			an.Coverage.Missing = append(an.Coverage.Missing, pt.Record.Shard)
			continue
		}
		an.Coverage.Answered++
		an.Parts = append(an.Parts, ShardAnswer{Shard: pt.Record.Shard, Body: pt.Answer})
	}
	return an
}

// hasOtherSnapshot reports whether the collection has a snapshot besides id.
func hasOtherSnapshot(rq *Request, id string) bool {
	cl, ok := rq.View.Collections.Get(rq.Setting.Route.Collection)
	return ok && len(cl.Without(id).Manifests) > 0
}

// ShardOf returns the index of the shard that a key belongs to.
func ShardOf(key string, shards int) int {
	hs := fnv.New64a()
	_, _ = hs.Write([]byte(key))
	return int(hs.Sum64() % uint64(shards))
}

// causeOf returns the cause of a failed attempt and whether it is proved that
// the attempt did not run.
func causeOf(err error) (contract.Cause, bool) {
	if pe := (*contract.PartError)(nil); errors.As(err, &pe) {
		return pe.Cause, pe.NotRun
	}
	return contract.CauseServerError, false
}
