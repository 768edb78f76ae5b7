package machine

import (
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// limitUnit is one request in the fixed-point in-flight limit.
	limitUnit = 1000
	// initialLimit is the in-flight limit of a server before its first use.
	initialLimit = 2 * limitUnit
	// minLimit lets one request through, so that the limit can rise again.
	minLimit = 1 * limitUnit
	// overloadDecrease is the percentage to which the limit is lowered on a sign
	// of overload.
	overloadDecrease = 70
	// slowDecrease is the percentage to which the limit is lowered while the
	// server is slow.
	slowDecrease = 90
	// slowFactor is the multiple of the baseline latency above which a server
	// counts as slow. The baseline follows a rise with weight
	// 1/baselineRiseWeight for each answer.
	slowFactor         = 3
	baselineRiseWeight = 2000
	// minDecreaseInterval is the least time between two decreases of the limit.
	minDecreaseInterval = 100 * time.Millisecond
	// suspectTime is how long a failed server is used only as a last resort.
	suspectTime = 2 * time.Second
	// snapshotLostTime is how long a server is not asked for a snapshot that it
	// reported as missing.
	snapshotLostTime = 5 * time.Second
	// riseWeight and fallWeight are the weights of a new latency in the smoothed
	// one, in percent.
	riseWeight = 30
	fallWeight = 10
	// canceledWeight is the weight, in percent, of an attempt that was canceled
	// before its answer, as long as the delay may be a short pause of the server.
	// maxPause must exceed the pauses of the servers in use, 100 to 120 ms.
	canceledWeight = 15
	maxPause       = 150 * time.Millisecond
	// unfinishedFactor estimates the latency of a canceled attempt from the time
	// until its cancellation: the rest is expected to take as long again.
	unfinishedFactor = 2
	// minLatency keeps a recorded latency above 0, which means unknown.
	minLatency = time.Microsecond
	// latencyHalfLife is the time in which the smoothed latency of an unused
	// server halves.
	latencyHalfLife = time.Second
	// maxHalvings bounds the decay of a latency or failure share.
	maxHalvings = 6
	// shareUnit is a share of 1 in fixed point. failureWeight is the weight of one
	// answer or failure in the failure share, in percent.
	shareUnit     = 1000
	failureWeight = 15
	// failureHalfLife is the time in which the failure share of an unused server
	// halves.
	failureHalfLife = 2 * time.Second
	// maxBackOff bounds the time for which a server can ask for no requests, so
	// that one faulty answer does not take a server out for good.
	maxBackOff = 5 * time.Minute
	// maxFailureShare stays below shareUnit, so that the expected number of sends
	// is finite.
	maxFailureShare = 950
)

