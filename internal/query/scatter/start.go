package scatter

import (
	"context"
	"slices"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// StartPolicy decides when the first attempt of a part is sent. It answers loads in
// which some shards get more parts than their servers can run.
type StartPolicy interface {
	// MayStart reports whether a first attempt may be sent to a server now, if it must
	// be answered within a time. required is set if the request can't reach its minimum
	// coverage without the part.
	MayStart(now time.Time, sv *machine.Server, left time.Duration, required bool) bool
}

// StartAtOnce sends all parts at the start of the request. It is a baseline for
// comparisons.
type StartAtOnce struct{}

// MayStart implements StartPolicy.
func (StartAtOnce) MayStart(time.Time, *machine.Server, time.Duration, bool) bool {
	return true
}

// StartWithRoom sends a part to a server whose queue is short: a required part if the
// server is below its in-flight limit and the part does not wait for too long to be in
// time, any other if it waits for a small share of the time only. Parts beyond that
// would wait at the server, and make those behind them late, too.
type StartWithRoom struct{}

// optionalWaitPercent is the part of the time left for which a part that is not required
// may wait in a queue.
const optionalWaitPercent = 25

// MayStart implements StartPolicy.
func (StartWithRoom) MayStart(now time.Time, sv *machine.Server, left time.Duration, required bool) bool {
	wait := sv.ExpectedWait(now)
	if !required {
		return wait <= left*optionalWaitPercent/100
	}
	return wait <= left && sv.HasRoom(now)
}

const (
	// startCheckInterval is the time after which a request looks for room again for
	// its parts that were not sent yet.
	startCheckInterval = 10 * time.Millisecond
	// maxStartWaitPercent is how long a request waits until so many parts can be sent
	// that it reaches its minimum coverage, in percent of the goal. After that it is
	// given up before it ran anywhere.
	maxStartWaitPercent = 25
)

// startParts sends the first attempts of the parts that have none. In a request that
// may return a partial answer, parts for which no server has room are postponed. As long
// as fewer parts can be sent than the minimum coverage needs, none is, since their work
// would be lost.
func (ga *gather[R, H, S, M, A]) startParts(ctx context.Context, now time.Time) {
	if ga.job.PartialAfter.IsZero() {
		ga.startAll(ctx, now)
		return
	}
	if ga.primaries == 0 && ga.countStartable(now) < ga.needed {
		ga.postponeAll(now)
		return
	}
	ga.startWithRoom(ctx, now, 0)
	ga.startWithRoom(ctx, now, ga.needed-ga.countInUse())
	ga.postponed = 0
	for i := range ga.parts {
		pt := &ga.parts[i]
		if !pt.isUnsent() {
			continue
		}
		if ga.chooseReplica(now, pt, "") == nil && !ga.awaitsToken(now, pt) {
			ga.giveUp(i, contract.CauseNoReplica)
			continue
		}
		ga.postponed++
	}
	ga.nextStartCheck = now.Add(startCheckInterval)
}

// startAll sends the first attempts of all parts. Those that need a token of a cold server
// wait for it, as long as requests wait for room.
func (ga *gather[R, H, S, M, A]) startAll(ctx context.Context, now time.Time) {
	ga.postponed = 0
	for i := range ga.parts {
		pt := &ga.parts[i]
		if !pt.isUnsent() {
			continue
		}
		sv := ga.chooseWithToken(now, func() *machine.Server { return ga.chooseReplica(now, pt, "") })
		switch {
		case sv != nil || !ga.awaitsToken(now, pt):
			ga.startPart(ctx, now, i, sv)
		case ga.hasWaitedForStart(now):
			ga.giveUp(i, contract.CauseNoRoom)
		default:
			ga.postponed++
		}
	}
	ga.nextStartCheck = now.Add(startCheckInterval)
}

// hasWaitedForStart reports whether the request has waited for so long that it is given
// up. The wait begins with the first call.
func (ga *gather[R, H, S, M, A]) hasWaitedForStart(now time.Time) bool {
	if ga.giveUpStartAt.IsZero() {
		within := ga.job.Settings.Goal
		if within <= 0 && ga.job.PartialAfter.IsZero() {
			within = ga.job.Deadline.Sub(now)
		}
		ga.giveUpStartAt = now.Add(within * maxStartWaitPercent / 100)
	}
	return !now.Before(ga.giveUpStartAt)
}

// startWithRoom sends the first attempts for which a server has room. The first ones, up
// to the given number, are required.
func (ga *gather[R, H, S, M, A]) startWithRoom(ctx context.Context, now time.Time, required int) {
	for i := range ga.parts {
		if !ga.parts[i].isUnsent() {
			continue
		}
		choose := func() *machine.Server { return ga.chooseForStart(now, &ga.parts[i], required > 0) }
		if sv := ga.chooseWithToken(now, choose); sv != nil {
			ga.startPart(ctx, now, i, sv)
			required--
		}
	}
}

// startPostponed looks for room for the postponed parts again.
func (ga *gather[R, H, S, M, A]) startPostponed(ctx context.Context, now time.Time) {
	if ga.postponed > 0 {
		ga.startParts(ctx, now)
	}
}

// isUnsent reports whether no attempt of the part was sent.
func (pt *partState[A]) isUnsent() bool {
	return !pt.done && pt.Record.Attempts == 0
}

// countInUse returns the number of parts that are answered or in flight.
func (ga *gather[R, H, S, M, A]) countInUse() int {
	count := ga.answered
	for i := range ga.parts {
		if !ga.parts[i].done && len(ga.parts[i].openAttempts) > 0 {
			count++
		}
	}
	return count
}

// countStartable returns the number of parts that may be sent now, if they are
// required.
func (ga *gather[R, H, S, M, A]) countStartable(now time.Time) int {
	count := 0
	for i := range ga.parts {
		if ga.chooseForStart(now, &ga.parts[i], true) != nil {
			count++
		}
	}
	return count
}

// postponeAll puts off the start of the request, or gives it up if it has waited for
// too long.
func (ga *gather[R, H, S, M, A]) postponeAll(now time.Time) {
	ga.postponed = len(ga.parts)
	ga.nextStartCheck = now.Add(startCheckInterval)
	if ga.hasWaitedForStart(now) {
		ga.postponed = 0
		ga.giveUpAll(contract.CauseNoRoom)
	}
}

// startPart sends the first attempt of a part to a server, nil if there is none.
func (ga *gather[R, H, S, M, A]) startPart(ctx context.Context, now time.Time, index int, sv *machine.Server) {
	if sv == nil {
		ga.giveUp(index, contract.CauseNoReplica)
		return
	}
	pt := &ga.parts[index]
	pt.startedAt = now
	pt.hedgeAt = now.Add(ga.hedgeDelay)
	if ga.recent.Count > 0 && sv.State.IsProbe(now, ga.recent.P50+probeHedgeMargin) {
		pt.hedgeAt = now.Add(min(ga.hedgeDelay, ga.recent.P50+probeHedgeMargin))
	}
	ga.primaries++
	ga.sendAttempt(ctx, now, index, sv, false)
}

// chooseForStart returns the replica for the first attempt of a part, nil if none may
// get it now. Servers that were too slow to answer in time count only if all were, and
// then have room up to their in-flight limits.
func (ga *gather[R, H, S, M, A]) chooseForStart(now time.Time, pt *partState[A], required bool) *machine.Server {
	ga.candidates = ga.candidates[:0]
	for _, sv := range pt.shard.Replicas {
		if ga.mayChoose(now, sv) && !(pt.keepsReserve && ga.lacksReserve(now, sv)) {
			ga.candidates = append(ga.candidates, sv)
		}
	}
	if len(ga.candidates) == 0 {
		return nil
	}
	left := ga.job.PartialAfter.Sub(now)
	isInTime := func(sv *machine.Server) bool {
		return !sv.State.IsUnresponsive(now) && sv.RecentLatency(now)+2*ga.engine.Zone.Delay(sv.Zone) <= left
	}
	ga.candidates = preferred(ga.candidates, isInTime)
	if !isInTime(ga.candidates[0]) {
		if ga.answered >= ga.needed {
			// The answer goes out at PartialAfter: a later part would only take a slot
			// from parts that can be in time.
			return nil
		}
		left, required = ga.job.Deadline.Sub(now), true
	} else if slices.ContainsFunc(ga.candidates, func(sv *machine.Server) bool { return ga.engine.Starts.MayStart(now, sv, left, false) }) {
		// There is no overload: all replicas are choices, so that slow ones are tried
		// again.
		return ga.chooseReplica(now, pt, "")
	}
	if !required {
		return nil
	}
	count := moveToFront(ga.candidates, func(sv *machine.Server) bool { return ga.engine.Starts.MayStart(now, sv, left, true) })
	return ga.engine.Replicas.Choose(now, ga.engine.Zone, pt.work, ga.candidates[:count], "")
}
