package machine

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observe records answers that took a time, one after the other, and returns the time
// after the last.
func observe(sv *Server, at time.Time, cost, took time.Duration, count int) time.Time {
	for range count {
		sent := at
		at = at.Add(took)
		sv.State.Work.ObserveSpeed(at, sent, took, took, cost)
	}
	return at
}

// TestSlowness guards against a slow server that is noticed late, one that stays avoided,
// and a server that is avoided for a pause or for one long request.
func TestSlowness(t *testing.T) {
	const cost = 20 * time.Millisecond
	tests := []struct {
		name        string
		act         func(sv *Server) time.Time
		least, most float64
	}{
		{"unknown", func(*Server) time.Time { return now }, 1, 1},
		{"usual", func(sv *Server) time.Time { return observe(sv, now, cost, cost, 20) }, 1, 1},
		{"1.3 times slower", func(sv *Server) time.Time { return observe(sv, now, cost, 13*cost/10, 20) }, 1.25, 1.3},
		{"ten times slower, after four answers", func(sv *Server) time.Time { return observe(sv, now, cost, 10*cost, 4) }, 4, 10},
		{"one long request", func(sv *Server) time.Time { return observe(sv, now, cost, 5*cost, 1) }, 1, 1.6},
		{"a pause that delays many parts", func(sv *Server) time.Time {
			at := now.Add(12 * cost)
			for range 6 {
				sv.State.Work.ObserveSpeed(at, now, 12*cost, 12*cost, cost)
			}
			return at
		}, 1, 2},
		{"slow, but unused since", func(sv *Server) time.Time {
			return observe(sv, now, cost, 10*cost, 8).Add(5 * slownessHalfLife)
		}, 1, 1.2},
		{"slow, then usual again", func(sv *Server) time.Time {
			return observe(sv, observe(sv, now, cost, 10*cost, 8), cost, cost, 10)
		}, 1, 1.3},
		{"a queue hides the time in the slot", func(sv *Server) time.Time {
			for range 20 {
				sv.State.Work.ObserveSpeed(now, now, cost/2, 3*cost, cost)
			}
			return now
		}, 1, 1},
		{"slow in spite of a queue", func(sv *Server) time.Time {
			for range 20 {
				sv.State.Work.ObserveSpeed(now, now, 4*cost, 9*cost, cost)
			}
			return now
		}, 2, 4},
		{"canceled after a long time", func(sv *Server) time.Time {
			sv.State.Work.ObserveSpeed(now, now, 8*cost, math.MaxInt64, cost)
			return now
		}, 1.3, 8},
		{"canceled early", func(sv *Server) time.Time {
			sv.State.Work.ObserveSpeed(now, now, cost/8, math.MaxInt64, cost)
			return now
		}, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sv := newServer("a")
			got := sv.State.Work.Slowness(tt.act(sv))
			assert.Assert(t, got >= tt.least-0.01 && got <= tt.most+0.01, "%.2f", got)
		})
	}
}

// TestQueueAhead guards against trust in old reports, which would send all processes to one
// idle server, and against waits for slots that are free.
func TestQueueAhead(t *testing.T) {
	const cost = 20 * time.Millisecond
	tests := []struct {
		name string
		// own is the number of own parts, sent before; usual is the usual load by others,
		// reported that of the last report, of an age.
		own             int
		sent            time.Duration
		usual, reported int64
		age             time.Duration
		least, most     time.Duration
	}{
		{"idle", 0, 0, 0, 0, 0, 0, 0},
		{"a free slot", 1, 0, 0, 0, 0, 0, cost / 2},
		{"both slots in use", 2, 0, 0, 0, 0, cost / 2, cost},
		{"a long queue", 8, 0, 0, 0, 0, 3 * cost, 4 * cost},
		{"others fill it", 0, 0, 6, 6, 0, 2 * cost, 3 * cost},
		{"others filled it, long ago", 0, 0, 0, 6, time.Second, 0, 0},
		{"idle just now, but usually full", 0, 0, 6, 0, 0, 0, cost / 2},
		{"idle one part ago, but usually full", 0, 0, 6, 0, cost, cost / 2, 2 * cost},
		{"idle a while ago, but usually full", 0, 0, 6, 0, time.Second, 2 * cost, 3 * cost},
		{"a report from the future", 0, 0, 0, 6, -time.Hour, 2 * cost, 3 * cost},
		{"parts are overdue", 1, 10 * cost, 0, 0, 0, 5 * cost, 10 * cost},
		{"the clock jumped back", 1, -time.Hour, 0, 0, 0, 0, cost},
		{"the clock jumped forward", 1, time.Hour, 0, 0, 0, cost, maxStall},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sv := newServer("a")
			wk := &sv.State.Work
			wk.Start(now, cost)
			wk.End(now, cost)
			for range tt.own {
				wk.Start(now.Add(-tt.sent), cost)
			}
			wk.reportedOthers.Store(tt.reported * othersUnit)
			wk.others.Store(tt.usual * othersUnit)
			sv.State.ReportedAt.Store(now.Add(-tt.age).UnixNano())
			wait, _ := sv.QueueAhead(now)
			assert.Assert(t, wait >= tt.least && wait <= tt.most, "%s", wait)
			for range tt.own {
				wk.End(now.Add(-tt.sent), cost)
			}
			assert.Equal(t, wk.costNanos.Load()+wk.parts.Load()+wk.sentMicros.Load(), int64(0), "parts that ended leave nothing")
		})
	}
}
