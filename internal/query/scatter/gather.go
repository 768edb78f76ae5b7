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

// gather is the state of one job. It is owned by the goroutine that runs it;
// attempts speak to it through results only.
type gather[R ReplicaPolicy, H HedgePolicy, M, A any] struct {
	engine  *Engine[R, H, M, A]
	job     *Job[M]
	parts   []partState[A]
	results chan result[A]
	// waiting counts the parts that are neither answered nor given up, and
	// answered those that are answered.
	waiting, answered int
	// needed is the number of answered parts that make an answer of use.
	needed int
	// attempts numbers the sends from 1.
	attempts   int32
	primaries  int
	hedges     int
	hedgeAfter time.Duration
	hedging    bool
	// recent are the latencies of such parts.
	recent link.Quantiles
	// expected is set when the hedges of the parts that are left were moved.
	expected bool
	// wakeAt ends the wait for a canary; zero if there is none.
	wakeAt time.Time
	// vanished is set when all replicas of a shard lost the snapshot and the
	// job may be started again.
	vanished   bool
	mayHaveRun bool
	// careful is set while the request is suspected to crash servers.
	careful bool
	// candidates is scratch space for the choice of a replica.
	candidates []*machine.Server
}

// silentRetries is the number of times that a part goes to the same server
// again because its link was silent.
const silentRetries = 3

// trialMargin is added to the median latency for the hedge of a part that tries a
// slow server again: the spread between a zone's servers.
const trialMargin = 5 * time.Millisecond

// coverageSlack keeps a share such as 0.9 of 10 shards from being rounded up.
const coverageSlack = 1e-9

// partState is one shard of a gather.
type partState[A any] struct {
	PartResult[A]
	shard *Shard
	// open holds the attempts that have no result yet.
	open []attempt
	// tried holds the servers that an attempt was sent to.
	tried []*machine.Server
	// again holds the servers that may be asked once more.
	again []*machine.Server
	// ran counts the attempts that may have run.
	ran       int
	startedAt time.Time
	// hedgeAt is when a second attempt is due, if there is no answer by then.
	hedgeAt time.Time
	// unhedged is set when the budget had nothing left for a hedge.
	unhedged bool
	// over is set when the part is answered or given up.
	over bool
}

type attempt struct {
	number int32
	server *machine.Server
	hedge  bool
	cancel context.CancelFunc
}

type result[A any] struct {
	part   int
	number int32
	answer A
	err    error
}

func newGather[R ReplicaPolicy, H HedgePolicy, M, A any](en *Engine[R, H, M, A], jb *Job[M]) *gather[R, H, M, A] {
	ga := &gather[R, H, M, A]{engine: en, job: jb, parts: make([]partState[A], len(jb.Shards)), waiting: len(jb.Shards)}
	ga.needed = max(int(math.Ceil(jb.Terms.MinCoverage*float64(len(jb.Shards))-coverageSlack)), 1)
	most := 0
	for i := range jb.Shards {
		ga.parts[i].shard = &jb.Shards[i]
		ga.parts[i].Record.Shard = jb.Shards[i].Name
		most += ga.mostSends(&jb.Shards[i])
	}
	// Attempts are bounded, so that none ever blocks on this.
	ga.results = make(chan result[A], most)
	ga.recent = jb.Latency.Recent()
	ga.hedgeAfter, ga.hedging = en.Hedges.After(jb.Terms, ga.recent)
	ga.hedging = ga.hedging && jb.Terms.Idempotent
	return ga
}

// mostSends returns the most attempts at one shard.
func (ga *gather[R, H, M, A]) mostSends(sh *Shard) int {
	rounds := 1
	if ga.job.Terms.TryAgain {
		rounds = 2
	}
	return rounds*len(sh.Replicas) + silentRetries
}

// run sends all parts and waits for them.
func (ga *gather[R, H, M, A]) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, ga.job.AnswerBy)
	defer cancel()
	now := time.Now()
	ga.careful = ga.engine.Quarantine.IsSuspect(now, ga.job.Fingerprint)
	if ga.job.Terms.Canary != contract.CanaryOff && !ga.runFirst(ctx) {
		return
	}
	now = time.Now()
	for i := range ga.parts {
		if !ga.parts[i].over && len(ga.parts[i].open) == 0 {
			ga.start(ctx, now, i)
		}
	}
	ga.wait(ctx, func() bool { return ga.waiting == 0 || ga.isDecided(time.Now()) })
	ga.stop()
}

// isDecided reports whether waiting longer does not help: the answer can't
// become of use any more, or it is and the time to be whole is over.
func (ga *gather[R, H, M, A]) isDecided(now time.Time) bool {
	if ga.job.EnoughAt.IsZero() {
		return false
	}
	if ga.answered+ga.waiting < ga.needed {
		return true
	}
	return ga.answered >= ga.needed && !now.Before(ga.job.EnoughAt)
}

// nextWake returns the time at which wait has something to do, if there is one.
func (ga *gather[R, H, M, A]) nextWake(now time.Time) (time.Time, bool) {
	next, found := ga.nextHedge()
	for _, at := range []time.Time{ga.wakeAt, ga.job.EnoughAt} {
		if at.After(now) && (!found || at.Before(next)) {
			next, found = at, true
		}
	}
	return next, found
}

