// Package request answers callers' requests: it finds the settings that apply,
// admits the request, claims it if it is not idempotent, sends it to the shards
// and writes the receipt. It is independent of the encoding of messages, so
// that several front ends can share it.
package request

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/container/ring"
	"daisystage.example/daisystage/internal/query/admit"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/snapshot"
	"daisystage.example/daisystage/internal/world/view"
)

// Call is one request from a caller.
type Call struct {
	ID    uuid.UUID
	Team  string
	Route string
	// Query is JSON.
	Query []byte
	// Deadline is the time limit that the caller set; 0 means the route's.
	Deadline time.Duration
}

// Reply is a whole or partial answer, or the stored answer of an earlier send.
type Reply struct {
	Outcome  contract.Outcome
	Snapshot string
	Setting  contract.SettingRef
	Coverage contract.Coverage
	Parts    []scatter.ShardAnswer
	Receipt  *contract.Receipt
}

// Claims stores the claims of requests that are not idempotent.
type Claims interface {
	// Claim reserves the right to run a request for an attempt. Its error is a
	// *contract.Refusal that says why the request can't be claimed.
	Claim(ctx context.Context, now time.Time, id uuid.UUID, attempt string) error
	// Settle records the result of the attempt that holds the claim.
	Settle(ctx context.Context, id uuid.UUID, attempt string, state contract.ClaimState, answer json.RawMessage) error
	// Abandon makes sure that an attempt whose claim failed can never run, and
	// that its claim does not block a resend. Its error is a *contract.Refusal if
	// another attempt ran or may have run.
	Abandon(ctx context.Context, now time.Time, id uuid.UUID, attempt string) error
	// Check reads the claim of a request without claiming it. Its error is a
	// *contract.Refusal if the request ran or may have run, or if the claim can't
	// be read.
	Check(ctx context.Context, now time.Time, id uuid.UUID) error
}

// Runner runs requests; scatter.SnapshotRunner implements it for any choice of
// policies.
type Runner interface {
	Run(ctx context.Context, rq *scatter.Request) (scatter.Answer, error)
}

// Observer is notified of each finished request.
type Observer interface {
	RequestFinished(rc *contract.Receipt, class contract.Class, sends, extra int)
}

// Service answers requests. The exported fields are set before the first call
// and not changed.
type Service struct {
	// Name and Zone are those of the entry VM.
	Name, Zone   string
	Views        *rcu.Value[view.View]
	Confirmation *view.Confirmation
	Quarantine   *contract.Quarantine
	Runner       Runner
	Claims       Claims
	Receipts     *ring.Ring[contract.Receipt]
	// StoreReceipt queues a receipt for storage in the platform. It does not
	// block.
	StoreReceipt func(*contract.Receipt)
	Observer     Observer

	gates sync.Map
	// usedRoutes holds the paths of the routes that had a request.
	usedRoutes sync.Map
	// settling counts the writes in progress that record the result of a claim.
	settling sync.WaitGroup
}

// gate is the admission gate of one collection.
type gate struct {
	*admit.Gate
	stop func()
}

// run is the state of one call.
type run struct {
	call    Call
	setting *contract.Setting
	view    *view.View
	receipt *contract.Receipt
	// attempt is a unique ID for this send of the call.
	attempt     string
	deadline    time.Time
	partCount   int64
	fingerprint uint64
	ticket      *admit.Ticket
	sends       int
	extra       int
}

// Run answers one call. Its error is a *contract.Refusal. The receipt is never
// nil.
func (sv *Service) Run(ctx context.Context, now time.Time, cl Call) (*Reply, *contract.Receipt, error) {
	rn := &run{call: cl, view: sv.Views.Load(), attempt: uuid.NewString()}
	rn.receipt = &contract.Receipt{
		RequestID:  cl.ID.String(),
		EntryVM:    sv.Name,
		Zone:       sv.Zone,
		Setting:    contract.SettingRef{Path: contract.RoutePath(cl.Team, cl.Route)},
		Coverage:   contract.Coverage{Missing: []string{}},
		ReceivedAt: now,
	}
	reply, err := sv.answer(ctx, now, rn)
	sv.finish(rn, reply, err)
	return reply, rn.receipt, err
}

