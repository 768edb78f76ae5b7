package contract

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxOwnerGap is the time without an update after which an owner no longer trusts
	// what it knows: the VM was frozen or suspended, and others may own its keys. They
	// begin to grant 5 s after its last heartbeat at the earliest.
	maxOwnerGap = 2 * time.Second
	// ownerRecovery is how long an owner waits after such a gap. It is the time in
	// which a lost VM is noticed, and a lease.
	ownerRecovery = 4*time.Second + RateLease
	// demandAge is how long a demand counts when tokens are divided.
	demandAge = 2*RateInterval + 100*time.Millisecond
	// senderAge is how long the totals of a sender are known.
	senderAge = time.Minute
	// maxOwnerPlaces bounds the sets of owners that are remembered. For a key that came
	// into use, they tell for how long it has been owned here.
	maxOwnerPlaces = 64
	// releasedFor is how long a former owner keeps a bucket for the next owner, and
	// names that one as the owner after the handover.
	releasedFor = 10 * time.Second
	// leaseSteps is the number of steps in which the age of a lease is counted.
	leaseSteps = 10
)

// RateOwner grants leases of the rates that this process owns. Its methods may be called
// by any number of goroutines; no request waits for it. The times come from the clock that
// RateShare uses. Make one with NewRateOwner.
type RateOwner struct {
	lock sync.Mutex
	// isFresh is set if no VM has served callers before this process started, so that
	// buckets begin full.
	isFresh bool
	bounds  RateBounds
	self    string
	// checkedAt is when Update was last called, readyAt when grants may begin without a
	// handover.
	checkedAt, readyAt time.Time
	isReady, isLeaving bool
	// part is the part of the rates that is granted; raiseFrom is since when a
	// larger one would be right, zero if it is not.
	part      float64
	raiseFrom time.Time
	// places holds the last sets of owners and when they began, oldest first.
	places []ownerPlace
	// keys holds the buckets in use, and those released to other owners for a while.
	keys map[RateKey]*ownedRate
	// handed names the new owner of the keys that were handed over.
	handed  map[RateKey]handedRate
	sweptAt time.Time
}

// handedRate is the owner to which a key was handed over, and when.
type handedRate struct {
	owner string
	at    time.Time
}

type ownerPlace struct {
	at     time.Time
	owners []string
}

// ownedRate is the bucket of one key.
type ownedRate struct {
	rate    SharedRate
	version int64
	// level is the number of tokens at filledAt. Advances may make it negative.
	level    float64
	filledAt time.Time
	// fullAt is when the bucket of a new owner becomes full at once, zero after that: a
	// window later, no window contains the tokens of the previous owner.
	fullAt time.Time
	usedAt time.Time
	// part is the part of the rate that is granted.
	part float64
	// releasedAt is when another VM became the owner; zero if this one owns the key.
	releasedAt time.Time
	// grants counts the tokens granted in each of the last steps of a lease.
	grants  [leaseSteps + 1]float64
	step    int64
	senders map[string]*rateSender
}

// rateSender is what an owner knows of one VM.
type rateSender struct {
	incarnation uint64
	seenAt      time.Time
	wanted      int64
	// granted is the total of the tokens granted, credited that of the returned tokens
	// that were added to the bucket; it is not above granted. returned and advanced are
	// the totals in the last demand.
	granted, credited, returned, advanced int64
}

// NewRateOwner returns an owner that grants nothing until Update has been called. isFresh
// is set if no VM has served callers before this process started.
func NewRateOwner(bounds RateBounds, isFresh bool) *RateOwner {
	return &RateOwner{bounds: bounds, isFresh: isFresh, keys: map[RateKey]*ownedRate{}, handed: map[RateKey]handedRate{}}
}

// SetBounds replaces the tolerances.
func (ro *RateOwner) SetBounds(bounds RateBounds) {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	ro.bounds = bounds
}

