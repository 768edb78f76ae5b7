package scatter

import (
	"context"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// retryPart sends a part again after a failed attempt, if that is safe, useful
// and within the budget. Otherwise it gives the part up and records why.
func (ga *gather[R, H, S, M, A]) retryPart(ctx context.Context, now time.Time, index int, cause contract.Cause, notRun bool) {
	pt := &ga.parts[index]
	if !ga.job.Settings.Idempotent && !notRun {
		pt.Record.NoRetryReason = contract.NoRetryMayHaveRun
		ga.giveUp(index, cause)
		return
	}
	if cause == contract.CauseLinkBroken && ga.isNowSuspect(now) {
		ga.suspect = true
	}
	if ga.suspect && !notRun {
		pt.Record.NoRetryReason = contract.NoRetrySuspect
		ga.giveUp(index, cause)
		return
	}
	sv := ga.chooseWithToken(now, func() *machine.Server { return ga.chooseReplica(now, pt, "") })
	if sv == nil {
		pt.Record.NoRetryReason = contract.NoRetryNoReplica
		ga.snapshotLost = ga.snapshotLost || cause == contract.CauseSnapshotLost && ga.isRestartUseful(now)
		ga.giveUp(index, cause)
		return
	}
	if !pt.shard.Budget.TryRetry(now, cause, ga.isRequired()) {
		ga.engine.Cold.Return(now, sv)
		pt.Record.NoRetryReason = contract.NoRetryBudget
		ga.giveUp(index, cause)
		return
	}
	ga.sendAttempt(ctx, now, index, sv, false)
}

// isNowSuspect reports whether the request became suspected to crash servers while it
// ran: servers were lost to it one after the other, or several at once while none
// answered.
func (ga *gather[R, H, S, M, A]) isNowSuspect(now time.Time) bool {
	quarantine, fingerprint := ga.engine.Quarantine, ga.job.Fingerprint
	return quarantine.Generation(now, fingerprint) >= quarantine.SuspectAt || ga.answered == 0 && quarantine.IsSuspect(now, fingerprint)
}

// isRestartUseful reports whether the job may be restarted on another snapshot
// and has more time left than the 99th percentile of a part's latency.
func (ga *gather[R, H, S, M, A]) isRestartUseful(now time.Time) bool {
	p99 := ga.job.Latency.Recent().P99
	return ga.job.MayRestart && ga.job.Settings.Idempotent && ga.job.Deadline.Sub(now) > p99
}

// isRequired reports whether each pending part is required: the answer falls
// below the minimum coverage if one more is given up.
func (ga *gather[R, H, S, M, A]) isRequired() bool {
	return ga.answered+ga.pending <= ga.needed
}

// nextHedgeTime returns the earliest time at which a part is due for a hedge.
func (ga *gather[R, H, S, M, A]) nextHedgeTime() (time.Time, bool) {
	if !ga.hedgingEnabled || ga.suspect {
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

// mayHedge reports whether the part waits for its only attempt and was neither
// hedged nor denied a hedge.
func (pt *partState[A]) mayHedge() bool {
	return !pt.done && !pt.hedgeDenied && len(pt.openAttempts) == 1 && pt.Record.Hedges == 0
}

// sendDueHedges sends a second attempt for each part that is due, as far as the
// budget allows.
func (ga *gather[R, H, S, M, A]) sendDueHedges(ctx context.Context, now time.Time) {
	for i := range ga.parts {
		pt := &ga.parts[i]
		if !pt.mayHedge() || now.Before(pt.hedgeAt) {
			continue
		}
		sv := ga.chooseReplica(now, pt, pt.openAttempts[0].server.Zone)
		if sv == nil || !sv.HasRoom(now) || pt.keepsReserve && ga.lacksReserve(now, sv) {
			// Full replicas can mean overload, which hedges would make worse.
			pt.Record.NoRetryReason = contract.NoRetryReplicasFull
			if sv == nil {
				pt.Record.NoRetryReason = contract.NoRetryNoReplica
			}
			pt.hedgeAt = now.Add(max(ga.hedgeDelay/2, minHedgeDelay))
			continue
		}
		if !ga.engine.Cold.TrySend(now, sv) {
			pt.Record.NoRetryReason = contract.NoRetryNoReplica
			pt.hedgeAt = now.Add(max(ga.hedgeDelay/2, minHedgeDelay))
			continue
		}
		if !pt.shard.Budget.TryHedge(now, ga.isRequired()) {
			// A later hedge would use up budget that another part needs for a timely
			// one.
			ga.engine.Cold.Return(now, sv)
			pt.hedgeDenied = true
			pt.Record.NoRetryReason = contract.NoRetryBudget
			continue
		}
		pt.Record.Hedges, pt.Record.NoRetryReason = 1, ""
		ga.hedges++
		ga.sendAttempt(ctx, now, i, sv, true)
	}
}
