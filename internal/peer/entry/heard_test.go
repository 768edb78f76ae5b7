package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHearsWatcher guards against a VM that relies on peers which do not watch the platform
// for it: silent ones, those without answers of the platform, and those with other objects.
func TestHearsWatcher(t *testing.T) {
	for _, tt := range []struct {
		name          string
		change        func(mb *Member)
		later         time.Duration
		peer, watcher bool
	}{
		{"it answered", func(*Member) {}, time.Second, true, true},
		{"it answered long ago", func(*Member) {}, 2 * time.Second, false, false},
		{"the platform does not answer it", func(mb *Member) { mb.PlatformUnreachable = true }, 0, true, false},
		{"it has other objects", func(mb *Member) { mb.Mismatches = 1 }, 0, true, false},
		{"it leaves", func(mb *Member) { mb.Leaving = true }, 0, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, all := newClusters(2)
			cr, now := all[1], time.Now()
			cr.round(t.Context())
			cr.members.Update(func(old members) members {
				next := members{}
				for name, mb := range old {
					tt.change(&mb)
					next[name] = mb
				}
				return next
			})
			assert.Equal(t, cr.HearsPeer(now.Add(tt.later)), tt.peer)
			assert.Equal(t, cr.HearsWatcher(now.Add(tt.later)), tt.watcher)
		})
	}
}
