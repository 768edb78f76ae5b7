// Package machine describes the machines of the system, backend servers and
// entry VMs, and decides which of them may get work.
package machine

import "time"

const (
	// readmitAfter is how long all sources must agree before a leaving
	// server gets work again.
	readmitAfter = 10 * time.Second
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
	// missCost is what a miss costs, in answers of the server: the way there and
	// back, and an extra send that others may need.
	missCost = 3
	// leastMissCost bounds that cost from below for fast servers.
	leastMissCost = 5 * time.Millisecond
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

// IsLeaving reports whether the server gets no new work: one source is enough
// to say so, and the mark ends when none has said it for readmitAfter.
func (sv *Server) IsLeaving(now time.Time) bool {
	if sv.Leaving {
		return true
	}
	at := sv.State.LeavingAt.Load()
	return at != 0 && now.UnixNano()-at < int64(readmitAfter)
}

// HasRoom reports whether the server is below its in-flight limit; if it said a
// short while ago that it has a free slot, below its slots.
func (sv *Server) HasRoom(now time.Time) bool {
	st := sv.State
	room := st.CurrentLimit()
	if now.UnixNano()-st.ReportedAt.Load() < int64(reportAge) && st.ReportedLoad.Load() < int64(sv.Slots) {
		room = max(room, int64(sv.Slots))
	}
	return st.InFlight.Load() < room
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
	return latency + latency*time.Duration(waiting)/time.Duration(sv.Slots) + sv.missPenalty(now, latency)
}

// missPenalty returns the time that rejections and failures are expected to cost.
func (sv *Server) missPenalty(now time.Time, latency time.Duration) time.Duration {
	share := sv.State.MissShare(now)
	if share == 0 {
		return 0
	}
	cost := max(latency, leastMissCost) * missCost
	return cost * time.Duration(share) / time.Duration(shareUnit-share)
}

// ConnectionShare returns how many connections one of entryVMs processes may
// open to the server, at least 1. spare is the room kept for replacements, kept
// the part of the limit, in 1/100, that is left to others.
func (sv *Server) ConnectionShare(entryVMs, spare, kept int) int {
	return max(sv.ConnectionLimit*(100-kept)/100/max(entryVMs+spare, 1), 1)
}
