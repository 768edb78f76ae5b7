package contract_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// rateWorld plays entry VMs that share rates, without a network: messages are calls that
// are made later, or never. Its clock counts suspended time.
type rateWorld struct {
	now    time.Time
	random *rand.Rand
	events rateEvents
	vms    []*ratePlayer
	rates  map[string]contract.SharedRate
	bounds contract.QuotaBounds
	// isCut reports whether no message passes between two VMs.
	isCut func(a, b *ratePlayer) bool
	// lost and doubled are the shares of messages, delay is the longest delay.
	lost, doubled float64
	delay         time.Duration
	// admitted holds the times at which requests were admitted, by customer.
	admitted map[string][]time.Time
	refused  map[string][]time.Time
	messages int
	// representatives is the number of VMs of a zone of which other zones hear after they
	// joined, besides those that the roster lists; 0 if of all.
	representatives int
	// rosters keeps the roster; nil if nothing does.
	rosters *rateRosters
}

type ratePlayer struct {
	name, zone  string
	capacity    uint32
	incarnation uint64
	startedAt   time.Time
	holderSince time.Time
	alive       bool
	leaving     bool
	frozenUntil time.Time
	heard       map[string]machine.EntryVM
	vms         machine.RateVMs
	share       *contract.RateShare
	owner       *contract.RateOwner
	place       *contract.RatePlace
	// isGone is set if the VM does not come back. era is the newest one of the platform
	// that it knows of, isCalling set while a call for the roster is in flight.
	isGone, isCalling bool
	era               int64
}

type rateEvent struct {
	at    time.Time
	order int
	do    func()
}

type rateEvents []rateEvent

func (re rateEvents) Len() int { return len(re) }
func (re rateEvents) Less(i, j int) bool {
	return re[i].at.Before(re[j].at) || re[i].at.Equal(re[j].at) && re[i].order < re[j].order
}
func (re rateEvents) Swap(i, j int) { re[i], re[j] = re[j], re[i] }
func (re *rateEvents) Push(x any)   { *re = append(*re, x.(rateEvent)) }
func (re *rateEvents) Pop() any {
	last := (*re)[len(*re)-1]
	*re = (*re)[:len(*re)-1]
	return last
}

var quotaBounds = contract.QuotaBounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func newRateWorld(seed uint64, count int, rates map[string]contract.SharedRate) *rateWorld {
	rw := &rateWorld{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), rates: rates, bounds: quotaBounds,
		isCut: func(_, _ *ratePlayer) bool { return false }, delay: 10 * time.Millisecond,
		admitted: map[string][]time.Time{}, refused: map[string][]time.Time{},
	}
	for i := range count {
		vm := &ratePlayer{name: fmt.Sprintf("vm-%02d", i), zone: fmt.Sprintf("zone-%d", i%3), capacity: uint32(1000 + i/9)}
		rw.vms = append(rw.vms, vm)
		rw.start(vm)
	}
	return rw
}

// keepRoster lets all VMs start for the first time with a platform that keeps the roster.
func (rw *rateWorld) keepRoster() {
	rw.rosters = newRateRosters()
	for _, vm := range rw.vms {
		rw.start(vm)
		vm.vms.Roster.IsFirst = true
	}
}

func (rw *rateWorld) after(delay time.Duration, do func()) {
	heap.Push(&rw.events, rateEvent{rw.now.Add(delay), rw.random.IntN(1 << 30), do})
}

func (rw *rateWorld) run(until time.Duration) {
	end := rw.now.Add(until)
	for len(rw.events) > 0 && !rw.events[0].at.After(end) {
		event := heap.Pop(&rw.events).(rateEvent)
		rw.now = event.at
		event.do()
	}
	rw.now = end
}

// at runs something on a VM after a delay, after its thaw if it is frozen, and not if the
// process has ended.
func (rw *rateWorld) at(vm *ratePlayer, delay time.Duration, do func()) {
	incarnation := vm.incarnation
	rw.after(delay, func() {
		if !vm.alive || vm.incarnation != incarnation {
			return
		}
		if frozen := vm.frozenUntil.Sub(rw.now); frozen > 0 {
			rw.at(vm, frozen, do)
			return
		}
		do()
	})
}

// send makes a call on another VM after a delay, never if the message is lost, twice if it
// is doubled.
func (rw *rateWorld) send(from, to *ratePlayer, do func()) {
	rw.messages++
	copies := 1
	if rw.random.Float64() < rw.doubled {
		copies = 2
	}
	for range copies {
		if rw.isCut(from, to) || rw.random.Float64() < rw.lost || !to.alive {
			continue
		}
		rw.at(to, time.Duration(rw.random.Int64N(int64(rw.delay)+1)), do)
	}
}

