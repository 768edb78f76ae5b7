package scatter

import (
	"context"
	"math"
	"slices"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
)

// gather is the state of one job. It belongs to the goroutine that runs the
// job; the goroutines of attempts report to it only through results.
type gather[R ReplicaPolicy, H HedgePolicy, S StartPolicy, M, A any] struct {
	engine  *Engine[R, H, S, M, A]
	job     *Job[M]
	parts   []partState[A]
	results chan attemptResult[A]
	// startedAt is when the request arrived.
	startedAt time.Time
	// pending counts the parts that are neither answered nor given up, answered
	// those that are answered.
	pending, answered int
	// needed is the number of answered parts required by MinCoverage, at least 1.
	needed int
	// attempts counts the attempts and gives the number of the newest.
	attempts       int32
	primaries      int
	hedges         int
	hedgeDelay     time.Duration
	hedgingEnabled bool
	// recent holds the quantiles of the job's Latency at its start.
	recent link.Quantiles
	// hedgesAdjusted is set when the hedges of stragglers were rescheduled.
	hedgesAdjusted bool
	// canaryUntil ends the wait for a brief canary; zero if there is none.
	canaryUntil time.Time
	// snapshotLost is set when all replicas of a shard lack its data and the job
	// may be restarted.
	snapshotLost bool
	mayHaveRun   bool
	// postponed counts the parts whose first attempt waits for a server with room, and
	// nextStartCheck is when they are looked at again at the latest.
	postponed      int
	nextStartCheck time.Time
	// giveUpStartAt is when a request of which no part could be sent is given up; zero
	// if it never waited.
	giveUpStartAt time.Time
	// suspect is set while the request is suspected to crash servers.
	suspect bool
	// heldBack is set if the request was refused in favor of more urgent ones.
	heldBack bool
	// expectedWork and actualWork are the server time of the answered parts for which both
	// are known.
	expectedWork, actualWork time.Duration
	// candidates is a scratch buffer for the choice of a replica.
	candidates []*machine.Server
}

// silentConnectionRetries is the number of further attempts that a part may
// make at the same servers because their connections were silent.
const silentConnectionRetries = 3

// probeHedgeMargin is added to the median latency for the hedge of a part that
// probes a formerly slow server. It covers the differences between the servers
// of a zone.
const probeHedgeMargin = 5 * time.Millisecond

// coverageEpsilon keeps a product such as 0.9*10 from being rounded up because
// of floating-point error.
const coverageEpsilon = 1e-9

// partState is the state of one shard.
type partState[A any] struct {
	PartResult[A]
	shard *Shard
	// openAttempts holds the attempts in flight.
	openAttempts []attempt
	// tried holds the servers that an attempt was sent to.
	tried []*machine.Server
	// retryable holds the tried servers that may get another attempt.
	retryable []*machine.Server
	// possibleRuns counts the attempts that may have run.
	possibleRuns int
	startedAt    time.Time
	// work is the expected server time of the part at usual speed, 0 if unknown.
	work time.Duration
	// keepsReserve is set if the part may not take the last free slots of a server.
	keepsReserve bool
	// hedgeAt is when a hedge is due.
	hedgeAt time.Time
	// hedgeDenied is set when the budget did not allow a hedge.
	hedgeDenied bool
	// done is set when the part is answered or given up.
	done bool
}

// attempt is one send of a part that has no result yet.
type attempt struct {
	number int32
	server *machine.Server
	hedge  bool
	cancel context.CancelFunc
}

// attemptResult is what an attempt's goroutine reports at its end.
type attemptResult[A any] struct {
	part   int
	number int32
	answer A
	err    error
	// took is the server time of an answer, 0 if unknown.
	took time.Duration
}

