package machine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

func newServer(name string) *Server {
	return &Server{Name: name, Slots: 2, ConnectionLimit: 25, State: &ServerState{}}
}

func TestLaterAnswerClearsSuspicion(t *testing.T) {
	const took = 5 * time.Millisecond
	tests := []struct {
		name string
		act  func(sv *Server)
		// at is the time after the failure.
		at      time.Duration
		suspect bool
	}{
		{"no answer since the failure", func(*Server) {}, time.Second, true},
		{"suspectTime has passed", func(*Server) {}, suspectTime, false},
		{"a part sent after the failure was answered", func(sv *Server) {
			sv.State.RecordAnswer(now.Add(100*time.Millisecond), took, 25)
		}, time.Second, false},
		{"a part sent before the failure was answered", func(sv *Server) {
			sv.State.RecordAnswer(now.Add(time.Millisecond), took, 25)
		}, time.Second, true},
		{"the server is expiring, but answers", func(sv *Server) {
			sv.State.MarkExpiring(now.Add(2 * time.Second))
			sv.State.RecordAnswer(now.Add(100*time.Millisecond), took, 25)
		}, time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sv := newServer("a")
			sv.State.RecordFailure(now, took, contract.CauseLinkReset)
			tt.act(sv)
			assert.Equal(t, sv.State.IsSuspect(now.Add(tt.at)), tt.suspect)
		})
	}
}

// TestSlowServerDistinguishedFromPause cancels attempts as hedges do. A burst of
// cancellations in one short pause must leave the latency of a server low;
// cancellations without any answer over a longer time must raise it.
func TestSlowServerDistinguishedFromPause(t *testing.T) {
	const usual, canceledAfter = 5 * time.Millisecond, 45 * time.Millisecond
	paused, slow := newServer("paused"), newServer("slow")
	for _, sv := range []*Server{paused, slow} {
		sv.State.RecordAnswer(now, usual, 25)
	}
	at := now
	for range 4 {
		at = at.Add(25 * time.Millisecond)
		paused.State.RecordFailure(at, canceledAfter, contract.CauseCanceled)
	}
	paused.State.RecordAnswer(at, usual, 25)
	at = now
	for range 12 {
		at = at.Add(200 * time.Millisecond)
		slow.State.RecordFailure(at, canceledAfter, contract.CauseCanceled)
	}
	assert.Assert(t, time.Duration(paused.State.LatencyNanos.Load()) < 25*time.Millisecond)
	assert.Assert(t, time.Duration(slow.State.LatencyNanos.Load()) > 40*time.Millisecond)
}

func TestHasRoom(t *testing.T) {
	tests := []struct {
		name            string
		inFlight, limit int64
		reported        int
		reportAge       time.Duration
		hasRoom         bool
	}{
		{"below the limit", 1, 2, 5, 0, true},
		{"at the limit, slots are free", 1, 1, 0, 0, true},
		{"at the limit, the report is old", 1, 1, 0, time.Minute, false},
		{"far above the limit, but reported free a second ago", 40, 2, 0, time.Second, false},
	}
	for _, tt := range tests {
		sv := newServer("a")
		sv.State.InFlight.Store(tt.inFlight)
		sv.State.Limit.Store(tt.limit * limitUnit)
		sv.State.RecordLoad(now.Add(-tt.reportAge), tt.reported)
		assert.Equal(t, sv.HasRoom(now), tt.hasRoom, tt.name)
	}
}

// TestFailuresRaiseExpectedLatency guards against preferring a server that fails
// half of its parts immediately, since quick failures make it look fast.
func TestFailuresRaiseExpectedLatency(t *testing.T) {
	for _, cause := range []contract.Cause{contract.CauseServerError, contract.CauseMismatched, contract.CauseLinkBroken} {
		steady, failing := newServer("steady"), newServer("failing")
		at := now
		for i := range 40 {
			at = at.Add(50 * time.Millisecond)
			steady.State.RecordAnswer(at, 8*time.Millisecond, 25)
			if i%2 == 0 {
				failing.State.RecordFailure(at, time.Millisecond, cause)
			} else {
				failing.State.RecordAnswer(at, 8*time.Millisecond, 25)
			}
		}
		assert.Assert(t, failing.ExpectedLatency(at, time.Millisecond) > 2*steady.ExpectedLatency(at, time.Millisecond), "%s", cause)
	}
}

func TestBackOff(t *testing.T) {
	sv := newServer("a")
	assert.Assert(t, sv.AcceptsWork(now))
	assert.Assert(t, sv.State.BackOff(now, time.Second))
	assert.Assert(t, !sv.State.BackOff(now, 500*time.Millisecond), "a shorter one changes nothing")
	assert.Assert(t, !sv.AcceptsWork(now.Add(time.Second-1)))
	sv.State.RecordAnswer(now.Add(time.Millisecond), time.Millisecond, 25)
	assert.Assert(t, !sv.AcceptsWork(now.Add(time.Millisecond)), "an answer to an earlier part does not end it")
	assert.Assert(t, sv.AcceptsWork(now.Add(time.Second)))
	sv.State.BackOff(now, time.Duration(1<<62))
	assert.Assert(t, sv.AcceptsWork(now.Add(maxBackOff)), "it is bounded")
}
