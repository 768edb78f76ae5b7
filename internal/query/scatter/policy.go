package scatter

import (
	"slices"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/zone"
)

// ReplicaPolicy chooses the replica that a part is sent to.
type ReplicaPolicy interface {
	// Choose returns one of the candidates, nil if none will do. avoid is the
	// zone of an attempt that is still open; empty if there is none. Choose
	// may reorder the candidates.
	Choose(now time.Time, own zone.Zone, candidates []*machine.Server, avoid string) *machine.Server
}

// HedgePolicy decides when a part that has no answer is sent a second time.
type HedgePolicy interface {
	// After returns the wait before the hedge, and false for no hedge.
	After(terms Terms, recent link.Quantiles) (time.Duration, bool)
	// Behind is asked when another part was answered, elapsed after the start.
	// It returns the time since the start from which the parts that are left
	// are behind the others, and false while that can't be told.
	Behind(answered, total int, elapsed time.Duration) (time.Duration, bool)
}

// FirstReplica is the naive policy: the first replica that the manifest names.
type FirstReplica struct{}

// Choose returns the first candidate.
func (FirstReplica) Choose(_ time.Time, _ zone.Zone, candidates []*machine.Server, _ string) *machine.Server {
	if len(candidates) == 0 {
		return nil
	}
	return candidates[0]
}

// NoHedge is the naive policy: wait.
type NoHedge struct{}

// After returns false.
func (NoHedge) After(Terms, link.Quantiles) (time.Duration, bool) {
	return 0, false
}

// Behind returns false.
func (NoHedge) Behind(int, int, time.Duration) (time.Duration, bool) {
	return 0, false
}

// LeastExpected chooses the replica that is expected to answer first, by the way
// there, its latency and its work. Servers that failed a short while ago come
// last, unless the others are full; for a second attempt other zones come first.
type LeastExpected struct{}

// unknownLatency stands in for the latency of a server that has not answered
// yet, while none of the candidates has.
const unknownLatency = 5 * time.Millisecond

// Choose returns the replica with the least expected time, the first by name on
// a tie.
func (LeastExpected) Choose(now time.Time, own zone.Zone, candidates []*machine.Server, avoid string) *machine.Server {
	full := !slices.ContainsFunc(candidates, func(sv *machine.Server) bool { return !sv.State.Suspect(now) && sv.HasRoom(now) })
	candidates = preferred(candidates, func(sv *machine.Server) bool {
		// While all others are full, one part at a time tries a server that failed.
		return !sv.State.Suspect(now) || full && sv.State.InFlight.Load() == 0
	})
	if avoid != "" {
		candidates = preferred(candidates, func(sv *machine.Server) bool { return sv.Zone != avoid })
	}
	unknown := unknownFor(candidates)
	var best *machine.Server
	var least time.Duration
	for _, sv := range candidates {
		expected := sv.Expected(now, unknown) + 2*own.Delay(sv.Zone)
		if best == nil || expected < least || expected == least && sv.Name < best.Name {
			best, least = sv, expected
		}
	}
	return best
}

// unknownFor returns the latency to assume of servers that have not answered:
// worse than any known one, so that they get work when the others have some.
func unknownFor(candidates []*machine.Server) time.Duration {
	slowest := time.Duration(0)
	for _, sv := range candidates {
		slowest = max(slowest, time.Duration(sv.State.LatencyNanos.Load()))
	}
	if slowest == 0 {
		return unknownLatency
	}
	return slowest
}

// preferred returns the servers that pass, all of them if none does.
func preferred(servers []*machine.Server, pass func(*machine.Server) bool) []*machine.Server {
	count := moveFirst(servers, pass)
	if count == 0 {
		return servers
	}
	return servers[:count]
}

// moveFirst moves the servers that pass to the front and counts them.
func moveFirst(servers []*machine.Server, pass func(*machine.Server) bool) int {
	count := 0
	for i, sv := range servers {
		if pass(sv) {
			servers[i], servers[count] = servers[count], servers[i]
			count++
		}
	}
	return count
}

// QuantileHedge sends the hedge of an urgent route after the route's quantile
// of recent latencies.
type QuantileHedge struct{}

const (
	// minHedgeWait keeps the hedges of very fast routes from racing answers
	// that are on their way.
	minHedgeWait = 2 * time.Millisecond
	// hedgeMargin is added to the quantile, in 1/100.
	hedgeMargin = 120
)

// After returns the quantile of the route and a margin; no hedge while there
// are too few samples or for an ordinary route.
func (QuantileHedge) After(terms Terms, recent link.Quantiles) (time.Duration, bool) {
	if terms.Class != contract.Urgent || terms.HedgeShare == 0 || recent.Count == 0 {
		return 0, false
	}
	wait := recent.P95
	switch terms.HedgeQuantile {
	case 0.9:
		wait = recent.P90
	case 0.99:
		wait = recent.P99
	}
	return max(wait*hedgeMargin/100, minHedgeWait), true
}

// Behind returns false: the route's latencies decide alone.
func (QuantileHedge) Behind(int, int, time.Duration) (time.Duration, bool) {
	return 0, false
}

// GoalHedge sends the hedge when most answers have come, and early enough that
// it can still answer within the goal.
type GoalHedge struct{}

const (
	// goalMargin is added to the 90th percentile, in 1/100: an answer that is
	// only a little late is cheaper to wait for.
	goalMargin = 130
	// earliestGoal and latestGoal bound the wait, in 1/100 of the goal: earlier
	// hedges race answers that are on their way, later ones come too late.
	earliestGoal = 10
	latestGoal   = 40
	// mostShare is the share of the parts, in 1/100, whose time tells what the
	// request costs: parts of one request take similar times.
	mostShare = 70
	// behindFactor, in 1/100, and behindMargin are the time beyond that of most
	// parts after which a part is behind: servers differ in speed, and some are
	// a zone away.
	behindFactor = 150
	behindMargin = 5 * time.Millisecond
	// goallessMargin takes the place of goalMargin on routes without a goal.
	goallessMargin = 300
)

// After returns the wait before the hedge.
func (GoalHedge) After(terms Terms, recent link.Quantiles) (time.Duration, bool) {
	if terms.Goal <= 0 {
		return max(recent.P90*goallessMargin/100, minHedgeWait), recent.Count > 0
	}
	latest := terms.Goal * latestGoal / 100
	if recent.Count == 0 {
		return latest, true
	}
	return min(max(recent.P90*goalMargin/100, terms.Goal*earliestGoal/100, minHedgeWait), latest), true
}

// Behind compares with the time of most parts of the same request.
func (GoalHedge) Behind(answered, total int, elapsed time.Duration) (time.Duration, bool) {
	if total < 2 || answered*100 < total*mostShare {
		return 0, false
	}
	return elapsed*behindFactor/100 + behindMargin, true
}