// Update takes over what is known about the other VMs. It is called several times in
// maxOwnerGap.
func (ro *RateOwner) Update(now time.Time, place *RatePlace) {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	if !ro.checkedAt.IsZero() && now.Sub(ro.checkedAt) > maxOwnerGap {
		ro.isReady, ro.isFresh = false, false
		ro.places, ro.readyAt = nil, now.Add(ownerRecovery)
		clear(ro.keys)
		clear(ro.handed)
	}
	ro.checkedAt, ro.self, ro.isLeaving = now, place.Self, place.Leaving
	if !place.Ready {
		// The set of owners is not known yet. Keys that were handed over are granted.
		ro.places, ro.readyAt = []ownerPlace{{now, place.Owners}}, now.Add(RateLease)
		return
	}
	ro.setPart(now, place.Part)
	ro.isReady = true
	if count := len(ro.places); count == 0 || !slices.Equal(ro.places[count-1].owners, place.Owners) {
		ro.places = append(ro.places, ownerPlace{now, place.Owners})
		ro.places = ro.places[max(0, len(ro.places)-maxOwnerPlaces):]
		ro.release(now, place.Owners)
	}
	ro.sweep(now)
}

// release marks the buckets of keys that another VM owns now, and drops those that come
// back: another VM may have granted their tokens meanwhile.
func (ro *RateOwner) release(now time.Time, owners []string) {
	for key, owned := range ro.keys {
		switch isOwner := key.OwnerAmong(owners) == ro.self; {
		case !isOwner && owned.releasedAt.IsZero():
			owned.releasedAt = now
		case isOwner && !owned.releasedAt.IsZero():
			delete(ro.keys, key)
		}
	}
}

// setPart sets the part of the rates that is granted. A larger one holds after RateSettle,
// in which the VMs on the other side of a partition that has ended stop to grant theirs.
func (ro *RateOwner) setPart(now time.Time, part float64) {
	switch {
	case part <= ro.part || !ro.isReady:
		ro.raiseFrom = time.Time{}
	case ro.raiseFrom.IsZero():
		ro.raiseFrom = now
		return
	case now.Sub(ro.raiseFrom) < RateSettle:
		return
	default:
		ro.raiseFrom = time.Time{}
	}
	if part == ro.part && ro.isReady {
		return
	}
	ro.part = part
	for key, owned := range ro.keys {
		ro.fill(now, key, owned)
		owned.part = part
	}
}

// sweep forgets senders and buckets that were not used for long, once a second. A bucket
// is forgotten when it is full, since a new one would be.
func (ro *RateOwner) sweep(now time.Time) {
	if now.Sub(ro.sweptAt) < time.Second {
		return
	}
	ro.sweptAt = now
	for key, owned := range ro.keys {
		if !owned.releasedAt.IsZero() && now.Sub(owned.releasedAt) > releasedFor {
			delete(ro.keys, key)
			continue
		}
		if now.Sub(owned.usedAt) < rateIdle {
			continue
		}
		for name, sender := range owned.senders {
			if now.Sub(sender.seenAt) > senderAge {
				delete(owned.senders, name)
			}
		}
		ro.fill(now, key, owned)
		if owned.fullAt.IsZero() && owned.level >= ro.limitOf(key, owned) {
			delete(ro.keys, key)
		}
	}
	for key, handed := range ro.handed {
		if now.Sub(handed.at) > releasedFor {
			delete(ro.handed, key)
		}
	}
}

// perSecond returns the tokens a second that a bucket gets, and limitOf how many it and
// the leases may hold together.
func (ro *RateOwner) perSecond(key RateKey, owned *ownedRate) float64 {
	return owned.part * ro.bounds.of(key.Kind).grantRate(owned.rate)
}

func (ro *RateOwner) limitOf(key RateKey, owned *ownedRate) float64 {
	if owned.part <= 0 {
		return 0
	}
	return max(1, owned.part*owned.rate.Burst+ro.perSecond(key, owned)*RateLease.Seconds())
}

// outstanding returns the tokens in leases that may not have ended.
func (or *ownedRate) outstanding(now time.Time) float64 {
	or.advance(now)
	sum := 0.0
	for _, tokens := range or.grants {
		sum += tokens
	}
	return sum
}

// advance empties the steps that lie a lease back.
func (or *ownedRate) advance(now time.Time) {
	step := now.UnixNano() / int64(RateLease/leaseSteps)
	if step-or.step > leaseSteps {
		clear(or.grants[:])
		or.step = step
	}
	for or.step < step {
		or.step++
		or.grants[or.step%(leaseSteps+1)] = 0
	}
}

