package scatter

import (
	"math/rand/v2"
	"time"

	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/zone"
)

// ExpectedCompletion chooses the replica that is expected to answer first, by the work
// that is ahead of the part, the speed of the server, the expected work of the part and the
// network delay. Like LeastExpectedLatency, it uses servers that failed recently only when
// the others are full. As long as the work is unknown, it chooses as that policy does.
type ExpectedCompletion struct{}

// Choose implements ReplicaPolicy. It breaks ties by name.
func (ExpectedCompletion) Choose(now time.Time, own zone.Zone, work time.Duration, candidates []*machine.Server, avoid string) *machine.Server {
	if work == 0 {
		return LeastExpectedLatency{}.Choose(now, own, work, candidates, avoid)
	}
	var best *machine.Server
	var least time.Duration
	for _, sv := range preferredReplicas(now, candidates, avoid) {
		expected := sv.ExpectedCompletion(now, work) + 2*own.Delay(sv.Zone)
		if best == nil || expected < least || expected == least && sv.Name < best.Name {
			best, least = sv, expected
		}
	}
	return best
}

// TwoChoices chooses the better of two random replicas by the work that is ahead of the
// part. It is a baseline for comparisons.
type TwoChoices struct{}

// Choose implements ReplicaPolicy.
func (TwoChoices) Choose(now time.Time, _ zone.Zone, _ time.Duration, candidates []*machine.Server, avoid string) *machine.Server {
	candidates = preferredReplicas(now, candidates, avoid)
	if len(candidates) == 0 {
		return nil
	}
	one, other := rand.IntN(len(candidates)), rand.IntN(max(len(candidates)-1, 1))
	if len(candidates) == 1 {
		return candidates[0]
	}
	if other >= one {
		other++
	}
	if a, b := candidates[one], candidates[other]; b.ExpectedWork(now) < a.ExpectedWork(now) {
		return b
	}
	return candidates[one]
}
