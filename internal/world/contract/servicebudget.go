package contract

import (
	"sync/atomic"
	"time"
)

const (
	// stepsPerWindow is the number of steps into which a window is divided. The
	// window moves by one step at a time.
	stepsPerWindow = 20
	// stepSlots is the length of the ring of steps. It must be a power of two
	// greater than stepsPerWindow + 1.
	stepSlots = 32
	// usableShare is the share of its budget that a process uses. The rest is
	// a safety margin for requests that are not counted here and for sends that
	// are counted late.
	usableShare = 0.85
	// maxReserveShare is the largest share of a budget that is reserved for
	// required sends.
	maxReserveShare = 0.5
)

// RetryBudget limits the extra sends that all entry VMs together make to a service
// in any window. Every send of a request after its first is an extra send.
type RetryBudget struct {
	// Ratio is the number of extra sends allowed for each request.
	Ratio float64 `json:"ratio"`
	// Slack is the number of extra sends allowed whatever the number of requests.
	Slack  float64       `json:"slack"`
	Window time.Duration `json:"window_ns"`
}

// Share returns the budget that each of entryVMs processes may use: usableShare of
// the ratio and the slack. Only the slack is divided, since each entry VM counts
// only its own requests.
func (rb RetryBudget) Share(entryVMs int) RetryBudget {
	rb.Ratio *= usableShare
	rb.Slack *= usableShare / float64(max(entryVMs, 1))
	return rb
}

const (
	// A step is stored as one word, so that it changes at once: the number that
	// identifies it in time, without the upper bits, and the count of its events
	// in the lowest countBits.
	countBits = 24
	countMask = 1<<countBits - 1
)

// SlidingCount counts events in a sliding window. Its methods may be called by any
// number of goroutines.
type SlidingCount struct {
	// steps is a ring. A step that has a different number than expected counts as
	// empty.
	steps [stepSlots]atomic.Uint64
}

// Add counts one event.
func (sc *SlidingCount) Add(now time.Time, window time.Duration) {
	number := stepNumber(now, window)
	st := &sc.steps[number%stepSlots]
	empty := uint64(number) << countBits
	for {
		have := st.Load()
		next := empty + 1
		if have&^countMask == empty {
			next = have + 1
		}
		if st.CompareAndSwap(have, next) {
			return
		}
	}
}

// Sum returns the number of events in the given number of newest steps, including
// the current one.
func (sc *SlidingCount) Sum(now time.Time, window time.Duration, steps int64) int64 {
	newest := stepNumber(now, window)
	sum := int64(0)
	for number := newest - steps + 1; number <= newest; number++ {
		have := sc.steps[number&(stepSlots-1)].Load()
		if have&^countMask == uint64(number)<<countBits {
			sum += int64(have & countMask)
		}
	}
	return sum
}

func stepNumber(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / max(int64(window)/stepsPerWindow, 1)
}

// ServiceBudget limits the extra sends of one process to one service to the
// process's share of the retry budget. An extra send is required if the request
// can't be answered without it. Its methods may be called by any number of
// goroutines. Make one with NewServiceBudget.
type ServiceBudget struct {
	// share is the share of this process; it is replaced when the number of entry
	// VMs changes.
	share *atomic.Pointer[RetryBudget]
	// startedAt is when counting began. The slack is not used until a window has
	// passed since then, because an earlier process on this VM may have used it.
	startedAt time.Time
	requests  SlidingCount
	extra     SlidingCount
	// required counts the required extra sends.
	required SlidingCount
	// byLevel counts the extra sends of each priority but the last; nil until one has a
	// priority.
	byLevel atomic.Pointer[[PriorityLevels - 1]SlidingCount]
	// Denied counts the extra sends that were denied.
	Denied atomic.Int64
	// Contention decides which requests for the service are held back.
	Contention Contention
}

// NewServiceBudget returns a budget with the given share, which the owner may
// replace at any time.
func NewServiceBudget(now time.Time, share *atomic.Pointer[RetryBudget]) *ServiceBudget {
	return &ServiceBudget{share: share, startedAt: now}
}

// CountRequest counts a request for the service.
func (sb *ServiceBudget) CountRequest(now time.Time) {
	sb.requests.Add(now, sb.share.Load().Window)
}

