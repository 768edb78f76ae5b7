// Package forward answers callers' requests by sending them on, unchanged, to
// one server of a service, or to one server of each shard whose records it
// merges. It knows nothing of how messages are encoded, so that several front
// ends can use it.
package forward

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/view"
)

// Message is one request as a caller sent it.
type Message struct {
	// ID is the caller's; it is the same for all sends of the request.
	ID     string
	Method string
	Host   string
	// URL holds path and query only, as the caller wrote them.
	URL *url.URL
	// Header holds what concerns the request, not one connection.
	Header http.Header
	Body   []byte
}

// Call is a message with the caller's own limit.
type Call struct {
	Message Message
	// Deadline is how long the caller waits; 0 if it did not say.
	Deadline time.Duration
}

// Send is one attempt at one server.
type Send struct {
	scatter.Bounds
	// Message is shared by all attempts and not changed.
	Message *Message
	// Part is set if the answer is one part of many.
	Part bool
}

// Answer is what one server answered.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the server's signature of the answer; empty if there is none.
	Stamp string
}

// Reply is the answer to a call: that of a server, or one that was merged.
type Reply struct {
	// Answer is unchanged from the server; nil if the reply was merged.
	Answer *Answer
	// Stamps are the signatures of the merged parts.
	Stamps []string
	// Records are the greatest of the parts, falling.
	Records  []byte
	Coverage contract.Coverage
}

// Record tells what was decided for one call.
type Record struct {
	ID           string
	Route        string
	TableVersion int64
	// Age is the time since the platform last confirmed the table.
	Age      time.Duration
	Took     time.Duration
	Outcome  contract.Outcome
	Code     contract.Code
	Reason   string
	Coverage contract.Coverage
	Sends    int
	Hedges   int
	Retries  int
	Parts    []contract.PartRecord
}

// Runner is scatter.Engine with its policies chosen.
type Runner interface {
	Run(ctx context.Context, jb *scatter.Job[Send]) scatter.Result[Answer]
}

// Observer is told of each finished call.
type Observer interface {
	Forwarded(now time.Time, rc *Record)
}

// routeState is what the process keeps of a route across tables.
type routeState struct {
	latency  *link.Latency
	splitter contract.Splitter
}

// Service answers calls. All fields but the private ones are set before the
// first call and not changed.
type Service struct {
	Fleets *rcu.Value[view.Fleet]
	// Word returns when the platform last gave its word.
	Word       func() time.Time
	Quarantine *contract.Quarantine
	Engine     Runner
	Budgets    *Budgets
	Observer   Observer
	// Parts counts the attempts sent; the owner resets it.
	Parts atomic.Int64

	// routes maps names of routes to their *routeState.
	routes sync.Map
}

const (
	// replyMargin is kept free before a caller's deadline for the answer's way
	// back.
	replyMargin = 15 * time.Millisecond
	// goalMargin is kept free before a route's goal, for the ways between caller
	// and entry VM and for the processor; goalShare, in 1/100 of the goal, where
	// that is less.
	goalMargin = 14 * time.Millisecond
	goalShare  = 25
	// shortestTime is the least time in which a server can be asked.
	shortestTime = 2 * time.Millisecond
)

// run is one call on its way.
type run struct {
	call     Call
	route    *contract.ForwardRoute
	state    *routeState
	fleet    *view.Fleet
	record   *Record
	started  time.Time
	answerBy time.Time
}

// Run answers one call. Its error is a *contract.Refusal.
func (sv *Service) Run(ctx context.Context, now time.Time, cl Call) (*Reply, error) {
	rn := &run{call: cl, fleet: sv.Fleets.Load(), started: now, record: &Record{ID: cl.Message.ID}}
	reply, err := sv.answer(ctx, now, rn)
	sv.finish(time.Now(), rn, reply, err)
	return reply, err
}

