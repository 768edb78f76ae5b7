// Package machine describes the machines of the system, backend servers and
// entry VMs. It estimates the load and latency of servers and selects the entry
// VMs that callers connect to.
package machine

import "time"

const (
	// readmitAfter is how long no source may report a server as leaving before
	// it gets work again.
	readmitAfter = 10 * time.Second
	// probePenalty multiplies the expected latency of a server while it is
	// probed, so that it gets no second part.
	probePenalty = 16
	// coldParts is the number of parts that a server may have in flight before
	// its first answer.
	coldParts = 2
	// overLimitWeight is the weight of parts above the in-flight limit; parts
	// above the number of slots have weight 1.
	overLimitWeight = 2
	// reportDivisor divides the reported load that comes from other entry VMs,
	// since the report is old when it is used.
	reportDivisor = 4
	// maxReportAge is the age up to which a load report is used.
	maxReportAge = 3 * time.Second
	// failureCostFactor is the cost of a rejected or failed part as a multiple of
	// the server's latency. It covers the network round trip and the extra send
	// that the retry takes from the budget, which another request may need.
	failureCostFactor = 3
	// minFailureCost is the least latency to which failureCostFactor is applied,
	// so that failures of fast servers count too.
	minFailureCost = 5 * time.Millisecond
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
	// Leaving is set when the platform's record marks the server as leaving.
	Leaving bool `json:"leaving"`
	// StartedAt is when the server's process started; zero if unknown. After a
	// restart under the same name, the server counts as a new one.
	StartedAt time.Time `json:"started_at,omitzero"`
	// ColdUntil is the end of the warm-up by the record; State has that in force.
	ColdUntil time.Time `json:"cold_until,omitzero"`
	// State is shared by all copies of the server's record. It is not nil in a
	// view.
	State *ServerState `json:"-"`
}

// IsLeaving reports whether the server is shutting down and gets no new work. A
// report from one source is enough. It expires readmitAfter after the last one,
// except for the record and for what the server itself said in an answer, which
// hold until it restarts.
func (sv *Server) IsLeaving(now time.Time) bool {
	if sv.Leaving || sv.State.Departing.Load() || sv.State.Withdrawn.Load() {
		return true
	}
	at := sv.State.LeavingAt.Load()
	return at != 0 && now.UnixNano()-at < int64(readmitAfter)
}

// StartedMs returns the start of the server's process in Unix milliseconds; 0 if it is
// unknown.
func (sv *Server) StartedMs() int64 {
	if sv.StartedAt.IsZero() {
		return 0
	}
	return sv.StartedAt.UnixMilli()
}

// AcceptsWork reports whether requests may be sent to the server: it is not
// leaving, its zone is not evacuated, and it did not ask this process to back off.
func (sv *Server) AcceptsWork(now time.Time) bool {
	return !sv.IsLeaving(now) && !sv.State.IsEvacuated(now) && !sv.State.IsBackingOff(now)
}

// AcceptsWorkAt returns the earliest time from which AcceptsWork may hold, and
// false for a server that is leaving or whose zone is evacuated for an unknown time.
func (sv *Server) AcceptsWorkAt(now time.Time) (time.Time, bool) {
	if sv.IsLeaving(now) || sv.State.EvacuatedUntil.Load() == evacuatedForever {
		return time.Time{}, false
	}
	if sv.State.IsEvacuated(now) {
		return timeOfTicks(sv.State.EvacuatedUntil.Load()), true
	}
	if until := time.Unix(0, sv.State.BackOffUntil.Load()); until.After(now) {
		return until, true
	}
	return now, true
}

// HasRoom reports whether the server is below its in-flight limit. If a recent
// load report shows a free slot, the limit is at least the number of slots.
func (sv *Server) HasRoom(now time.Time) bool {
	st := sv.State
	limit := st.CurrentLimit()
	if now.UnixNano()-st.ReportedAt.Load() < int64(maxReportAge) && st.ReportedLoad.Load() < int64(sv.Slots) {
		limit = max(limit, int64(sv.Slots))
	}
	return st.InFlight.Load() < limit
}

