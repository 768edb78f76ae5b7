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
	// Choose returns one of the candidates, or nil if there is none. avoid is the
	// zone of an attempt that is still in flight; empty if there is none. work is the
	// expected server time of the part at usual speed, 0 if unknown. Choose may reorder
	// the candidates.
	Choose(now time.Time, own zone.Zone, work time.Duration, candidates []*machine.Server, avoid string) *machine.Server
}

// HedgePolicy decides when a part without an answer is sent a second time.
type HedgePolicy interface {
	// HedgeDelay returns the delay from the start of a part to its hedge, and
	// false for no hedge.
	HedgeDelay(settings JobSettings, recent link.Quantiles) (time.Duration, bool)
	// StragglerAfter is called when a part was answered, elapsed after its start.
	// It returns the time since the start from which the remaining parts count as
	// stragglers, and false as long as too few parts are answered to tell.
	StragglerAfter(answered, total int, elapsed time.Duration) (time.Duration, bool)
}

// FirstReplica chooses the first replica in the manifest. It is a baseline for
// comparisons.
type FirstReplica struct{}

// Choose implements ReplicaPolicy.
func (FirstReplica) Choose(_ time.Time, _ zone.Zone, _ time.Duration, candidates []*machine.Server, _ string) *machine.Server {
	if len(candidates) == 0 {
		return nil
	}
	return candidates[0]
}

// NoHedge never hedges. It is a baseline for comparisons.
type NoHedge struct{}

// HedgeDelay implements HedgePolicy.
func (NoHedge) HedgeDelay(JobSettings, link.Quantiles) (time.Duration, bool) {
	return 0, false
}

// StragglerAfter implements HedgePolicy.
func (NoHedge) StragglerAfter(int, int, time.Duration) (time.Duration, bool) {
	return 0, false
}

// LeastExpectedLatency chooses the replica that is expected to answer first, by
// network delay, latency and load. Servers that failed recently are used only
// when the others are full, and servers in the zone of an attempt in flight only
// when no other zone has a candidate.
type LeastExpectedLatency struct{}

// defaultLatency is assumed for servers that have not answered yet if no
// candidate's latency is known.
const defaultLatency = 5 * time.Millisecond

// Choose implements ReplicaPolicy. It breaks ties by name.
func (LeastExpectedLatency) Choose(now time.Time, own zone.Zone, _ time.Duration, candidates []*machine.Server, avoid string) *machine.Server {
	candidates = preferredReplicas(now, candidates, avoid)
	assumed := assumedLatency(candidates)
	var best *machine.Server
	var least time.Duration
	for _, sv := range candidates {
		expected := sv.ExpectedLatency(now, assumed) + 2*own.Delay(sv.Zone)
		if best == nil || expected < least || expected == least && sv.Name < best.Name {
			best, least = sv, expected
		}
	}
	return best
}

// preferredReplicas returns the candidates that did not fail recently and are not in the
// zone to avoid, as far as there are any.
func preferredReplicas(now time.Time, candidates []*machine.Server, avoid string) []*machine.Server {
	othersFull := !slices.ContainsFunc(candidates, func(sv *machine.Server) bool { return !sv.State.IsSuspect(now) && sv.HasRoom(now) })
	candidates = preferred(candidates, func(sv *machine.Server) bool {
		// While all other servers are full, a failed server gets one part at a time.
		return !sv.State.IsSuspect(now) || othersFull && sv.State.InFlight.Load() == 0
	})
	if avoid != "" {
		candidates = preferred(candidates, func(sv *machine.Server) bool { return sv.Zone != avoid })
	}
	return candidates
}

// assumedLatency returns the latency to assume for servers that have not
// answered yet. It is the highest known latency of the candidates, so that new
// servers get work only when the others are loaded.
func assumedLatency(candidates []*machine.Server) time.Duration {
	slowest := time.Duration(0)
	for _, sv := range candidates {
		slowest = max(slowest, time.Duration(sv.State.LatencyNanos.Load()))
	}
	if slowest == 0 {
		return defaultLatency
	}
	return slowest
}

