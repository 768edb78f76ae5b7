package scatter

import (
	"context"
	"slices"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// passCanary makes sure that a request which may crash servers is first sent to one
// server alone, also when several callers send it. It reports whether the remaining parts
// may be sent.
func (ga *gather[R, H, S, M, A]) passCanary(ctx context.Context) bool {
	quarantine := ga.engine.Quarantine
	for ga.needsCanary(time.Now()) {
		if quarantine.IsBlocked(time.Now(), ga.job.Fingerprint) {
			ga.giveUpAll(contract.CauseQuarantined)
			return false
		}
		flight, started := quarantine.StartFlight(ga.job.Fingerprint)
		if started {
			defer flight.End()
			return ga.runCanary(ctx, time.Now())
		}
		select {
		case <-flight.Ended:
		case <-ctx.Done():
			ga.giveUpPending()
			return false
		}
	}
	return true
}

// needsCanary reports whether the request is suspected to crash servers, or its route
// asks for a canary and its fingerprint was not answered before.
func (ga *gather[R, H, S, M, A]) needsCanary(now time.Time) bool {
	quarantine, fingerprint := ga.engine.Quarantine, ga.job.Fingerprint
	return quarantine.IsSuspect(now, fingerprint) || ga.job.Settings.Canary != contract.CanaryOff && !quarantine.IsProven(fingerprint)
}

// runCanary sends one part alone and reports whether the others may follow.
func (ga *gather[R, H, S, M, A]) runCanary(ctx context.Context, now time.Time) bool {
	index := ga.canaryPart(now)
	first := &ga.parts[index]
	ga.startPart(ctx, now, index, ga.chooseWithToken(now, func() *machine.Server { return ga.chooseReplica(now, first, "") }))
	if ga.job.Settings.Canary == contract.CanaryBrief {
		ga.canaryUntil = now.Add(max(ga.job.Latency.Recent().P50, minHedgeDelay))
	}
	ga.wait(ctx, func() bool { return first.done || ga.isCanaryWaitOver(time.Now()) })
	ga.canaryUntil = time.Time{}
	if ga.snapshotLost || ctx.Err() != nil {
		return false
	}
	if !first.done || first.Answered || first.possibleRuns == 0 || !ga.engine.Quarantine.IsSuspect(time.Now(), ga.job.Fingerprint) {
		return true
	}
	ga.giveUpAll(contract.CauseQuarantined)
	return false
}

// canaryPart returns the index of the part to send first: one whose servers crashed, if
// others of them are left, or else one that depends on the fingerprint and on the entry
// VM, so that entry VMs which run the same crashing request at once don't take down all
// replicas of one shard.
func (ga *gather[R, H, S, M, A]) canaryPart(now time.Time) int {
	if service := ga.engine.Quarantine.SuspectService(now, ga.job.Fingerprint); service != "" {
		index := slices.IndexFunc(ga.parts, func(pt partState[A]) bool { return pt.shard.Name == service })
		if index >= 0 {
			// A server that failed just now would not tell anything, and keep others waiting.
			if sv := ga.chooseReplica(now, &ga.parts[index], ""); sv != nil && !sv.State.IsSuspect(now) {
				return index
			}
		}
	}
	rank := 0
	if ga.engine.EntryVMRank != nil {
		rank = ga.engine.EntryVMRank(now)
	}
	shards := uint64(len(ga.parts))
	return int((ga.job.Fingerprint%shards + uint64(rank)) % shards)
}

func (ga *gather[R, H, S, M, A]) giveUpAll(cause contract.Cause) {
	for i := range ga.parts {
		if !ga.parts[i].done {
			ga.giveUp(i, cause)
		}
	}
}

// isCanaryWaitOver reports whether the wait of a brief canary has ended.
func (ga *gather[R, H, S, M, A]) isCanaryWaitOver(now time.Time) bool {
	return !ga.canaryUntil.IsZero() && !now.Before(ga.canaryUntil)
}
