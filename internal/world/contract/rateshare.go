package contract

import (
	"math"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/container/cowmap"
	"daisystage.example/daisystage/internal/container/rcu"
)

const (
	// maxRateKeys bounds the keys of one kind that a process knows: twice the number of
	// customers at the target size.
	maxRateKeys = 200_000
	// rateIdle is how long a key is known after its last use.
	rateIdle = 10 * time.Second
	// pendingGap is the time between two requests to an owner that may not grant yet.
	pendingGap = 50 * time.Millisecond
	// demandMargin is the factor by which more tokens are requested than were used.
	demandMargin = 1.25
	// rateBacklog bounds the time after which a refused caller is told to return. It
	// is two of the usual windows.
	rateBacklog = 10 * time.Second
	// unknownRateWait is added to the time after which a refused caller should return
	// if no owner said when there will be a token: about the time in which another
	// owner is found.
	unknownRateWait = time.Second
)

// RateShare is the share of one process in the shared rates: leases that owners granted,
// and advances. The methods for requests take no locks. All times come from one clock that
// also counts the time for which the VM is suspended, such as CLOCK_BOOTTIME: a lease must
// have ended for a VM that was suspended. Make one with NewRateShare.
type RateShare struct {
	// keys holds the state of the keys in use, by kind and name.
	keys [RateOfColdServer + 1]*rcu.Value[cowmap.Map[*rateSlot]]
	// place and bounds are replaced by the owner of the RateShare.
	place  atomic.Pointer[RatePlace]
	bounds atomic.Pointer[RateBounds]
	// version is that of the configuration in force.
	version atomic.Int64
	// woken is a stack of the slots that came into use and that NextAsks has not seen
	// yet. wake receives when MayTake lacked a token.
	woken atomic.Pointer[rateSlot]
	wake  chan struct{}
	// active are the slots in use. Only NextAsks uses it.
	active []*rateSlot
	// Refused counts the refusals.
	Refused atomic.Int64
}

// NewRateShare returns a share without any leases.
func NewRateShare(bounds RateBounds) *RateShare {
	rs := &RateShare{wake: make(chan struct{}, 1)}
	for kind := range rs.keys {
		rs.keys[kind] = rcu.New(cowmap.Map[*rateSlot]{})
	}
	rs.bounds.Store(&bounds)
	rs.place.Store(&RatePlace{})
	return rs
}

// SetBounds replaces the tolerances.
func (rs *RateShare) SetBounds(bounds RateBounds) { rs.bounds.Store(&bounds) }

// SetPlace replaces what is known about the other VMs.
func (rs *RateShare) SetPlace(place *RatePlace) { rs.place.Store(place) }

// SetVersion sets the version of the configuration that the rates come from.
func (rs *RateShare) SetVersion(version int64) { rs.version.Store(version) }

// Wake returns a channel that receives when MayTake found no token, so that NextAsks should
// be called before the next interval.
func (rs *RateShare) Wake() <-chan struct{} { return rs.wake }

// rateLease holds the tokens of one grant.
type rateLease struct {
	// until is RateLease after the request for the tokens was sent.
	until  time.Time
	tokens atomic.Int64
}

func (rl *rateLease) isValid(now time.Time) bool {
	return rl != nil && now.Before(rl.until)
}

