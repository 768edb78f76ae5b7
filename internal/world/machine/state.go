package machine

import (
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// limitUnit is one request in the fixed-point in-flight limit.
	limitUnit = 1000
	// coldLimit is the in-flight limit of a server that was not used yet.
	coldLimit = 2 * limitUnit
	// lowestLimit keeps a probe of one request going.
	lowestLimit = 1 * limitUnit
	// decrease is the factor, in 1/100, on a sign of overload.
	decrease = 70
	// slowDecrease is the factor, in 1/100, while the server is slow.
	slowDecrease = 90
	// slowFactor is the multiple of the usual latency from which a server
	// counts as slow, and usualWeight the number of answers in which the usual
	// latency follows a rise.
	slowFactor  = 3
	usualWeight = 2000
	// decreasePause is the shortest time between two decreases.
	decreasePause = 100 * time.Millisecond
	// suspectTime is how long a server that failed is tried last.
	suspectTime = 2 * time.Second
	// lostTime is how long a server is not asked for a snapshot that it lost.
	lostTime = 5 * time.Second
	// riseWeight and fallWeight are the weights of a new latency, in 1/100.
	riseWeight = 30
	fallWeight = 10
	// cutWeight is the weight of an answer that was not waited for, while that may
	// be a pause of the server; pauseTime is longer than those of the users'
	// servers, 100 to 120 ms.
	cutWeight = 15
	pauseTime = 150 * time.Millisecond
	// unseenFactor is the time of an answer that nobody saw against the time for
	// which it was waited: what is left is expected to take as long again.
	unseenFactor = 2
	// shortestLatency keeps a known latency from looking unknown.
	shortestLatency = time.Microsecond
	// latencyHalfLife is the time in which an unused latency counts half.
	latencyHalfLife = time.Second
	// longestDecay bounds the halvings.
	longestDecay = 6
	// shareUnit is the whole of a share in fixed point, and missWeight the weight
	// of one answer in the share of misses, in 1/100.
	shareUnit  = 1000
	missWeight = 15
	// missHalfLife is the time in which a share of misses counts half while the
	// server is not asked.
	missHalfLife = 2 * time.Second
	// mostMisses keeps the expected number of sends finite.
	mostMisses = 950
)

// ServerState is what this process knows of a server from its own traffic.
type ServerState struct {
	// InFlight counts the parts that wait for the server or run on it.
	InFlight atomic.Int64
	// Limit is the adaptive in-flight limit in 1/1000 requests; 0 is cold.
	Limit atomic.Int64
	// LimitCutAt is when the limit was last decreased, in Unix nanoseconds.
	LimitCutAt atomic.Int64
	// LeavingAt is when a source last said that the server leaves, in Unix
	// nanoseconds; 0 is never.
	LeavingAt atomic.Int64
	// SuspectUntil is the end of the time after a failure in which the server is
	// tried last, in Unix nanoseconds. An answer to a later part ends it.
	SuspectUntil atomic.Int64
	// LapsedUntil is as SuspectUntil for a server whose record vanished; no
	// answer ends it.
	LapsedUntil atomic.Int64
	// CutSince is when a part was first not waited for since the last answer, in
	// Unix nanoseconds; 0 if none was.
	CutSince atomic.Int64
	// ReportedLoad is the number of requests that the server says it has.
	ReportedLoad atomic.Int64
	// ReportedAt is when the load was reported, in Unix nanoseconds.
	ReportedAt atomic.Int64
	// Runs counts the parts sent.
	Runs atomic.Int64
	// LatencyNanos is the smoothed time of an answer without the way there and
	// back; 0 is unknown.
	LatencyNanos atomic.Int64
	// LatencyAt is when LatencyNanos last changed, in Unix nanoseconds.
	LatencyAt atomic.Int64
	// UsualNanos is the latency of the server while it is not in full use.
	UsualNanos atomic.Int64
	// Misses is the smoothed share of parts that the server rejected or failed,
	// in 1/1000.
	Misses atomic.Int64
	// AnsweredAt is when the server last answered, rejected or failed a part, in
	// Unix nanoseconds.
	AnsweredAt atomic.Int64
	// Lost is the snapshot that the server last said it does not hold.
	Lost atomic.Pointer[LostSnapshot]
}

