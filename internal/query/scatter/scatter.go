// Package scatter runs one request over shards: it chooses replicas, hedges,
// retries and gathers the answers. It knows nothing of how messages are
// encoded. Engine does so for any message; Query pins a snapshot first.
package scatter

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/snapshot"
	"daisystage.example/daisystage/internal/world/view"
	"daisystage.example/daisystage/internal/world/zone"
)

// Request is one request with what it runs under.
type Request struct {
	ID          string
	Fingerprint uint64
	// Query is JSON and is not decoded.
	Query []byte
	// ShardKey picks the shard of a route with scope "one".
	ShardKey string
	// Setting is of a route.
	Setting *contract.Setting
	View    *view.View
	// AnswerBy is the deadline less the margin for the answer's way back.
	AnswerBy time.Time
	// PartOver is called for each part that is answered or given up; it may be
	// nil.
	PartOver func()
}

// Bounds limit one attempt.
type Bounds struct {
	Deadline time.Time
	// Idempotent attempts may be cut off and asked again.
	Idempotent bool
	// SilentAfter is the wait for a first byte after which the link is
	// suspect; 0 leaves that to the operating system.
	SilentAfter time.Duration
}

// Limits returns the bounds, for messages that embed them.
func (bd Bounds) Limits() Bounds {
	return bd
}

