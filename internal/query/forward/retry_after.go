package forward

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// minRetryAfterStarting is the least delay for a process that has no
	// configuration yet. The process requests one several times a second.
	minRetryAfterStarting = 300 * time.Millisecond
	// minRetryAfter is the least delay when no server accepted the request: about
	// the time that one answer takes.
	minRetryAfter = 50 * time.Millisecond
	// minRetryAfterOverload is the least delay when the servers have no room: a caller
	// that returns at once meets the same queues.
	minRetryAfterOverload = 200 * time.Millisecond
	// overloadGap is the time without refusals after which an overload is over.
	overloadGap = time.Second
	// maxRetryAfter bounds the delay, so that callers notice the end of an outage
	// soon.
	maxRetryAfter = time.Second
	// outageShare is the part of an outage so far that callers wait before they
	// return: an outage that has lasted for long will probably not end at once, and
	// each return in vain costs the caller a part of its time.
	outageShare = 0.5
	// retrySpread is the part of a delay by which it is lengthened at most, by the
	// request's id, so that the refused callers do not return at one moment.
	retrySpread = 0.25
)

// outage tracks since when all calls of a kind were refused as not run. It answers
// loads in which nothing can be served for a while, such as the loss of all servers
// of a shard, or a restart while the platform does not answer. Its methods may be
// called by any number of goroutines.
type outage struct {
	// since is when the first call after the last answered one was refused, in Unix
	// nanoseconds; 0 if the last call was answered.
	since atomic.Int64
}

// end records an answered call.
func (og *outage) end() {
	if og.since.Load() != 0 {
		og.since.Store(0)
	}
}

// retryAfter records a refused call, and returns how long its caller should wait, at
// least for a minimum.
func (og *outage) retryAfter(now time.Time, id string, least time.Duration) time.Duration {
	og.since.CompareAndSwap(0, now.UnixNano())
	lasted := time.Duration(now.UnixNano() - og.since.Load())
	delay := min(max(time.Duration(outageShare*float64(lasted)), least), maxRetryAfter)
	const steps = 1 << 10
	spread := float64(xxhash.Sum64String(id)%steps) / steps
	return delay + time.Duration(retrySpread*spread*float64(delay))
}

// overload tracks since when calls of a kind are refused because servers have no room,
// while others are answered. Its methods may be called by any number of goroutines.
type overload struct {
	outage outage
	// refusedAt is when a call was last refused, in Unix nanoseconds.
	refusedAt atomic.Int64
}

// retryAfter records a refused call, and returns how long its caller should wait.
func (ov *overload) retryAfter(now time.Time, id string) time.Duration {
	if last := ov.refusedAt.Swap(now.UnixNano()); now.UnixNano()-last > int64(overloadGap) {
		ov.outage.end()
	}
	return ov.outage.retryAfter(now, id, minRetryAfterOverload)
}

// RetryAfter returns how long a caller should wait before it resends a request
// that was refused and did not run.
func RetryAfter(rf *contract.Refusal) time.Duration {
	return max(rf.RetryAfter, minRetryAfter)
}