func (rl *rateLease) take() bool {
	for {
		left := rl.tokens.Load()
		if left <= 0 {
			return false
		}
		if rl.tokens.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// rateSlot is the state of one key.
type rateSlot struct {
	key RateKey
	// terms are the rate in force and what follows from it.
	terms atomic.Pointer[rateTerms]
	lease atomic.Pointer[rateLease]
	// advancedUntil is when the bucket of advances will be full, in Unix nanoseconds,
	// not counting the time in which it fills after a start.
	advancedUntil atomic.Int64
	// returned and advanced are the totals of RateDemand.
	returned, advanced atomic.Int64
	// attempts counts the tokens wanted since the last request to an owner; waiting
	// those for which a request waits now. lacked is set by MayTake.
	attempts, waiting atomic.Int64
	lacked            atomic.Bool
	usedAt            atomic.Int64
	// asking is the request to an owner in flight, nil if there is none. Who sets it
	// may use asked.
	asking atomic.Pointer[RateAsk]
	asked  askedState
	// answer is the last answer of an owner.
	answer atomic.Pointer[rateAnswer]
	// nextReturn is when the next refused caller should return, in Unix nanoseconds.
	nextReturn atomic.Int64
	// isActive is set while the slot is in RateShare.woken or RateShare.active;
	// forgotten once it is no longer in RateShare.keys. next links woken.
	isActive, forgotten atomic.Bool
	next                *rateSlot
}

// rateTerms is a rate and what follows from it on one place.
type rateTerms struct {
	rate     SharedRate
	version  int64
	place    *RatePlace
	bounds   *RateBounds
	advances advanceBucket
}

// askedState is what the last request to an owner leaves for the next.
type askedState struct {
	// perSecond is the expected use: that of the last interval, latest, or of the one
	// before, whichever was lower. The interval began at countedAt.
	perSecond, latest float64
	countedAt         time.Time
	// returned and advanced are the totals that an owner has confirmed.
	returned, advanced int64
}

// rateAnswer is an owner's answer.
type rateAnswer struct {
	at    time.Time
	owner string
	// isFull is set if the owner granted what was wanted; otherwise wait is the time
	// between two tokens.
	isFull bool
	wait   time.Duration
	// redirect is the owner that the asked VM named.
	redirect string
	// failed is set if there was no answer, pending if the owner may not grant yet.
	failed, pending bool
}

// slotOf returns the state of a key, created on first use; nil if there are too many.
func (rs *RateShare) slotOf(now time.Time, key RateKey) *rateSlot {
	keys := rs.keys[key.Kind]
	if slot, ok := keys.Load().Get(key.Name); ok && !slot.forgotten.Load() {
		slot.touch(now)
		return slot
	}
	var slot *rateSlot
	keys.Update(func(old cowmap.Map[*rateSlot]) cowmap.Map[*rateSlot] {
		have, ok := old.Get(key.Name)
		switch {
		case ok && !have.forgotten.Load():
			slot = have
			return old
		case !ok && old.Len() >= maxRateKeys:
			return old
		}
		slot = &rateSlot{key: key}
		return old.With(key.Name, slot)
	})
	if slot != nil {
		slot.touch(now)
	}
	return slot
}

func (sl *rateSlot) touch(now time.Time) {
	// One store in a hundredth of rateIdle keeps the cache line shared.
	if nanos := now.UnixNano(); nanos-sl.usedAt.Load() > int64(rateIdle/100) {
		sl.usedAt.Store(nanos)
	}
}

// activate makes NextAsks visit a slot.
func (rs *RateShare) activate(slot *rateSlot) {
	if slot.isActive.Load() || !slot.isActive.CompareAndSwap(false, true) {
		return
	}
	for {
		slot.next = rs.woken.Load()
		if rs.woken.CompareAndSwap(slot.next, slot) {
			return
		}
	}
}

// termsOf returns the terms of a slot for the rate in force.
func (rs *RateShare) termsOf(slot *rateSlot, rate SharedRate) *rateTerms {
	place, bounds, version := rs.place.Load(), rs.bounds.Load(), rs.version.Load()
	terms := slot.terms.Load()
	if terms != nil && terms.rate == rate && terms.version == version && terms.place == place && terms.bounds == bounds {
		return terms
	}
	terms = &rateTerms{
		rate: rate, version: version, place: place, bounds: bounds,
		advances: place.advancesOf(slot.key, rate, bounds.of(slot.key.Kind)),
	}
	slot.terms.Store(terms)
	return terms
}

// takeAdvance takes a token from the bucket of advances; without take it only reports
// whether there is one.
func (sl *rateSlot) takeAdvance(now time.Time, bucket advanceBucket, take bool) bool {
	if bucket.period <= 0 {
		return false
	}
	full := time.Duration(bucket.size * float64(bucket.period))
	for {
		old := sl.advancedUntil.Load()
		until := max(old, bucket.emptyAt.Add(full).UnixNano())
		// The bucket holds what does not return between now and until.
		if time.Duration(until-now.UnixNano()) > full-bucket.period {
			return false
		}
		if !take || sl.advancedUntil.CompareAndSwap(old, max(until, now.UnixNano())+int64(bucket.period)) {
			return true
		}
	}
}

func (sl *rateSlot) take(now time.Time, terms *rateTerms) bool {
	if lease := sl.lease.Load(); lease.isValid(now) && lease.take() {
		return true
	}
	if sl.takeAdvance(now, terms.advances, true) {
		sl.advanced.Add(1)
		return true
	}
	return false
}

// TryTake takes a token for one request, and reports whether there is one.
func (rs *RateShare) TryTake(now time.Time, key RateKey, rate SharedRate) bool {
	if rate.IsUnlimited() {
		return true
	}
	slot := rs.slotOf(now, key)
	if slot == nil {
		return false
	}
	slot.attempts.Add(1)
	rs.activate(slot)
	return slot.take(now, rs.termsOf(slot, rate))
}

// RetryTake takes a token for a request that TryTake refused before.
func (rs *RateShare) RetryTake(now time.Time, key RateKey, rate SharedRate) bool {
	slot := rs.slotOf(now, key)
	return slot != nil && slot.take(now, rs.termsOf(slot, rate))
}

// MayTake reports whether TryTake would find a token. If there is none, one is requested.
func (rs *RateShare) MayTake(now time.Time, key RateKey, rate SharedRate) bool {
	if rate.IsUnlimited() {
		return true
	}
	slot := rs.slotOf(now, key)
	if slot == nil {
		return false
	}
	if lease := slot.lease.Load(); lease.isValid(now) && lease.tokens.Load() > 0 {
		return true
	}
	if slot.takeAdvance(now, rs.termsOf(slot, rate).advances, false) {
		return true
	}
	rs.activate(slot)
	if !slot.lacked.Swap(true) {
		select {
		case rs.wake <- struct{}{}:
		default:
		}
	}
	return false
}

// Return gives back the token of a request that was not sent. It is lost if the lease has
// ended.
func (rs *RateShare) Return(now time.Time, key RateKey) {
	slot, ok := rs.keys[key.Kind].Load().Get(key.Name)
	if !ok {
		return
	}
	if lease := slot.lease.Load(); lease.isValid(now) {
		lease.tokens.Add(1)
	}
}

// RetryAfter counts a refused request, and returns when its caller should return: callers
// are given the times of the next tokens one after the other.
func (rs *RateShare) RetryAfter(now time.Time, key RateKey) time.Duration {
	rs.Refused.Add(1)
	slot, ok := rs.keys[key.Kind].Load().Get(key.Name)
	if !ok {
		return unknownRateWait
	}
	earliest, step := now.Add(unknownRateWait), unknownRateWait
	if answer := slot.answer.Load(); answer != nil && answer.wait > 0 {
		// The owner is not asked again before.
		earliest, step = maxTime(now, answer.at.Add(RateInterval-answer.wait)), answer.wait
	} else if terms := slot.terms.Load(); terms != nil {
		step = time.Duration(float64(time.Second) / terms.rate.PerSecond)
	}
	latest := now.Add(rateBacklog).UnixNano()
	step = min(step, rateBacklog)
	for {
		old := slot.nextReturn.Load()
		at := min(max(old, earliest.UnixNano())+int64(step), latest)
		if slot.nextReturn.CompareAndSwap(old, at) {
			return time.Duration(at - now.UnixNano())
		}
	}
}

func maxTime(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// AskIn returns after which time the owner of a key may have tokens that this process does
// not know of, so that a request without a token should ask it; false if the request should
// not wait.
func (rs *RateShare) AskIn(now time.Time, key RateKey) (time.Duration, bool) {
	slot, ok := rs.keys[key.Kind].Load().Get(key.Name)
	if !ok || len(rs.place.Load().Owners) == 0 {
		return 0, false
	}
	answer := slot.answer.Load()
	switch {
	case answer == nil || answer.redirect != "" || answer.isFull:
		return 0, true
	case answer.pending:
		return max(0, pendingGap-now.Sub(answer.at)), true
	}
	return 0, now.Sub(answer.at) >= RateInterval
}

// RateAsk is a request for tokens of one key to its owner.
type RateAsk struct {
	Demand RateDemand
	Owner  string
	// SentAt is when the leases begin.
	SentAt time.Time
	// Done is closed when the request was answered or given up.
	Done chan struct{}
	slot *rateSlot
}

// Await counts a request that waits for a token of a key, and returns a function that ends
// the wait.
func (rs *RateShare) Await(now time.Time, key RateKey) func() {
	slot := rs.slotOf(now, key)
	if slot == nil {
		return func() {}
	}
	slot.waiting.Add(1)
	return func() { slot.waiting.Add(-1) }
}

// Ask returns a request for tokens of a key, and whether it is new, so that the caller
// must send it; otherwise it is in flight. It is nil if there is no owner, or nobody waits.
func (rs *RateShare) Ask(now time.Time, key RateKey) (ask *RateAsk, isNew bool) {
	slot, ok := rs.keys[key.Kind].Load().Get(key.Name)
	if !ok {
		return nil, false
	}
	if ask := slot.asking.Load(); ask != nil {
		return ask, false
	}
	if ask = rs.ask(now, slot); ask != nil {
		return ask, true
	}
	// NextAsks may have been faster.
	return slot.asking.Load(), false
}

// ask starts a request for a slot; nil if one is in flight or there is nothing to say.
func (rs *RateShare) ask(now time.Time, slot *rateSlot) *RateAsk {
	terms := slot.terms.Load()
	if terms == nil {
		return nil
	}
	owner := rs.ownerOf(now, slot)
	if owner == "" {
		return nil
	}
	ask := &RateAsk{Owner: owner, SentAt: now, Done: make(chan struct{}), slot: slot}
	if !slot.asking.CompareAndSwap(nil, ask) {
		return nil
	}
	slot.returnExpired(now)
	asked := &slot.asked
	wanted := slot.wanted(now)
	returned, advanced := slot.returned.Load(), slot.advanced.Load()
	if wanted == 0 && returned == asked.returned && advanced == asked.advanced {
		slot.finish(ask)
		return nil
	}
	ask.Demand = RateDemand{
		Key: slot.key, Rate: terms.rate, Version: terms.version, Wanted: wanted,
		Returned: returned, Advanced: advanced, AdvancedKnown: asked.advanced,
	}
	return ask
}

// ownerOf returns the owner to ask: the one that the last one asked named, or the one that
// this process knows.
func (rs *RateShare) ownerOf(now time.Time, slot *rateSlot) string {
	if answer := slot.answer.Load(); answer != nil && answer.redirect != "" && now.Sub(answer.at) < RateSettle {
		return answer.redirect
	}
	return slot.key.OwnerAmong(rs.place.Load().Owners)
}

// wanted returns the number of tokens to request, for those who wait and until the next
// request. Only use that lasts is expected to go on: tokens requested after a burst would
// be missing on the VM that gets the next one.
func (sl *rateSlot) wanted(now time.Time) int64 {
	asked := &sl.asked
	if elapsed := now.Sub(asked.countedAt); elapsed >= RateInterval*9/10 {
		used := float64(sl.attempts.Swap(0)) / elapsed.Seconds()
		asked.perSecond, asked.latest = min(asked.latest, used), used
		asked.countedAt = now
	}
	waiting := sl.waiting.Load()
	if sl.lacked.Swap(false) {
		waiting = max(waiting, 1)
	}
	return waiting + int64(math.Round(asked.perSecond*RateInterval.Seconds()*demandMargin))
}

// returnExpired counts the tokens of a lease that has ended as returned.
func (sl *rateSlot) returnExpired(now time.Time) {
	if lease := sl.lease.Load(); lease != nil && !lease.isValid(now) {
		sl.returned.Add(max(lease.tokens.Swap(0), 0))
	}
}

// NextAsks returns the requests to send now, and whether any key is in use. The owner
// calls it every RateInterval while keys are in use.
func (rs *RateShare) NextAsks(now time.Time) (asks []*RateAsk, inUse bool) {
	for slot := rs.woken.Swap(nil); slot != nil; slot = slot.next {
		rs.active = append(rs.active, slot)
	}
	kept := rs.active[:0]
	for _, slot := range rs.active {
		// What no owner takes for so long is not reported.
		if now.UnixNano()-slot.usedAt.Load() < int64(2*rateIdle) {
			if ask := rs.ask(now, slot); ask != nil {
				asks = append(asks, ask)
			}
		}
		if rs.retire(now, slot) {
			continue
		}
		kept = append(kept, slot)
	}
	clear(rs.active[len(kept):])
	rs.active = kept
	return asks, len(kept) > 0
}

// retire forgets a slot that is idle and whose advances have returned, and reports
// whether it did.
func (rs *RateShare) retire(now time.Time, slot *rateSlot) bool {
	if now.UnixNano()-slot.usedAt.Load() < int64(rateIdle) || slot.advancedUntil.Load() > now.UnixNano() || slot.asking.Load() != nil {
		return false
	}
	slot.forgotten.Store(true)
	rs.keys[slot.key.Kind].Update(func(old cowmap.Map[*rateSlot]) cowmap.Map[*rateSlot] {
		if have, _ := old.Get(slot.key.Name); have != slot {
			return old
		}
		return old.Without(slot.key.Name)
	})
	return true
}

// Apply takes over the answer to a request. It has an effect once, whatever the number of
// copies of the answer. The tokens of an answer that is too late go back to the owner.
func (rs *RateShare) Apply(now time.Time, ask *RateAsk, grant RateGrant) {
	slot := ask.slot
	if slot.asking.Load() != ask {
		return
	}
	slot.asked.returned, slot.asked.advanced = ask.Demand.Returned, ask.Demand.Advanced
	slot.answer.Store(&rateAnswer{
		at: now, owner: ask.Owner, wait: grant.Wait, redirect: grant.Owner, pending: grant.Pending,
		isFull: grant.Owner == "" && !grant.Pending && grant.Tokens >= ask.Demand.Wanted,
	})
	until := ask.SentAt.Add(RateLease)
	switch {
	case !now.Before(until):
		slot.returned.Add(grant.Tokens)
	case grant.Tokens > 0:
		lease := &rateLease{until: until}
		lease.tokens.Store(grant.Tokens)
		if old := slot.lease.Swap(lease); old != nil {
			slot.returned.Add(max(old.tokens.Swap(0), 0))
		}
	}
	slot.finish(ask)
}

// Fail records that a request got no answer. If the owner did grant tokens, they are
// lost.
func (rs *RateShare) Fail(now time.Time, ask *RateAsk) {
	if ask.slot.asking.Load() != ask {
		return
	}
	ask.slot.answer.Store(&rateAnswer{at: now, owner: ask.Owner, failed: true})
	ask.slot.finish(ask)
}

func (sl *rateSlot) finish(ask *RateAsk) {
	if sl.asking.CompareAndSwap(ask, nil) {
		close(ask.Done)
	}
}

// RateShareState describes the share of a process in one rate for operators.
type RateShareState struct {
	Kind RateKind   `json:"kind"`
	Name string     `json:"name"`
	Rate SharedRate `json:"rate"`
	// Owner is the VM that is asked for tokens.
	Owner string `json:"owner"`
	// Tokens are those of the lease, LeaseLeft the time until it ends; negative if it has
	// ended.
	Tokens    int64         `json:"tokens"`
	LeaseLeft time.Duration `json:"lease_left_ns"`
	// MayAdvance is set if a token can be spent without a lease; Advanced is the total
	// of those, Returned that of tokens not used.
	MayAdvance bool  `json:"may_advance"`
	Advanced   int64 `json:"advanced"`
	Returned   int64 `json:"returned"`
	// AnswerAge is the time since the owner's last answer, -1 if there is none. Answered
	// is unset if the last request got no answer, and Wait the time between two tokens if
	// the owner had too few.
	AnswerAge time.Duration `json:"answer_age_ns"`
	Answered  bool          `json:"answered"`
	Wait      time.Duration `json:"wait_ns"`
}

// StateOf returns the state of one key; false if it is not in use.
func (rs *RateShare) StateOf(now time.Time, key RateKey) (RateShareState, bool) {
	slot, ok := rs.keys[key.Kind].Load().Get(key.Name)
	if !ok {
		return RateShareState{}, false
	}
	return rs.stateOf(now, slot), true
}

func (rs *RateShare) stateOf(now time.Time, slot *rateSlot) RateShareState {
	state := RateShareState{
		Kind: slot.key.Kind, Name: slot.key.Name, Owner: rs.ownerOf(now, slot),
		Advanced: slot.advanced.Load(), Returned: slot.returned.Load(), AnswerAge: -1,
	}
	if terms := slot.terms.Load(); terms != nil {
		state.Rate, state.MayAdvance = terms.rate, slot.takeAdvance(now, terms.advances, false)
	}
	if lease := slot.lease.Load(); lease != nil {
		state.Tokens, state.LeaseLeft = lease.tokens.Load(), lease.until.Sub(now)
	}
	if answer := slot.answer.Load(); answer != nil {
		state.AnswerAge, state.Answered, state.Wait = now.Sub(answer.at), !answer.failed, answer.wait
	}
	return state
}

// States returns the state of at most count keys in use, and their number.
func (rs *RateShare) States(now time.Time, count int) ([]RateShareState, int) {
	var states []RateShareState
	total := 0
	for _, keys := range rs.keys {
		current := keys.Load()
		total += current.Len()
		for _, slot := range current.All() {
			if len(states) >= count {
				break
			}
			states = append(states, rs.stateOf(now, slot))
		}
	}
	return states, total
}
