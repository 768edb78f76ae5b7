package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

const (
	// leaseTimeout limits one request for tokens. Later its leases have ended, nearly.
	leaseTimeout = 400 * time.Millisecond
	// claimTimeout limits a claim, for which requests for tokens wait, and claimPause is
	// the pause after a claim without an answer.
	claimTimeout = 200 * time.Millisecond
	claimPause   = time.Second
	// awaitTimeout limits how long a request waits for tokens: several round trips
	// between zones.
	awaitTimeout = 150 * time.Millisecond
	// wakePause is the least time between two rounds of requests for lacked tokens.
	wakePause = 50 * time.Millisecond
	// maxAwaits is the number of answers for which a request waits, since others may
	// take the tokens of the first.
	maxAwaits = 3
	// maxAwaiting bounds the requests that wait at a time.
	maxAwaiting = 512
	// maxUpdateGap is the time without an update after which the VM counts as having stood
	// still, also for the other VMs.
	maxUpdateGap = 2 * time.Second
)

// LeaseTransport sends a request for tokens to one entry VM.
type LeaseTransport interface {
	Lease(ctx context.Context, address string, rq *entrypb.LeaseRequest) (*entrypb.LeaseReply, error)
}

// Leases exchanges leases of shared rates with the other entry VMs. Set the fields and call
// Init before Run.
type Leases struct {
	Cluster   *Cluster
	Transport LeaseTransport
	Share     *contract.RateShare
	Owner     *contract.RateOwner
	// Now reads a clock that counts the time for which the VM is suspended. All times
	// of Share and Owner are its.
	Now func() time.Time
	// StartedAt is when the process started, by Now. If IsFirst is set, no VM has served
	// callers before.
	StartedAt time.Time
	IsFirst   bool
	// IsDiscovering reports whether some entry VMs may not be known yet.
	IsDiscovering func() bool
	// RosterStore keeps the VMs that may grant, so that lost VMs can be told from those
	// on the other side of a partition; nil if nothing does.
	RosterStore RosterStore

	refresh chan struct{}
	// vms and holderSince are used by Run only.
	vms         machine.RateVMs
	holderSince time.Time
	// updatedAt is when Run last updated the place, by Now; rosterInFlight is set while a
	// call for the roster is. Both are used by Run only.
	updatedAt      time.Time
	rosterInFlight bool
	rosterAnswers  chan rosterAnswer
	place          atomic.Pointer[contract.RatePlace]
	roster         atomic.Pointer[machine.Roster]
	awaiting       atomic.Int64
	// restored is set until Run takes note of a restore of the store.
	restored atomic.Bool
	// claimsFailed maps names of VMs to when a claim to them got no answer.
	claimsFailed sync.Map
	// Sent counts the messages sent, Failed those without an answer, and Claimed the
	// buckets taken over from other owners. RosterCalls counts the calls for the roster.
	Sent, Failed, Claimed, RosterCalls atomic.Int64
}

// Init initializes the leases. It is called once, before the other methods.
func (ls *Leases) Init() {
	ls.refresh = make(chan struct{}, 1)
	ls.initRoster()
}

// Refresh takes over the members of the cluster without waiting for the next interval.
func (ls *Leases) Refresh() {
	select {
	case ls.refresh <- struct{}{}:
	default:
	}
}

