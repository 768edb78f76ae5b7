package scatter

import (
	"context"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// runFirst makes sure that a request which was not seen before runs alone, on
// one server, until it was answered. It reports whether the parts that are left
// may be sent.
func (ga *gather[R, H]) runFirst(ctx context.Context) bool {
	quarantine := ga.query.Quarantine
	for !quarantine.IsProven(ga.rq.Fingerprint) {
		if quarantine.Bars(time.Now(), ga.rq.Fingerprint) {
			ga.giveUpAll(contract.CauseQuarantined)
			return false
		}
		flight, leads := quarantine.Lead(ga.rq.Fingerprint)
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
func (ga *gather[R, H]) runCanary(ctx context.Context, now time.Time) bool {
	at := ga.canaryPart(now)
	first := &ga.parts[at]
	ga.start(ctx, now, at)
	if ga.rq.Setting.Route.Canary == contract.CanaryBrief {
		ga.wakeAt = now.Add(max(ga.rq.Setting.State.Latency.Recent().P50, minHedgeWait))
	}
	ga.wait(ctx, func() bool { return first.over || ga.wakeIsOver(time.Now()) })
	ga.wakeAt = time.Time{}
	if ga.vanished || ctx.Err() != nil {
		return false
	}
	if !first.over || first.answered || ga.query.Quarantine.Count(time.Now(), ga.rq.Fingerprint) == 0 {
		return true
	}
	ga.giveUpAll(contract.CauseQuarantined)
	return false
}

// canaryPart chooses the part by the request and the place of the entry VM, so
// that no shard loses all its replicas to entry VMs that race.
func (ga *gather[R, H]) canaryPart(now time.Time) int {
	rank := 0
	if ga.query.Rank != nil {
		rank = ga.query.Rank(now)
	}
	shards := uint64(len(ga.parts))
	return int((ga.rq.Fingerprint%shards + uint64(rank)) % shards)
}

func (ga *gather[R, H]) giveUpAll(cause contract.Cause) {
	for i := range ga.parts {
		if !ga.parts[i].over {
			ga.giveUp(i, cause)
		}
	}
}

func (ga *gather[R, H]) wakeIsOver(now time.Time) bool {
	return !ga.wakeAt.IsZero() && !now.Before(ga.wakeAt)
}
