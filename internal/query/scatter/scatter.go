// Package scatter runs one request over the shards of one snapshot: it chooses
// replicas, hedges, retries and gathers the answers. It knows nothing of how
// messages are encoded.
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

// Part is one attempt at one shard.
type Part struct {
	RequestID string
	Attempt   int32
	Route     string
	Shard     string
	Snapshot  string
	Deadline  time.Time
	// Idempotent parts may be cut off and asked again.
	Idempotent bool
	// SilentAfter is the wait for a first byte after which the link is
	// suspect.
	SilentAfter time.Duration
	Query       []byte
}

// Sender carries one part to one server and returns the body of its answer.
// Its errors are of type *contract.PartError. It returns soon after the
// context ends.
type Sender interface {
	Send(ctx context.Context, sv *machine.Server, pt Part) ([]byte, error)
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

// Query runs requests under its policies. One is shared by all requests.
type Query[R ReplicaPolicy, H HedgePolicy] struct {
	Replicas   R
	Hedges     H
	Sender     Sender
	Zone       zone.Zone
	Quarantine *contract.Quarantine
	// Rank returns the place of this entry VM among all; it may be nil. Entry
	// VMs that race with one request take different shards first.
	Rank func(now time.Time) int
	// Crashed is told of servers newly lost to a fingerprint; it may be nil.
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
		ga := newGather(qr, rq, mf)
		ga.mayRestart = len(vanished) == 0 && hasOther(rq, mf.ID)
		ga.run(ctx)
		an := ga.answer()
		sends, extra = sends+an.Sends, extra+an.Extra
		mayHaveRun = mayHaveRun || an.MayHaveRun
		an.Restarts, an.MayHaveRun, an.Sends, an.Extra = len(vanished), mayHaveRun, sends, extra
		if !ga.vanished {
			return an, nil
		}
		vanished[mf.ID] = true
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

func silentAfter(state *contract.RouteState) time.Duration {
	return link.SilentAfter(state.Latency.Recent().P99)
}