func (rw *rateWorld) start(vm *ratePlayer) {
	vm.incarnation++
	vm.alive, vm.leaving, vm.startedAt, vm.holderSince, vm.frozenUntil = true, false, rw.now, rw.now, time.Time{}
	vm.heard = map[string]machine.EntryVM{}
	vm.vms = machine.RateVMs{}
	if rw.rosters != nil {
		vm.isCalling, vm.era = false, rw.rosters.era
		vm.vms.Roster = &machine.RosterKeeper{Self: machine.RosterVM{Name: vm.name, EntryAddress: vm.name}, StartedAt: rw.now, IsRestorable: true}
	}
	bounds := contract.RateBounds{Customers: rw.bounds}
	vm.share, vm.owner = contract.NewRateShare(bounds), contract.NewRateOwner(bounds, false)
	rw.at(vm, 0, func() { rw.beat(vm) })
	if rw.representatives > 0 {
		rw.at(vm, time.Duration(rw.random.Int64N(int64(250*time.Millisecond))), func() { rw.join(vm) })
	}
	rw.at(vm, 10*time.Millisecond, func() { rw.tick(vm) })
}

func (rw *rateWorld) recordOf(vm *ratePlayer) machine.EntryVM {
	return machine.EntryVM{
		Name: vm.name, Zone: vm.zone, EntryAddress: vm.name, Capacity: vm.capacity, Incarnation: uint64(vm.startedAt.UnixNano()), Leaving: vm.leaving, Version: 1, LastHeartbeat: rw.now,
	}
}

// join takes over what a peer knows of the others.
func (rw *rateWorld) join(vm *ratePlayer) {
	for _, at := range rw.random.Perm(len(rw.vms)) {
		peer := rw.vms[at]
		if peer == vm || !peer.alive || rw.isCut(vm, peer) {
			continue
		}
		records := maps.Clone(peer.heard)
		records[peer.name] = rw.recordOf(peer)
		delete(records, vm.name)
		for name, record := range records {
			if have, ok := vm.heard[name]; !ok || have.LastHeartbeat.Before(record.LastHeartbeat) {
				vm.heard[name] = record
			}
		}
		return
	}
}

// beat sends heartbeats to all VMs once a second.
func (rw *rateWorld) beat(vm *ratePlayer) {
	record := rw.recordOf(vm)
	for _, other := range rw.vms {
		if other == vm {
			continue
		}
		if rw.isCut(vm, other) || !other.alive || rw.random.Float64() < rw.lost {
			continue
		}
		if _, isKnown := other.heard[vm.name]; isKnown && vm.zone != other.zone && !vm.leaving && !rw.isRepresentative(vm) {
			continue
		}
		// In a large cluster the news passes through hubs.
		rw.at(other, time.Duration(rw.random.Int64N(int64(1500*time.Millisecond))), func() {
			if have, ok := other.heard[vm.name]; !ok || have.LastHeartbeat.Before(record.LastHeartbeat) {
				other.heard[vm.name] = record
			}
		})
	}
	rw.at(vm, time.Second, func() { rw.beat(vm) })
}

// isRepresentative reports whether a VM is one of those of which other zones hear.
func (rw *rateWorld) isRepresentative(vm *ratePlayer) bool {
	if rw.representatives == 0 {
		return true
	}
	larger := 0
	for _, other := range rw.vms {
		isLarger := other.capacity > vm.capacity || other.capacity == vm.capacity && other.name < vm.name
		if other.zone == vm.zone && other.alive && !other.leaving && isLarger {
			larger++
		}
	}
	return larger < rw.representatives || vm.vms.Roster.Roster().Has(vm.name)
}

func (rw *rateWorld) tick(vm *ratePlayer) {
	members := []machine.EntryVM{rw.recordOf(vm)}
	for _, record := range vm.heard {
		members = append(members, record)
	}
	placement := vm.vms.Update(rw.now, members, rw.peersOf(vm))
	if rw.rosters != nil {
		rw.updateRoster(vm, &placement)
	}
	place := &contract.RatePlace{
		Self: vm.name, Owners: placement.Owners, Holders: placement.Holders, HolderSince: vm.holderSince,
		Part: placement.Part, Ready: rw.now.Sub(vm.startedAt) > 3*time.Second, Leaving: vm.leaving,
	}
	switch {
	case !place.Ready:
		place.Holders, place.StartedAt = nil, vm.startedAt
	case !slices.Contains(place.Holders, vm.name):
		vm.holderSince = rw.now
	}
	if vm.place != nil && vm.place.Equal(place) {
		place = vm.place
	}
	vm.place = place
	vm.share.SetPlace(place)
	vm.owner.Update(rw.now, place)
	asks, _ := vm.share.NextAsks(rw.now)
	for _, ask := range asks {
		rw.ask(vm, ask)
	}
	rw.at(vm, contract.RateInterval, func() { rw.tick(vm) })
}

