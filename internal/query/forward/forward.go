// Package forward answers callers' requests by forwarding them unchanged,
// either to one server of a service, or to one server of each shard, whose
// records it merges. It is independent of the encoding of messages, so that
// several front ends can share it.
package forward

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/container/quota"
	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/view"
)

// Message is one request as a caller sent it.
type Message struct {
	// ID is assigned by the caller and is the same for all sends of the request.
	ID     string
	Method string
	Host   string
	// URL holds only path and query, as the caller wrote them.
	URL *url.URL
	// Header holds the end-to-end headers, without those of a single connection.
	Header http.Header
	Body   []byte
}

// Path returns the path as the caller wrote it.
func (ms *Message) Path() string {
	if ms.URL.RawPath != "" {
		return ms.URL.RawPath
	}
	return ms.URL.EscapedPath()
}

// Call is a message with the deadline that the caller set for it.
type Call struct {
	Message Message
	// Key is the fingerprint of the customer's key in the message; zero if there is
	// none. The headers of the message still hold the key.
	Key contract.KeyFingerprint
	// Caller is the caller's host, the same on all its connections; empty if unknown.
	Caller string
	// Deadline is how long the caller waits; 0 if it set none.
	Deadline time.Duration
	// IsFirst is set for the first call on a connection: before it, the caller
	// looked the entry VM up and connected.
	IsFirst bool
	// RoundTrip is the round-trip time to the caller; 0 if it is unknown.
	RoundTrip time.Duration
	// Memory holds the memory of the call and its answers; the front end ends it
	// when the reply is written. Nil sets no bound.
	Memory *quota.Lease
}

const (
	// defaultBodyTime is the time in which the body of a call arrives whose route is not
	// known.
	defaultBodyTime = 10 * time.Second
	// maxBodyTime bounds it whatever the call and its route allow, since a body holds memory
	// while it arrives.
	maxBodyTime = time.Minute
)

// BodyTime returns the time in which the body of a call must arrive, of which everything else
// is known: no longer than the caller and the operator wait for the answer.
func (sv *Service) BodyTime(cl *Call) time.Duration {
	limit := defaultBodyTime
	if tb := sv.Fleets.Load().Table; tb != nil {
		if rt := tb.Match(cl.Message.Host, cl.Message.Path()); rt != nil && rt.Timeout > 0 {
			limit = rt.Timeout
		}
	}
	if cl.Deadline > 0 {
		limit = min(limit, cl.Deadline)
	}
	return min(limit, maxBodyTime)
}

// Attempt is the message of one attempt to one server.
type Attempt struct {
	scatter.AttemptLimits
	// Message is shared by all attempts and must not be changed.
	Message *Message
	// Part is set if the answer is merged with those of other shards.
	Part bool
	// HidesKey is set if keys and names of customers in the message must not be sent, and
	// Customer is the name to send instead; empty if there is none.
	HidesKey bool
	Customer string
}

// Answer is the response of one server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the server's signature of the answer; empty if there is none.
	Signature string
	// DeniesRun is set if callers take Status as proof that the request did not run.
	DeniesRun bool
}

// Reply is the answer to a call: one server's response, or the merged records
// of several.
type Reply struct {
	// Answer is one server's unchanged response; nil for a merged reply.
	Answer *Answer
	// Signatures are the signatures of the merged answers.
	Signatures []string
	// Records are the greatest records of all parts, in descending order.
	Records  []byte
	Coverage contract.Coverage
}