// wait takes in results and sends hedges until done or the context ends.
func (ga *gather[R, H, M, A]) wait(ctx context.Context, done func() bool) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !done() && !ga.vanished {
		now := time.Now()
		if next, ok := ga.nextWake(now); ok {
			timer.Reset(next.Sub(now))
		}
		select {
		case rs := <-ga.results:
			ga.take(ctx, time.Now(), rs)
			ga.takeReady(ctx)
		case <-timer.C:
			ga.hedge(ctx, time.Now())
		case <-ctx.Done():
			ga.stop()
			return
		}
	}
	if ga.vanished {
		ga.stop()
	}
}

// takeReady takes in the results that wait already, so that the time of the
// next hedge is computed once for all of them.
func (ga *gather[R, H, M, A]) takeReady(ctx context.Context) {
	for {
		select {
		case rs := <-ga.results:
			ga.take(ctx, time.Now(), rs)
		default:
			return
		}
	}
}

// start sends the first attempt of a part.
func (ga *gather[R, H, M, A]) start(ctx context.Context, now time.Time, at int) {
	pt := &ga.parts[at]
	pt.startedAt = now
	pt.hedgeAt = now.Add(ga.hedgeAfter)
	sv := ga.choose(now, pt, "")
	if sv == nil {
		ga.giveUp(at, contract.CauseNoReplica)
		return
	}
	if ga.recent.Count > 0 && sv.State.OnTrial(now, ga.recent.P50+trialMargin) {
		pt.hedgeAt = now.Add(min(ga.hedgeAfter, ga.recent.P50+trialMargin))
	}
	ga.primaries++
	ga.send(ctx, now, at, sv, false)
}

// choose returns a replica that was not tried, else one that may be asked
// again, nil if none is left or the job ran on enough of them.
func (ga *gather[R, H, M, A]) choose(now time.Time, pt *partState[A], avoid string) *machine.Server {
	if most := ga.job.Terms.MaxAttempts; most > 0 && pt.ran >= most {
		return nil
	}
	sv := ga.chooseAmong(now, pt.shard.Replicas, pt.tried, avoid)
	if sv == nil && len(pt.again) > 0 {
		sv = ga.chooseAmong(now, pt.again, nil, avoid)
		pt.again = slices.DeleteFunc(pt.again, func(other *machine.Server) bool { return other == sv })
	}
	return sv
}

func (ga *gather[R, H, M, A]) chooseAmong(now time.Time, servers, except []*machine.Server, avoid string) *machine.Server {
	ga.candidates = ga.candidates[:0]
	for _, sv := range servers {
		if slices.Contains(except, sv) || sv.IsLeaving(now) || ga.job.Holds != nil && !ga.job.Holds(now, sv) {
			continue
		}
		ga.candidates = append(ga.candidates, sv)
	}
	return ga.engine.Replicas.Choose(now, ga.engine.Zone, ga.candidates, avoid)
}

func (ga *gather[R, H, M, A]) send(ctx context.Context, now time.Time, at int, sv *machine.Server, hedge bool) {
	pt := &ga.parts[at]
	ga.attempts++
	ctx, cancel := context.WithCancel(ctx)
	pt.open = append(pt.open, attempt{number: ga.attempts, server: sv, hedge: hedge, cancel: cancel})
	pt.tried = append(pt.tried, sv)
	pt.ran++
	pt.Record.Attempts++
	sv.State.InFlight.Add(1)
	sv.State.Runs.Add(1)
	go ga.attempt(ctx, now, at, ga.attempts, sv, ga.job.Message(pt.shard, ga.attempts))
}

// attempt runs in a goroutine of its own.
func (ga *gather[R, H, M, A]) attempt(ctx context.Context, sentAt time.Time, at int, number int32, sv *machine.Server, message M) {
	answer, err := ga.engine.Sender.Send(ctx, sv, message)
	sv.State.InFlight.Add(-1)
	now := time.Now()
	ga.learn(now, sv, now.Sub(sentAt), err)
	ga.results <- result[A]{part: at, number: number, answer: answer, err: err}
}

// learn takes the end of an attempt into the state of its server.
func (ga *gather[R, H, M, A]) learn(now time.Time, sv *machine.Server, took time.Duration, err error) {
	service := took - 2*ga.engine.Zone.Delay(sv.Zone)
	if err == nil {
		sv.State.Succeeded(now, service, int64(sv.ConnectionLimit))
		ga.job.Latency.Record(took)
		return
	}
	cause, _ := causeOf(err)
	sv.State.Ended(now, service, cause)
	if cause == contract.CauseSnapshotLost && ga.job.Lost != nil {
		ga.job.Lost(now, sv)
	}
	// A request that was answered before does not crash servers.
	quarantine, fingerprint := ga.engine.Quarantine, ga.job.Fingerprint
	if cause != contract.CauseLinkBroken || quarantine.IsProven(fingerprint) {
		return
	}
	if quarantine.Crashed(now, fingerprint, sv.Name) && ga.engine.Crashed != nil {
		ga.engine.Crashed(now, fingerprint, sv.Name)
	}
}

