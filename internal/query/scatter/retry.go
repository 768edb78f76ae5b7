package scatter

import (
	"context"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// retry sends a part again if that is safe, within the budget and of use.
func (ga *gather[R, H, M, A]) retry(ctx context.Context, now time.Time, at int, cause contract.Cause, notRun bool) {
	pt := &ga.parts[at]
	if !ga.job.Terms.Idempotent && !notRun {
		pt.Record.Why = contract.WhyMayHaveRun
		ga.giveUp(at, cause)
		return
	}
	if cause == contract.CauseLinkBroken && ga.engine.Quarantine.IsSuspect(now, ga.job.Fingerprint) {
		ga.careful = true
	}
	if ga.careful && !notRun {
		pt.Record.Why = contract.WhySuspect
		ga.giveUp(at, cause)
		return
	}
	sv := ga.choose(now, pt, "")
	if sv == nil {
		pt.Record.Why = contract.WhyNoReplica
		ga.vanished = ga.vanished || cause == contract.CauseSnapshotLost && ga.restartHelps(now)
		ga.giveUp(at, cause)
		return
	}
	if !pt.shard.Budget.TryRetry(now, cause, ga.decides()) {
		pt.Record.Why = contract.WhyBudget
		ga.giveUp(at, cause)
		return
	}
	ga.send(ctx, now, at, sv, false)
}

// restartHelps reports whether there is another snapshot and time to answer
// from it.
func (ga *gather[R, H, M, A]) restartHelps(now time.Time) bool {
	usual := ga.job.Latency.Recent().P99
	return ga.job.MayRestart && ga.job.Terms.Idempotent && ga.job.AnswerBy.Sub(now) > usual
}

// decides reports whether the answer is of no use if one more part is lost.
func (ga *gather[R, H, M, A]) decides() bool {
	return ga.answered+ga.waiting <= ga.needed
}

// nextHedge returns the earliest time at which a part is due for a hedge.
func (ga *gather[R, H, M, A]) nextHedge() (time.Time, bool) {
	if !ga.hedging || ga.careful {
		return time.Time{}, false
	}
	var earliest time.Time
	found := false
	for i := range ga.parts {
		pt := &ga.parts[i]
		if !pt.mayHedge() {
			continue
		}
		if !found || pt.hedgeAt.Before(earliest) {
			earliest, found = pt.hedgeAt, true
		}
	}
	return earliest, found
}

func (pt *partState[A]) mayHedge() bool {
	return !pt.over && !pt.unhedged && len(pt.open) == 1 && pt.Record.Hedges == 0
}

// hedge sends a second attempt for each part that is due, while the budget
// lasts.
func (ga *gather[R, H, M, A]) hedge(ctx context.Context, now time.Time) {
	for i := range ga.parts {
		pt := &ga.parts[i]
		if !pt.mayHedge() || now.Before(pt.hedgeAt) {
			continue
		}
		sv := ga.choose(now, pt, pt.open[0].server.Zone)
		if sv == nil || !sv.HasRoom(now) {
			// Full replicas may be overload, where a hedge does harm.
			pt.Record.Why = contract.WhyNoRoom
			pt.hedgeAt = now.Add(max(ga.hedgeAfter/2, minHedgeWait))
			continue
		}
		if !pt.shard.Budget.TryHedge(now, ga.decides()) {
			// A hedge that comes later takes the budget of one that is in time.
			pt.unhedged = true
			pt.Record.Why = contract.WhyBudget
			continue
		}
		pt.Record.Hedges, pt.Record.Why = 1, ""
		ga.hedges++
		ga.send(ctx, now, i, sv, true)
	}
}