func newGather[R ReplicaPolicy, H HedgePolicy, S StartPolicy, M, A any](en *Engine[R, H, S, M, A], jb *Job[M]) *gather[R, H, S, M, A] {
	ga := &gather[R, H, S, M, A]{engine: en, job: jb, parts: make([]partState[A], len(jb.Shards)), pending: len(jb.Shards)}
	ga.needed = NeededParts(jb.Settings.MinCoverage, len(jb.Shards))
	maxResults := 0
	for i := range jb.Shards {
		ga.parts[i].shard = &jb.Shards[i]
		ga.parts[i].Record.Shard = jb.Shards[i].Name
		if jb.Costs != nil {
			ga.parts[i].work = jb.Costs.Expected(jb.Shards[i].Name)
		}
		maxResults += ga.maxSends(&jb.Shards[i])
	}
	// The buffer holds all possible results, so that no attempt blocks on it.
	ga.results = make(chan attemptResult[A], maxResults)
	ga.recent = jb.Latency.Recent()
	ga.hedgeDelay, ga.hedgingEnabled = en.Hedges.HedgeDelay(jb.Settings, ga.recent)
	ga.hedgingEnabled = ga.hedgingEnabled && jb.Settings.Idempotent
	return ga
}

// NeededParts returns the number of answered parts, out of total, that reach a
// minimum coverage; at least 1.
func NeededParts(minCoverage float64, total int) int {
	return max(int(math.Ceil(minCoverage*float64(total)-coverageEpsilon)), 1)
}

// maxSends returns the maximum number of attempts at one shard.
func (ga *gather[R, H, S, M, A]) maxSends(sh *Shard) int {
	rounds := 1
	if ga.job.Settings.RetrySameServer {
		rounds = 2
	}
	return rounds*len(sh.Replicas) + silentConnectionRetries
}

// run sends all parts and waits until the job is finished.
func (ga *gather[R, H, S, M, A]) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, ga.job.Deadline)
	defer cancel()
	now := time.Now()
	ga.suspect = ga.engine.Quarantine.IsSuspect(now, ga.job.Fingerprint)
	if !ga.passCanary(ctx) {
		return
	}
	now = time.Now()
	ga.startParts(ctx, now)
	ga.wait(ctx, func() bool { return ga.pending == 0 || ga.canStopWaiting(time.Now()) })
	ga.giveUpPending()
}

// canStopWaiting reports whether waiting longer is useless: the minimum
// coverage can't be reached any more, or it is reached and PartialAfter has
// passed.
func (ga *gather[R, H, S, M, A]) canStopWaiting(now time.Time) bool {
	if ga.job.PartialAfter.IsZero() {
		return false
	}
	if ga.answered+ga.pending < ga.needed {
		return true
	}
	return ga.answered >= ga.needed && !now.Before(ga.job.PartialAfter)
}

// nextWakeTime returns the time of the next timer event for wait, and false if
// there is none.
func (ga *gather[R, H, S, M, A]) nextWakeTime(now time.Time) (time.Time, bool) {
	next, found := ga.nextHedgeTime()
	if ga.postponed > 0 && (!found || ga.nextStartCheck.Before(next)) {
		next, found = ga.nextStartCheck, true
	}
	for _, at := range []time.Time{ga.canaryUntil, ga.job.PartialAfter} {
		if at.After(now) && (!found || at.Before(next)) {
			next, found = at, true
		}
	}
	return next, found
}

// wait processes results and sends hedges until done returns true, the snapshot
// is lost or the context ends.
func (ga *gather[R, H, S, M, A]) wait(ctx context.Context, done func() bool) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !done() && !ga.snapshotLost {
		now := time.Now()
		if next, ok := ga.nextWakeTime(now); ok {
			timer.Reset(next.Sub(now))
		}
		select {
		case rs := <-ga.results:
			ga.handleResult(ctx, time.Now(), rs)
			ga.drainResults(ctx)
			ga.startPostponed(ctx, time.Now())
		case <-timer.C:
			ga.sendDueHedges(ctx, time.Now())
			ga.startPostponed(ctx, time.Now())
		case <-ctx.Done():
			ga.giveUpPending()
			return
		}
	}
	if ga.snapshotLost {
		ga.giveUpPending()
	}
}

// drainResults processes the results that are already available, so that the
// time of the next hedge is computed once for all of them.
func (ga *gather[R, H, S, M, A]) drainResults(ctx context.Context) {
	for {
		select {
		case rs := <-ga.results:
			ga.handleResult(ctx, time.Now(), rs)
		default:
			return
		}
	}
}