// take takes in one result.
func (ga *gather[R, H, M, A]) take(ctx context.Context, now time.Time, rs result[A]) {
	pt := &ga.parts[rs.part]
	at := slices.IndexFunc(pt.open, func(ap attempt) bool { return ap.number == rs.number })
	ended := pt.open[at]
	ended.cancel()
	pt.open = slices.Delete(pt.open, at, at+1)
	if pt.over {
		return
	}
	if rs.err == nil {
		ga.mayHaveRun = true
		ga.accept(now, rs, ended)
		return
	}
	cause, notRun := causeOf(rs.err)
	ga.mayHaveRun = ga.mayHaveRun || !notRun
	if notRun || cause == contract.CauseLinkSilent {
		// What was sent on a silent link most likely never arrived.
		pt.ran--
	}
	if cause == contract.CauseServerError {
		pt.Answer, pt.Failed = rs.answer, true
	}
	pt.Record.Misses = append(pt.Record.Misses, contract.Miss{Server: ended.server.Name, Cause: cause})
	if ga.mayAskAgain(pt, cause) {
		pt.again = append(pt.again, ended.server)
	}
	if len(pt.open) > 0 {
		return
	}
	ga.retry(ctx, now, rs.part, cause, notRun)
}

// mayAskAgain reports whether the server of an attempt may get another one.
func (ga *gather[R, H, M, A]) mayAskAgain(pt *partState[A], cause contract.Cause) bool {
	most := ga.mostSends(pt.shard)
	switch cause {
	case contract.CauseLinkSilent:
	case contract.CauseShed, contract.CauseLinkReset, contract.CauseMismatched:
		if !ga.job.Terms.TryAgain {
			return false
		}
		most -= silentRetries
	default:
		return false
	}
	return len(pt.tried)+len(pt.again) < most
}

// accept takes the first valid answer of a part and cancels its other attempts.
func (ga *gather[R, H, M, A]) accept(now time.Time, rs result[A], winner attempt) {
	pt := &ga.parts[rs.part]
	pt.Answer, pt.Answered, pt.Failed = rs.answer, true, false
	pt.Record.Why = ""
	ga.answered++
	ga.expectRest(now, now.Sub(pt.startedAt))
	pt.Record.Server = winner.server.Name
	pt.Record.Took = now.Sub(pt.startedAt)
	ga.end(pt)
	for _, ap := range pt.open {
		ap.cancel()
	}
	ga.engine.Quarantine.Proved(ga.job.Fingerprint)
}

// expectRest moves the hedges of the parts that are left forward, once enough
// others were answered to tell that they are behind.
func (ga *gather[R, H, M, A]) expectRest(now time.Time, elapsed time.Duration) {
	if ga.expected {
		return
	}
	behind, ok := ga.engine.Hedges.Behind(ga.answered, len(ga.parts), elapsed)
	if !ok {
		return
	}
	ga.expected = true
	due := now.Add(behind - elapsed)
	for i := range ga.parts {
		if pt := &ga.parts[i]; pt.hedgeAt.After(due) {
			pt.hedgeAt = due
		}
	}
}

func (ga *gather[R, H, M, A]) giveUp(at int, cause contract.Cause) {
	ga.parts[at].Record.Cause = cause
	ga.end(&ga.parts[at])
}

// end counts a part that is answered or given up.
func (ga *gather[R, H, M, A]) end(pt *partState[A]) {
	pt.over = true
	ga.waiting--
	if ga.job.PartOver != nil {
		ga.job.PartOver()
	}
}

// stop gives up all parts that wait.
func (ga *gather[R, H, M, A]) stop() {
	for i := range ga.parts {
		pt := &ga.parts[i]
		if pt.over {
			continue
		}
		for _, ap := range pt.open {
			pt.Record.Misses = append(pt.Record.Misses, contract.Miss{Server: ap.server.Name, Cause: contract.CauseDeadline})
			ap.cancel()
		}
		if len(pt.open) > 0 && !ga.provedNotRun(len(pt.open)) {
			ga.mayHaveRun = true
		}
		ga.giveUp(i, contract.CauseDeadline)
	}
}

// provedNotRun waits for the end of the canceled attempts of a request that is
// not idempotent and reports whether it is proved that none of them ran.
func (ga *gather[R, H, M, A]) provedNotRun(open int) bool {
	if ga.job.Terms.Idempotent {
		return false
	}
	timer := time.NewTimer(ga.job.Terms.ReplyMargin)
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

// result sums up the gather. It is called once, after run.
func (ga *gather[R, H, M, A]) result() Result[A] {
	rs := Result[A]{
		Parts:      make([]PartResult[A], len(ga.parts)),
		Vanished:   ga.vanished,
		MayHaveRun: ga.mayHaveRun,
		Sends:      ga.primaries,
		Hedges:     ga.hedges,
		Retries:    int(ga.attempts) - ga.primaries - ga.hedges,
	}
	for i := range ga.parts {
		rs.Parts[i] = ga.parts[i].PartResult
	}
	return rs
}
