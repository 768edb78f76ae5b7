// Package machine describes the machines of the system, backend servers and
// entry VMs, and decides which of them may get work.
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
	// readmitAfter is how long all sources must agree before a leaving
	// server gets work again.
	readmitAfter = 10 * time.Second
	// suspectTime is how long a server that failed is tried last.
	suspectTime = 2 * time.Second
	// lostTime is how long a server is not asked for a snapshot that it lost.
	lostTime = 5 * time.Second
	// riseWeight and fallWeight are the weights of a new latency, in 1/100.
	riseWeight = 30
	fallWeight = 10
	// cutWeight is the weight of an answer that was not waited for: servers pause
	// for a moment, and those that are slow soon show it again.
	cutWeight = 15
	// shortestLatency keeps a known latency from looking unknown.
	shortestLatency = time.Microsecond
	// latencyHalfLife is the time in which an unused latency counts half.
	latencyHalfLife = time.Second
	// longestDecay bounds the halvings.
	longestDecay = 6
	// trialPenalty keeps all but one part from a server that is tried again.
	trialPenalty = 16
	// coldParts is the number of parts that a server gets at once before its
	// first answer.
	coldParts = 2
	// overLimit is the weight of parts above the in-flight limit against those
	// above the slots.
	overLimit = 2
	// reportShare is the part of the reported load of others that counts.
	reportShare = 4
	// reportAge is how long a load report is used as a hint.
	reportAge = 3 * time.Second
	// shareUnit is the whole of a share in fixed point, and rejectWeight the
	// weight of one answer in the share of rejections, in 1/100.
	shareUnit    = 1000
	rejectWeight = 15
	// rejectHalfLife is the time in which a share of rejections counts half
	// while the server is not asked.
	rejectHalfLife = 2 * time.Second
	// rejectCost is what a rejection costs, in answers of the server: the way
	// there and back, and an extra send that others may need.
	rejectCost = 3
	// leastRejectCost bounds that cost from below for fast servers.
	leastRejectCost = 5 * time.Millisecond
	// mostRejects keeps the expected number of sends finite.
	mostRejects = 950
)

// Server is one backend server.
type Server struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Slots is the number of requests that the server runs at once, at least 1.
	Slots int `json:"slots"`
	// ConnectionLimit is the number of connections that the server accepts
	// from all entry VMs together, at least 1.
	ConnectionLimit int `json:"connection_limit"`
	// Leaving is set when the platform's record says so.
	Leaving bool `json:"leaving"`
	// StartedAt is when the server's process started; zero if it is not known.
	// A server that starts again under its name is another one.
	StartedAt time.Time `json:"started_at,omitzero"`
	// ColdUntil is when the server is as fast as usual after its start.
	ColdUntil time.Time `json:"cold_until,omitzero"`
	// State is shared by all copies of the server and lives as long as its
	// name. It is not nil in a view.
	State *ServerState `json:"-"`
}

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
	// SuspectUntil is in Unix nanoseconds.
	SuspectUntil atomic.Int64
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
	// Rejects is the smoothed share of parts that the server rejected without
	// running them, in 1/1000.
	Rejects atomic.Int64
	// AnsweredAt is when the server last answered or rejected a part, in Unix
	// nanoseconds.
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
	st.observeRejects(now, 0)
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

// Suspect reports whether the server failed a short while ago.
func (st *ServerState) Suspect(now time.Time) bool {
	return now.UnixNano() < st.SuspectUntil.Load()
}

// MarkLeaving records that a source says that the server leaves.
func (st *ServerState) MarkLeaving(now time.Time) {
	st.LeavingAt.Store(now.UnixNano())
}

// IsLeaving reports whether the server gets no new work: one source is enough
// to say so, and the mark ends when none has said it for readmitAfter.
func (sv *Server) IsLeaving(now time.Time) bool {
	if sv.Leaving {
		return true
	}
	at := sv.State.LeavingAt.Load()
	return at != 0 && now.UnixNano()-at < int64(readmitAfter)
}

