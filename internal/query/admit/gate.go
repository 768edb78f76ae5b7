// Package admit lets requests start while the servers behind a collection have
// room, the urgent and the earliest first, and refuses those that can't be
// answered in time.
package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// smoothing is the weight of old durations in the mean, in 1/64.
	smoothing = 63
	// startCapacity is used until the first SetCapacity.
	startCapacity = 256
	// contendedShare is the part of the capacity, in 1/100, that one team may
	// hold while another one is active.
	contendedShare = 30
	// ordinaryShare is the part of the capacity, in 1/100, that ordinary
	// requests may hold.
	ordinaryShare = 90
	// urgentMargin and ordinaryMargin are the time allowed for an admitted
	// request against the mean of whole ones, in 1/100.
	urgentMargin   = 150
	ordinaryMargin = 400
	// activeFor is how long a team counts as active after its last request.
	activeFor = 10 * time.Second
	// wakeBuffer is the number of new waiters that need not wait for the
	// goroutine of the gate.
	wakeBuffer = 64
)

// The states of a ticket.
const (
	ticketWaiting int32 = iota
	ticketGranted
	ticketGone
)

// Demand is what one request asks of a gate.
type Demand struct {
	Team     string
	Class    contract.Class
	Limits   contract.Limits
	Deadline time.Time
	// Parts is the number of parts that the request sends at once.
	Parts int64
}

// Ticket is the right of one request to run, to be given back with Leave.
type Ticket struct {
	gate  *Gate
	team  *team
	class contract.Class
	// parts is what was admitted, held what is not over yet.
	parts  int64
	held   atomic.Int64
	weight int
	// maxInFlight bounds the team's requests at the gate.
	maxInFlight int64
	state       atomic.Int32
	startedAt   time.Time
}

// team is what a gate knows of one team.
type team struct {
	name string
	// inFlight counts parts, requests counts whole requests.
	inFlight atomic.Int64
	requests atomic.Int64
	// urgentQueued and ordinaryQueued count the requests that wait.
	urgentQueued   atomic.Int64
	ordinaryQueued atomic.Int64
	// seenAt is in Unix nanoseconds.
	seenAt atomic.Int64
}

// Gate admits the requests of one collection. Make one with New.
type Gate struct {
	capacity atomic.Int64
	// inFlight counts the parts of admitted requests.
	inFlight atomic.Int64
	ordinary atomic.Int64
	// waiting counts the requests in the queues, the other two their parts.
	waiting       atomic.Int64
	urgentParts   atomic.Int64
	ordinaryParts atomic.Int64
	// meanNanos is the smoothed duration of a part, wholeNanos that of a
	// request that was answered whole.
	meanNanos  atomic.Int64
	wholeNanos atomic.Int64
	// activeTeams counts the teams seen within activeFor.
	activeTeams atomic.Int64
	teams       sync.Map
	arrivals    chan *waiter
	wake        chan struct{}
	done        chan struct{}
}