// LostSnapshot is a snapshot that a server does not hold.
type LostSnapshot struct {
	ID string
	// Until is when the server is asked for it again.
	Until time.Time
}

// Lose records that the server does not hold a snapshot.
func (st *ServerState) Lose(now time.Time, id string) {
	st.Lost.Store(&LostSnapshot{ID: id, Until: now.Add(lostTime)})
}

// Holds reports whether the server may hold a snapshot.
func (st *ServerState) Holds(now time.Time, id string) bool {
	lost := st.Lost.Load()
	return lost == nil || lost.ID != id || now.After(lost.Until)
}

// CurrentLimit returns the in-flight limit in requests, at least 1.
func (st *ServerState) CurrentLimit() int64 {
	limit := st.Limit.Load()
	if limit == 0 {
		limit = coldLimit
	}
	return limit / limitUnit
}

// Succeeded takes in an answer: the in-flight limit rises, by one request for
// each limit's worth of answers, while the server is in full use and as fast as
// usual, and falls while it is slow. most is the highest limit.
func (st *ServerState) Succeeded(now time.Time, took time.Duration, most int64) {
	st.Observe(now, took)
	st.observeMiss(now, 0)
	st.CutSince.Store(0)
	if failedAt := st.SuspectUntil.Load() - int64(suspectTime); failedAt < now.Add(-took).UnixNano() {
		st.SuspectUntil.Store(0)
	}
	if st.isSlow() {
		st.lower(now, slowDecrease)
		return
	}
	limit := st.Limit.Load()
	if limit == 0 {
		limit = coldLimit
	}
	if st.InFlight.Load()*limitUnit < limit-limitUnit {
		return
	}
	raised := min(limit+limitUnit*limitUnit/limit, most*limitUnit)
	st.Limit.CompareAndSwap(st.Limit.Load(), max(raised, lowestLimit))
}

// isSlow compares the latency with the usual one, which follows falls at once
// and rises slowly.
func (st *ServerState) isSlow() bool {
	latency := st.LatencyNanos.Load()
	usual := st.UsualNanos.Load()
	if usual == 0 || latency < usual {
		st.UsualNanos.Store(latency)
		return false
	}
	st.UsualNanos.Store(usual + (latency-usual)/usualWeight)
	return latency > slowFactor*usual
}

// Overloaded lowers the in-flight limit after the server shed or timed out.
func (st *ServerState) Overloaded(now time.Time) {
	st.lower(now, decrease)
}

func (st *ServerState) lower(now time.Time, factor int64) {
	cut := st.LimitCutAt.Load()
	if now.UnixNano()-cut < int64(decreasePause) {
		return
	}
	if !st.LimitCutAt.CompareAndSwap(cut, now.UnixNano()) {
		return
	}
	limit := st.Limit.Load()
	if limit == 0 {
		limit = coldLimit
	}
	st.Limit.Store(max(limit*factor/100, lowestLimit))
}

// Failed makes the server the last choice for a while.
func (st *ServerState) Failed(now time.Time) {
	st.SuspectUntil.Store(now.Add(suspectTime).UnixNano())
}

// Lapse makes the server the last choice until a time, since its record vanished.
func (st *ServerState) Lapse(until time.Time) {
	st.LapsedUntil.Store(until.UnixNano())
}

// Suspect reports whether the server failed a short while ago, or its record
// vanished.
func (st *ServerState) Suspect(now time.Time) bool {
	return now.UnixNano() < max(st.SuspectUntil.Load(), st.LapsedUntil.Load())
}