// ServerState holds what this process has measured about a server, from its own
// requests and the server's reports. Its methods may be called concurrently.
type ServerState struct {
	// InFlight is the number of parts that wait for the server or run on it.
	InFlight atomic.Int64
	// Limit is the adaptive in-flight limit in 1/1000 requests; 0 means
	// initialLimit.
	Limit atomic.Int64
	// LimitLoweredAt is when the limit was last lowered, in Unix nanoseconds.
	LimitLoweredAt atomic.Int64
	// LeavingAt is when a source last reported the server as leaving, in Unix
	// nanoseconds; 0 is never.
	LeavingAt atomic.Int64
	// Departing is set when the server itself said in an answer, to this process
	// or to another entry VM, that it is leaving. It is never reset: a restarted
	// server has a new state.
	Departing atomic.Bool
	// Withdrawn is set while the platform's record marks the server as leaving, or the
	// server is removed since its record disappeared. Requests that began with an older
	// view see it here.
	Withdrawn atomic.Bool
	// EvacuatedUntil is until when the server's zone is evacuated, in ticks: evacuatedForever
	// while it is, 0 if it was not. Requests that began with an older view see it here.
	EvacuatedUntil atomic.Int64
	// ColdUntil is until when the server is cold, by its record and its answers, in ticks; 0
	// if it is not.
	ColdUntil atomic.Int64
	// warmUpRate holds the bits of the number of requests a second that the server bears
	// while it is cold, that of its service; 0 sets no limit. It is here since pools of
	// connections and running requests hold older records of the server.
	warmUpRate atomic.Uint64
	// BackOffUntil is until when the server asked this process for no requests, in
	// Unix nanoseconds. It never decreases.
	BackOffUntil atomic.Int64
	// SuspectUntil is until when the server is used only as a last resort after a
	// failure, in Unix nanoseconds. An answer to a part that was sent after the
	// failure ends it early.
	SuspectUntil atomic.Int64
	// ExpiringUntil is the same for an expiring server, whose record disappeared
	// from the platform; answers do not end it.
	ExpiringUntil atomic.Int64
	// CanceledSince is when a part was first canceled since the last answer, in
	// Unix nanoseconds; 0 if none was.
	CanceledSince atomic.Int64
	// ReportedLoad is the number of running and waiting requests in the server's
	// last load report.
	ReportedLoad atomic.Int64
	// ReportedAt is when ReportedLoad was set, in Unix nanoseconds.
	ReportedAt atomic.Int64
	// ReportedPercent is how long work took on the server's machine when it last
	// reported that, in percent of the usual; 0 if it never did.
	ReportedPercent atomic.Int64
	// AveragePercent is the smoothed ReportedPercent in 1/1000 percent. It starts at 100
	// percent.
	AveragePercent atomic.Int64
	// PercentAt is when ReportedPercent was set, in ticks.
	PercentAt atomic.Int64
	// PartsSent counts the parts sent to the server.
	PartsSent atomic.Int64
	// LatencyNanos is the smoothed latency without the network round trip, in
	// nanoseconds; 0 is unknown.
	LatencyNanos atomic.Int64
	// LatencyAt is when LatencyNanos was last updated, in Unix nanoseconds.
	LatencyAt atomic.Int64
	// BaselineNanos is the baseline: the latency of the server when it is not
	// overloaded, in nanoseconds; 0 is unknown.
	BaselineNanos atomic.Int64
	// SmoothedFailures is the failure share: the smoothed share of parts that the
	// server rejected or failed, in 1/1000.
	SmoothedFailures atomic.Int64
	// AnsweredAt is when the server last answered, rejected or failed a part, in
	// Unix nanoseconds.
	AnsweredAt atomic.Int64
	// LostSnapshot is the snapshot that the server last reported as missing, nil
	// if there was none.
	LostSnapshot atomic.Pointer[LostSnapshot]
	// Work is the expected work of the server.
	Work Work
}

// LostSnapshot is a snapshot that a server does not hold.
type LostSnapshot struct {
	ID string
	// Until is when the server may be asked for the snapshot again.
	Until time.Time
}

// MarkSnapshotLost records that the server reported a snapshot as missing.
func (st *ServerState) MarkSnapshotLost(now time.Time, id string) {
	st.LostSnapshot.Store(&LostSnapshot{ID: id, Until: now.Add(snapshotLostTime)})
}

// MayHoldSnapshot reports whether the server may hold a snapshot: it has not
// reported it as missing within snapshotLostTime.
func (st *ServerState) MayHoldSnapshot(now time.Time, id string) bool {
	lost := st.LostSnapshot.Load()
	return lost == nil || lost.ID != id || now.After(lost.Until)
}

// CurrentLimit returns the in-flight limit in requests, at least 1.
func (st *ServerState) CurrentLimit() int64 {
	limit := st.Limit.Load()
	if limit == 0 {
		limit = initialLimit
	}
	return limit / limitUnit
}