// chooseReplica returns a replica that was not tried yet, or else one that may
// get another attempt. It returns nil if none is left or MaxAttempts is
// reached.
func (ga *gather[R, H, S, M, A]) chooseReplica(now time.Time, pt *partState[A], avoid string) *machine.Server {
	if limit := ga.job.Settings.MaxAttempts; limit > 0 && pt.possibleRuns >= limit {
		return nil
	}
	sv := ga.chooseFrom(now, pt.work, pt.shard.Replicas, pt.tried, avoid)
	if sv == nil && len(pt.retryable) > 0 {
		sv = ga.chooseFrom(now, pt.work, pt.retryable, nil, avoid)
	}
	return sv
}

// chooseFrom applies the replica policy to the servers that are not in except,
// accept work and may have the data.
func (ga *gather[R, H, S, M, A]) chooseFrom(now time.Time, work time.Duration, servers, except []*machine.Server, avoid string) *machine.Server {
	ga.candidates = ga.candidates[:0]
	for _, sv := range servers {
		if !slices.Contains(except, sv) && ga.mayChoose(now, sv) {
			ga.candidates = append(ga.candidates, sv)
		}
	}
	return ga.engine.Replicas.Choose(now, ga.engine.Zone, work, ga.candidates, avoid)
}

// mayChoose reports whether a server accepts work, also if it is cold, and may have the
// data.
func (ga *gather[R, H, S, M, A]) mayChoose(now time.Time, sv *machine.Server) bool {
	return sv.AcceptsWork(now) && ga.engine.Cold.MaySend(now, sv) && (ga.job.MayHaveData == nil || ga.job.MayHaveData(now, sv))
}

// sendAttempt starts an attempt at a part in its own goroutine. The caller has taken the
// token for it, if the server needs one.
func (ga *gather[R, H, S, M, A]) sendAttempt(ctx context.Context, now time.Time, index int, sv *machine.Server, hedge bool) {
	pt := &ga.parts[index]
	ga.attempts++
	if ga.engine.Cold.Limits(now, sv) {
		ctx = withToken(ctx, now)
	}
	ctx, cancel := context.WithCancel(ctx)
	pt.openAttempts = append(pt.openAttempts, attempt{number: ga.attempts, server: sv, hedge: hedge, cancel: cancel})
	pt.tried = append(pt.tried, sv)
	pt.retryable = slices.DeleteFunc(pt.retryable, func(other *machine.Server) bool { return other == sv })
	pt.possibleRuns++
	pt.Record.Attempts++
	sv.State.InFlight.Add(1)
	sv.State.PartsSent.Add(1)
	sv.State.Work.Start(now, pt.work)
	generation := ga.engine.Quarantine.NextGeneration(now, ga.job.Fingerprint, pt.shard.Name)
	go ga.runAttempt(ctx, now, index, ga.attempts, sv, generation, ga.job.Message(pt.shard, ga.attempts))
}

// runAttempt sends the message and reports the result. It runs in the attempt's
// own goroutine. generation is that of a crash of the server.
func (ga *gather[R, H, S, M, A]) runAttempt(ctx context.Context, sentAt time.Time, index int, number int32, sv *machine.Server, generation int, message M) {
	answer, err := ga.engine.Sender.Send(ctx, sv, message)
	sv.State.InFlight.Add(-1)
	now := time.Now()
	ga.returnToken(now, sv, err)
	sv.State.Work.End(sentAt, ga.parts[index].work)
	ga.recordOutcome(now, sv, now.Sub(sentAt), err)
	var inSlot time.Duration
	if ga.job.Costs != nil {
		inSlot = ga.recordWork(now, sentAt, &ga.parts[index], sv, err)
	}
	ga.recordSafety(now, ga.parts[index].shard.Name, sv, generation, err)
	ga.results <- attemptResult[A]{part: index, number: number, answer: answer, err: err, took: inSlot}
}

// recordOutcome updates the state of the server and the route's latencies after an
// attempt.
func (ga *gather[R, H, S, M, A]) recordOutcome(now time.Time, sv *machine.Server, took time.Duration, err error) {
	serviceTime := took - 2*ga.engine.Zone.Delay(sv.Zone)
	if err == nil {
		sv.State.RecordAnswer(now, serviceTime, int64(sv.ConnectionLimit))
		ga.job.Latency.Record(took)
		return
	}
	cause, _ := causeOf(err)
	sv.State.RecordFailure(now, serviceTime, cause)
	if cause == contract.CauseSnapshotLost && ga.job.OnDataMissing != nil {
		ga.job.OnDataMissing(now, sv)
	}
}