// HasRoom reports whether the server is below its in-flight limit, or said a
// short while ago that it has a free slot.
func (sv *Server) HasRoom(now time.Time) bool {
	st := sv.State
	if now.UnixNano()-st.ReportedAt.Load() < int64(reportAge) && st.ReportedLoad.Load() < int64(sv.Slots) {
		return true
	}
	return st.InFlight.Load() < st.CurrentLimit()
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
// latency does not fall, and does not fade for a while.
func (st *ServerState) ObserveAtLeast(now time.Time, took time.Duration) {
	if old := st.LatencyNanos.Load(); int64(took) > old {
		st.LatencyNanos.CompareAndSwap(old, old+(int64(took)-old)*cutWeight/100)
	}
	st.LatencyAt.Store(now.UnixNano())
}

// Expected returns the time that one more part would take at the server, from
// its latency and its work against its slots. A latency that is old counts for
// less, so that a server that was slow is tried again; while that trial is open
// it gets no other part. unknown stands in for a latency that is not known.
func (sv *Server) Expected(now time.Time, unknown time.Duration) time.Duration {
	st := sv.State
	inFlight := st.InFlight.Load()
	latency := time.Duration(st.LatencyNanos.Load())
	idle := time.Duration(now.UnixNano() - st.LatencyAt.Load())
	switch {
	case latency == 0 && inFlight >= coldParts:
		return unknown * trialPenalty
	case latency == 0:
		latency = unknown
	case idle > latencyHalfLife && inFlight > 0:
		latency *= trialPenalty
	case idle > latencyHalfLife:
		latency >>= min(idle/latencyHalfLife, longestDecay)
	}
	load := inFlight
	if now.UnixNano()-st.ReportedAt.Load() < int64(reportAge) {
		// The report holds the work of other entry VMs, but is old.
		load += max(st.ReportedLoad.Load()-inFlight, 0) / reportShare
	}
	waiting := max(load+1-int64(sv.Slots), 0) + overLimit*max(inFlight+1-st.CurrentLimit(), 0)
	return latency + latency*time.Duration(waiting)/time.Duration(sv.Slots) + sv.rejectPenalty(now, latency)
}

// rejectPenalty returns the time that rejections are expected to cost.
func (sv *Server) rejectPenalty(now time.Time, latency time.Duration) time.Duration {
	share := sv.State.RejectShare(now)
	if share == 0 {
		return 0
	}
	cost := max(latency, leastRejectCost) * rejectCost
	return cost * time.Duration(share) / time.Duration(shareUnit-share)
}

// RejectShare returns the share of parts that the server is expected to reject,
// in 1/1000 and below 1000. It fades while the server is not asked.
func (st *ServerState) RejectShare(now time.Time) int64 {
	share := st.Rejects.Load()
	idle := time.Duration(now.UnixNano() - st.AnsweredAt.Load())
	if share > 0 && idle > rejectHalfLife {
		share >>= min(idle/rejectHalfLife, longestDecay)
	}
	return min(share, mostRejects)
}

// observeRejects takes in an answer, or a rejection as shareUnit.
func (st *ServerState) observeRejects(now time.Time, seen int64) {
	share := st.RejectShare(now)
	// A lost race between two answers loses one of them.
	st.Rejects.Store(share + (seen-share)*rejectWeight/100)
	st.AnsweredAt.Store(now.UnixNano())
}

// ConnectionShare returns how many connections one of entryVMs processes may
// open to the server, at least 1. spare is the room kept for replacements, kept
// the part of the limit, in 1/100, that is left to others.
func (sv *Server) ConnectionShare(entryVMs, spare, kept int) int {
	return max(sv.ConnectionLimit*(100-kept)/100/max(entryVMs+spare, 1), 1)
}

// Ended takes in the end of an attempt that gave no answer. took is without the
// way there and back.
func (st *ServerState) Ended(now time.Time, took time.Duration, cause contract.Cause) {
	switch cause {
	case contract.CauseCanceled:
		st.ObserveAtLeast(now, took)
	case contract.CauseShed:
		st.Overloaded(now)
		st.observeRejects(now, shareUnit)
	case contract.CauseDeadline:
		st.Overloaded(now)
		st.ObserveAtLeast(now, took)
	case contract.CauseDraining:
		st.MarkLeaving(now)
	case contract.CauseDialFailed, contract.CauseLinkBroken, contract.CauseLinkReset, contract.CauseMismatched:
		st.Failed(now)
	}
}

// Reported records the work that a server says it has.
func (st *ServerState) Reported(now time.Time, load int) {
	st.ReportedLoad.Store(int64(load))
	st.ReportedAt.Store(now.UnixNano())
}
