package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/view"
)

// TestHeartbeatPairsNoOlderCopy guards against a heartbeat that confirms a copy as of a time
// at which the platform had told a change that the copy lacks.
func TestHeartbeatPairsNoOlderCopy(t *testing.T) {
	_, all := newClusters(1)
	cr := all[0]
	version := int64(0)
	cr.DirectlyConfirmedAt = func() time.Time {
		// A change arrives while the heartbeat is made.
		version++
		cr.Replica.Apply(time.Now(), view.Origin{}, []view.Object{{Key: "tokens/a", Version: version, Value: `{"author":"1"}`}})
		return time.Now()
	}
	for range 3 {
		hb := cr.Heartbeat(time.Now(), "")
		assert.Equal(t, hb.Digest, cr.Replica.Current().Digest)
	}
}