// preferred returns the servers that pass, or all of them if none does.
func preferred(servers []*machine.Server, pass func(*machine.Server) bool) []*machine.Server {
	count := moveToFront(servers, pass)
	if count == 0 {
		return servers
	}
	return servers[:count]
}

// moveToFront moves the servers that pass to the front and returns their
// number.
func moveToFront(servers []*machine.Server, pass func(*machine.Server) bool) int {
	count := 0
	for i, sv := range servers {
		if pass(sv) {
			servers[i], servers[count] = servers[count], servers[i]
			count++
		}
	}
	return count
}

// QuantileHedge hedges urgent routes after a quantile of their recent
// latencies.
type QuantileHedge struct{}

const (
	// minHedgeDelay is the shortest hedge delay: on very fast routes, earlier
	// hedges would duplicate answers that are already on their way.
	minHedgeDelay = 2 * time.Millisecond
	// quantilePercent is the hedge delay as a percentage of the quantile.
	quantilePercent = 120
)

// HedgeDelay implements HedgePolicy. There is no hedge for ordinary routes and
// as long as no latencies are known.
func (QuantileHedge) HedgeDelay(settings JobSettings, recent link.Quantiles) (time.Duration, bool) {
	if settings.Class != contract.Urgent || settings.HedgeShare == 0 || recent.Count == 0 {
		return 0, false
	}
	delay := recent.P95
	switch settings.HedgeQuantile {
	case 0.9:
		delay = recent.P90
	case 0.99:
		delay = recent.P99
	}
	return max(delay*quantilePercent/100, minHedgeDelay), true
}

// StragglerAfter implements HedgePolicy. It returns false, since this policy
// uses only the route's latencies.
func (QuantileHedge) StragglerAfter(int, int, time.Duration) (time.Duration, bool) {
	return 0, false
}

// GoalHedge hedges after a percentage of the 90th percentile, early enough that
// the hedge can still answer within the route's latency goal. Once most parts
// of the request are answered, it hedges stragglers earlier.
type GoalHedge struct{}

const (
	// p90Percent is the hedge delay as a percentage of the 90th percentile:
	// waiting for an answer that is only a little late costs less than a hedge.
	p90Percent = 130
	// minGoalPercent and maxGoalPercent bound the hedge delay, as percentages of
	// the goal. Earlier hedges duplicate answers that are already on their way,
	// later ones miss the goal.
	minGoalPercent = 10
	maxGoalPercent = 40
	// minAnsweredPercent is the percentage of parts that must be answered before
	// their time is used to find stragglers: the parts of one request take similar
	// times.
	minAnsweredPercent = 70
	// A part is a straggler after stragglerPercent of the time of most other
	// parts, plus stragglerMargin. The margin is needed because servers differ
	// in speed and some are in another zone.
	stragglerPercent = 150
	stragglerMargin  = 5 * time.Millisecond
	// noGoalP90Percent replaces p90Percent on routes without a goal.
	noGoalP90Percent = 300
)

// HedgeDelay implements HedgePolicy.
func (GoalHedge) HedgeDelay(settings JobSettings, recent link.Quantiles) (time.Duration, bool) {
	if settings.Goal <= 0 {
		return max(recent.P90*noGoalP90Percent/100, minHedgeDelay), recent.Count > 0
	}
	latest := settings.Goal * maxGoalPercent / 100
	if recent.Count == 0 {
		return latest, true
	}
	return min(max(recent.P90*p90Percent/100, settings.Goal*minGoalPercent/100, minHedgeDelay), latest), true
}

// StragglerAfter implements HedgePolicy. It compares with the time that most
// parts of the same request took.
func (GoalHedge) StragglerAfter(answered, total int, elapsed time.Duration) (time.Duration, bool) {
	if total < 2 || answered*100 < total*minAnsweredPercent {
		return 0, false
	}
	return elapsed*stragglerPercent/100 + stragglerMargin, true
}
