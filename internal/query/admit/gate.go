// Package admit implements admission control for the servers behind a
// collection. Requests start while there is capacity, urgent ones and those
// with the earliest deadline first. Requests that can't be answered before
// their deadline are refused.
package admit

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// meanWeight is the weight of the previous mean, out of 64, when a new duration
	// is averaged in.
	meanWeight = 63
	// initialCapacity applies until the first call of SetCapacity.
	initialCapacity = 256
	// contendedPercent is the share of the capacity that one team may hold while
	// another team is active, if it demanded more than that share lately.
	contendedPercent = 30
	// demandWindow is the time over which a team's demand is smoothed.
	demandWindow = time.Second
	// demandUnit is a demand of one part in fixed point.
	demandUnit = 1000
	// ordinaryPercent is the share of the capacity that ordinary requests may
	// hold.
	ordinaryPercent = 90
	// urgentFactorPercent and ordinaryFactorPercent give the time expected for an
	// admitted request, as a percentage of the mean duration of requests that were
	// answered whole.
	urgentFactorPercent   = 150
	ordinaryFactorPercent = 400
	// teamActiveWindow is how long a team counts as active after its last request.
	teamActiveWindow = 10 * time.Second
	// arrivalBuffer is the number of new waiters that can be queued without
	// blocking on the dispatch goroutine.
	arrivalBuffer = 64
)

// The states of a ticket.
const (
	ticketWaiting int32 = iota
	// ticketOffered is set while the dispatch goroutine looks for capacity for a
	// queued request.
	ticketOffered
	ticketGranted
	ticketAbandoned
)

// Request describes a request that asks for admission.
type Request struct {
	Team     string
	Class    contract.Class
	Limits   contract.Limits
	Deadline time.Time
	// Parts is the number of parts that the request sends concurrently.
	Parts int64
}

// Ticket is the admission of one request. It is given back with Release.
type Ticket struct {
	gate  *Gate
	team  *teamState
	class contract.Class
	// parts is the number of parts admitted, heldParts the number of them that are
	// not released yet.
	parts     int64
	heldParts atomic.Int64
	// weight is the weight of the team when teams compete for capacity.
	weight int
	// maxInFlight is the limit on the team's concurrent requests at this gate.
	maxInFlight int64
	state       atomic.Int32
	startedAt   time.Time
}

// teamState holds the counters of one team at a gate.
type teamState struct {
	name string
	// inFlight counts parts, requests counts whole requests.
	inFlight atomic.Int64
	requests atomic.Int64
	// urgentQueued and ordinaryQueued count the requests in the queue.
	urgentQueued   atomic.Int64
	ordinaryQueued atomic.Int64
	// queuedParts counts the parts of the requests in the queue.
	queuedParts atomic.Int64
	// heldNanos is the sum of the times for which parts were in flight, of those that
	// ended since the last call of SetCapacity.
	heldNanos atomic.Int64
	// demand is the smoothed number of parts that are in flight or queued at a time,
	// in 1/demandUnit. Only SetCapacity changes it.
	demand atomic.Int64
	// seenAt is the time of the team's last request in Unix nanoseconds.
	seenAt atomic.Int64
}

// Gate controls the admission of requests to one collection. Make one with New.
type Gate struct {
	capacity atomic.Int64
	// inFlight counts the parts of admitted requests, ordinaryInFlight those of
	// ordinary ones.
	inFlight         atomic.Int64
	ordinaryInFlight atomic.Int64
	// waiting counts the queued requests; urgentQueuedParts and
	// ordinaryQueuedParts count their parts by class.
	waiting             atomic.Int64
	urgentQueuedParts   atomic.Int64
	ordinaryQueuedParts atomic.Int64
	// meanPartNanos is the smoothed duration of a part, meanWholeNanos that of a
	// request that was answered whole.
	meanPartNanos  atomic.Int64
	meanWholeNanos atomic.Int64
	// activeTeams counts the teams seen within teamActiveWindow.
	activeTeams atomic.Int64
	// sampledAt is when the teams' demands were last sampled, in Unix nanoseconds.
	sampledAt atomic.Int64
	teams     sync.Map
	arrivals  chan *waiter
	wake      chan struct{}
	done      chan struct{}
}