// maxQueueReportAge is the age up to which a report counts for the queue of a server:
// after that, most of the requests that it counted have ended.
const maxQueueReportAge = 200 * time.Millisecond

// ExpectedWait returns how long one more part is expected to wait for a free slot, from
// the server's last report, its slowdown and this process's own parts. The reported queue
// counts less the older the report is: it drains while this process holds its parts back,
// which bring no newer report then.
func (sv *Server) ExpectedWait(now time.Time) time.Duration {
	st := sv.State
	load := st.InFlight.Load()
	if left := int64(maxQueueReportAge) - (now.UnixNano() - st.ReportedAt.Load()); left > 0 {
		load = max(load, st.ReportedLoad.Load()*left/int64(maxQueueReportAge))
	}
	slots, queued := int64(sv.Slots), max(load+1-int64(sv.Slots), 0)
	// The baseline is that of a server without a queue, but not of one that became
	// slow; of the recent latency, a part was spent in the queue.
	byBaseline := st.BaselineNanos.Load() * queued / slots
	byRecent := int64(sv.RecentLatency(now)) * queued / (slots + queued)
	return st.slowedDown(now, time.Duration(max(byBaseline, byRecent)))
}

// RecentLatency returns the smoothed latency of the server, 0 if it is unknown. It
// decays while the server is unused, so that a server that was slow is tried again.
func (sv *Server) RecentLatency(now time.Time) time.Duration {
	latency := time.Duration(sv.State.LatencyNanos.Load())
	if idle := time.Duration(now.UnixNano() - sv.State.LatencyAt.Load()); idle > latencyHalfLife {
		latency >>= min(idle/latencyHalfLife, maxHalvings)
	}
	return latency
}

// ExpectedLatency returns the expected latency of one more part at the server,
// from its smoothed latency, its slowdown, the load in relation to its slots, and its
// failures. An old latency decays, so that a server that was slow is probed
// again; while the probe is in flight, the server gets no other part. assumed
// is used for a server whose latency is unknown.
func (sv *Server) ExpectedLatency(now time.Time, assumed time.Duration) time.Duration {
	st := sv.State
	inFlight := st.InFlight.Load()
	latency := time.Duration(st.LatencyNanos.Load())
	idle := time.Duration(now.UnixNano() - st.LatencyAt.Load())
	switch {
	case latency == 0 && inFlight >= coldParts:
		return assumed * probePenalty
	case latency == 0:
		latency = assumed
	case idle > latencyHalfLife && inFlight > 0:
		latency *= probePenalty
	default:
		latency = sv.RecentLatency(now)
	}
	latency = st.slowedDown(now, latency)
	load := inFlight
	if now.UnixNano()-st.ReportedAt.Load() < int64(maxReportAge) {
		// The report includes the load of other entry VMs, but it is old.
		load += max(st.ReportedLoad.Load()-inFlight, 0) / reportDivisor
	}
	waiting := max(load+1-int64(sv.Slots), 0) + overLimitWeight*max(inFlight+1-st.CurrentLimit(), 0)
	return latency + latency*time.Duration(waiting)/time.Duration(sv.Slots) + sv.failurePenalty(now, latency)
}

// failurePenalty returns the time that rejections and failures are expected to
// add.
func (sv *Server) failurePenalty(now time.Time, latency time.Duration) time.Duration {
	share := sv.State.FailureShare(now)
	if share == 0 {
		return 0
	}
	cost := max(latency, minFailureCost) * failureCostFactor
	return cost * time.Duration(share) / time.Duration(shareUnit-share)
}

// ConnectionShare returns how many connections each of entryVMs processes may
// open to the server, at least 1. spareVMs is the number of additional entry VMs
// for which connections are reserved, so that replacements can connect.
// reservedPercent is the share of the connection limit that is left to others, in
// percent.
func (sv *Server) ConnectionShare(entryVMs, spareVMs, reservedPercent int) int {
	return max(sv.ConnectionLimit*(100-reservedPercent)/100/max(entryVMs+spareVMs, 1), 1)
}
