package forwardvm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRemovedServersGetNoWorkTooLong guards against servers whose record disappeared and that
// get work for too long, since the VM learned of it late.
func TestRemovedServersGetNoWorkTooLong(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, tc := range []struct {
		name              string
		drainFor, unheard time.Duration
		wantDelay         time.Duration
	}{
		{name: "confirmed just now", drainFor: 3 * time.Second, wantDelay: 2300 * time.Millisecond},
		{name: "unheard for a while", drainFor: 3 * time.Second, unheard: 1600 * time.Millisecond, wantDelay: 700 * time.Millisecond},
		{name: "unheard for longer", drainFor: 3 * time.Second, unheard: 2500 * time.Millisecond, wantDelay: -200 * time.Millisecond},
		{name: "long drain time", drainFor: 5 * time.Second, unheard: time.Second, wantDelay: 2500 * time.Millisecond},
		{name: "long drain time, unheard for a while", drainFor: 5 * time.Second, unheard: 2300 * time.Millisecond, wantDelay: 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cg := Config{}.Defaults()
			cg.DrainFor = tc.drainFor
			removedAt := cg.removalSeenAt(now, now.Add(-tc.unheard)).Add(cg.removalDelay())
			assert.Equal(t, removedAt.Sub(now), tc.wantDelay)
			assert.Assert(t, tc.unheard+tc.wantDelay <= tc.drainFor-removalMargin)
		})
	}
}