func (sv *Service) answer(ctx context.Context, now time.Time, rn *run) (*Reply, error) {
	if err := sv.plan(now, rn); err != nil {
		return nil, err
	}
	if rn.setting.Route.Idempotent {
		return sv.answerIdempotent(ctx, now, rn)
	}
	return sv.answerNonIdempotent(ctx, now, rn)
}

// plan finds the setting of the call's route and computes the deadline, the
// fingerprint and the number of parts.
func (sv *Service) plan(now time.Time, rn *run) error {
	setting, ok := rn.view.Settings.Get(rn.receipt.Setting.Path)
	if !ok || setting.Route == nil {
		if sv.Confirmation.AsOf().IsZero() {
			return contract.NewRefusal(contract.NotRun, contract.CodeStarting, "this entry VM has no settings yet")
		}
		if !sv.Confirmation.IsConfirmed(now) {
			return sv.isolatedRefusal()
		}
		return contract.NewRefusal(contract.Invalid, contract.CodeNoRoute, "there is no route %s", rn.receipt.Setting.Path)
	}
	rn.setting = setting
	if _, ok := sv.usedRoutes.Load(setting.Path); !ok {
		sv.usedRoutes.Store(setting.Path, true)
	}
	rn.receipt.Setting.Version, rn.receipt.Setting.Hash = setting.Version, setting.Hash
	rn.receipt.Collection = setting.Route.Collection
	limit := setting.Route.Deadline.Duration
	if rn.call.Deadline > 0 {
		limit = min(limit, rn.call.Deadline)
	}
	rn.deadline = now.Add(limit)
	rn.fingerprint = contract.Fingerprint(rn.call.Query, setting.Path)
	rn.partCount = sv.countParts(rn)
	return nil
}

// countParts returns the number of shards that the call is sent to, 1 if the
// collection is not known.
func (sv *Service) countParts(rn *run) int64 {
	if rn.setting.Route.Shards == contract.ScopeOne {
		return 1
	}
	cl, ok := rn.view.Collections.Get(rn.setting.Route.Collection)
	if !ok || len(cl.Manifests) == 0 {
		return 1
	}
	return int64(len(cl.Manifests[0].Shards))
}

// checkRunnable returns a refusal if the deadline has passed, the request is
// quarantined, or the settings are unconfirmed and the route does not allow
// that.
func (sv *Service) checkRunnable(now time.Time, rn *run) error {
	if !now.Before(sv.partsDeadline(rn)) {
		return contract.NewRefusal(contract.NotRun, contract.CodeDeadlineHopeless, "the deadline passed before the request was sent")
	}
	if sv.Quarantine.IsBlocked(now, rn.fingerprint) {
		return quarantineRefusal()
	}
	if sv.Confirmation.IsConfirmed(now) {
		return nil
	}
	if rn.setting.Route.WhenUnconfirmed == contract.UnconfirmedServeMarked {
		since := sv.Confirmation.AsOf()
		rn.receipt.UnconfirmedSince = &since
		return nil
	}
	return sv.isolatedRefusal()
}

// isolatedRefusal returns the refusal of a request while the settings are unconfirmed.
func (sv *Service) isolatedRefusal() *contract.Refusal {
	return contract.NewRefusal(contract.NotRun, contract.CodeIsolated,
		"this entry VM has had no word from the platform or a peer since %s", sv.Confirmation.AsOf().UTC().Format(time.RFC3339))
}

func quarantineRefusal() error {
	return contract.NewRefusal(contract.NotRun, contract.CodeQuarantined,
		"requests with this body were running when servers were lost")
}

