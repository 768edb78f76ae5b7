package entry

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/machine"
)

// TestDepartureReachesAllPeers counts the rounds until every entry VM knows of a
// departure that one reported. Each is told once, and the news ends after a while.
func TestDepartureReachesAllPeers(t *testing.T) {
	const maxRounds = 7
	departure := machine.Departure{Server: "i-1", StartedAt: time.UnixMilli(1_700_000_000_000)}
	for _, count := range []int{9, 30, 148} {
		t.Run(fmt.Sprintf("peers=%d", count), func(t *testing.T) {
			_, all := newClusters(count)
			told := make([]atomic.Int64, count)
			for i, cr := range all {
				cr.OnDeparture = func(_ time.Time, dp machine.Departure) {
					assert.Check(t, dp.Server == departure.Server && dp.StartedAt.Equal(departure.StartedAt))
					told[i].Add(1)
				}
			}
			for range 20 {
				for _, cr := range all {
					cr.round(t.Context())
				}
			}
			all[0].ReportDeparture(time.Now(), departure)
			rounds := 0
			for missing := count - 1; missing > 0; rounds++ {
				assert.Assert(t, rounds < maxRounds, "%d do not know after %d rounds", missing, rounds)
				missing = 0
				for _, cr := range all {
					cr.round(t.Context())
				}
				for i := 1; i < count; i++ {
					if told[i].Load() == 0 {
						missing++
					}
				}
			}
			for i := 1; i < count; i++ {
				assert.Equal(t, told[i].Load(), int64(1))
			}
			assert.Equal(t, told[0].Load(), int64(0), "a process is not told of what it reported")
			later := time.Now().Add(departureTTL)
			assert.Equal(t, len(all[0].encodeDepartures(later)), 0)
			all[0].removeOldDepartures(later)
			assert.Equal(t, len(*all[0].departures.Load()), 0)
		})
	}
}

func TestHeartbeatListsNewestDepartures(t *testing.T) {
	_, all := newClusters(1)
	now := time.Now()
	for i := range 2 * maxDepartures {
		all[0].ReportDeparture(now.Add(-time.Duration(i)*time.Millisecond), machine.Departure{Server: fmt.Sprintf("i-%d", i)})
	}
	listed := all[0].Heartbeat(now, "").Departures
	assert.Equal(t, len(listed), maxDepartures)
	assert.Equal(t, listed[0].Server, "i-0")
	assert.Equal(t, listed[0].StartedMs, int64(0))
	assert.Equal(t, listed[maxDepartures-1].Server, fmt.Sprintf("i-%d", maxDepartures-1))
}