// CallRecord describes how one call was handled.
type CallRecord struct {
	ID    string
	Route string
	// Customer is the name of the customer; empty if none was found.
	Customer string
	// Host and Path are those of the message, Path without the query.
	Host, Path string
	// Service is the one that was chosen for the call, and Shards are those of its route;
	// both are empty if the call was refused before that. Shards must not be changed.
	Service      string
	Shards       []string
	TableVersion int64
	// Fleet is what the call ran under, and TableAsOf the confirmation of its
	// configuration.
	Fleet     *view.Fleet
	TableAsOf view.AsOf
	// Age is the time since the platform last confirmed the configuration.
	Age time.Duration
	// RoundTrip is that of the call.
	RoundTrip time.Duration
	Took      time.Duration
	Outcome   contract.Outcome
	Code      contract.Code
	Reason    string
	Coverage  contract.Coverage
	Sends     int
	Hedges    int
	Retries   int
	Parts     []contract.PartRecord
	// HeldBack is set if the call was refused in favor of more urgent ones.
	HeldBack bool
	// ExpectedWork and ActualWork are the server time of the parts for which both are
	// known; 0 if there are none.
	ExpectedWork time.Duration
	ActualWork   time.Duration
}

// Runner runs jobs; scatter.Engine implements it for any choice of policies.
type Runner interface {
	Run(ctx context.Context, jb *scatter.Job[Attempt]) scatter.Result[Answer]
}

// Observer is notified of each finished call.
type Observer interface {
	CallFinished(now time.Time, rc *CallRecord)
}

// routeState is the state of a route that outlives changes of configuration.
type routeState struct {
	latency  *link.Latency
	costs    contract.RouteCosts
	splitter contract.Splitter
	outage   outage
	overload overload
}

// Service answers calls. The exported fields are set before the first call and
// not changed, except for AttemptsSent and Stopping.
type Service struct {
	Fleets *rcu.Value[view.Fleet]
	// ConfirmedAt returns the time of the last confirmation by the platform.
	ConfirmedAt func() time.Time
	// Freshness is that of the configuration in force, SinceBoot reads its clock, and
	// KeyBounds returns the bounds on it. They are used for customers' keys and for requests
	// without a route. Nil stands for a configuration that is always the newest.
	Freshness  *view.Freshness
	SinceBoot  func() time.Duration
	KeyBounds  func() view.KeyBounds
	Quarantine *contract.Quarantine
	// UsesCustomers reports whether the deployment has customers, so that keys are checked
	// and kept from servers also if the configuration lists none; nil if it has none.
	UsesCustomers func() bool
	Engine        Runner
	// PlacesByWork is set if the engine's policies use the expected work.
	PlacesByWork bool
	Budgets      *Budgets
	Observer     Observer
	// Limits holds customers to their rates; nil if there are none.
	Limits *Limits
	// Memory is shared by the bodies of all calls and answers in flight.
	Memory *quota.Pool
	// AttemptsSent counts the attempts sent; the owner resets it.
	AttemptsSent atomic.Int64
	// Stopping is the plan of the stop that has begun; nil before that.
	Stopping atomic.Pointer[contract.StopPlan]

	// routes maps route names to *routeState.
	routes sync.Map
	// starting is the outage of a process without a configuration.
	starting outage
	// staleKeys is the outage of requests with keys while the configuration may be out of
	// date.
	staleKeys overload
	// staleRoutes is the outage of requests without a route in that time, and of those whose
	// route can't be used.
	staleRoutes overload
}

const (
	// replyMargin is reserved before the caller's deadline to return the answer.
	replyMargin = 15 * time.Millisecond
	// processingMargin is reserved before a route's latency goal for reading the
	// request and writing the answer, beside the round trip to the caller.
	processingMargin = 12 * time.Millisecond
	// defaultRoundTrip is assumed for callers whose distance is unknown.
	defaultRoundTrip = 6 * time.Millisecond
	// firstRoundTrips is the number of round trips that the caller has made before the
	// first call on a connection: it connects to the directory, asks it, and connects
	// to this VM. The directory is often nearer.
	firstRoundTrips = 2
	// maxGoalMarginPercent bounds the time reserved before a goal.
	maxGoalMarginPercent = 50
	// minSendTime is the least remaining time with which a request is still sent.
	minSendTime = 2 * time.Millisecond
)