// New returns a gate and a function that stops its goroutine.
func New() (*Gate, func()) {
	gt := &Gate{
		arrivals: make(chan *waiter, arrivalBuffer),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	gt.capacity.Store(initialCapacity)
	go gt.dispatch()
	return gt, sync.OnceFunc(func() { close(gt.done) })
}

// SetCapacity sets the number of parts that may be in flight, recounts the active
// teams and samples their demand. Its calls must not overlap.
func (gt *Gate) SetCapacity(now time.Time, parts int64) {
	gt.capacity.Store(max(parts, 1))
	elapsed := time.Duration(now.UnixNano() - gt.sampledAt.Swap(now.UnixNano()))
	active := int64(0)
	gt.teams.Range(func(_, value any) bool {
		tm := value.(*teamState)
		if now.UnixNano()-tm.seenAt.Load() < int64(teamActiveWindow) {
			active++
		}
		tm.sampleDemand(elapsed, max(parts, 1))
		return true
	})
	gt.activeTeams.Store(active)
	gt.signal()
}

// sampleDemand updates the team's demand, elapsed after the last sample. A sample
// counts no more than the capacity, so that a flood is forgotten soon after its end.
func (tm *teamState) sampleDemand(elapsed time.Duration, capacity int64) {
	held := tm.heldNanos.Swap(0)
	if elapsed <= 0 {
		return
	}
	sample := min(held*demandUnit/int64(elapsed)+tm.queuedParts.Load()*demandUnit, capacity*demandUnit)
	weight := int64(min(elapsed, demandWindow) / time.Millisecond)
	old := tm.demand.Load()
	tm.demand.Store(old + (sample-old)*weight/int64(demandWindow/time.Millisecond))
}

// isWithinShare reports whether the team keeps within its share of the capacity, or
// demanded less than that over the last second. A team whose requests overlap by chance
// is not delayed; one that floods always has a queue, and is.
func (tm *teamState) isWithinShare(parts, capacity int64) bool {
	held := tm.inFlight.Load()
	return held == 0 || held+parts <= capacity*contendedPercent/100 ||
		tm.demand.Load() <= capacity*demandUnit*contendedPercent/100
}

// State summarizes the counters of a gate.
type State struct {
	Capacity int64         `json:"capacity"`
	InFlight int64         `json:"in_flight"`
	Waiting  int64         `json:"waiting"`
	Mean     time.Duration `json:"mean_ns"`
}

// State returns the gate's counters.
func (gt *Gate) State() State {
	return State{
		Capacity: gt.capacity.Load(),
		InFlight: gt.inFlight.Load(),
		Waiting:  gt.waiting.Load(),
		Mean:     time.Duration(gt.meanPartNanos.Load()),
	}
}

// Acquire waits for admission. It refuses immediately, with a
// *contract.Refusal, when the team's queue is full or the deadline can't be
// met.
func (gt *Gate) Acquire(ctx context.Context, now time.Time, rq Request) (*Ticket, error) {
	tm := gt.teamFor(now, rq.Team)
	tk := &Ticket{
		gate: gt, team: tm, class: rq.Class, parts: max(rq.Parts, 1),
		weight: max(rq.Limits.Weight, 1), maxInFlight: int64(rq.Limits.MaxInFlight), startedAt: now,
	}
	if gt.waiting.Load() == 0 && gt.tryAdmit(tk) {
		return tk, nil
	}
	if queued := tm.queued(rq.Class).Load(); queued >= int64(rq.Limits.MaxQueued) {
		return nil, contract.NewRefusal(contract.NotRun, contract.CodeQueueFull,
			"%d %s requests of team %s wait already", queued, rq.Class, rq.Team)
	}
	if late := gt.lateness(now, rq, tm); late > 0 {
		return nil, contract.NewRefusal(contract.NotRun, contract.CodeDeadlineHopeless,
			"the queue is so long that the deadline would be missed by %s", late.Round(time.Millisecond))
	}
	return gt.waitInQueue(ctx, tk, rq)
}

// waitInQueue waits until the request is admitted, or until its deadline can no
// longer be met or the context ends, and then refuses it.
func (gt *Gate) waitInQueue(ctx context.Context, tk *Ticket, rq Request) (*Ticket, error) {
	wt := &waiter{ticket: tk, deadline: rq.Deadline, settled: make(chan struct{})}
	gt.countQueued(tk, 1)
	select {
	case gt.arrivals <- wt:
	case <-gt.done:
		gt.countQueued(tk, -1)
		return nil, contract.NewRefusal(contract.NotRun, contract.CodeStarting, "the process is stopping")
	}
	latest := rq.Deadline.Add(-gt.expectedDuration(rq.Class))
	waitCtx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	select {
	case <-wt.settled:
		gt.countQueued(tk, -1)
		return tk, nil
	case <-waitCtx.Done():
	}
	gt.countQueued(tk, -1)
	if !wt.abandon() {
		return tk, nil
	}
	gt.signal()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, contract.NewRefusal(contract.NotRun, contract.CodeCallerGone, "the caller left while the request waited in the queue")
	}
	return nil, contract.NewRefusal(contract.NotRun, contract.CodeDeadlineHopeless,
		"the request waited in the queue until its deadline could not be met")
}

