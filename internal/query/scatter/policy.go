package scatter

import (
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
	After(route *contract.Route, recent link.Quantiles) (time.Duration, bool)
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
func (NoHedge) After(*contract.Route, link.Quantiles) (time.Duration, bool) {
	return 0, false
}

// NearestIdle prefers the own zone, within it the less loaded of two random
// servers; other zones follow when those at hand are full. Servers that failed
// a short while ago come last.
type NearestIdle struct{}

// Choose returns a replica in the nearest zone that has room for the part.
func (NearestIdle) Choose(now time.Time, own zone.Zone, candidates []*machine.Server, avoid string) *machine.Server {
	healthy := moveFirst(candidates, func(sv *machine.Server) bool { return !sv.State.Suspect(now) })
	if healthy == 0 {
		return machine.LessLoaded(now, candidates)
	}
	candidates = candidates[:healthy]
	roomy := moveFirst(candidates, func(sv *machine.Server) bool { return sv.HasRoom() && sv.Zone != avoid })
	if roomy == 0 {
		roomy = moveFirst(candidates, (*machine.Server).HasRoom)
	}
	if roomy == 0 {
		return machine.LessLoaded(now, candidates)
	}
	candidates = candidates[:roomy]
	nearest := own.Delay(candidates[0].Zone)
	for _, sv := range candidates[1:] {
		nearest = min(nearest, own.Delay(sv.Zone))
	}
	near := moveFirst(candidates, func(sv *machine.Server) bool { return own.Delay(sv.Zone) == nearest })
	return machine.LessLoaded(now, candidates[:near])
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
func (QuantileHedge) After(route *contract.Route, recent link.Quantiles) (time.Duration, bool) {
	if route.Class != contract.Urgent || route.HedgeShare == 0 || recent.Count == 0 {
		return 0, false
	}
	wait := recent.P95
	switch route.HedgeQuantile {
	case 0.9:
		wait = recent.P90
	case 0.99:
		wait = recent.P99
	}
	return max(wait*hedgeMargin/100, minHedgeWait), true
}
