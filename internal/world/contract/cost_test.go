package contract

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCost guards against estimates that one long request or a pause of a server moves far,
// and against those that never follow a change.
func TestCost(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	const usual = 20 * time.Millisecond
	tests := []struct {
		name        string
		took        []time.Duration
		least, most time.Duration
	}{
		{"unknown", nil, 0, 0},
		{"one answer", []time.Duration{usual}, usual, usual},
		{"nothing measurable", []time.Duration{0, -usual}, 1, 1},
		{"one long request", append(repeat(usual, 40), 5*usual), usual, 5 * usual / 4},
		{"one pause", append(repeat(usual, 40), 100*usual), usual, 5 * usual / 4},
		{"a change", append(repeat(usual, 40), repeat(3*usual, 100)...), 5 * usual / 2, 3 * usual},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			co := &Cost{}
			for _, took := range tt.took {
				co.Record(start, took)
			}
			assert.Assert(t, co.Mean() >= tt.least && co.Mean() <= tt.most, "%s", co.Mean())
		})
	}
}

func repeat(took time.Duration, count int) []time.Duration {
	all := make([]time.Duration, count)
	for i := range all {
		all[i] = took
	}
	return all
}

// TestCostOfUnevenRequests records log-normal work, of which 1 in 100 takes five times as
// long. The mean must be within a factor of 1.5 of the true one, so that it still tells
// requests apart that differ by more.
func TestCostOfUnevenRequests(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_000_000, 0)
	co := &Cost{}
	for i := range 2000 {
		work := math.Exp(0.5*rnd.NormFloat64()-0.125) / 1.04
		if rnd.IntN(100) == 0 {
			work *= 5
		}
		co.Record(now, time.Duration(work*float64(220*time.Millisecond)))
		if i > 30 {
			ratio := float64(co.Mean()) / float64(220*time.Millisecond)
			assert.Assert(t, ratio > 1/1.5 && ratio < 1.5, "%.2f after %d", ratio, i)
		}
	}
}

func TestRouteCosts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	rc := &RouteCosts{}
	assert.Equal(t, rc.Expected("a"), time.Duration(0))
	for range 100 {
		rc.Record(now, "a", 10*time.Millisecond)
	}
	assert.Equal(t, rc.Expected("b"), 10*time.Millisecond, "as the others of the route")
	rc.Record(now, "b", 50*time.Millisecond)
	assert.Assert(t, rc.Expected("b") < 20*time.Millisecond, "one answer tells little")
	for range 200 {
		rc.Record(now, "b", 50*time.Millisecond)
	}
	assert.Assert(t, rc.Expected("b") > 2*rc.Expected("a"))
	for i := range 2 * maxCostServices {
		rc.Record(now, fmt.Sprintf("s-%d", i), time.Millisecond)
	}
	assert.Equal(t, rc.count.Load(), int64(maxCostServices), "the state is bounded")
	rc.Forget(now.Add(costTTL + time.Second))
	assert.Equal(t, rc.count.Load(), int64(0), "unused costs are forgotten")
}

// TestContention guards against holding back without need, and against starvation.
func TestContention(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	tests := []struct {
		name string
		// urgent is the priority of the more urgent requests, missedOf 10 of them are not
		// served, which find servers busy or not.
		urgent, missedOf int
		busy             bool
		// idle is the time since the last more urgent request.
		idle        time.Duration
		least, most float64
	}{
		{"all are served", 0, 0, true, 0, 0, 0},
		{"missed though there was room", 0, 5, false, 0, 0, 0},
		{"half are missed", 0, 5, true, 0, 0.5, 0.9},
		{"all are missed", 0, 10, true, 0, 0.4, 0.9},
		{"equal priority", 1, 10, true, 0, 0, 0},
		{"less urgent", 2, 10, true, 0, 0, 0},
		{"no more urgent ones lately", 0, 10, true, contentionWindow, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cn := &Contention{}
			for i := range 300 {
				cn.Arrive(start, 1)
				cn.Arrive(start, tt.urgent)
				cn.Finish(start, tt.urgent, i%10 >= tt.missedOf, tt.busy)
				cn.Finish(start, 1, true, false)
			}
			held, keepsReserve := cn.Arrive(start.Add(tt.idle), 1)
			assert.Assert(t, held >= tt.least && held <= tt.most, "%.2f", held)
			assert.Equal(t, keepsReserve, held > 0)
		})
	}
}

// TestContentionStarvesNoKind has requests of two priorities, the more urgent of which find
// no room half of the time whatever is held back. The others must still be admitted a
// quarter as often as all are served.
func TestContentionStarvesNoKind(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cn := &Contention{}
	served, admitted, all := 0, 0, 0
	const rounds = 5000
	for i := range rounds {
		now = now.Add(5 * time.Millisecond)
		cn.Arrive(now, 0)
		cn.Finish(now, 0, i%2 == 0, true)
		held, _ := cn.Arrive(now, 1)
		isAdmitted := !IsHeld(held)
		cn.Finish(now, 1, isAdmitted, !isAdmitted)
		if isAdmitted {
			admitted++
			all++
		}
		if i%2 == 0 {
			served++
			all++
		}
	}
	assert.Assert(t, float64(admitted)/rounds >= float64(all)/(2*rounds)/4, "%d admitted of %d", admitted, all)
	assert.Assert(t, admitted < served, "%d admitted, %d more urgent ones served", admitted, served)
}

// TestPriorityBudget guards the reserve of extra sends for more urgent requests.
func TestPriorityBudget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	share := &atomic.Pointer[RetryBudget]{}
	share.Store(&RetryBudget{Ratio: 0.2, Window: 10 * time.Second})
	newBudget := func() *ServiceBudget {
		sb := NewServiceBudget(now.Add(-time.Minute), share)
		for range 1000 {
			sb.CountRequest(now)
		}
		return sb
	}
	spend := func(budget PriorityBudget, most int) int {
		spent := 0
		for spent < most && budget.TryHedge(now.Add(time.Second), false) {
			spent++
		}
		return spent
	}
	calm := newBudget()
	whole := spend(PriorityBudget{calm, 1}, 1000)
	assert.Assert(t, whole > 50, "all of it, as long as no more urgent request uses any")
	sb := newBudget()
	assert.Equal(t, spend(PriorityBudget{sb, 0}, 20), 20)
	assert.Equal(t, spend(PriorityBudget{sb, 1}, 1000), whole-40, "20 are used, 20 reserved")
	assert.Equal(t, spend(PriorityBudget{sb, 0}, 1000), 20)
}

func BenchmarkCost(b *testing.B) {
	rc := &RouteCosts{}
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		rc.Record(now, "shard", 20*time.Millisecond)
		rc.Expected("shard")
	}
}

func BenchmarkContention(b *testing.B) {
	cn := &Contention{}
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		cn.Arrive(now, 1)
		cn.Finish(now, 1, true, false)
	}
}