// RecordAnswer records an answer that took the given time without the network
// round trip. While the server is slow, the in-flight limit falls. While it is
// not slow and the limit is in full use, the limit rises additively, by one
// request for as many answers as the limit allows at once, up to maxLimit
// requests.
func (st *ServerState) RecordAnswer(now time.Time, took time.Duration, maxLimit int64) {
	st.ObserveLatency(now, took)
	st.observeFailure(now, 0)
	st.CanceledSince.Store(0)
	if failedAt := st.SuspectUntil.Load() - int64(suspectTime); failedAt < now.Add(-took).UnixNano() {
		st.SuspectUntil.Store(0)
	}
	if st.isSlow() {
		st.lowerLimit(now, slowDecrease)
		return
	}
	have := st.Limit.Load()
	limit := have
	if limit == 0 {
		limit = initialLimit
	}
	if st.InFlight.Load()*limitUnit < limit-limitUnit {
		return
	}
	raised := min(limit+limitUnit*limitUnit/limit, maxLimit*limitUnit)
	// A decrease that comes in between holds.
	st.Limit.CompareAndSwap(have, max(raised, minLimit))
}

// isSlow reports whether the smoothed latency is above slowFactor times the
// baseline. It also updates the baseline, which follows a fall at once and a
// rise slowly.
func (st *ServerState) isSlow() bool {
	latency := st.LatencyNanos.Load()
	baseline := st.BaselineNanos.Load()
	if baseline == 0 || latency < baseline {
		st.BaselineNanos.Store(latency)
		return false
	}
	st.BaselineNanos.Store(baseline + (latency-baseline)/baselineRiseWeight)
	return latency > slowFactor*baseline
}

// RecordOverload lowers the in-flight limit after the server shed a request or
// timed out.
func (st *ServerState) RecordOverload(now time.Time) {
	st.lowerLimit(now, overloadDecrease)
}

// lowerLimit lowers the in-flight limit to a percentage of itself, but not more
// often than once in minDecreaseInterval.
func (st *ServerState) lowerLimit(now time.Time, percent int64) {
	loweredAt := st.LimitLoweredAt.Load()
	if now.UnixNano()-loweredAt < int64(minDecreaseInterval) {
		return
	}
	if !st.LimitLoweredAt.CompareAndSwap(loweredAt, now.UnixNano()) {
		return
	}
	limit := st.Limit.Load()
	if limit == 0 {
		limit = initialLimit
	}
	st.Limit.Store(max(limit*percent/100, minLimit))
}

// MarkSuspect marks the server as suspect for suspectTime.
func (st *ServerState) MarkSuspect(now time.Time) {
	st.SuspectUntil.Store(now.Add(suspectTime).UnixNano())
}

// MarkExpiring records that the server's record disappeared from the platform.
// The server is suspect until the given time.
func (st *ServerState) MarkExpiring(until time.Time) {
	st.ExpiringUntil.Store(until.UnixNano())
}

// IsSuspect reports whether the server failed recently or is expiring. Such a
// server is used only as a last resort.
func (st *ServerState) IsSuspect(now time.Time) bool {
	return now.UnixNano() < max(st.SuspectUntil.Load(), st.ExpiringUntil.Load())
}

// MarkLeaving records that a source reports the server as leaving.
func (st *ServerState) MarkLeaving(now time.Time) {
	st.LeavingAt.Store(now.UnixNano())
}

// MarkDeparting records that the server said it is leaving, and reports whether
// that was unknown.
func (st *ServerState) MarkDeparting() bool {
	return st.Departing.CompareAndSwap(false, true)
}

// BackOff records that the server asked for no requests during a delay. It
// reports whether the server was not backing off before.
func (st *ServerState) BackOff(now time.Time, delay time.Duration) bool {
	until := now.Add(min(delay, maxBackOff)).UnixNano()
	for {
		have := st.BackOffUntil.Load()
		if until <= have {
			return false
		}
		if st.BackOffUntil.CompareAndSwap(have, until) {
			return have <= now.UnixNano()
		}
	}
}

// IsBackingOff reports whether the server asked for no requests at this time.
func (st *ServerState) IsBackingOff(now time.Time) bool {
	return now.UnixNano() < st.BackOffUntil.Load()
}

// ObserveLatency adds the latency of one answer to the smoothed latency. A rise
// has more weight than a fall, so that a server that became slow is avoided
// quickly.
func (st *ServerState) ObserveLatency(now time.Time, took time.Duration) {
	took = max(took, minLatency)
	old := st.LatencyNanos.Load()
	weight := int64(fallWeight)
	if int64(took) > old {
		weight = riseWeight
	}
	next := old + (int64(took)-old)*weight/100
	if old == 0 {
		next = int64(took)
	}
	// Of two concurrent updates, one may be lost.
	st.LatencyNanos.CompareAndSwap(old, next)
	st.LatencyAt.Store(now.UnixNano())
}