// Run exchanges leases until the context is done.
func (ls *Leases) Run(ctx context.Context) {
	ls.holderSince = ls.StartedAt
	if ls.IsFirst {
		// No earlier process has spent advances, so the buckets are full.
		ls.holderSince = ls.StartedAt.Add(-time.Hour)
	}
	ticker := time.NewTicker(contract.RateInterval)
	defer ticker.Stop()
	ls.updatePlace(ctx)
	wake, pause := ls.Share.Wake(), (<-chan time.Time)(nil)
	for {
		select {
		case <-ticker.C:
			ls.updatePlace(ctx)
			ls.sendAll(ctx)
		case <-wake:
			ls.sendAll(ctx)
			wake, pause = nil, time.After(wakePause)
		case <-pause:
			wake = ls.Share.Wake()
		case answer := <-ls.rosterAnswers:
			ls.applyRoster(answer)
			ls.updatePlace(ctx)
		case <-ls.refresh:
			ls.updatePlace(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// StoreRestored is called when the store came back from an older copy: the roster in it may
// be an earlier one, or gone.
func (ls *Leases) StoreRestored() {
	ls.restored.Store(true)
	ls.Refresh()
}

// Place returns what is known about the VMs that share the rates; nil before Run.
func (ls *Leases) Place() *contract.RatePlace {
	return ls.place.Load()
}

// updatePlace takes over the members of the cluster.
func (ls *Leases) updatePlace(ctx context.Context) {
	now := ls.Now()
	if rk := ls.vms.Roster; rk != nil && !ls.updatedAt.IsZero() && now.Sub(ls.updatedAt) > maxUpdateGap {
		rk.Resumed()
	}
	ls.updatedAt = now
	// Heartbeats are dated by the clock of package time.
	heartbeatNow := time.Now()
	if rk := ls.vms.Roster; rk != nil {
		if ls.restored.Swap(false) {
			rk.StoreRestored(heartbeatNow)
		}
		rk.IsRestorable = ls.RosterStore.IsRestorable()
		rk.Contacted(ls.Cluster.ConfirmedAt())
		ls.learnRoster(heartbeatNow)
	}
	placement := ls.vms.Update(heartbeatNow, ls.Cluster.Members(heartbeatNow), *ls.Cluster.seeds.Load())
	ls.callRoster(ctx, heartbeatNow, &placement)
	next := &contract.RatePlace{
		Self: ls.Cluster.Self.Name, Owners: placement.Owners, Holders: placement.Holders, Part: placement.Part,
		Ready: !ls.IsDiscovering(), Leaving: ls.Cluster.leaving.Load(),
	}
	switch {
	case !next.Ready:
		next.Holders, next.StartedAt = nil, ls.StartedAt
	case !slices.Contains(next.Holders, next.Self):
		ls.holderSince = now
	default:
		next.HolderSince = ls.holderSince
	}
	if old := ls.place.Load(); old != nil && old.Equal(next) {
		// The share keeps what it worked out for the old value.
		next = old
	}
	ls.place.Store(next)
	ls.Share.SetPlace(next)
	ls.Owner.Update(now, next)
}

// sendAll sends what this process used and needs, in one message to each owner.
func (ls *Leases) sendAll(ctx context.Context) {
	asks, _ := ls.Share.NextAsks(ls.Now())
	byOwner := map[string][]*contract.RateAsk{}
	for _, ask := range asks {
		byOwner[ask.Owner] = append(byOwner[ask.Owner], ask)
	}
	for owner, asks := range byOwner {
		go ls.send(ctx, owner, asks)
	}
}

// send makes one request for tokens and takes over the answer.
func (ls *Leases) send(ctx context.Context, owner string, asks []*contract.RateAsk) {
	rq := &entrypb.LeaseRequest{Sender: ls.Cluster.Self.Name, Incarnation: ls.Cluster.Self.Incarnation}
	for _, ask := range asks {
		rq.Demands = append(rq.Demands, encodeDemand(&ask.Demand))
	}
	reply, err := ls.call(ctx, owner, leaseTimeout, rq)
	now := ls.Now()
	if err != nil || len(reply.GetGrants()) != len(asks) {
		for _, ask := range asks {
			ls.Share.Fail(now, ask)
		}
		return
	}
	for i, ask := range asks {
		ls.Share.Apply(now, ask, decodeGrant(reply.Grants[i]))
	}
}

// call sends a request to a VM, which may be this one.
func (ls *Leases) call(ctx context.Context, name string, timeout time.Duration, rq *entrypb.LeaseRequest) (*entrypb.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if name == ls.Cluster.Self.Name {
		return ls.HandleLease(ctx, rq), nil
	}
	ls.Sent.Add(1)
	reply, err := ls.Transport.Lease(ctx, ls.Cluster.addressOf(name), rq)
	if err != nil {
		ls.Failed.Add(1)
	}
	return reply, err
}

// addressOf returns the entry address of a member; empty if it is not known.
func (cr *Cluster) addressOf(name string) string {
	return (*cr.members.Load())[name].EntryAddress
}

// Await waits until there is a token of a key, if the owner may have one, and reports
// whether it took one. RateShare.TryTake must have found none before.
func (ls *Leases) Await(ctx context.Context, key contract.RateKey, rate contract.SharedRate) bool {
	now := ls.Now()
	delay, ok := ls.Share.AskIn(now, key)
	if !ok || ls.awaiting.Load() >= maxAwaiting {
		return false
	}
	ls.awaiting.Add(1)
	defer ls.awaiting.Add(-1)
	defer ls.Share.Await(now, key)()
	waitCtx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for range maxAwaits {
		if !ok || !sleep(waitCtx, delay) || !ls.ask(waitCtx, key) {
			return false
		}
		if now = ls.Now(); ls.Share.RetryTake(now, key, rate) {
			return true
		}
		delay, ok = ls.Share.AskIn(now, key)
	}
	return false
}

// sleep waits for a time, and reports whether the context is not done.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// ask waits for the answer of the owner of a key, and reports whether there is one.
func (ls *Leases) ask(ctx context.Context, key contract.RateKey) bool {
	ask, isNew := ls.Share.Ask(ls.Now(), key)
	if ask == nil {
		return false
	}
	if isNew {
		// Others wait for the answer too, so it does not end with this request.
		go ls.send(context.WithoutCancel(ctx), ask.Owner, []*contract.RateAsk{ask})
	}
	select {
	case <-ask.Done:
		return true
	case <-ctx.Done():
		return false
	}
}

// HandleLease answers a request for tokens and for buckets.
func (ls *Leases) HandleLease(ctx context.Context, rq *entrypb.LeaseRequest) *entrypb.LeaseReply {
	now, reply := ls.Now(), &entrypb.LeaseReply{}
	for _, claim := range rq.Claims {
		reply.Handovers = append(reply.Handovers, encodeHandover(ls.Owner.HandOver(now, rq.Sender, decodeClaim(claim))))
	}
	if len(rq.Demands) == 0 {
		return reply
	}
	demands := make([]contract.RateDemand, len(rq.Demands))
	for i, demand := range rq.Demands {
		demands[i] = decodeDemand(demand)
	}
	grants := ls.Owner.Grant(now, rq.Sender, rq.Incarnation, demands)
	if pending := ls.claimable(now, demands, grants); len(pending) > 0 {
		ls.claim(ctx, demands, pending)
		for _, each := range pending {
			for _, i := range each {
				grants[i] = ls.Owner.Grant(ls.Now(), rq.Sender, rq.Incarnation, demands[i:i+1])[0]
			}
		}
	}
	for i := range grants {
		reply.Grants = append(reply.Grants, encodeGrant(&grants[i]))
	}
	return reply
}

// claimable returns the demands, by their index, of keys whose buckets other VMs may hold,
// by the names of these.
func (ls *Leases) claimable(now time.Time, demands []contract.RateDemand, grants []contract.RateGrant) map[string][]int {
	pending := map[string][]int{}
	for i := range grants {
		if !grants[i].Pending {
			continue
		}
		previous := ls.Owner.PreviousOwner(demands[i].Key)
		failed, ok := ls.claimsFailed.Load(previous)
		if previous == "" || ls.Cluster.addressOf(previous) == "" || ok && now.Sub(failed.(time.Time)) < claimPause {
			continue
		}
		pending[previous] = append(pending[previous], i)
	}
	return pending
}

// claim asks other VMs for the buckets of demands.
func (ls *Leases) claim(ctx context.Context, demands []contract.RateDemand, pending map[string][]int) {
	var calls sync.WaitGroup
	for name, indices := range pending {
		calls.Go(func() {
			claims := make([]contract.RateClaim, len(indices))
			for i, index := range indices {
				claims[i] = contract.RateClaim{Key: demands[index].Key, Rate: demands[index].Rate, Version: demands[index].Version}
			}
			// The VM may know another owner, which is asked once.
			for owner, claims := range ls.claimFrom(ctx, name, claims) {
				if owner != ls.Cluster.Self.Name && ls.Cluster.addressOf(owner) != "" {
					ls.claimFrom(ctx, owner, claims)
				}
			}
		})
	}
	calls.Wait()
}

// claimFrom asks a VM for buckets, and returns the claims for which it named another
// owner.
func (ls *Leases) claimFrom(ctx context.Context, name string, claims []contract.RateClaim) map[string][]contract.RateClaim {
	rq := &entrypb.LeaseRequest{Sender: ls.Cluster.Self.Name, Incarnation: ls.Cluster.Self.Incarnation}
	for _, claim := range claims {
		rq.Claims = append(rq.Claims, encodeClaim(claim))
	}
	reply, err := ls.call(ctx, name, claimTimeout, rq)
	now := ls.Now()
	if err != nil || len(reply.GetHandovers()) != len(claims) {
		ls.claimsFailed.Store(name, now)
		return nil
	}
	ls.claimsFailed.Delete(name)
	elsewhere := map[string][]contract.RateClaim{}
	for i, claim := range claims {
		handover := decodeHandover(reply.Handovers[i])
		switch {
		case handover.Done:
			ls.Owner.Accept(now, claim, handover)
			ls.Claimed.Add(1)
		case handover.Owner != "":
			elsewhere[handover.Owner] = append(elsewhere[handover.Owner], claim)
		}
	}
	return elsewhere
}
