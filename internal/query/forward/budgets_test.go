package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

// TestLostVMsLeaveTheirShareLater guards against entry VMs that take over the retry budget of
// lost ones while what those have spent still counts. All VMs retry as often as they may; six
// of nine are lost, which the others notice after 4 s, and come back later.
func TestLostVMsLeaveTheirShareLater(t *testing.T) {
	const vms, kept = 9, 3
	total := contract.RetryBudget{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	lostAt, noticedAt, backAt := start.Add(15*time.Second), start.Add(19*time.Second), start.Add(60*time.Second)
	budgets := make([]*Budgets, vms)
	for i := range budgets {
		budgets[i] = NewBudgets(start.Add(-time.Minute), total, vms)
	}
	var requests, extra []time.Time
	for now := start; now.Before(start.Add(80 * time.Second)); now = now.Add(20 * time.Millisecond) {
		live, known := vms, vms
		if !now.Before(lostAt) && now.Before(backAt) {
			live = kept
		}
		if !now.Before(noticedAt) && now.Before(backAt) {
			known = kept
		}
		if now.Equal(backAt) {
			for i := kept; i < vms; i++ {
				budgets[i] = NewBudgets(now, total, vms)
			}
		}
		// Callers send 20 requests a second, whatever the number of VMs.
		caller := int(now.Sub(start)/(20*time.Millisecond)) % live
		for i := range live {
			budgets[i].SetShare(now, total, known)
			budget := budgets[i].ForService("plans")
			if i == caller && now.Sub(start)%(40*time.Millisecond) == 0 {
				budget.CountRequest(now)
				requests = append(requests, now)
			}
			if budget.TryRetry(now, contract.CauseShed, true) {
				extra = append(extra, now)
			}
		}
	}
	count := func(times []time.Time, from, until time.Time) int {
		found := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(until) {
				found++
			}
		}
		return found
	}
	for until := start.Add(total.Window); until.Before(start.Add(80 * time.Second)); until = until.Add(100 * time.Millisecond) {
		from := until.Add(-total.Window)
		used, allowed := count(extra, from, until), total.Ratio*float64(count(requests, from, until))+total.Slack
		assert.Assert(t, float64(used) <= allowed, "%d of %.1f in the window up to %s", used, allowed, until.Sub(start))
	}
	// The others get the share in the end.
	late := count(extra, noticedAt.Add(2*total.Window), noticedAt.Add(3*total.Window))
	assert.Assert(t, late > 45, "%d extra sends long after the loss", late)
}