// fill adds the tokens since the last call. Tokens in the bucket and in leases together
// are not more than the burst and what one lease time adds: a VM that returns tokens and
// gets them again must not let more accumulate.
func (ro *RateOwner) fill(now time.Time, key RateKey, owned *ownedRate) {
	if elapsed := now.Sub(owned.filledAt); elapsed > 0 {
		ro.add(now, key, owned, ro.perSecond(key, owned)*elapsed.Seconds())
		owned.filledAt = now
	}
	if !owned.fullAt.IsZero() && !now.Before(owned.fullAt) {
		owned.fullAt = time.Time{}
		ro.add(now, key, owned, ro.limitOf(key, owned))
	}
}

func (ro *RateOwner) add(now time.Time, key RateKey, owned *ownedRate, tokens float64) {
	room := ro.limitOf(key, owned) - owned.outstanding(now) - owned.level
	owned.level += max(0, min(tokens, room))
}

// ownedSince returns since when this process has been the owner of a key in a series of
// sets of owners, as far as it remembers; false if it is not the owner.
func (ro *RateOwner) ownedSince(key RateKey, places []ownerPlace) (since time.Time, ok bool) {
	first := 0
	for i, place := range slices.Backward(places) {
		if key.OwnerAmong(place.owners) != ro.self {
			first = i + 1
			break
		}
	}
	if first == len(places) {
		return time.Time{}, false
	}
	since = places[first].at
	if first > 0 {
		since = since.Add(RateSettle)
	}
	if since.Before(ro.readyAt) {
		since = ro.readyAt
	}
	if handed, ok := ro.handed[key]; ok && since.Before(handed.at.Add(releasedFor)) {
		since = handed.at.Add(releasedFor)
	}
	return since, true
}

// bucketOf returns the bucket of a key that this process owns; nil if it may not grant yet.
func (ro *RateOwner) bucketOf(now time.Time, key RateKey, rate SharedRate, places []ownerPlace) *ownedRate {
	if owned := ro.keys[key]; owned != nil {
		return owned
	}
	since, ok := ro.ownedSince(key, places)
	if !ok || now.Before(since) || len(ro.keys) >= maxRateKeys {
		return nil
	}
	owned := &ownedRate{rate: rate, part: ro.part, filledAt: since, fullAt: since.Add(ro.bounds.of(key.Kind).Window), senders: map[string]*rateSender{}}
	if ro.isFresh && since.Equal(ro.readyAt) {
		owned.fullAt = since
	}
	ro.keys[key] = owned
	return owned
}

// Grant answers the demands of a VM, one grant for each.
func (ro *RateOwner) Grant(now time.Time, sender string, incarnation uint64, demands []RateDemand) []RateGrant {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	grants := make([]RateGrant, len(demands))
	for i := range demands {
		grants[i] = ro.grant(now, sender, incarnation, &demands[i])
	}
	return grants
}

// isCurrent reports whether this process knows the other VMs.
func (ro *RateOwner) isCurrent(now time.Time) bool {
	return len(ro.places) > 0 && now.Sub(ro.checkedAt) <= maxOwnerGap
}

// owners returns the VMs among which owners are chosen.
func (ro *RateOwner) owners() []string {
	return ro.places[len(ro.places)-1].owners
}

// mayGrantOnLeaving reports whether this process still grants tokens of a key that it
// released because it stops. It knew that first, so the next owner grants none without a
// handover until RateSettle later.
func (ro *RateOwner) mayGrantOnLeaving(now time.Time, key RateKey) bool {
	owned := ro.keys[key]
	return ro.isLeaving && owned != nil && now.Sub(owned.releasedAt) < RateSettle-RateLease
}

func (ro *RateOwner) grant(now time.Time, sender string, incarnation uint64, demand *RateDemand) RateGrant {
	if !ro.isCurrent(now) {
		return RateGrant{Pending: true}
	}
	if handed, ok := ro.handed[demand.Key]; ok && now.Sub(handed.at) < releasedFor {
		return RateGrant{Owner: handed.owner}
	}
	if owner := demand.Key.OwnerAmong(ro.owners()); owner != ro.self && !ro.mayGrantOnLeaving(now, demand.Key) {
		return RateGrant{Owner: owner, Pending: owner == ""}
	}
	if demand.Rate.IsUnlimited() {
		return RateGrant{Tokens: max(demand.Wanted, 0)}
	}
	owned := ro.bucketOf(now, demand.Key, demand.Rate, ro.places)
	if owned == nil {
		return RateGrant{Pending: true}
	}
	ro.fill(now, demand.Key, owned)
	// The newest rate holds that any VM has sent.
	if demand.Version >= owned.version {
		owned.rate, owned.version = demand.Rate, demand.Version
		owned.level = min(owned.level, ro.limitOf(demand.Key, owned))
	}
	owned.usedAt = now
	from := owned.senderOf(now, sender, incarnation, demand)
	ro.settle(now, owned, from, demand)
	return ro.divide(now, owned, from, demand)
}

