package machine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowdown guards against a figure that is trusted for too long, one odd figure that
// takes a server out, and a machine that is always slow being counted twice.
func TestSlowdown(t *testing.T) {
	repeated := func(percent, count int) []int {
		var all []int
		for range count {
			all = append(all, percent)
		}
		return all
	}
	tests := []struct {
		name     string
		reports  []int
		age      time.Duration
		min, max float64
	}{
		{"no report", nil, 0, 1, 1},
		{"three figures only", repeated(0, 5), 0, 1, 1},
		{"as usual", repeated(100, 5), 0, 1, 1},
		{"slowed now", append(repeated(100, 50), 300), 0, 2.4, 3},
		{"slowed a while ago", append(repeated(100, 50), 300), slowdownDecay, 1.4, 1.8},
		{"slowed long ago", append(repeated(100, 50), 300), maxSlowdownAge, 1, 1},
		{"always slow", repeated(300, 100), 0, 0.99, 1.01},
		{"usually slow, now fast", append(repeated(300, 100), 100), 0, 0.33, 0.37},
		{"odd", append(repeated(100, 50), 10_000), 0, 1, maxSlowdown},
		{"odd and fast", append(repeated(10_000, 50), 1), 0, minSlowdown, 1},
	}
	for _, tt := range tests {
		sv := newServer("a")
		for _, percent := range tt.reports {
			sv.State.RecordPercent(now, percent)
		}
		got := sv.State.Slowdown(now.Add(tt.age))
		assert.Assert(t, got >= tt.min && got <= tt.max, "%s: %f", tt.name, got)
	}
}

// TestSlowedMachineIsExpectedLate guards against a choice between two otherwise equal
// servers that ignores that one machine is slowed, and against any change for servers that
// report nothing.
func TestSlowedMachineIsExpectedLate(t *testing.T) {
	silent, usual, slowed := newServer("silent"), newServer("usual"), newServer("slowed")
	for _, sv := range []*Server{silent, usual, slowed} {
		sv.State.RecordAnswer(now, 8*time.Millisecond, 25)
		sv.State.RecordLoad(now, 3)
		sv.State.InFlight.Store(3)
	}
	usual.State.RecordPercent(now, 100)
	slowed.State.RecordPercent(now, 250)
	assert.Equal(t, silent.ExpectedLatency(now, time.Millisecond), usual.ExpectedLatency(now, time.Millisecond))
	assert.Equal(t, silent.ExpectedWait(now), usual.ExpectedWait(now))
	assert.Assert(t, slowed.ExpectedLatency(now, time.Millisecond) > 2*usual.ExpectedLatency(now, time.Millisecond))
	assert.Assert(t, slowed.ExpectedWait(now) > 2*usual.ExpectedWait(now))
	const work = 8 * time.Millisecond
	assert.Equal(t, silent.ExpectedCompletion(now, work), usual.ExpectedCompletion(now, work))
	assert.Assert(t, slowed.ExpectedCompletion(now, work) > 2*usual.ExpectedCompletion(now, work))
	later := now.Add(maxSlowdownAge)
	assert.Equal(t, slowed.ExpectedLatency(later, time.Millisecond), usual.ExpectedLatency(later, time.Millisecond))
}