func (sv *Service) acquire(ctx context.Context, now time.Time, rn *run) (*admit.Ticket, error) {
	return sv.gateOf(rn.setting.Route.Collection).Acquire(ctx, now, admit.Request{
		Team:     rn.call.Team,
		Class:    rn.setting.Route.Class,
		Limits:   rn.view.Limits(rn.call.Team),
		Deadline: sv.partsDeadline(rn),
		Parts:    rn.partCount,
	})
}

// partsDeadline returns the time by which the shards must have answered.
func (sv *Service) partsDeadline(rn *run) time.Time {
	return rn.deadline.Add(-rn.setting.Route.ReplyMargin.Duration)
}

func (sv *Service) answerIdempotent(ctx context.Context, now time.Time, rn *run) (*Reply, error) {
	if err := sv.checkRunnable(now, rn); err != nil {
		return nil, err
	}
	ticket, err := sv.acquire(ctx, now, rn)
	if err != nil {
		return nil, err
	}
	rn.ticket = ticket
	defer func() { ticket.Release(time.Now(), rn.receipt.Coverage.Ratio() == 1) }()
	// The process may have been paused since the call arrived.
	if err := sv.checkRunnable(time.Now(), rn); err != nil {
		return nil, err
	}
	an, err := sv.scatter(ctx, rn)
	if err != nil {
		return nil, err
	}
	if an.Coverage.Answered == 0 && !an.MayHaveRun && an.Records[0].Cause == contract.CauseQuarantined {
		return nil, quarantineRefusal()
	}
	if an.Coverage.Answered == 0 && !an.MayHaveRun {
		return nil, contract.NewRefusal(contract.NotRun, contract.CodeNoServer, "no server took a part of the request")
	}
	if an.Coverage.Answered == 0 {
		return nil, contract.NewRefusal(contract.Unknown, contract.CodeNoAnswer, "no shard answered in time")
	}
	if an.Coverage.Ratio() < rn.setting.Route.MinCoverage {
		return nil, contract.NewRefusal(contract.Unknown, contract.CodeLowCoverage,
			"%d of %d shards answered, which is below the route's minimum", an.Coverage.Answered, an.Coverage.Total)
	}
	return sv.reply(rn, an), nil
}

func (sv *Service) reply(rn *run, an scatter.Answer) *Reply {
	outcome := contract.Whole
	if an.Coverage.Answered < an.Coverage.Total {
		outcome = contract.Partial
	}
	return &Reply{
		Outcome:  outcome,
		Snapshot: an.Manifest.ID,
		Setting:  rn.receipt.Setting,
		Coverage: an.Coverage,
		Parts:    an.Parts,
		Receipt:  rn.receipt,
	}
}

func (sv *Service) scatter(ctx context.Context, rn *run) (scatter.Answer, error) {
	rq := &scatter.Request{
		ID:          rn.call.ID.String(),
		Fingerprint: rn.fingerprint,
		Query:       rn.call.Query,
		ShardKey:    shardKey(rn),
		Setting:     rn.setting,
		View:        rn.view,
		Deadline:    sv.partsDeadline(rn),
		OnPartDone:  func() { rn.ticket.ReleasePart(time.Now()) },
		OnRestart:   rn.ticket.Renew,
	}
	an, err := sv.Runner.Run(ctx, rq)
	rn.sends, rn.extra = an.Sends, an.Extra
	rn.receipt.Restarts = an.Restarts
	if errors.Is(err, snapshot.ErrNoSnapshot) {
		outcome := contract.NotRun
		if an.MayHaveRun {
			outcome = contract.Unknown
		}
		return an, contract.NewRefusal(outcome, contract.CodeNoSnapshot, "collection %s has no snapshot", rn.setting.Route.Collection)
	}
	if err != nil {
		return an, contract.NewRefusal(contract.Unknown, contract.CodeNoAnswer, "the request ended with: %v", err)
	}
	rn.receipt.Snapshot = an.Manifest.ID
	rn.receipt.Coverage = an.Coverage
	rn.receipt.Parts = an.Records
	return an, nil
}