// countQueued updates the queue counters for a request that enters the queue
// (delta 1) or leaves it (delta -1).
func (gt *Gate) countQueued(tk *Ticket, delta int64) {
	gt.waiting.Add(delta)
	if tk.class == contract.Urgent {
		gt.urgentQueuedParts.Add(delta * tk.parts)
	} else {
		gt.ordinaryQueuedParts.Add(delta * tk.parts)
	}
	tk.team.queued(tk.class).Add(delta)
	tk.team.queuedParts.Add(delta * tk.parts)
}

// queued returns the team's counter of queued requests of a class.
func (tm *teamState) queued(class contract.Class) *atomic.Int64 {
	if class == contract.Urgent {
		return &tm.urgentQueued
	}
	return &tm.ordinaryQueued
}

// expectedDuration returns the time to allow for a request after its admission.
func (gt *Gate) expectedDuration(class contract.Class) time.Duration {
	mean := time.Duration(gt.meanWholeNanos.Load())
	if class == contract.Urgent {
		return mean * urgentFactorPercent / 100
	}
	return mean * ordinaryFactorPercent / 100
}

// lateness estimates by how much a request that is queued now would miss its
// deadline. Teams are served in turn, so a request waits only for its own
// team's queue, multiplied by the number of active teams.
func (gt *Gate) lateness(now time.Time, rq Request, tm *teamState) time.Duration {
	queuedParts := gt.urgentQueuedParts.Load()
	teamQueued := tm.urgentQueued.Load()
	if rq.Class != contract.Urgent {
		// Urgent requests overtake ordinary ones.
		queuedParts += gt.ordinaryQueuedParts.Load()
		teamQueued += tm.ordinaryQueued.Load()
	}
	ahead := min(queuedParts, (teamQueued+1)*rq.Parts*max(gt.activeTeams.Load(), 1))
	mean := time.Duration(gt.meanPartNanos.Load())
	wait := time.Duration(float64(mean) * float64(ahead) / float64(gt.capacity.Load()))
	return now.Add(wait + gt.expectedDuration(rq.Class)).Sub(rq.Deadline)
}

// tryAdmit admits a request if there is capacity for it. A request with more parts
// than the capacity is admitted while nothing is in flight.
func (gt *Gate) tryAdmit(tk *Ticket) bool {
	if !gt.mayAdmit(tk) {
		return false
	}
	for {
		inFlight := gt.inFlight.Load()
		if inFlight > 0 && inFlight+tk.parts > gt.capacity.Load() {
			return false
		}
		if gt.inFlight.CompareAndSwap(inFlight, inFlight+tk.parts) {
			break
		}
	}
	tk.heldParts.Store(tk.parts)
	tk.team.inFlight.Add(tk.parts)
	tk.team.requests.Add(1)
	if tk.class != contract.Urgent {
		gt.ordinaryInFlight.Add(tk.parts)
	}
	return true
}

// offer admits a queued request if there is capacity for it, and reports whether the
// request is settled: admitted or abandoned.
func (gt *Gate) offer(wt *waiter) bool {
	tk := wt.ticket
	if !tk.state.CompareAndSwap(ticketWaiting, ticketOffered) {
		return true
	}
	// The requester may read the ticket as soon as it is admitted.
	tk.startedAt = time.Now()
	admitted := gt.tryAdmit(tk)
	next := ticketWaiting
	if admitted {
		next = ticketGranted
	}
	abandoned := !tk.state.CompareAndSwap(ticketOffered, next)
	if abandoned && admitted {
		gt.giveBack(tk)
	}
	if abandoned || admitted {
		close(wt.settled)
		return true
	}
	return false
}

