package lifecycle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStallDetector(t *testing.T) {
	const interval = 200 * time.Millisecond
	start := time.Unix(1000, 0)
	var sd StallDetector
	_, ok := sd.Observe(start, time.Second, interval)
	assert.Assert(t, !ok, "nothing is known before the first run")
	_, ok = sd.Observe(start.Add(interval+stallThreshold), time.Second, interval)
	assert.Assert(t, !ok)
	st, ok := sd.Observe(start.Add(3*time.Second), 3*time.Second, interval)
	assert.Assert(t, ok)
	assert.Equal(t, st, Stall{For: 2100 * time.Millisecond, CPU: 2 * time.Second})
	assert.Assert(t, CPUTime() > 0)
}