// run is the state of one call.
type run struct {
	call  Call
	route *contract.ForwardRoute
	// customer is the one whose key the request carries; nil on open routes and if the
	// configuration has no customers.
	customer *contract.Customer
	state    *routeState
	// confirmedAt and keysAsOf are the confirmations of all objects and of the configuration,
	// read before fleet.
	confirmedAt   time.Time
	keysAsOf      view.AsOf
	fleet         *view.Fleet
	record        *CallRecord
	started       time.Time
	partsDeadline time.Time
	// trail is shared by all attempts, which have the same id.
	trail link.Trail
}

// Run answers one call. Its error is a *contract.Refusal.
func (sv *Service) Run(ctx context.Context, now time.Time, cl Call) (*Reply, error) {
	rn := &run{call: cl, started: now, record: &CallRecord{ID: cl.Message.ID, RoundTrip: cl.RoundTrip}}
	rn.confirmedAt = sv.ConfirmedAt()
	rn.keysAsOf, rn.fleet = sv.keysAndFleet()
	rn.record.Host, rn.record.Path = rn.call.Message.Host, rn.call.Message.Path()
	rn.record.Fleet, rn.record.TableAsOf = rn.fleet, rn.keysAsOf
	reply, err := sv.answer(ctx, now, rn)
	sv.finish(time.Now(), rn, reply, err)
	return reply, err
}

func (sv *Service) answer(ctx context.Context, now time.Time, rn *run) (*Reply, error) {
	if err := sv.plan(now, rn); err != nil {
		return nil, err
	}
	fingerprint := rn.call.fingerprint()
	if sv.Quarantine.IsBlocked(now, fingerprint) {
		return nil, quarantineRefusal()
	}
	if rf := sv.takeFromLimit(ctx, rn.customer); rf != nil {
		return nil, rf
	}
	reply, err := sv.send(ctx, now, rn, fingerprint)
	if rf := asRefusal(err); rf != nil && rf.Outcome == contract.NotRun {
		sv.returnToLimit(rn.customer)
	}
	return reply, err
}

// send sends a planned call to the servers of its route.
func (sv *Service) send(ctx context.Context, now time.Time, rn *run, fingerprint uint64) (*Reply, error) {
	if len(rn.route.Shards) > 0 {
		return sv.sendToShards(ctx, now, rn, fingerprint)
	}
	return sv.sendToService(ctx, now, rn, fingerprint)
}

func quarantineRefusal() *contract.Refusal {
	return contract.NewRefusal(contract.NotRun, contract.CodeQuarantined, "servers were lost while they ran this request")
}

// fingerprint returns a hash of all that tells a request of a caller from other requests,
// apart from its id and headers.
func (cl *Call) fingerprint() uint64 {
	ms := &cl.Message
	return contract.Fingerprint(ms.Body, cl.Caller, ms.Method, ms.Host, ms.URL.RequestURI())
}

// plan finds the call's route in the configuration in force, checks the body
// size and computes the deadline for the servers' answers.
func (sv *Service) plan(now time.Time, rn *run) error {
	tb := rn.fleet.Table
	if tb == nil {
		return contract.NewRefusal(contract.NotRun, contract.CodeStarting, "this entry VM has no configuration yet")
	}
	rn.record.TableVersion = tb.Version
	// A confirmation may arrive after now was read.
	rn.record.Age = max(now.Sub(rn.confirmedAt), 0)
	rn.route = tb.Match(rn.record.Host, rn.record.Path)
	switch {
	case rn.route == nil && tb.HidesRoutes:
		return unusableRoute("the host or the prefix of a listed route is not known")
	case rn.route == nil:
		return sv.noRoute(rn)
	}
	rn.record.Route = rn.route.Name
	if rn.route.Unusable != "" {
		return unusableRoute(rn.route.Unusable)
	}
	if rf := sv.checkKey(rn, tb); rf != nil {
		return rf
	}
	if int64(len(rn.call.Message.Body)) > tb.Limits.BodyBytes {
		return contract.NewRefusal(contract.Invalid, contract.CodeBodyTooLarge, "the body is longer than %d bytes", tb.Limits.BodyBytes)
	}
	rn.state = sv.stateOf(rn.route.Name)
	limit := rn.route.Timeout
	if rn.call.Deadline > 0 {
		limit = min(limit, rn.call.Deadline-replyMargin)
	}
	rn.partsDeadline = now.Add(limit)
	if limit < minSendTime {
		return contract.NewRefusal(contract.NotRun, contract.CodeDeadlineHopeless, "the deadline passed before the request was sent")
	}
	if sp := sv.Stopping.Load(); sp != nil && !sp.MayTake(now, rn.partsDeadline) {
		return contract.NewRefusal(contract.NotRun, contract.CodeStopping, "this entry VM stops before the deadline of the request")
	}
	return nil
}

