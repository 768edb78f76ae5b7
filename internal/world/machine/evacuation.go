package machine

import (
	"math"
	"time"
)

const (
	// evacuatedForever is the end of an evacuation that is in force.
	evacuatedForever = math.MaxInt64
	// takeBackDelay is the time between the news that an evacuation ended and the first
	// request. The news that servers of the zone became cold shortly before comes by
	// another watch, which may be late by the pause between two watches and a call.
	takeBackDelay = 500 * time.Millisecond
)

// SetEvacuated records that the server's zone is evacuated, or is no longer.
func (st *ServerState) SetEvacuated(now time.Time, evacuated bool) {
	switch {
	case evacuated:
		st.EvacuatedUntil.Store(evacuatedForever)
	case st.EvacuatedUntil.Load() == evacuatedForever:
		st.EvacuatedUntil.Store(ticks(now.Add(takeBackDelay)))
	}
}

// IsEvacuated reports whether the server must get nothing because its zone is, or was a
// moment ago, evacuated.
func (st *ServerState) IsEvacuated(now time.Time) bool {
	return ticks(now) < st.EvacuatedUntil.Load()
}