func (sv *Service) answer(ctx context.Context, now time.Time, rn *run) (*Reply, error) {
	if err := sv.plan(now, rn); err != nil {
		return nil, err
	}
	fingerprint := contract.Fingerprint(rn.call.Message.URL.Path, rn.call.Message.Body)
	if sv.Quarantine.Bars(now, fingerprint) {
		return nil, contract.Refuse(contract.NotRun, contract.CodeQuarantined, "servers were lost while they ran this request")
	}
	if len(rn.route.Shards) > 0 {
		return sv.gather(ctx, now, rn, fingerprint)
	}
	return sv.pass(ctx, now, rn, fingerprint)
}

// plan finds what the call runs under.
func (sv *Service) plan(now time.Time, rn *run) error {
	tb := rn.fleet.Table
	if tb == nil {
		return contract.Refuse(contract.NotRun, contract.CodeStarting, "this entry VM has no configuration yet")
	}
	rn.record.TableVersion = tb.Version
	rn.record.Age = now.Sub(sv.Word())
	rn.route = tb.Match(rn.call.Message.Host, rn.call.Message.URL.Path)
	if rn.route == nil {
		return contract.Refuse(contract.Invalid, contract.CodeNoRoute, "no route has this host and path")
	}
	rn.record.Route = rn.route.Name
	if int64(len(rn.call.Message.Body)) > tb.Limits.BodyBytes {
		return contract.Refuse(contract.Invalid, contract.CodeBodyTooLarge, "the body is longer than %d bytes", tb.Limits.BodyBytes)
	}
	rn.state = sv.stateOf(rn.route.Name)
	limit := rn.route.Timeout
	if rn.call.Deadline > 0 {
		limit = min(limit, rn.call.Deadline-replyMargin)
	}
	rn.answerBy = now.Add(limit)
	if limit < shortestTime {
		return contract.Refuse(contract.NotRun, contract.CodeDeadlineHopeless, "the deadline passed before the request was sent")
	}
	return nil
}

func (sv *Service) stateOf(route string) *routeState {
	if value, ok := sv.routes.Load(route); ok {
		return value.(*routeState)
	}
	value, _ := sv.routes.LoadOrStore(route, &routeState{latency: link.NewLatency()})
	return value.(*routeState)
}

// job returns the job of a call on services.
func (sv *Service) job(now time.Time, rn *run, fingerprint uint64, services []string) *scatter.Job[Send] {
	rt := rn.route
	jb := &scatter.Job[Send]{
		Fingerprint: fingerprint,
		Terms: scatter.Terms{
			Class: contract.Urgent, Idempotent: rt.Idempotent, MaxAttempts: rt.MaxAttempts, MinCoverage: rt.MinCoverage,
			Goal: rt.Goal, Canary: contract.CanaryOff, ReplyMargin: replyMargin, TryAgain: true,
		},
		Shards:   make([]scatter.Shard, len(services)),
		Latency:  rn.state.latency,
		AnswerBy: rn.answerBy,
	}
	for i, name := range services {
		budget := sv.Budgets.Of(name)
		budget.Request(now)
		jb.Shards[i] = scatter.Shard{Name: name, Replicas: rn.fleet.Live(name), Budget: budget}
	}
	send := Send{
		Bounds:  scatter.Bounds{Deadline: rn.answerBy, Idempotent: rt.Idempotent},
		Message: &rn.call.Message, Part: len(rt.Shards) > 0,
	}
	jb.Message = func(*scatter.Shard, int32) Send { return send }
	return jb
}