// shardKey returns the text whose hash selects the shard of a call.
func shardKey(rn *run) string {
	field := rn.setting.Route.ShardKey
	if field == "" {
		return rn.call.ID.String()
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(rn.call.Query, &fields); err != nil {
		return ""
	}
	return string(fields[field])
}

// finish completes the receipt and passes it to its consumers.
func (sv *Service) finish(rn *run, reply *Reply, err error) {
	rc := rn.receipt
	rc.AnsweredAt = time.Now()
	idempotent, class := true, contract.Ordinary
	if rn.setting != nil {
		idempotent, class = rn.setting.Route.Idempotent, rn.setting.Route.Class
	}
	if reply != nil {
		rc.Outcome = reply.Outcome
	}
	if rf := (*contract.Refusal)(nil); errors.As(err, &rf) {
		rc.Outcome, rc.Code, rc.Reason = rf.Outcome, rf.Code, rf.Reason
	}
	sv.Receipts.Put(rc)
	if rn.setting != nil && rc.MustStore(idempotent) {
		sv.StoreReceipt(rc)
	}
	sv.Observer.RequestFinished(rc, class, rn.sends, rn.extra)
}

// gateOf returns the gate of a collection, and creates it on first use.
func (sv *Service) gateOf(collection string) gate {
	value, ok := sv.gates.Load(collection)
	if ok {
		return value.(gate)
	}
	gt, stop := admit.New()
	value, loaded := sv.gates.LoadOrStore(collection, gate{gt, stop})
	if loaded {
		stop()
	}
	return value.(gate)
}

// IsReady reports whether the service has settings, servers and snapshots.
func (sv *Service) IsReady() bool {
	vw := sv.Views.Load()
	return vw.Settings.Len() > 0 && vw.Servers.Len() > 0 && vw.Collections.Len() > 0
}

// capacityFactor is the ratio of admitted parts to the sum of the servers'
// in-flight limits. It is above 1 so that the servers' queues do not run empty.
const capacityFactor = 1.5

// Refresh updates the gates' capacity and publishes the routes' latency
// quantiles. The owner calls it several times a second.
func (sv *Service) Refresh(now time.Time) {
	vw := sv.Views.Load()
	sv.gates.Range(func(name, value any) bool {
		value.(gate).SetCapacity(now, capacityOf(now, vw, name.(string)))
		return true
	})
	sv.usedRoutes.Range(func(path, _ any) bool {
		if st, ok := vw.Settings.Get(path.(string)); ok && st.State != nil {
			st.State.Latency.Publish()
		}
		return true
	})
}

// Gates returns the state of each gate by collection.
func (sv *Service) Gates() map[string]admit.State {
	states := map[string]admit.State{}
	sv.gates.Range(func(name, value any) bool {
		states[name.(string)] = value.(gate).State()
		return true
	})
	return states
}

// Close waits until the results of all claims are recorded, then stops the
// gates. No call may be running.
func (sv *Service) Close() {
	sv.settling.Wait()
	sv.gates.Range(func(_, value any) bool {
		value.(gate).stop()
		return true
	})
}

// capacityOf returns the number of parts that may be in flight to the servers
// of a collection's newest snapshot, at least one for each shard.
func capacityOf(now time.Time, vw *view.View, collection string) int64 {
	cl, ok := vw.Collections.Get(collection)
	if !ok || len(cl.Manifests) == 0 {
		return 1
	}
	servers := map[string]*machine.Server{}
	shards := cl.Manifests[0].Shards
	for _, sh := range shards {
		for _, name := range sh.Replicas {
			if sv, ok := vw.Servers.Get(name); ok && !sv.IsLeaving(now) {
				servers[name] = sv
			}
		}
	}
	capacity := int64(0)
	for _, sv := range servers {
		capacity += sv.State.CurrentLimit()
	}
	return max(int64(float64(capacity)*capacityFactor), int64(len(shards)))
}
