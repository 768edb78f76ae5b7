package admit

import (
	"container/heap"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// waiter is one request in a queue.
type waiter struct {
	ticket   *Ticket
	deadline time.Time
	// granted is closed when the request is admitted.
	granted chan struct{}
}

// deadlineHeap orders the waiters of one team, earliest deadline first.
type deadlineHeap []*waiter

func (dh deadlineHeap) Len() int           { return len(dh) }
func (dh deadlineHeap) Less(i, j int) bool { return dh[i].deadline.Before(dh[j].deadline) }
func (dh deadlineHeap) Swap(i, j int)      { dh[i], dh[j] = dh[j], dh[i] }

// Push is for container/heap.
func (dh *deadlineHeap) Push(value any) { *dh = append(*dh, value.(*waiter)) }

// Pop is for container/heap.
func (dh *deadlineHeap) Pop() any {
	last := len(*dh) - 1
	value := (*dh)[last]
	(*dh)[last] = nil
	*dh = (*dh)[:last]
	return value
}

// classQueue holds the waiters of one class by team.
type classQueue struct {
	teams map[string]*deadlineHeap
	size  int
}

func (cq *classQueue) add(wt *waiter) {
	name := wt.ticket.team.name
	team, ok := cq.teams[name]
	if !ok {
		team = &deadlineHeap{}
		cq.teams[name] = team
	}
	heap.Push(team, wt)
	cq.size++
}

// next returns the earliest waiter of the team that uses the least for its
// weight, among the teams that may start. It does not remove it.
func (cq *classQueue) next(mayStart func(*Ticket) bool) *waiter {
	var best *waiter
	for _, team := range cq.teams {
		first := (*team)[0]
		if !mayStart(first.ticket) {
			continue
		}
		if best == nil || usesLess(first, best) {
			best = first
		}
	}
	return best
}

func usesLess(wt, other *waiter) bool {
	one, two := wt.ticket.team, other.ticket.team
	used := one.inFlight.Load() * int64(other.ticket.weight)
	otherUsed := two.inFlight.Load() * int64(wt.ticket.weight)
	if used != otherUsed {
		return used < otherUsed
	}
	return wt.deadline.Before(other.deadline)
}

// remove takes out the first waiter of a team.
func (cq *classQueue) remove(wt *waiter) {
	name := wt.ticket.team.name
	team := cq.teams[name]
	heap.Pop(team)
	cq.size--
	if team.Len() == 0 {
		delete(cq.teams, name)
	}
}

// dropExpired removes first waiters whose requests gave up.
func (cq *classQueue) dropExpired() {
	for _, team := range cq.teams {
		for team.Len() > 0 && (*team)[0].ticket.state.Load() == ticketGone {
			cq.remove((*team)[0])
		}
	}
}

// queues holds a queue for each class, the most urgent first.
type queues [2]*classQueue

func newQueues() queues {
	return queues{
		{teams: map[string]*deadlineHeap{}},
		{teams: map[string]*deadlineHeap{}},
	}
}

func (qs queues) of(class contract.Class) *classQueue {
	if class == contract.Urgent {
		return qs[0]
	}
	return qs[1]
}