// recordWork updates the expected work of the route and of the server after an attempt. It
// returns the server time of an answer, 0 if unknown.
func (ga *gather[R, H, S, M, A]) recordWork(now, sentAt time.Time, pt *partState[A], sv *machine.Server, err error) time.Duration {
	// The delay to the zone may be assumed too long.
	took := max(now.Sub(sentAt)-2*ga.engine.Zone.Delay(sv.Zone), time.Microsecond)
	least := sv.TimeInSlot(now, took)
	wk := &sv.State.Work
	if err != nil {
		if cause, _ := causeOf(err); cause == contract.CauseCanceled || cause == contract.CauseDeadline {
			wk.ObserveSpeed(now, sentAt, least, math.MaxInt64, pt.work)
		}
		return 0
	}
	inSlot := time.Duration(0)
	if least == took {
		inSlot = took
	}
	if inSlot > 0 || pt.work == 0 {
		// As long as nothing is known, the time in a queue is better than none.
		ga.job.Costs.Record(now, pt.shard.Name, time.Duration(float64(took)/wk.Slowness(now)))
	}
	wk.ObserveSpeed(now, sentAt, least, took, pt.work)
	return inSlot
}

// recordSafety updates the quarantine after an attempt: whether the server was lost while
// it ran the request, or survived it.
func (ga *gather[R, H, S, M, A]) recordSafety(now time.Time, shard string, sv *machine.Server, generation int, err error) {
	quarantine, fingerprint := ga.engine.Quarantine, ga.job.Fingerprint
	cause, notRun := contract.Cause(""), false
	if err != nil {
		cause, notRun = causeOf(err)
	}
	switch {
	case err == nil || cause == contract.CauseServerError && !notRun:
		quarantine.MarkAnswered(now, fingerprint, shard)
	case cause == contract.CauseLinkBroken && !notRun:
		crash := contract.Crash{CrashKey: contract.CrashKey{Server: sv.Name, StartedMs: sv.StartedMs()}, Service: shard, Generation: generation}
		if quarantine.RecordCrash(now, fingerprint, crash) && ga.engine.OnServerLost != nil {
			ga.engine.OnServerLost(now, fingerprint, sv.Name)
		}
	}
}

// handleResult processes the result of one attempt.
func (ga *gather[R, H, S, M, A]) handleResult(ctx context.Context, now time.Time, rs attemptResult[A]) {
	pt := &ga.parts[rs.part]
	index := slices.IndexFunc(pt.openAttempts, func(ap attempt) bool { return ap.number == rs.number })
	ended := pt.openAttempts[index]
	ended.cancel()
	pt.openAttempts = slices.Delete(pt.openAttempts, index, index+1)
	if pt.done {
		return
	}
	if rs.err == nil {
		ga.mayHaveRun = true
		ga.acceptAnswer(now, rs, ended)
		return
	}
	cause, notRun := causeOf(rs.err)
	ga.mayHaveRun = ga.mayHaveRun || !notRun
	if notRun || cause == contract.CauseLinkSilent {
		// A message on a silent connection most likely never arrived.
		pt.possibleRuns--
	}
	if cause == contract.CauseServerError && !notRun {
		pt.Answer, pt.Failed = rs.answer, true
	}
	pt.Record.FailedAttempts = append(pt.Record.FailedAttempts, contract.FailedAttempt{Server: ended.server.Name, Cause: cause})
	if ga.mayRetrySameServer(pt, cause) {
		pt.retryable = append(pt.retryable, ended.server)
	}
	if len(pt.openAttempts) > 0 {
		return
	}
	ga.retryPart(ctx, now, rs.part, cause, notRun)
}

// mayRetrySameServer reports whether the server of an attempt that failed with
// cause may get another one.
func (ga *gather[R, H, S, M, A]) mayRetrySameServer(pt *partState[A], cause contract.Cause) bool {
	limit := ga.maxSends(pt.shard)
	switch cause {
	case contract.CauseLinkSilent:
	case contract.CauseShed, contract.CauseLinkReset, contract.CauseMismatched:
		if !ga.job.Settings.RetrySameServer {
			return false
		}
		limit -= silentConnectionRetries
	default:
		return false
	}
	return len(pt.tried)+len(pt.retryable) < limit
}

