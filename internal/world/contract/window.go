package contract

import (
	"sync/atomic"
	"time"
)

const (
	// stepsPerWindow divides a window, so that it slides in small steps.
	stepsPerWindow = 20
	// keptSteps is a power of two above stepsPerWindow + 1.
	keptSteps = 32
	// safeShare is the part of the allowance that one process uses: requests
	// that came but were not counted here, and sends that were counted late,
	// take the rest.
	safeShare = 0.85
	// mostReserve bounds the part of an allowance that is kept for sends
	// without which an answer is of no use.
	mostReserve = 0.5
)

// Allowance bounds the sends to a service beyond the first of each request, for
// all entry VMs together, in any window.
type Allowance struct {
	// Ratio is the extra sends for each request.
	Ratio float64 `json:"ratio"`
	// Slack is the extra sends allowed in any case.
	Slack  float64       `json:"slack"`
	Window time.Duration `json:"window_ns"`
}

// Share returns what one of a number of entry VMs may use. Requests are counted
// by each for itself, so only the slack is divided.
func (al Allowance) Share(entryVMs int) Allowance {
	al.Ratio *= safeShare
	al.Slack *= safeShare / float64(max(entryVMs, 1))
	return al
}

// step counts the events of one part of a window.
type step struct {
	// number is the step's place in time; a step with another number is empty.
	number atomic.Int64
	count  atomic.Int64
}

// SlidingCount counts events in a window that slides. Its methods may be called
// by any number of goroutines.
type SlidingCount struct {
	steps [keptSteps]step
}

// Add counts one event.
func (sc *SlidingCount) Add(now time.Time, window time.Duration) {
	number := stepAt(now, window)
	st := &sc.steps[number%keptSteps]
	if have := st.number.Load(); have != number && st.number.CompareAndSwap(have, number) {
		st.count.Store(0)
	}
	st.count.Add(1)
}

// Sum returns the events of the newest steps, the current one included.
func (sc *SlidingCount) Sum(now time.Time, window time.Duration, steps int64) int64 {
	newest := stepAt(now, window)
	sum := int64(0)
	for number := newest - steps + 1; number <= newest; number++ {
		st := &sc.steps[number&(keptSteps-1)]
		if st.number.Load() == number {
			sum += st.count.Load()
		}
	}
	return sum
}

func stepAt(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / max(int64(window)/stepsPerWindow, 1)
}

// ServiceBudget keeps the sends of one process to one service within its share
// of an allowance. Its methods may be called by any number of goroutines. Make
// one with NewServiceBudget.
type ServiceBudget struct {
	// share is this process's; it is replaced when entry VMs come and go.
	share *atomic.Pointer[Allowance]
	// startedAt is when the process began to count. The slack is not used
	// before a window has passed: an earlier process on this VM may have used
	// it.
	startedAt time.Time
	requests  SlidingCount
	extra     SlidingCount
	// decisive counts the extra sends without which an answer was of no use.
	decisive SlidingCount
	// Refused counts the extra sends that were not allowed.
	Refused atomic.Int64
}

// NewServiceBudget returns a budget under a share that its owner replaces.
func NewServiceBudget(now time.Time, share *atomic.Pointer[Allowance]) *ServiceBudget {
	return &ServiceBudget{share: share, startedAt: now}
}

// Request counts a request for the service.
func (sb *ServiceBudget) Request(now time.Time) {
	sb.requests.Add(now, sb.share.Load().Window)
}

// IsUsed reports whether requests came within the window.
func (sb *ServiceBudget) IsUsed(now time.Time) bool {
	return sb.requests.Sum(now, sb.share.Load().Window, stepsPerWindow) > 0
}

// left returns how many extra sends are allowed now, and how many in the window.
func (sb *ServiceBudget) left(now time.Time) (left, allowed float64) {
	al := sb.share.Load()
	// A step more of extra sends and a step less of requests make up for steps
	// that are partly outside the window.
	extra := sb.extra.Sum(now, al.Window, stepsPerWindow+1)
	requests := sb.requests.Sum(now, al.Window, stepsPerWindow-1)
	allowed = al.Ratio * float64(requests)
	if now.Sub(sb.startedAt) > al.Window {
		allowed += al.Slack
	}
	return allowed - float64(extra), allowed
}

// trySpend counts an extra send if it is allowed. Those that do not decide
// about an answer leave as much to those that do as they took of late.
func (sb *ServiceBudget) trySpend(now time.Time, decides bool) bool {
	left, allowed := sb.left(now)
	reserve := 0.0
	if !decides {
		reserve = min(allowed*mostReserve, float64(sb.decisive.Sum(now, sb.share.Load().Window, stepsPerWindow)))
	}
	if left-reserve < 1 {
		sb.Refused.Add(1)
		return false
	}
	sb.extra.Add(now, sb.share.Load().Window)
	if decides {
		sb.decisive.Add(now, sb.share.Load().Window)
	}
	return true
}

// TryHedge counts a second send of a part that has no answer yet.
func (sb *ServiceBudget) TryHedge(now time.Time, decides bool) bool {
	return sb.trySpend(now, decides)
}

// TryRetry counts a send after an attempt that ended with a cause. One that did
// not reach the server is no extra send.
func (sb *ServiceBudget) TryRetry(now time.Time, cause Cause, decides bool) bool {
	return cause == CauseDialFailed || cause == CauseNoLink || sb.trySpend(now, decides)
}
