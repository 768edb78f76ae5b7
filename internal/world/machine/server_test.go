package machine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

func TestExpectedWait(t *testing.T) {
	const usual = 20 * time.Millisecond
	tests := []struct {
		name string
		// inFlight is the number of this process's parts; reported is the reported load,
		// of a report that is age old.
		inFlight, reported int64
		age                time.Duration
		// recent is the recent latency; usual if it is 0.
		recent time.Duration
		want   time.Duration
	}{
		{"idle", 0, 0, 0, 0, 0},
		{"a free slot", 1, 1, 0, 0, 0},
		{"all slots in use", 2, 0, 0, 0, usual / 2},
		{"others use the slots", 0, 5, 0, 0, 2 * usual},
		{"half of the others' requests have ended", 0, 5, maxQueueReportAge / 2, 0, usual / 2},
		{"the own parts count whatever the age", 4, 5, maxQueueReportAge / 2, 0, 3 * usual / 2},
		{"others used the slots a while ago", 0, 5, maxQueueReportAge, 0, 0},
		{"the server became slow", 0, 3, 0, 10 * usual, 5 * usual},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sv := newServer("a")
			sv.State.RecordAnswer(now, usual, 25)
			sv.State.RecordAnswer(now, usual, 25)
			if tt.recent > 0 {
				sv.State.LatencyNanos.Store(int64(tt.recent))
			}
			sv.State.RecordLoad(now.Add(-tt.age), int(tt.reported))
			sv.State.InFlight.Store(tt.inFlight)
			assert.Equal(t, sv.ExpectedWait(now), tt.want)
		})
	}
	assert.Equal(t, newServer("new").ExpectedWait(now), time.Duration(0))
}

func TestRecentLatencyDecays(t *testing.T) {
	sv := newServer("a")
	assert.Equal(t, sv.RecentLatency(now), time.Duration(0))
	sv.State.RecordAnswer(now, 80*time.Millisecond, 25)
	assert.Equal(t, sv.RecentLatency(now.Add(latencyHalfLife)), 80*time.Millisecond)
	assert.Equal(t, sv.RecentLatency(now.Add(2*latencyHalfLife)), 20*time.Millisecond)
	assert.Assert(t, sv.RecentLatency(now.Add(time.Hour)) > 0)
}

func TestUnresponsive(t *testing.T) {
	sv := newServer("a")
	assert.Assert(t, !sv.State.IsUnresponsive(now))
	sv.State.RecordFailure(now, 50*time.Millisecond, contract.CauseCanceled)
	assert.Assert(t, !sv.State.IsUnresponsive(now.Add(maxPause)), "it may pause")
	later := now.Add(maxPause + time.Millisecond)
	assert.Assert(t, sv.State.IsUnresponsive(later))
	sv.State.RecordAnswer(later, 5*time.Millisecond, 25)
	assert.Assert(t, !sv.State.IsUnresponsive(later.Add(time.Second)))
}