// ObserveMinLatency records an attempt that was canceled or timed out after the
// given time, so that the answer would have taken longer. It never lowers the
// smoothed latency, and restarts its decay. A delay of up to maxPause may be a
// short pause of the server and has little weight. If there was no answer for
// longer, the server counts as slow.
func (st *ServerState) ObserveMinLatency(now time.Time, took time.Duration) {
	old := st.LatencyNanos.Load()
	next := max(old, old+(int64(took)-old)*canceledWeight/100)
	if since := st.CanceledSince.Load(); since == 0 {
		st.CanceledSince.CompareAndSwap(0, now.UnixNano())
	} else if now.UnixNano()-since > int64(maxPause) {
		next = max(old, int64(took)*unfinishedFactor)
	}
	// Of two concurrent updates, one may be lost.
	st.LatencyNanos.CompareAndSwap(old, next)
	st.LatencyAt.Store(now.UnixNano())
}

// IsUnresponsive reports whether parts were canceled for longer than a short pause of
// the server takes, and none was answered meanwhile.
func (st *ServerState) IsUnresponsive(now time.Time) bool {
	since := st.CanceledSince.Load()
	return since != 0 && now.UnixNano()-since > int64(maxPause)
}

// IsProbe reports whether a part sent now would be a probe: the server was slower
// than threshold when it was last used, more than latencyHalfLife ago.
func (st *ServerState) IsProbe(now time.Time, threshold time.Duration) bool {
	idle := time.Duration(now.UnixNano() - st.LatencyAt.Load())
	return idle > latencyHalfLife && time.Duration(st.LatencyNanos.Load()) > threshold
}

// FailureShare returns the share of parts that the server is expected to reject
// or fail, in 1/1000 and below 1000. It decays while the server is not used.
func (st *ServerState) FailureShare(now time.Time) int64 {
	share := st.SmoothedFailures.Load()
	idle := time.Duration(now.UnixNano() - st.AnsweredAt.Load())
	if share > 0 && idle > failureHalfLife {
		share >>= min(idle/failureHalfLife, maxHalvings)
	}
	return min(share, maxFailureShare)
}

// observeFailure adds one sample to the failure share: 0 for an answer, shareUnit
// for a rejection or failure.
func (st *ServerState) observeFailure(now time.Time, sample int64) {
	share := st.FailureShare(now)
	// Of two concurrent updates, one may be lost.
	st.SmoothedFailures.Store(share + (sample-share)*failureWeight/100)
	st.AnsweredAt.Store(now.UnixNano())
}

// RecordFailure records an attempt that ended without an answer. took excludes
// the network round trip.
func (st *ServerState) RecordFailure(now time.Time, took time.Duration, cause contract.Cause) {
	switch cause {
	case contract.CauseCanceled:
		st.ObserveMinLatency(now, took)
	case contract.CauseShed:
		st.RecordOverload(now)
		st.observeFailure(now, shareUnit)
	case contract.CauseDeadline:
		st.RecordOverload(now)
		st.ObserveMinLatency(now, took)
	case contract.CauseDraining:
		st.MarkLeaving(now)
	case contract.CauseServerError:
		st.observeFailure(now, shareUnit)
	case contract.CauseLinkBroken, contract.CauseMismatched:
		st.observeFailure(now, shareUnit)
		st.MarkSuspect(now)
	case contract.CauseDialFailed, contract.CauseLinkReset:
		st.MarkSuspect(now)
	}
}

// RecordLoad records a load report: the number of requests that run or wait at the
// server.
func (st *ServerState) RecordLoad(now time.Time, load int) {
	st.ReportedLoad.Store(int64(load))
	st.ReportedAt.Store(now.UnixNano())
	st.Work.RecordReport(int64(load))
}
