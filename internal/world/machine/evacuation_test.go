package machine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEvacuation guards against a server that gets requests when its zone is taken back
// before the news that it is cold could arrive, or that is never used again.
func TestEvacuation(t *testing.T) {
	type step struct {
		at        time.Duration
		evacuated bool
	}
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		want  bool
	}{
		{"never", nil, 0, true},
		{"not evacuated by a first record", []step{{0, false}}, 0, true},
		{"in force", []step{{0, true}}, time.Hour, false},
		{"a record meanwhile", []step{{0, true}, {time.Second, true}}, time.Hour, false},
		{"taken back a moment ago", []step{{0, true}, {time.Second, false}}, time.Second + takeBackDelay - 1, false},
		{"taken back", []step{{0, true}, {time.Second, false}}, time.Second + takeBackDelay, true},
		{"records after it do not prolong it", []step{{0, true}, {time.Second, false}, {1200 * time.Millisecond, false}}, time.Second + takeBackDelay, true},
		{"again", []step{{0, true}, {time.Second, false}, {1200 * time.Millisecond, true}}, time.Hour, false},
	}
	for _, tt := range tests {
		sv := newServer("a")
		for _, each := range tt.steps {
			sv.State.SetEvacuated(now.Add(each.at), each.evacuated)
		}
		assert.Equal(t, sv.AcceptsWork(now.Add(tt.at)), tt.want, tt.name)
		if at, ok := sv.AcceptsWorkAt(now.Add(tt.at)); ok {
			assert.Assert(t, !at.After(now.Add(time.Second+takeBackDelay+time.Hour)), tt.name)
			assert.Equal(t, !at.After(now.Add(tt.at)), tt.want, tt.name)
		}
	}
}
