package contract

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopPlan guards against a stop that takes a request late and ends before its
// answer.
func TestStopPlan(t *testing.T) {
	start := time.Unix(1_000, 0)
	tests := []struct {
		name   string
		within time.Duration
		// at and limit are the arrival of the request after the start of the stop, and
		// the time that it may take.
		at, limit time.Duration
		taken     bool
	}{
		{"early and long", 6 * time.Second, 2 * time.Second, 4 * time.Second, true},
		{"late and long", 6 * time.Second, 3100 * time.Millisecond, 4 * time.Second, false},
		{"just after the open time", 6 * time.Second, 2750 * time.Millisecond, 4 * time.Second, false},
		{"late and short", 6 * time.Second, 3400 * time.Millisecond, time.Second, true},
		{"late, ends with the process", 6 * time.Second, 3400 * time.Millisecond, 2200 * time.Millisecond, false},
		{"short stop, early", time.Second, 400 * time.Millisecond, 4 * time.Second, true},
		{"short stop, late", time.Second, 500 * time.Millisecond, 4 * time.Second, false},
		{"after the end", 6 * time.Second, 7 * time.Second, time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sp, now := NewStopPlan(start, tt.within), start.Add(tt.at)
			assert.Equal(t, sp.MayTake(now, now.Add(tt.limit)), tt.taken)
			assert.Assert(t, sp.OpenUntil.Before(sp.GiveUpAt) && sp.GiveUpAt.Before(start.Add(tt.within)))
		})
	}
}