// noRoute returns the refusal of a request for which the configuration in force has no route.
func (sv *Service) noRoute(rn *run) *contract.Refusal {
	if sv.Freshness == nil || sv.KeyBounds().IsUnknown(min(rn.record.Age, rn.keysAsOf.Age(sv.SinceBoot()))) {
		return contract.NewRefusal(contract.Invalid, contract.CodeNoRoute, "no route has this host and path")
	}
	return contract.NewRefusal(contract.NotRun, contract.CodeStaleRoutes, "the configuration has no route for this host and path, and may be too old to know it")
}

func unusableRoute(reason string) *contract.Refusal {
	return contract.NewRefusal(contract.NotRun, contract.CodeUnusableRoute, "%s", reason)
}

func (sv *Service) stateOf(route string) *routeState {
	if value, ok := sv.routes.Load(route); ok {
		return value.(*routeState)
	}
	value, _ := sv.routes.LoadOrStore(route, &routeState{latency: link.NewLatency()})
	return value.(*routeState)
}

// priority returns the priority of the request: that of its customer, or else that of its
// route.
func (rn *run) priority() int {
	if rn.customer != nil && rn.customer.Priority != nil {
		return *rn.customer.Priority
	}
	return rn.route.Priority
}

// newJob returns a job with one shard for each of the services. It counts a
// request in the budget of each service.
func (sv *Service) newJob(now time.Time, rn *run, fingerprint uint64, services []string) *scatter.Job[Attempt] {
	rt := rn.route
	jb := &scatter.Job[Attempt]{
		Fingerprint: fingerprint,
		Settings: scatter.JobSettings{
			Class: contract.Urgent, Priority: rn.priority(), Idempotent: rt.Idempotent, MaxAttempts: rt.MaxAttempts, MinCoverage: rt.MinCoverage,
			Goal: rt.Goal, Canary: contract.CanaryOff, ReplyMargin: replyMargin, RetrySameServer: true,
		},
		Shards:   make([]scatter.Shard, len(services)),
		Latency:  rn.state.latency,
		Deadline: rn.partsDeadline,
	}
	if sv.PlacesByWork {
		jb.Costs = &rn.state.costs
	}
	for i, name := range services {
		budget := sv.Budgets.ForService(name)
		budget.CountRequest(now)
		jb.Shards[i] = scatter.Shard{Name: name, Replicas: rn.fleet.ServersOf(name), Budget: budget}
		if sv.PlacesByWork {
			jb.Shards[i].Budget = contract.PriorityBudget{ServiceBudget: budget, Priority: jb.Settings.Priority}
			jb.Shards[i].Contention = &budget.Contention
		}
	}
	attempt := Attempt{
		AttemptLimits: scatter.AttemptLimits{
			Deadline: rn.partsDeadline, Idempotent: rt.Idempotent, Memory: rn.call.Memory, Trail: &rn.trail,
			MaySend: func() bool { return sv.maySend(rn) },
		},
		Message: &rn.call.Message, Part: len(rt.Shards) > 0, HidesKey: sv.checksKeys(rn.fleet.Table),
	}
	if rn.customer != nil {
		attempt.Customer = rn.customer.Name
	}
	jb.Message = func(*scatter.Shard, int32) Attempt { return attempt }
	return jb
}