// peersOf returns the peers in the settings of a VM.
func (rw *rateWorld) peersOf(vm *ratePlayer) []string {
	var peers []string
	for _, other := range rw.vms[:min(len(rw.vms), 5)] {
		if other != vm {
			peers = append(peers, other.name)
		}
	}
	return peers
}

func (rw *rateWorld) find(name string) *ratePlayer {
	return rw.vms[slices.IndexFunc(rw.vms, func(vm *ratePlayer) bool { return vm.name == name })]
}

// ask sends a request for tokens. Its answer may be doubled or come after the request was
// given up.
func (rw *rateWorld) ask(vm *ratePlayer, ask *contract.RateAsk) {
	owner := rw.find(ask.Owner)
	reply := func(grant contract.RateGrant) {
		rw.send(owner, vm, func() { vm.share.Apply(rw.now, ask, grant) })
	}
	incarnation := vm.incarnation
	answer := func() {
		grant := owner.owner.Grant(rw.now, vm.name, incarnation, []contract.RateDemand{ask.Demand})[0]
		previous := owner.owner.PreviousOwner(ask.Demand.Key)
		if !grant.Pending || previous == "" {
			reply(grant)
			return
		}
		rw.claim(owner, rw.find(previous), ask, incarnation, vm, reply)
	}
	if owner == vm {
		answer()
	} else {
		rw.send(vm, owner, answer)
	}
	rw.at(vm, 400*time.Millisecond, func() { vm.share.Fail(rw.now, ask) })
}

func (rw *rateWorld) claim(owner, previous *ratePlayer, ask *contract.RateAsk, incarnation uint64, vm *ratePlayer, reply func(contract.RateGrant)) {
	claim := contract.RateClaim{Key: ask.Demand.Key, Rate: ask.Demand.Rate, Version: ask.Demand.Version}
	rw.send(owner, previous, func() {
		handover := previous.owner.HandOver(rw.now, owner.name, claim)
		rw.send(previous, owner, func() {
			owner.owner.Accept(rw.now, claim, handover)
			reply(owner.owner.Grant(rw.now, vm.name, incarnation, []contract.RateDemand{ask.Demand})[0])
		})
	})
}

// request plays one request of a customer. Without a token it waits for the owner once.
func (rw *rateWorld) request(vm *ratePlayer, customer string) {
	key, rate := contract.RateKey{Kind: contract.RateOfCustomer, Name: customer}, rw.rates[customer]
	if vm.share.TryTake(rw.now, key, rate) {
		rw.admitted[customer] = append(rw.admitted[customer], rw.now)
		return
	}
	deadline := rw.now.Add(150 * time.Millisecond)
	end := vm.share.Await(rw.now, key)
	finish := func(times map[string][]time.Time) {
		end()
		times[customer] = append(times[customer], rw.now)
	}
	var wait, next func()
	next = func() {
		delay, ok := vm.share.AskIn(rw.now, key)
		if !ok || rw.now.After(deadline) {
			finish(rw.refused)
			return
		}
		rw.at(vm, delay, wait)
	}
	wait = func() {
		ask, isNew := vm.share.Ask(rw.now, key)
		if ask == nil {
			finish(rw.refused)
			return
		}
		if isNew {
			rw.ask(vm, ask)
		}
		rw.poll(vm, ask, deadline, func() {
			if vm.share.RetryTake(rw.now, key, rate) {
				finish(rw.admitted)
				return
			}
			next()
		})
	}
	next()
}

// poll continues when a request for tokens was answered, or at a deadline.
func (rw *rateWorld) poll(vm *ratePlayer, ask *contract.RateAsk, deadline time.Time, done func()) {
	select {
	case <-ask.Done:
		done()
	default:
		if rw.now.After(deadline) {
			done()
			return
		}
		rw.at(vm, 5*time.Millisecond, func() { rw.poll(vm, ask, deadline, done) })
	}
}

// worst returns by how much the requests of a customer in any window exceed what is
// allowed at most; negative if they do not.
func (rw *rateWorld) worst(customer string) float64 {
	times := rw.admitted[customer]
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= rw.bounds.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return float64(most) - rw.bounds.Allowed(rw.rates[customer])
}
