package scatter

import (
	"context"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// runFirst makes sure that a request which was not seen before runs alone, on
// one server, until it was answered. It reports whether the parts that are left
// may be sent.
func (ga *gather[R, H, M, A]) runFirst(ctx context.Context) bool {
	quarantine := ga.engine.Quarantine
	for !quarantine.IsProven(ga.job.Fingerprint) {
		if quarantine.Bars(time.Now(), ga.job.Fingerprint) {
			ga.giveUpAll(contract.CauseQuarantined)
			return false
		}
		flight, leads := quarantine.Lead(ga.job.Fingerprint)
		if leads {
			defer flight.End()
			return ga.runCanary(ctx, time.Now())
		}
		select {
		case <-flight.Ended:
		case <-ctx.Done():
			ga.stop()
			return false
		}
	}
	return true
}

// runCanary sends one part alone and reports whether the others may follow.
func (ga *gather[R, H, M, A]) runCanary(ctx context.Context, now time.Time) bool {
	at := ga.canaryPart(now)
	first := &ga.parts[at]
	ga.start(ctx, now, at)
	if ga.job.Terms.Canary == contract.CanaryBrief {
		ga.wakeAt = now.Add(max(ga.job.Latency.Recent().P50, minHedgeWait))
	}
	ga.wait(ctx, func() bool { return first.over || ga.wakeIsOver(time.Now()) })
	ga.wakeAt = time.Time{}
	if ga.vanished || ctx.Err() != nil {
		return false
	}
	if !first.over || first.Answered || !ga.engine.Quarantine.IsSuspect(time.Now(), ga.job.Fingerprint) {
		return true
	}
	ga.giveUpAll(contract.CauseQuarantined)
	return false
}

// canaryPart chooses the part by the request and the place of the entry VM, so
// that no shard loses all its replicas to entry VMs that race.
func (ga *gather[R, H, M, A]) canaryPart(now time.Time) int {
	rank := 0
	if ga.engine.Rank != nil {
		rank = ga.engine.Rank(now)
	}
	shards := uint64(len(ga.parts))
	return int((ga.job.Fingerprint%shards + uint64(rank)) % shards)
}

func (ga *gather[R, H, M, A]) giveUpAll(cause contract.Cause) {
	for i := range ga.parts {
		if !ga.parts[i].over {
			ga.giveUp(i, cause)
		}
	}
}

func (ga *gather[R, H, M, A]) wakeIsOver(now time.Time) bool {
	return !ga.wakeAt.IsZero() && !now.Before(ga.wakeAt)
}
