package contract

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// played is the traffic of one service as all its servers see it.
type played struct {
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

// checkAllowance checks every window, in steps of a tenth of a second.
func (pl *played) checkAllowance(t *testing.T, al Allowance, from, to time.Time) {
	t.Helper()
	for at := from; at.Before(to); at = at.Add(100 * time.Millisecond) {
		requests := 0
		for _, back := range []time.Duration{0, al.Window / 2, al.Window} {
			requests = max(requests, countIn(pl.requests, at.Add(-back), at.Add(al.Window-back)))
		}
		extra := countIn(pl.extra, at, at.Add(al.Window))
		allowed := al.Ratio*float64(requests) + al.Slack
		assert.Assert(t, float64(extra) <= allowed, "%d extra sends for %d requests from %s", extra, requests, at.Sub(from))
	}
}

// TestAllowanceHoldsForAllEntryVMs plays entry VMs that each want many more
// extra sends than they may make, some of which start again with nothing known.
func TestAllowanceHoldsForAllEntryVMs(t *testing.T) {
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
			al := Allowance{Ratio: 0.2, Slack: tt.slack, Window: 10 * time.Second}
			share := &atomic.Pointer[Allowance]{}
			part := al.Share(tt.vms)
			share.Store(&part)
			rd := rand.New(rand.NewPCG(1, uint64(tt.vms)))
			start := time.Unix(1_000_000, 0)
			budgets := make([]*ServiceBudget, tt.vms)
			for i := range budgets {
				budgets[i] = NewServiceBudget(start.Add(-time.Minute), share)
			}
			var pl played
			end := start.Add(40 * time.Second)
			gap := time.Second / time.Duration(tt.perSecond)
			next := tt.restart
			for now := start; now.Before(end); now = now.Add(gap) {
				if tt.restart > 0 && now.Sub(start) >= next {
					budgets[rd.IntN(tt.vms)] = NewServiceBudget(now, share)
					next += tt.restart
				}
				bg := budgets[rd.IntN(tt.vms)]
				bg.Request(now)
				pl.requests = append(pl.requests, now)
				for range 3 {
					if bg.TryRetry(now, CauseShed, rd.IntN(2) == 0) {
						pl.extra = append(pl.extra, now)
					}
				}
			}
			pl.checkAllowance(t, al, start, end)
			assert.Assert(t, len(pl.extra) > len(pl.requests)/20, "%d extra sends", len(pl.extra))
		})
	}
}

func TestSendsThatDecideKeepTheirShare(t *testing.T) {
	share := &atomic.Pointer[Allowance]{}
	share.Store(&Allowance{Ratio: 0.2, Window: 10 * time.Second})
	start := time.Unix(1_000_000, 0)
	sb := NewServiceBudget(start, share)
	// An earlier window in which all extra sends decided.
	for at := range 100 {
		now := start.Add(time.Duration(at) * 50 * time.Millisecond)
		sb.Request(now)
		sb.TryRetry(now, CauseShed, true)
	}
	now := start.Add(6 * time.Second)
	for range 100 {
		sb.Request(now)
	}
	now = now.Add(time.Second)
	hedges := 0
	for sb.TryHedge(now, false) {
		hedges++
	}
	decisive := 0
	for sb.TryHedge(now, true) {
		decisive++
	}
	assert.Assert(t, decisive >= 10, "%d decisive sends after %d hedges", decisive, hedges)
}

func TestUnsentAttemptsCostNothing(t *testing.T) {
	share := &atomic.Pointer[Allowance]{}
	share.Store(&Allowance{Window: 10 * time.Second})
	now := time.Unix(1_000_000, 0)
	sb := NewServiceBudget(now, share)
	assert.Assert(t, sb.TryRetry(now, CauseDialFailed, false))
	assert.Assert(t, sb.TryRetry(now, CauseNoLink, false))
	assert.Assert(t, !sb.TryRetry(now, CauseShed, true))
}

func TestSplitterKeepsWeights(t *testing.T) {
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