// mayAdmit reports whether the request keeps within its team's limit and share
// and the share of its class.
func (gt *Gate) mayAdmit(tk *Ticket) bool {
	if tk.team.requests.Load() >= tk.maxInFlight {
		return false
	}
	capacity := gt.capacity.Load()
	if gt.activeTeams.Load() > 1 && !tk.team.isWithinShare(tk.parts, capacity) {
		return false
	}
	ordinary := gt.ordinaryInFlight.Load()
	if tk.class != contract.Urgent && ordinary > 0 && ordinary+tk.parts > capacity*ordinaryPercent/100 {
		return false
	}
	return true
}

// Renew holds all parts of the ticket again, for a request that starts anew. The
// capacity may be exceeded by them, since the request is admitted already.
func (tk *Ticket) Renew() {
	missing := tk.parts - tk.heldParts.Swap(tk.parts)
	tk.team.inFlight.Add(missing)
	if tk.class != contract.Urgent {
		tk.gate.ordinaryInFlight.Add(missing)
	}
	tk.gate.inFlight.Add(missing)
}

// ReleasePart releases one part of the ticket. Calls beyond the number of
// admitted parts have no effect.
func (tk *Ticket) ReleasePart(now time.Time) {
	if left := tk.heldParts.Add(-1); left < 0 {
		tk.heldParts.Add(1)
		return
	}
	gt := tk.gate
	took := now.Sub(tk.startedAt)
	updateMean(&gt.meanPartNanos, took)
	tk.team.heldNanos.Add(int64(took))
	gt.release(tk, 1)
}

// updateMean adds a duration to a smoothed mean. When two goroutines race, one
// of their durations is lost.
func updateMean(mean *atomic.Int64, took time.Duration) {
	old := mean.Load()
	if old == 0 {
		old = int64(took)
	}
	mean.Store((old*meanWeight + int64(took)) / (meanWeight + 1))
}

// Release releases the remaining parts of the ticket. It is called once, after
// the last ReleasePart. whole reports whether all shards answered; only then
// does the duration count, since incomplete requests may have waited until
// their deadline.
func (tk *Ticket) Release(now time.Time, whole bool) {
	if whole {
		updateMean(&tk.gate.meanWholeNanos, now.Sub(tk.startedAt))
	}
	left := tk.gate.giveBack(tk)
	tk.team.heldNanos.Add(left * int64(now.Sub(tk.startedAt)))
}

// giveBack ends the admission of a request, releases its remaining parts and returns
// their number.
func (gt *Gate) giveBack(tk *Ticket) int64 {
	tk.team.requests.Add(-1)
	left := max(tk.heldParts.Swap(0), 0)
	gt.release(tk, left)
	return left
}

func (gt *Gate) release(tk *Ticket, parts int64) {
	tk.team.inFlight.Add(-parts)
	if tk.class != contract.Urgent {
		gt.ordinaryInFlight.Add(-parts)
	}
	gt.inFlight.Add(-parts)
	if gt.waiting.Load() > 0 {
		gt.signal()
	}
}

// teamFor returns the counters of a team and records that it was seen.
func (gt *Gate) teamFor(now time.Time, name string) *teamState {
	value, ok := gt.teams.Load(name)
	if !ok {
		value, _ = gt.teams.LoadOrStore(name, &teamState{name: name})
	}
	tm := value.(*teamState)
	tm.seenAt.Store(now.UnixNano())
	return tm
}

// signal wakes the dispatch goroutine without blocking.
func (gt *Gate) signal() {
	select {
	case gt.wake <- struct{}{}:
	default:
	}
}

// dispatch admits queued requests. Only its goroutine uses the queues.
func (gt *Gate) dispatch() {
	qs := newQueues()
	for {
		select {
		case wt := <-gt.arrivals:
			qs.forClass(wt.ticket.class).add(wt)
		case <-gt.wake:
		case <-gt.done:
			return
		}
		gt.admitWaiting(qs)
	}
}

// admitWaiting admits queued requests, urgent ones first, until there is no
// capacity left for the next one.
func (gt *Gate) admitWaiting(qs queues) {
	for _, cq := range qs {
		for {
			cq.dropAbandoned()
			wt := cq.next(gt.mayAdmit)
			if wt == nil {
				break
			}
			if !gt.offer(wt) {
				return
			}
			cq.removeFirst(wt)
		}
	}
}