// Part is one attempt at one shard.
type Part struct {
	Bounds
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

// Answer is what was gathered.
type Answer struct {
	// Manifest is the pinned snapshot; nil if there was none.
	Manifest *snapshot.Manifest
	// Parts is in the order of the manifest.
	Parts    []ShardAnswer
	Coverage contract.Coverage
	Records  []contract.PartRecord
	// Restarts counts the snapshots that vanished on the way.
	Restarts int
	// MayHaveRun is false only if no attempt can have run.
	MayHaveRun bool
	// Sends and Extra count the primary and the other attempts.
	Sends, Extra int
}

// Query runs requests on snapshots under its policies. One is shared by all
// requests.
type Query[R ReplicaPolicy, H HedgePolicy] struct {
	Replicas   R
	Hedges     H
	Sender     Sender[Part, []byte]
	Zone       zone.Zone
	Quarantine *contract.Quarantine
	// Rank and Crashed are as in Engine.
	Rank    func(now time.Time) int
	Crashed func(now time.Time, fingerprint uint64, server string)
}

// Run gathers until the answer is whole, nothing is left to try or AnswerBy is
// reached. The error is snapshot.ErrNoSnapshot or nil.
func (qr *Query[R, H]) Run(ctx context.Context, rq *Request) (Answer, error) {
	vanished := map[string]bool{}
	mayHaveRun := false
	sends, extra := 0, 0
	for {
		mf, err := qr.pin(rq, time.Now(), vanished)
		if err != nil {
			return Answer{Restarts: len(vanished), MayHaveRun: mayHaveRun}, err
		}
		jb := rq.job(mf)
		jb.MayRestart = len(vanished) == 0 && hasOther(rq, mf.ID)
		rs := qr.engine().Run(ctx, jb)
		an := answerOf(rq, mf, rs)
		sends, extra = sends+an.Sends, extra+an.Extra
		mayHaveRun = mayHaveRun || an.MayHaveRun
		an.Restarts, an.MayHaveRun, an.Sends, an.Extra = len(vanished), mayHaveRun, sends, extra
		if !rs.Vanished {
			return an, nil
		}
		vanished[mf.ID] = true
	}
}

func (qr *Query[R, H]) engine() *Engine[R, H, Part, []byte] {
	return &Engine[R, H, Part, []byte]{
		Replicas: qr.Replicas, Hedges: qr.Hedges, Sender: qr.Sender, Zone: qr.Zone,
		Quarantine: qr.Quarantine, Rank: qr.Rank, Crashed: qr.Crashed,
	}
}

func (qr *Query[R, H]) pin(rq *Request, now time.Time, vanished map[string]bool) (*snapshot.Manifest, error) {
	name := rq.Setting.Route.Collection
	cl, ok := rq.View.Collections.Get(name)
	if !ok {
		cl = &snapshot.Collection{Name: name}
	}
	return cl.Pin(
		func(id string) bool { return vanished[id] },
		func(name, id string) bool {
			sv, ok := rq.View.Servers.Get(name)
			return ok && !sv.IsLeaving(now) && sv.State.Holds(now, id)
		})
}

// job resolves the request to the shards of a snapshot.
func (rq *Request) job(mf *snapshot.Manifest) *Job[Part] {
	rt, state := rq.Setting.Route, rq.Setting.State
	named := mf.Shards
	if rt.Shards == contract.ScopeOne {
		at := ShardOf(rq.ShardKey, len(named))
		named = named[at : at+1]
	}
	jb := &Job[Part]{
		Fingerprint: rq.Fingerprint,
		Terms: Terms{
			Class: rt.Class, Idempotent: rt.Idempotent, HedgeQuantile: rt.HedgeQuantile, HedgeShare: rt.HedgeShare,
			Canary: rt.Canary, ReplyMargin: rt.ReplyMargin.Duration,
		},
		Shards:   make([]Shard, len(named)),
		Latency:  state.Latency,
		AnswerBy: rq.AnswerBy,
		Holds:    func(now time.Time, sv *machine.Server) bool { return sv.State.Holds(now, mf.ID) },
		Lost:     func(now time.Time, sv *machine.Server) { sv.State.Lose(now, mf.ID) },
		PartOver: rq.PartOver,
	}
	for i, sh := range named {
		jb.Shards[i] = Shard{Name: sh.Name, Replicas: rq.serversOf(sh), Budget: routeBudget{state}}
	}
	silent := link.SilentAfter(state.Latency.Recent().P99)
	jb.Message = func(sh *Shard, attempt int32) Part {
		return Part{
			Bounds:    Bounds{Deadline: rq.AnswerBy, Idempotent: rt.Idempotent, SilentAfter: silent},
			RequestID: rq.ID, Attempt: attempt, Route: rq.Setting.Path, Shard: sh.Name, Snapshot: mf.ID, Query: rq.Query,
		}
	}
	return jb
}

func (rq *Request) serversOf(sh snapshot.Shard) []*machine.Server {
	servers := make([]*machine.Server, 0, len(sh.Replicas))
	for _, name := range sh.Replicas {
		if sv, ok := rq.View.Servers.Get(name); ok {
			servers = append(servers, sv)
		}
	}
	return servers
}

// routeBudget bounds the extra sends by the budgets of a route.
type routeBudget struct{ state *contract.RouteState }

// TryHedge is of ExtraBudget.
func (rb routeBudget) TryHedge(now time.Time, _ bool) bool {
	return rb.state.Hedges.TrySpend(now)
}

// TryRetry is of ExtraBudget. A server that lost the snapshot or leaves did no
// work, and is not asked again for a while, so a retry adds no load.
func (rb routeBudget) TryRetry(now time.Time, cause contract.Cause, _ bool) bool {
	return cause == contract.CauseSnapshotLost || cause == contract.CauseDraining || rb.state.Retries.TrySpend(now)
}

// answerOf sums up a result and lets the budgets earn.
func answerOf(rq *Request, mf *snapshot.Manifest, rs Result[[]byte]) Answer {
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

func hasOther(rq *Request, id string) bool {
	cl, ok := rq.View.Collections.Get(rq.Setting.Route.Collection)
	return ok && len(cl.Without(id).Manifests) > 0
}

// ShardOf returns the index of the shard of a key.
func ShardOf(key string, shards int) int {
	hs := fnv.New64a()
	_, _ = hs.Write([]byte(key))
	return int(hs.Sum64() % uint64(shards))
}

// causeOf returns the cause of an attempt's error and whether the attempt is
// proved not to have run.
func causeOf(err error) (contract.Cause, bool) {
	if pe := (*contract.PartError)(nil); errors.As(err, &pe) {
		return pe.Cause, pe.NotRun
	}
	return contract.CauseServerError, false
}