// sendToService forwards a call to one server of one service.
func (sv *Service) sendToService(ctx context.Context, now time.Time, rn *run, fingerprint uint64) (*Reply, error) {
	service := rn.state.splitter.Pick(rn.route.Services)
	rn.record.Service = service
	jb := sv.newJob(now, rn, fingerprint, []string{service})
	if rf := refuseUnavailable(now, jb.Shards, rn.route.MinCoverage); rf != nil {
		return nil, rf
	}
	rs := sv.Engine.Run(ctx, jb)
	sv.recordSends(rn, rs)
	part := &rs.Parts[0]
	switch {
	case part.Failed && part.Answer.DeniesRun:
		// A server that rejects a request proves that; this one ran it.
		return nil, contract.NewRefusal(contract.Unknown, contract.CodeServerFailed, "a server of %s ran the request and failed with status %d", service, part.Answer.Status)
	case part.Answered || part.Failed:
		answer := part.Answer
		return &Reply{Answer: &answer, Coverage: contract.Coverage{Total: 1, Answered: 1}}, nil
	case !rs.MayHaveRun:
		return nil, sv.notTaken(rn, jb, &rs, "no server of "+service+" took the request")
	}
	return nil, contract.NewRefusal(contract.Unknown, contract.CodeNoAnswer, "no server of %s answered in time", service)
}

// sendToShards forwards a call to all shards of its route and merges their
// records. A part whose signature equals that of another part counts as
// missing.
func (sv *Service) sendToShards(ctx context.Context, now time.Time, rn *run, fingerprint uint64) (*Reply, error) {
	rn.record.Shards = rn.route.Shards
	jb := sv.newJob(now, rn, fingerprint, rn.route.Shards)
	if rf := refuseUnavailable(now, jb.Shards, rn.route.MinCoverage); rf != nil {
		return nil, rf
	}
	if goal := rn.route.Goal; goal > 0 {
		jb.PartialAfter = now.Add(goal - goalMarginOf(goal, rn.call.RoundTrip, rn.call.IsFirst))
	}
	rs := sv.Engine.Run(ctx, jb)
	sv.recordSends(rn, rs)
	reply := &Reply{Coverage: contract.Coverage{Total: len(rs.Parts), Missing: []string{}}}
	merge := newTopRecords(rn.route.TopK)
	for i := range rs.Parts {
		part := &rs.Parts[i]
		if !part.Answered || slices.Contains(reply.Signatures, part.Answer.Signature) {
			reply.Coverage.Missing = append(reply.Coverage.Missing, part.Record.Shard)
			continue
		}
		reply.Coverage.Answered++
		reply.Signatures = append(reply.Signatures, part.Answer.Signature)
		merge.add(part.Answer.Body)
	}
	rn.record.Coverage = reply.Coverage
	switch {
	case reply.Coverage.Answered == 0 && !rs.MayHaveRun:
		return nil, sv.notTaken(rn, jb, &rs, "no server took a part of the request")
	case reply.Coverage.Answered == 0:
		return nil, contract.NewRefusal(contract.Unknown, contract.CodeNoAnswer, "no shard answered in time")
	case reply.Coverage.Ratio() < rn.route.MinCoverage:
		return nil, contract.NewRefusal(contract.Unknown, contract.CodeLowCoverage,
			"%d of %d shards answered, which is below the route's minimum", reply.Coverage.Answered, reply.Coverage.Total)
	}
	reply.Records = merge.bytes()
	return reply, nil
}

// goalMarginOf returns the time before a goal at which a partial answer is returned,
// so that it reaches a caller in time.
func goalMarginOf(goal, roundTrip time.Duration, isFirst bool) time.Duration {
	if roundTrip <= 0 {
		roundTrip = defaultRoundTrip
	}
	margin := processingMargin + roundTrip
	if isFirst {
		margin += firstRoundTrips * roundTrip
	}
	return min(margin, goal*maxGoalMarginPercent/100)
}