// MarkLeaving records that a source says that the server leaves.
func (st *ServerState) MarkLeaving(now time.Time) {
	st.LeavingAt.Store(now.UnixNano())
}

// Observe takes the time of one answer into the smoothed latency. Rises count
// more than falls, so that a server that became slow is avoided at once.
func (st *ServerState) Observe(now time.Time, took time.Duration) {
	took = max(took, shortestLatency)
	old := st.LatencyNanos.Load()
	weight := int64(fallWeight)
	if int64(took) > old {
		weight = riseWeight
	}
	next := old + (int64(took)-old)*weight/100
	if old == 0 {
		next = int64(took)
	}
	// A lost race between two answers loses one of them.
	st.LatencyNanos.CompareAndSwap(old, next)
	st.LatencyAt.Store(now.UnixNano())
}

// ObserveAtLeast takes in an answer that was not waited for to its end: the
// latency does not fall, and does not fade for a while. Servers pause for a
// moment; one that has given no answer for longer counts as slow.
func (st *ServerState) ObserveAtLeast(now time.Time, took time.Duration) {
	old := st.LatencyNanos.Load()
	next := max(old, old+(int64(took)-old)*cutWeight/100)
	if since := st.CutSince.Load(); since == 0 {
		st.CutSince.CompareAndSwap(0, now.UnixNano())
	} else if now.UnixNano()-since > int64(pauseTime) {
		next = max(old, int64(took)*unseenFactor)
	}
	// A lost race between two answers loses one of them.
	st.LatencyNanos.CompareAndSwap(old, next)
	st.LatencyAt.Store(now.UnixNano())
}

// OnTrial reports whether a part would try the server anew: it was slower than a
// time when it was last asked, and that was a while ago.
func (st *ServerState) OnTrial(now time.Time, slower time.Duration) bool {
	idle := time.Duration(now.UnixNano() - st.LatencyAt.Load())
	return idle > latencyHalfLife && time.Duration(st.LatencyNanos.Load()) > slower
}

// MissShare returns the share of parts that the server is expected to reject or
// fail, in 1/1000 and below 1000. It fades while the server is not asked.
func (st *ServerState) MissShare(now time.Time) int64 {
	share := st.Misses.Load()
	idle := time.Duration(now.UnixNano() - st.AnsweredAt.Load())
	if share > 0 && idle > missHalfLife {
		share >>= min(idle/missHalfLife, longestDecay)
	}
	return min(share, mostMisses)
}

// observeMiss takes in an answer, or a rejection or failure as shareUnit.
func (st *ServerState) observeMiss(now time.Time, seen int64) {
	share := st.MissShare(now)
	// A lost race between two answers loses one of them.
	st.Misses.Store(share + (seen-share)*missWeight/100)
	st.AnsweredAt.Store(now.UnixNano())
}

// Ended takes in the end of an attempt that gave no answer. took is without the
// way there and back.
func (st *ServerState) Ended(now time.Time, took time.Duration, cause contract.Cause) {
	switch cause {
	case contract.CauseCanceled:
		st.ObserveAtLeast(now, took)
	case contract.CauseShed:
		st.Overloaded(now)
		st.observeMiss(now, shareUnit)
	case contract.CauseDeadline:
		st.Overloaded(now)
		st.ObserveAtLeast(now, took)
	case contract.CauseDraining:
		st.MarkLeaving(now)
	case contract.CauseServerError:
		st.observeMiss(now, shareUnit)
	case contract.CauseLinkBroken, contract.CauseMismatched:
		st.observeMiss(now, shareUnit)
		st.Failed(now)
	case contract.CauseDialFailed, contract.CauseLinkReset:
		st.Failed(now)
	}
}

// Reported records the work that a server says it has.
func (st *ServerState) Reported(now time.Time, load int) {
	st.ReportedLoad.Store(int64(load))
	st.ReportedAt.Store(now.UnixNano())
}
