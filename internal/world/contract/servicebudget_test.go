package contract

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// traffic holds the times of all requests and extra sends to one service.
type traffic struct {
	requests, extra []time.Time
}

func countIn(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// checkRetryBudget asserts that the extra sends keep to the budget in every
// window that begins at a multiple of 100 ms after from.
func (tr *traffic) checkRetryBudget(t *testing.T, rb RetryBudget, from, to time.Time) {
	t.Helper()
	for at := from; at.Before(to); at = at.Add(100 * time.Millisecond) {
		requests := 0
		for _, back := range []time.Duration{0, rb.Window / 2, rb.Window} {
			requests = max(requests, countIn(tr.requests, at.Add(-back), at.Add(rb.Window-back)))
		}
		extra := countIn(tr.extra, at, at.Add(rb.Window))
		allowed := rb.Ratio*float64(requests) + rb.Slack
		assert.Assert(t, float64(extra) <= allowed, "%d extra sends for %d requests from %s", extra, requests, at.Sub(from))
	}
}

// TestRetryBudgetHoldsForAllEntryVMs simulates entry VMs that each attempt many
// more extra sends than they are allowed, and some of which restart without
// state. All together must keep to the budget.
func TestRetryBudgetHoldsForAllEntryVMs(t *testing.T) {
	tests := []struct {
		vms       int
		perSecond int
		restart   time.Duration
		slack     float64
	}{
		{vms: 1, perSecond: 45, slack: 58},
		{vms: 9, perSecond: 45, slack: 58},
		{vms: 9, perSecond: 180, restart: 7 * time.Second, slack: 58},
		{vms: 6, perSecond: 400, restart: 4 * time.Second, slack: 52},
		{vms: 67, perSecond: 140, restart: 12 * time.Second, slack: 174},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d VMs", tt.vms), func(t *testing.T) {
			rb := RetryBudget{Ratio: 0.2, Slack: tt.slack, Window: 10 * time.Second}
			share := &atomic.Pointer[RetryBudget]{}
			own := rb.Share(tt.vms)
			share.Store(&own)
			rd := rand.New(rand.NewPCG(1, uint64(tt.vms)))
			start := time.Unix(1_000_000, 0)
			budgets := make([]*ServiceBudget, tt.vms)
			for i := range budgets {
				budgets[i] = NewServiceBudget(start.Add(-time.Minute), share)
			}
			var tr traffic
			end := start.Add(40 * time.Second)
			gap := time.Second / time.Duration(tt.perSecond)
			next := tt.restart
			for now := start; now.Before(end); now = now.Add(gap) {
				if tt.restart > 0 && now.Sub(start) >= next {
					budgets[rd.IntN(tt.vms)] = NewServiceBudget(now, share)
					next += tt.restart
				}
				bg := budgets[rd.IntN(tt.vms)]
				bg.CountRequest(now)
				tr.requests = append(tr.requests, now)
				for range 3 {
					if bg.TryRetry(now, CauseShed, rd.IntN(2) == 0) {
						tr.extra = append(tr.extra, now)
					}
				}
			}
			tr.checkRetryBudget(t, rb, start, end)
			assert.Assert(t, len(tr.extra) > len(tr.requests)/20, "%d extra sends", len(tr.extra))
		})
	}
}

func TestHedgesLeaveReserveForRequiredSends(t *testing.T) {
	share := &atomic.Pointer[RetryBudget]{}
	share.Store(&RetryBudget{Ratio: 0.2, Window: 10 * time.Second})
	start := time.Unix(1_000_000, 0)
	sb := NewServiceBudget(start, share)
	// First, all extra sends are required.
	for i := range 100 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		sb.CountRequest(now)
		sb.TryRetry(now, CauseShed, true)
	}
	now := start.Add(6 * time.Second)
	for range 100 {
		sb.CountRequest(now)
	}
	now = now.Add(time.Second)
	hedges := 0
	for sb.TryHedge(now, false) {
		hedges++
	}
	required := 0
	for sb.TryHedge(now, true) {
		required++
	}
	assert.Assert(t, required >= 10, "%d required sends after %d hedges", required, hedges)
}

func TestRetryOfUnsentAttemptIsNotCounted(t *testing.T) {
	share := &atomic.Pointer[RetryBudget]{}
	share.Store(&RetryBudget{Window: 10 * time.Second})
	now := time.Unix(1_000_000, 0)
	sb := NewServiceBudget(now, share)
	assert.Assert(t, sb.TryRetry(now, CauseDialFailed, false))
	assert.Assert(t, sb.TryRetry(now, CauseNoLink, false))
	assert.Assert(t, !sb.TryRetry(now, CauseShed, true))
}

func TestSplitterFollowsWeights(t *testing.T) {
	tests := [][]float64{{1}, {1, 1}, {9, 1}, {70, 20, 10}, {0, 1}, {0.5, 0.25, 0.25}}
	for _, weights := range tests {
		var services []WeightedService
		total := 0.0
		for i, weight := range weights {
			services = append(services, WeightedService{Service: fmt.Sprint(i), Weight: weight})
			total += weight
		}
		var sp Splitter
		counts := map[string]int{}
		const requests = 300
		for range requests {
			counts[sp.Pick(services)]++
		}
		for i, weight := range weights {
			got := float64(counts[fmt.Sprint(i)]) / requests
			assert.Assert(t, got > weight/total-0.02 && got < weight/total+0.02, "%v: share %d is %.3f", weights, i, got)
		}
	}
}