// HasRecentRequests reports whether there were requests in the current window.
func (sb *ServiceBudget) HasRecentRequests(now time.Time) bool {
	return sb.requests.Sum(now, sb.share.Load().Window, stepsPerWindow) > 0
}

// left returns how many extra sends are still allowed, and how many are allowed in
// the whole window.
func (sb *ServiceBudget) left(now time.Time) (left, allowed float64) {
	rb := sb.share.Load()
	// Count extra sends in one step more and requests in one step less, since
	// the oldest step is only partly inside the window.
	extra := sb.extra.Sum(now, rb.Window, stepsPerWindow+1)
	requests := sb.requests.Sum(now, rb.Window, stepsPerWindow-1)
	allowed = rb.Ratio * float64(requests)
	if now.Sub(sb.startedAt) > rb.Window {
		allowed += rb.Slack
	}
	return allowed - float64(extra), allowed
}

// trySpend counts an extra send if it is allowed, and reports whether it is. For
// sends that are not required, it keeps a reserve for required and for more urgent ones
// as large as their number in the current window, at most maxReserveShare of the budget.
// level is that of the request's priority, noLevel if priorities don't count.
func (sb *ServiceBudget) trySpend(now time.Time, level int, required bool) bool {
	left, allowed := sb.left(now)
	reserve := 0.0
	if !required {
		wanted := sb.required.Sum(now, sb.share.Load().Window, stepsPerWindow) + sb.moreUrgent(now, level)
		reserve = min(allowed*maxReserveShare, float64(wanted))
	}
	if left-reserve < 1 {
		sb.Denied.Add(1)
		return false
	}
	sb.extra.Add(now, sb.share.Load().Window)
	if required {
		sb.required.Add(now, sb.share.Load().Window)
	} else if level >= 0 && level < PriorityLevels-1 {
		sb.levelCounts()[level].Add(now, sb.share.Load().Window)
	}
	return true
}

// noLevel is the level of a request if priorities don't count.
const noLevel = -1

// moreUrgent returns the number of extra sends of requests that are more urgent, without
// the required ones.
func (sb *ServiceBudget) moreUrgent(now time.Time, level int) int64 {
	counts := sb.byLevel.Load()
	if counts == nil {
		return 0
	}
	sum := int64(0)
	for i := range level {
		sum += counts[i].Sum(now, sb.share.Load().Window, stepsPerWindow)
	}
	return sum
}

func (sb *ServiceBudget) levelCounts() *[PriorityLevels - 1]SlidingCount {
	if sb.byLevel.Load() == nil {
		sb.byLevel.CompareAndSwap(nil, &[PriorityLevels - 1]SlidingCount{})
	}
	return sb.byLevel.Load()
}

// TryHedge counts a hedge, a second attempt while the first has no answer yet,
// and reports whether it is allowed.
func (sb *ServiceBudget) TryHedge(now time.Time, required bool) bool {
	return sb.trySpend(now, noLevel, required)
}

// TryRetry counts a retry after an attempt that failed with cause, and reports
// whether it is allowed. A retry is not counted if the failed attempt did not
// reach the server.
func (sb *ServiceBudget) TryRetry(now time.Time, cause Cause, required bool) bool {
	return isFreeRetry(cause) || sb.trySpend(now, noLevel, required)
}

// isFreeRetry reports whether the attempt that failed did not reach the server.
func isFreeRetry(cause Cause) bool {
	return cause == CauseDialFailed || cause == CauseNoLink || cause == CauseWithheld
}

// PriorityBudget is the budget of a service for requests of a priority. It leaves as much
// to more urgent requests as they used in the current window.
type PriorityBudget struct {
	*ServiceBudget
	Priority int
}

// TryHedge counts a hedge, and reports whether it is allowed.
func (pb PriorityBudget) TryHedge(now time.Time, required bool) bool {
	return pb.trySpend(now, levelOf(pb.Priority), required)
}

// TryRetry counts a retry, and reports whether it is allowed.
func (pb PriorityBudget) TryRetry(now time.Time, cause Cause, required bool) bool {
	return isFreeRetry(cause) || pb.trySpend(now, levelOf(pb.Priority), required)
}