// recordSends adds the attempts of a job to the record and to AttemptsSent.
func (sv *Service) recordSends(rn *run, rs scatter.Result[Answer]) {
	sv.AttemptsSent.Add(int64(rs.Sends + rs.Hedges + rs.Retries))
	rn.record.Sends, rn.record.Hedges, rn.record.Retries = rs.Sends, rs.Hedges, rs.Retries
	rn.record.HeldBack, rn.record.ExpectedWork, rn.record.ActualWork = rs.HeldBack, rs.ExpectedWork, rs.ActualWork
	rn.record.Parts = make([]contract.PartRecord, len(rs.Parts))
	for i := range rs.Parts {
		rn.record.Parts[i] = rs.Parts[i].Record
	}
}

// finish completes the record and passes it to the observer.
func (sv *Service) finish(now time.Time, rn *run, reply *Reply, err error) {
	rc := rn.record
	rc.Took = now.Sub(rn.started)
	if refusal := asRefusal(err); refusal != nil {
		sv.setRetryAfter(now, rn, refusal)
		rc.Outcome, rc.Code, rc.Reason = refusal.Outcome, refusal.Code, refusal.Reason
	}
	if reply != nil {
		rn.state.outage.end()
		rc.Coverage = reply.Coverage
		rc.Outcome = contract.Whole
		if reply.Coverage.Answered < reply.Coverage.Total {
			rc.Outcome = contract.Partial
		}
	}
	sv.Observer.CallFinished(now, rc)
}

// setRetryAfter tells the caller of a request that did not run when to return,
// unless that is known.
func (sv *Service) setRetryAfter(now time.Time, rn *run, rf *contract.Refusal) {
	switch {
	case rf.Outcome != contract.NotRun || rf.RetryAfter > 0:
	case rf.Code == contract.CodeStaleKeys:
		rf.RetryAfter = sv.staleKeys.retryAfter(now, rn.call.Message.ID)
	case rf.Code == contract.CodeStaleRoutes, rf.Code == contract.CodeUnusableRoute:
		rf.RetryAfter = sv.staleRoutes.retryAfter(now, rn.call.Message.ID)
	case rf.Code == contract.CodeStarting:
		rf.RetryAfter = sv.starting.retryAfter(now, rn.call.Message.ID, minRetryAfterStarting)
	case rf.Code == contract.CodeNoServer:
		rf.RetryAfter = rn.state.outage.retryAfter(now, rn.call.Message.ID, minRetryAfter)
	case rf.Code == contract.CodeOverloaded:
		rf.RetryAfter = rn.state.overload.retryAfter(now, rn.call.Message.ID)
	}
}

// PublishLatencies publishes the routes' latency quantiles for hedging. The
// owner calls it several times a second.
func (sv *Service) PublishLatencies() {
	sv.routes.Range(func(_, value any) bool {
		value.(*routeState).latency.Publish()
		return true
	})
}

// ForgetCosts forgets the expected work of requests that are no longer sent. The owner
// calls it now and then.
func (sv *Service) ForgetCosts(now time.Time) {
	sv.routes.Range(func(_, value any) bool {
		value.(*routeState).costs.Forget(now)
		return true
	})
}

// RouteCost is the expected server time of a part of a route's requests, on a server of usual
// speed.
type RouteCost struct {
	Mean      time.Duration `json:"mean_ns"`
	Deviation time.Duration `json:"deviation_ns"`
}

// Costs returns the expected server times of all routes that were used.
func (sv *Service) Costs() map[string]RouteCost {
	costs := map[string]RouteCost{}
	sv.routes.Range(func(route, value any) bool {
		all := value.(*routeState).costs.All()
		costs[route.(string)] = RouteCost{Mean: all.Mean(), Deviation: all.Deviation()}
		return true
	})
	return costs
}

// IsReady reports whether calls can be answered: a configuration and at least
// one server are known.
func (sv *Service) IsReady() bool {
	fl := sv.Fleets.Load()
	return fl.Table != nil && len(fl.Servers) > 0
}
