package admit

import (
	"container/heap"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// waiter is a queued request.
type waiter struct {
	ticket   *Ticket
	deadline time.Time
	// settled is closed when the request is admitted, or when the gate has seen that
	// it was abandoned while being offered capacity.
	settled chan struct{}
}

// abandon gives up a queued request, unless it was admitted meanwhile, and reports
// whether it did. Once it returns, the gate holds no capacity for the request.
func (wt *waiter) abandon() bool {
	state := &wt.ticket.state
	for {
		switch {
		case state.CompareAndSwap(ticketWaiting, ticketAbandoned):
			return true
		case state.CompareAndSwap(ticketOffered, ticketAbandoned):
			<-wt.settled
			return true
		case state.Load() == ticketGranted:
			return false
		}
	}
}

// deadlineHeap orders the waiters of one team, earliest deadline first.
type deadlineHeap []*waiter

func (dh deadlineHeap) Len() int           { return len(dh) }
func (dh deadlineHeap) Less(i, j int) bool { return dh[i].deadline.Before(dh[j].deadline) }
func (dh deadlineHeap) Swap(i, j int)      { dh[i], dh[j] = dh[j], dh[i] }

// Push implements heap.Interface.
func (dh *deadlineHeap) Push(value any) { *dh = append(*dh, value.(*waiter)) }

// Pop implements heap.Interface.
func (dh *deadlineHeap) Pop() any {
	last := len(*dh) - 1
	value := (*dh)[last]
	(*dh)[last] = nil
	*dh = (*dh)[:last]
	return value
}

// classQueue holds the queued requests of one class by team.
type classQueue struct {
	teams map[string]*deadlineHeap
}

func (cq *classQueue) add(wt *waiter) {
	name := wt.ticket.team.name
	team, ok := cq.teams[name]
	if !ok {
		team = &deadlineHeap{}
		cq.teams[name] = team
	}
	heap.Push(team, wt)
}

// next returns the request with the earliest deadline of the team that uses the
// least capacity for its weight, among the teams whose request may be admitted.
// The request stays in the queue; nil means that there is none.
func (cq *classQueue) next(mayAdmit func(*Ticket) bool) *waiter {
	var best *waiter
	for _, team := range cq.teams {
		first := (*team)[0]
		if !mayAdmit(first.ticket) {
			continue
		}
		if best == nil || comesBefore(first, best) {
			best = first
		}
	}
	return best
}

// comesBefore reports whether wt, of one team, is admitted before other, of
// another: first by the team's parts in flight divided by its weight, then by
// deadline.
func comesBefore(wt, other *waiter) bool {
	team, otherTeam := wt.ticket.team, other.ticket.team
	used := team.inFlight.Load() * int64(other.ticket.weight)
	otherUsed := otherTeam.inFlight.Load() * int64(wt.ticket.weight)
	if used != otherUsed {
		return used < otherUsed
	}
	return wt.deadline.Before(other.deadline)
}

// removeFirst removes wt, which must be the first request of its team.
func (cq *classQueue) removeFirst(wt *waiter) {
	name := wt.ticket.team.name
	team := cq.teams[name]
	heap.Pop(team)
	if team.Len() == 0 {
		delete(cq.teams, name)
	}
}

// dropAbandoned removes the abandoned requests at the head of each team's
// queue.
func (cq *classQueue) dropAbandoned() {
	for _, team := range cq.teams {
		for team.Len() > 0 && (*team)[0].ticket.state.Load() == ticketAbandoned {
			cq.removeFirst((*team)[0])
		}
	}
}

// queues holds one queue for each class, the urgent one first.
type queues [2]*classQueue

func newQueues() queues {
	return queues{
		{teams: map[string]*deadlineHeap{}},
		{teams: map[string]*deadlineHeap{}},
	}
}

func (qs queues) forClass(class contract.Class) *classQueue {
	if class == contract.Urgent {
		return qs[0]
	}
	return qs[1]
}