// acceptAnswer stores the first valid answer of a part and cancels its other
// attempts.
func (ga *gather[R, H, S, M, A]) acceptAnswer(now time.Time, rs attemptResult[A], winner attempt) {
	pt := &ga.parts[rs.part]
	pt.Answer, pt.Answered, pt.Failed = rs.answer, true, false
	pt.Record.NoRetryReason = ""
	ga.answered++
	if rs.took > 0 && pt.work > 0 {
		ga.expectedWork += pt.work
		ga.actualWork += rs.took
	}
	ga.adjustHedgeTimes(now, now.Sub(pt.startedAt))
	pt.Record.Server = winner.server.Name
	pt.Record.Took = now.Sub(pt.startedAt)
	ga.finishPart(pt)
	for _, ap := range pt.openAttempts {
		ap.cancel()
	}
}

// adjustHedgeTimes moves the hedges of the remaining parts forward, once enough
// other parts are answered to tell stragglers.
func (ga *gather[R, H, S, M, A]) adjustHedgeTimes(now time.Time, elapsed time.Duration) {
	if ga.hedgesAdjusted {
		return
	}
	stragglerAfter, ok := ga.engine.Hedges.StragglerAfter(ga.answered, len(ga.parts), elapsed)
	if !ok {
		return
	}
	ga.hedgesAdjusted = true
	due := now.Add(stragglerAfter - elapsed)
	for i := range ga.parts {
		if pt := &ga.parts[i]; pt.hedgeAt.After(due) {
			pt.hedgeAt = due
		}
	}
}

// giveUp ends a part without an answer.
func (ga *gather[R, H, S, M, A]) giveUp(index int, cause contract.Cause) {
	ga.parts[index].Record.Cause = cause
	ga.finishPart(&ga.parts[index])
}

// finishPart counts a part that is answered or given up.
func (ga *gather[R, H, S, M, A]) finishPart(pt *partState[A]) {
	pt.done = true
	ga.pending--
	if ga.job.OnPartDone != nil {
		ga.job.OnPartDone()
	}
}

// giveUpPending cancels the attempts in flight and gives up all pending parts.
func (ga *gather[R, H, S, M, A]) giveUpPending() {
	for i := range ga.parts {
		pt := &ga.parts[i]
		if pt.done {
			continue
		}
		for _, ap := range pt.openAttempts {
			pt.Record.FailedAttempts = append(pt.Record.FailedAttempts, contract.FailedAttempt{Server: ap.server.Name, Cause: contract.CauseDeadline})
			ap.cancel()
		}
		if len(pt.openAttempts) > 0 && !ga.provedNotRun(len(pt.openAttempts)) {
			ga.mayHaveRun = true
		}
		if ga.postponed > 0 && pt.isUnsent() {
			pt.Record.NoRetryReason = contract.NoRetryNoRoom
			ga.giveUp(i, contract.CauseNoRoom)
			continue
		}
		ga.giveUp(i, contract.CauseDeadline)
	}
}

// provedNotRun waits for the end of the canceled attempts of a request that is
// not idempotent, for at most ReplyMargin, and reports whether it is proved
// that none of them ran.
func (ga *gather[R, H, S, M, A]) provedNotRun(open int) bool {
	if ga.job.Settings.Idempotent {
		return false
	}
	timer := time.NewTimer(ga.job.Settings.ReplyMargin)
	defer timer.Stop()
	for ; open > 0; open-- {
		select {
		case rs := <-ga.results:
			if rs.err == nil {
				return false
			}
			if _, notRun := causeOf(rs.err); !notRun {
				return false
			}
		case <-timer.C:
			return false
		}
	}
	return true
}

// result returns the result of the job. It is called once, after run.
func (ga *gather[R, H, S, M, A]) result() Result[A] {
	rs := Result[A]{
		Parts:        make([]PartResult[A], len(ga.parts)),
		SnapshotLost: ga.snapshotLost,
		MayHaveRun:   ga.mayHaveRun,
		Sends:        ga.primaries,
		Hedges:       ga.hedges,
		Retries:      int(ga.attempts) - ga.primaries - ga.hedges,
		HeldBack:     ga.heldBack,
		ExpectedWork: ga.expectedWork,
		ActualWork:   ga.actualWork,
	}
	for i := range ga.parts {
		rs.Parts[i] = ga.parts[i].PartResult
	}
	return rs
}
