package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

func TestRefuseUnavailable(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const none, leaving = time.Duration(0), time.Duration(-1)
	tests := []struct {
		name string
		// shards holds for each server of each shard how long it backs off, or
		// leaving.
		shards      [][]time.Duration
		minCoverage float64
		refused     bool
		retryAfter  time.Duration
	}{
		{name: "all available", shards: [][]time.Duration{{none}, {none}}, minCoverage: 1},
		{name: "one replica is enough", shards: [][]time.Duration{{leaving, none}, {2 * time.Second, none}}, minCoverage: 1},
		{name: "coverage is reached without a shard", shards: [][]time.Duration{{none}, {leaving}}, minCoverage: 0.5},
		{name: "coverage is not reached", shards: [][]time.Duration{{none}, {leaving}}, minCoverage: 0.75, refused: true},
		{
			name: "the earliest replica of the needed shard decides", refused: true, minCoverage: 0.6, retryAfter: 2 * time.Second,
			shards: [][]time.Duration{{none}, {3 * time.Second, 2 * time.Second}, {5 * time.Second, 4 * time.Second}},
		},
		{
			name: "the last needed shard decides", refused: true, minCoverage: 1, retryAfter: 4 * time.Second,
			shards: [][]time.Duration{{none}, {3 * time.Second, 2 * time.Second}, {5 * time.Second, 4 * time.Second}},
		},
		{
			name: "nobody knows when a leaving shard is replaced", refused: true, minCoverage: 1,
			shards: [][]time.Duration{{leaving}, {2 * time.Second}},
		},
		{name: "no servers", shards: [][]time.Duration{{}}, minCoverage: 0, refused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			shards := make([]scatter.Shard, len(tt.shards))
			for i, servers := range tt.shards {
				for _, backOff := range servers {
					sv := &machine.Server{Slots: 1, State: &machine.ServerState{}}
					if backOff == leaving {
						sv.State.MarkDeparting()
					} else if backOff > 0 {
						sv.State.BackOff(now, backOff)
					}
					shards[i].Replicas = append(shards[i].Replicas, sv)
				}
			}
			rf := refuseUnavailable(now, shards, tt.minCoverage)
			assert.Equal(t, rf != nil, tt.refused)
			if rf != nil {
				assert.Equal(t, rf.Outcome, contract.NotRun)
				assert.Equal(t, rf.RetryAfter, tt.retryAfter)
			}
		})
	}
}