// pass sends a call to one server of one service.
func (sv *Service) pass(ctx context.Context, now time.Time, rn *run, fingerprint uint64) (*Reply, error) {
	service := rn.state.splitter.Pick(rn.route.Services)
	jb := sv.job(now, rn, fingerprint, []string{service})
	rs := sv.Engine.Run(ctx, jb)
	sv.took(rn, rs)
	part := &rs.Parts[0]
	switch {
	case part.Answered || part.Failed:
		answer := part.Answer
		return &Reply{Answer: &answer, Coverage: contract.Coverage{Total: 1, Answered: 1}}, nil
	case !rs.MayHaveRun:
		return nil, contract.Refuse(contract.NotRun, contract.CodeNoServer, "no server of %s took the request", service)
	}
	return nil, contract.Refuse(contract.Unknown, contract.CodeNoAnswer, "no server of %s answered in time", service)
}

// gather sends a call to all shards of its route and merges what they answer.
func (sv *Service) gather(ctx context.Context, now time.Time, rn *run, fingerprint uint64) (*Reply, error) {
	jb := sv.job(now, rn, fingerprint, rn.route.Shards)
	if goal := rn.route.Goal; goal > 0 {
		jb.EnoughAt = now.Add(goal - min(goalMargin, goal*goalShare/100))
	}
	rs := sv.Engine.Run(ctx, jb)
	sv.took(rn, rs)
	reply := &Reply{Coverage: contract.Coverage{Total: len(rs.Parts), Missing: []string{}}}
	merge := newTop(rn.route.TopK)
	for i := range rs.Parts {
		part := &rs.Parts[i]
		if !part.Answered || slices.Contains(reply.Stamps, part.Answer.Stamp) {
			reply.Coverage.Missing = append(reply.Coverage.Missing, part.Record.Shard)
			continue
		}
		reply.Coverage.Answered++
		reply.Stamps = append(reply.Stamps, part.Answer.Stamp)
		merge.add(part.Answer.Body)
	}
	rn.record.Coverage = reply.Coverage
	switch {
	case reply.Coverage.Answered == 0 && !rs.MayHaveRun:
		return nil, contract.Refuse(contract.NotRun, contract.CodeNoServer, "no server took a part of the request")
	case reply.Coverage.Answered == 0:
		return nil, contract.Refuse(contract.Unknown, contract.CodeNoAnswer, "no shard answered in time")
	case reply.Coverage.Share() < rn.route.MinCoverage:
		return nil, contract.Refuse(contract.Unknown, contract.CodeLowCoverage,
			"%d of %d shards answered, which is below the route's minimum", reply.Coverage.Answered, reply.Coverage.Total)
	}
	reply.Records = merge.bytes()
	return reply, nil
}

// took records what was sent.
func (sv *Service) took(rn *run, rs scatter.Result[Answer]) {
	sv.Parts.Add(int64(rs.Sends + rs.Hedges + rs.Retries))
	rn.record.Sends, rn.record.Hedges, rn.record.Retries = rs.Sends, rs.Hedges, rs.Retries
	rn.record.Parts = make([]contract.PartRecord, len(rs.Parts))
	for i := range rs.Parts {
		rn.record.Parts[i] = rs.Parts[i].Record
	}
}

// finish completes the record and hands it on.
func (sv *Service) finish(now time.Time, rn *run, reply *Reply, err error) {
	rc := rn.record
	rc.Took = now.Sub(rn.started)
	if refusal := asRefusal(err); refusal != nil {
		rc.Outcome, rc.Code, rc.Reason = refusal.Outcome, refusal.Code, refusal.Reason
	}
	if reply != nil {
		rc.Coverage = reply.Coverage
		rc.Outcome = contract.Whole
		if reply.Coverage.Answered < reply.Coverage.Total {
			rc.Outcome = contract.Partial
		}
	}
	sv.Observer.Forwarded(now, rc)
}

// Tend renews the published latencies. It is called several times a second.
func (sv *Service) Tend() {
	sv.routes.Range(func(_, value any) bool {
		value.(*routeState).latency.Publish()
		return true
	})
}

// IsReady reports whether calls can be answered: the configuration and servers
// are known.
func (sv *Service) IsReady() bool {
	fl := sv.Fleets.Load()
	return fl.Table != nil && len(fl.Servers) > 0
}