func (or *ownedRate) senderOf(now time.Time, name string, incarnation uint64, demand *RateDemand) *rateSender {
	from := or.senders[name]
	if from == nil || from.incarnation < incarnation {
		from = &rateSender{incarnation: incarnation, returned: demand.Returned, advanced: demand.AdvancedKnown}
		or.senders[name] = from
	}
	from.seenAt = now
	return from
}

// settle accounts for what the sender used and did not use since its last demand. What an
// older message repeats has no effect.
func (ro *RateOwner) settle(now time.Time, owned *ownedRate, from *rateSender, demand *RateDemand) {
	if advanced := demand.Advanced - from.advanced; advanced > 0 {
		owned.level -= float64(advanced)
		from.advanced = demand.Advanced
	}
	if returned := demand.Returned - from.returned; returned > 0 {
		credit := min(returned, from.granted-from.credited)
		ro.add(now, demand.Key, owned, float64(credit))
		from.credited += credit
		from.returned = demand.Returned
	}
}

// divide grants what the sender wants, or its part of the bucket by its part of the
// demand, at least one token if there is one.
func (ro *RateOwner) divide(now time.Time, owned *ownedRate, from *rateSender, demand *RateDemand) RateGrant {
	from.wanted = max(demand.Wanted, 0)
	if from.wanted == 0 {
		// The demand only reports what was used and returned.
		return RateGrant{}
	}
	total := int64(0)
	for _, other := range owned.senders {
		if now.Sub(other.seenAt) <= demandAge {
			total += other.wanted
		}
	}
	level := math.Floor(owned.level + 1e-9)
	tokens := min(float64(from.wanted), level)
	if float64(total) > level {
		tokens = min(tokens, max(1, math.Floor(level*float64(from.wanted)/float64(total))))
	}
	grant := RateGrant{Tokens: int64(max(tokens, 0))}
	owned.level -= float64(grant.Tokens)
	owned.advance(now)
	owned.grants[owned.step%(leaseSteps+1)] += float64(grant.Tokens)
	from.granted += grant.Tokens
	if grant.Tokens < from.wanted {
		grant.Wait = ro.waitOf(owned, demand.Key, float64(from.wanted)/float64(total))
	}
	return grant
}

// waitOf returns the time between two tokens for a sender that gets a part of the rate.
func (ro *RateOwner) waitOf(owned *ownedRate, key RateKey, part float64) time.Duration {
	perSecond := ro.perSecond(key, owned) * part
	if perSecond <= 0 {
		return rateBacklog
	}
	return time.Duration(min(1/perSecond, rateBacklog.Seconds()) * float64(time.Second))
}

// OwnedRateState describes the bucket of a key for operators.
type OwnedRateState struct {
	Kind   RateKind      `json:"kind"`
	Name   string        `json:"name"`
	Rate   SharedRate    `json:"rate"`
	Level  float64       `json:"level"`
	Leased float64       `json:"leased"`
	Part   float64       `json:"part"`
	VMs    int           `json:"entry_vms"`
	Idle   time.Duration `json:"idle_ns"`
}

// States returns the state of at most count buckets that this process grants from, and
// their number.
func (ro *RateOwner) States(now time.Time, count int) ([]OwnedRateState, int) {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	var states []OwnedRateState
	total := 0
	for key, owned := range ro.keys {
		if !owned.releasedAt.IsZero() {
			continue
		}
		if total++; total > count {
			continue
		}
		ro.fill(now, key, owned)
		states = append(states, OwnedRateState{
			Kind: key.Kind, Name: key.Name, Rate: owned.rate, Level: owned.level, Leased: owned.outstanding(now),
			Part: owned.part, VMs: len(owned.senders), Idle: now.Sub(owned.usedAt),
		})
	}
	return states, total
}
