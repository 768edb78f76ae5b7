package forwardvm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSpreadWait(t *testing.T) {
	const now, ms = time.Hour, time.Millisecond
	for _, tt := range []struct {
		name                     string
		drawn, first, last, want time.Duration
	}{
		{"no other watch", 1800 * ms, 0, 0, 1800 * ms},
		{"the other ends soon", 1800 * ms, now + 200*ms, now + 200*ms, 1200 * ms},
		{"the other ends in between", 1800 * ms, now + 900*ms, now + 900*ms, 1800 * ms},
		{"the other ends late", 1800 * ms, now + 1500*ms, now + 1500*ms, time.Second},
		{"the other is overdue", 1800 * ms, now - 500*ms, now - 500*ms, time.Second},
		{"two others", 1900 * ms, now + 100*ms, now + 1500*ms, 1900 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, spreadWait(tt.drawn, now, tt.first, tt.last), tt.want)
		})
	}
}
