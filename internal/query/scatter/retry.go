package scatter

import (
	"context"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// retry sends a part again if that is safe, within the budget and of use.
func (ga *gather[R, H]) retry(ctx context.Context, now time.Time, at int, cause contract.Cause, notRun bool) {
	pt := &ga.parts[at]
	rt := ga.rq.Setting.Route
	if !rt.Idempotent && !notRun {
		ga.giveUp(at, cause)
		return
	}
	if cause == contract.CauseLinkBroken && ga.query.Quarantine.Count(now, ga.rq.Fingerprint) > 0 {
		ga.careful = true
	}
	if ga.careful && !notRun {
		ga.giveUp(at, cause)
		return
	}
	sv := ga.choose(now, pt, "")
	if sv == nil {
		ga.vanished = ga.vanished || cause == contract.CauseSnapshotLost && ga.restartHelps(now)
		ga.giveUp(at, cause)
		return
	}
	if addsLoad(cause) && !ga.rq.Setting.State.Retries.TrySpend(now) {
		ga.giveUp(at, cause)
		return
	}
	ga.send(ctx, now, at, sv, false)
}

// restartHelps reports whether there is another snapshot and time to answer
// from it.
func (ga *gather[R, H]) restartHelps(now time.Time) bool {
	rt := ga.rq.Setting.Route
	usual := ga.rq.Setting.State.Latency.Recent().P99
	return ga.mayRestart && rt.Idempotent && ga.rq.AnswerBy.Sub(now) > usual
}

// addsLoad reports whether a retry after the cause adds load: a server that
// lost the snapshot or leaves did no work, and is not asked again for a while.
func addsLoad(cause contract.Cause) bool {
	return cause != contract.CauseSnapshotLost && cause != contract.CauseDraining
}

// nextHedge returns the earliest time at which a part is due for a hedge.
func (ga *gather[R, H]) nextHedge() (time.Time, bool) {
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

func (pt *partState) mayHedge() bool {
	return !pt.over && len(pt.open) == 1 && pt.record.Hedges == 0
}

// hedge sends a second attempt for each part that is due, while the budget
// lasts.
func (ga *gather[R, H]) hedge(ctx context.Context, now time.Time) {
	for i := range ga.parts {
		pt := &ga.parts[i]
		if !pt.mayHedge() || now.Before(pt.hedgeAt) {
			continue
		}
		sv := ga.choose(now, pt, pt.open[0].server.Zone)
		if sv == nil || !sv.HasRoom() {
			// Full replicas may be overload, where a hedge does harm.
			pt.hedgeAt = now.Add(max(ga.hedgeAfter/2, minHedgeWait))
			continue
		}
		if !ga.rq.Setting.State.Hedges.TrySpend(now) {
			ga.hedging = false
			return
		}
		pt.record.Hedges = 1
		ga.send(ctx, now, i, sv, true)
	}
}