// New returns a gate and a function that ends its goroutine.
func New() (*Gate, func()) {
	gt := &Gate{
		arrivals: make(chan *waiter, wakeBuffer),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	gt.capacity.Store(startCapacity)
	go gt.serve()
	return gt, sync.OnceFunc(func() { close(gt.done) })
}

// SetCapacity sets the number of parts that may be in flight, and counts the
// active teams.
func (gt *Gate) SetCapacity(now time.Time, parts int64) {
	gt.capacity.Store(max(parts, 1))
	active := int64(0)
	gt.teams.Range(func(_, value any) bool {
		if now.UnixNano()-value.(*team).seenAt.Load() < int64(activeFor) {
			active++
		}
		return true
	})
	gt.activeTeams.Store(active)
	gt.signal()
}

// State is a summary of a gate.
type State struct {
	Capacity int64         `json:"capacity"`
	InFlight int64         `json:"in_flight"`
	Waiting  int64         `json:"waiting"`
	Mean     time.Duration `json:"mean_ns"`
}

// State returns a summary.
func (gt *Gate) State() State {
	return State{
		Capacity: gt.capacity.Load(),
		InFlight: gt.inFlight.Load(),
		Waiting:  gt.waiting.Load(),
		Mean:     time.Duration(gt.meanNanos.Load()),
	}
}

// Enter waits for admission. It refuses at once, with a *contract.Refusal, when
// the team's queue is full or the deadline can't be met.
func (gt *Gate) Enter(ctx context.Context, now time.Time, dm Demand) (*Ticket, error) {
	tm := gt.team(now, dm.Team)
	tk := &Ticket{
		gate: gt, team: tm, class: dm.Class, parts: max(dm.Parts, 1),
		weight: max(dm.Limits.Weight, 1), maxInFlight: int64(dm.Limits.MaxInFlight), startedAt: now,
	}
	if gt.waiting.Load() == 0 && gt.tryStart(tk) {
		return tk, nil
	}
	if queued := tm.queued(dm.Class).Load(); queued >= int64(dm.Limits.MaxQueued) {
		return nil, contract.Refuse(contract.NotRun, contract.CodeQueueFull,
			"%d %s requests of team %s wait already", queued, dm.Class, dm.Team)
	}
	if late := gt.lateness(now, dm, tm); late > 0 {
		return nil, contract.Refuse(contract.NotRun, contract.CodeDeadlineHopeless,
			"the queue is so long that the deadline would be missed by %s", late.Round(time.Millisecond))
	}
	return gt.queue(ctx, tk, dm)
}

func (gt *Gate) queue(ctx context.Context, tk *Ticket, dm Demand) (*Ticket, error) {
	wt := &waiter{ticket: tk, deadline: dm.Deadline, granted: make(chan struct{})}
	gt.count(tk, 1)
	select {
	case gt.arrivals <- wt:
	case <-gt.done:
		gt.count(tk, -1)
		return nil, contract.Refuse(contract.NotRun, contract.CodeStarting, "the process is stopping")
	}
	latest := dm.Deadline.Add(-gt.usual(dm.Class))
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	select {
	case <-wt.granted:
		gt.count(tk, -1)
		return tk, nil
	case <-ctx.Done():
	}
	gt.count(tk, -1)
	if !tk.state.CompareAndSwap(ticketWaiting, ticketGone) {
		return tk, nil
	}
	gt.signal()
	return nil, contract.Refuse(contract.NotRun, contract.CodeDeadlineHopeless,
		"the request waited in the queue until its deadline could not be met")
}

func (gt *Gate) count(tk *Ticket, by int64) {
	gt.waiting.Add(by)
	if tk.class == contract.Urgent {
		gt.urgentParts.Add(by * tk.parts)
	} else {
		gt.ordinaryParts.Add(by * tk.parts)
	}
	tk.team.queued(tk.class).Add(by)
}

func (tm *team) queued(class contract.Class) *atomic.Int64 {
	if class == contract.Urgent {
		return &tm.urgentQueued
	}
	return &tm.ordinaryQueued
}

// usual returns how long a request may take once it is admitted.
func (gt *Gate) usual(class contract.Class) time.Duration {
	mean := time.Duration(gt.wholeNanos.Load())
	if class == contract.Urgent {
		return mean * urgentMargin / 100
	}
	return mean * ordinaryMargin / 100
}

// lateness returns by how much a request that queues now would be late. Teams
// take turns, so that only the own team's queue is ahead, once for each team.
func (gt *Gate) lateness(now time.Time, dm Demand, tm *team) time.Duration {
	all := gt.urgentParts.Load()
	own := tm.urgentQueued.Load()
	if dm.Class != contract.Urgent {
		// Urgent requests overtake ordinary ones.
		all += gt.ordinaryParts.Load()
		own += tm.ordinaryQueued.Load()
	}
	ahead := min(all, (own+1)*dm.Parts*max(gt.activeTeams.Load(), 1))
	mean := time.Duration(gt.meanNanos.Load())
	wait := time.Duration(float64(mean) * float64(ahead) / float64(gt.capacity.Load()))
	return now.Add(wait + gt.usual(dm.Class)).Sub(dm.Deadline)
}

// tryStart admits a ticket if there is room.
func (gt *Gate) tryStart(tk *Ticket) bool {
	if !gt.mayStart(tk) {
		return false
	}
	for {
		have := gt.inFlight.Load()
		if have > 0 && have+tk.parts > gt.capacity.Load() {
			return false
		}
		if gt.inFlight.CompareAndSwap(have, have+tk.parts) {
			break
		}
	}
	if !tk.state.CompareAndSwap(ticketWaiting, ticketGranted) {
		gt.inFlight.Add(-tk.parts)
		return false
	}
	tk.held.Store(tk.parts)
	tk.team.inFlight.Add(tk.parts)
	tk.team.requests.Add(1)
	if tk.class != contract.Urgent {
		gt.ordinary.Add(tk.parts)
	}
	return true
}

// mayStart checks the shares of the team and of the class.
func (gt *Gate) mayStart(tk *Ticket) bool {
	if tk.team.requests.Load() >= tk.maxInFlight {
		return false
	}
	capacity := gt.capacity.Load()
	held := tk.team.inFlight.Load()
	if gt.activeTeams.Load() > 1 && held > 0 && held+tk.parts > capacity*contendedShare/100 {
		return false
	}
	ordinary := gt.ordinary.Load()
	if tk.class != contract.Urgent && ordinary > 0 && ordinary+tk.parts > capacity*ordinaryShare/100 {
		return false
	}
	return true
}

// PartOver gives one part of the ticket back. Parts beyond those admitted are
// passed over.
func (tk *Ticket) PartOver(now time.Time) {
	if left := tk.held.Add(-1); left < 0 {
		tk.held.Add(1)
		return
	}
	gt := tk.gate
	smooth(&gt.meanNanos, now.Sub(tk.startedAt))
	gt.release(tk, 1)
}

// smooth takes a duration into a mean. A lost race loses one of them.
func smooth(mean *atomic.Int64, took time.Duration) {
	old := mean.Load()
	if old == 0 {
		old = int64(took)
	}
	mean.Store((old*smoothing + int64(took)) / (smoothing + 1))
}

// Leave gives the rest of the ticket back. It is called once, after the last
// PartOver. whole tells whether the request was answered whole: others may have
// waited for their deadline.
func (tk *Ticket) Leave(now time.Time, whole bool) {
	if whole {
		smooth(&tk.gate.wholeNanos, now.Sub(tk.startedAt))
	}
	tk.team.requests.Add(-1)
	tk.gate.release(tk, max(tk.held.Swap(0), 0))
}

func (gt *Gate) release(tk *Ticket, parts int64) {
	tk.team.inFlight.Add(-parts)
	if tk.class != contract.Urgent {
		gt.ordinary.Add(-parts)
	}
	gt.inFlight.Add(-parts)
	if gt.waiting.Load() > 0 {
		gt.signal()
	}
}

func (gt *Gate) team(now time.Time, name string) *team {
	value, ok := gt.teams.Load(name)
	if !ok {
		value, _ = gt.teams.LoadOrStore(name, &team{name: name})
	}
	tm := value.(*team)
	tm.seenAt.Store(now.UnixNano())
	return tm
}

func (gt *Gate) signal() {
	select {
	case gt.wake <- struct{}{}:
	default:
	}
}

// serve owns the queues.
func (gt *Gate) serve() {
	qs := newQueues()
	for {
		select {
		case wt := <-gt.arrivals:
			qs.of(wt.ticket.class).add(wt)
		case <-gt.wake:
		case <-gt.done:
			return
		}
		gt.admitAll(qs)
	}
}

func (gt *Gate) admitAll(qs queues) {
	for _, cq := range qs {
		for {
			cq.dropExpired()
			wt := cq.next(gt.mayStart)
			if wt == nil {
				break
			}
			if !gt.tryStart(wt.ticket) {
				if wt.ticket.state.Load() == ticketGone {
					continue
				}
				return
			}
			cq.remove(wt)
			wt.ticket.startedAt = time.Now()
			close(wt.granted)
		}
	}
}
