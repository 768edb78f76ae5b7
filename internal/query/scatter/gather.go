package scatter

import (
	"context"
	"slices"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/snapshot"
)

// gather is the state of one request on one snapshot. It is owned by the
// goroutine that runs it; attempts speak to it through results only.
type gather[R ReplicaPolicy, H HedgePolicy] struct {
	query    *Query[R, H]
	rq       *Request
	manifest *snapshot.Manifest
	parts    []partState
	results  chan result
	// waiting counts the parts that are neither answered nor given up.
	waiting int
	// attempts numbers the sends from 1.
	attempts   int32
	primaries  int
	hedgeAfter time.Duration
	hedging    bool
	// wakeAt ends the wait for a canary; zero if there is none.
	wakeAt time.Time
	// mayRestart is set while there is another snapshot to start again on.
	mayRestart bool
	// vanished is set when all replicas of a shard lost the snapshot and the
	// request may be started again.
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

// partState is one shard of a gather.
type partState struct {
	shard  *snapshot.Shard
	record contract.PartRecord
	body   []byte
	// open holds the attempts that have no result yet.
	open []attempt
	// tried names the servers that an attempt was sent to.
	tried []string
	// again names the servers that may be asked once more, on another link.
	again     []string
	startedAt time.Time
	// hedgeAt is when a second attempt is due, if there is no answer by then.
	hedgeAt  time.Time
	answered bool
	// over is set when the part is answered or given up.
	over bool
}

type attempt struct {
	number int32
	server *machine.Server
	hedge  bool
	cancel context.CancelFunc
}

type result struct {
	part   int
	number int32
	body   []byte
	took   time.Duration
	err    error
}

func newGather[R ReplicaPolicy, H HedgePolicy](qr *Query[R, H], rq *Request, mf *snapshot.Manifest) *gather[R, H] {
	shards := mf.Shards
	if rq.Setting.Route.Shards == contract.ScopeOne {
		at := ShardOf(rq.ShardKey, len(shards))
		shards = shards[at : at+1]
	}
	ga := &gather[R, H]{query: qr, rq: rq, manifest: mf, parts: make([]partState, len(shards)), waiting: len(shards)}
	most := 0
	for i := range shards {
		ga.parts[i].shard = &shards[i]
		ga.parts[i].record.Shard = shards[i].Name
		most += len(shards[i].Replicas)
	}
	// Attempts are bounded, so that none ever blocks on this.
	ga.results = make(chan result, most+len(shards)*silentRetries)
	ga.hedgeAfter, ga.hedging = qr.Hedges.After(rq.Setting.Route, rq.Setting.State.Latency.Recent())
	ga.hedging = ga.hedging && rq.Setting.Route.Idempotent
	return ga
}

// run sends all parts and waits for them.
func (ga *gather[R, H]) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, ga.rq.AnswerBy)
	defer cancel()
	now := time.Now()
	rt := ga.rq.Setting.Route
	quarantine := ga.query.Quarantine
	ga.careful = quarantine.Count(now, ga.rq.Fingerprint) > 0
	if rt.Canary != contract.CanaryOff && !ga.runFirst(ctx) {
		return
	}
	now = time.Now()
	for i := range ga.parts {
		if !ga.parts[i].over && len(ga.parts[i].open) == 0 {
			ga.start(ctx, now, i)
		}
	}
	ga.wait(ctx, func() bool { return ga.waiting == 0 })
}

// nextWake returns the time at which wait has something to do, if there is one.
func (ga *gather[R, H]) nextWake() (time.Time, bool) {
	next, found := ga.nextHedge()
	if ga.wakeAt.IsZero() {
		return next, found
	}
	if !found || ga.wakeAt.Before(next) {
		return ga.wakeAt, true
	}
	return next, true
}

// wait takes in results and sends hedges until done or the context ends.
func (ga *gather[R, H]) wait(ctx context.Context, done func() bool) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !done() && !ga.vanished {
		if next, ok := ga.nextWake(); ok {
			timer.Reset(time.Until(next))
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
func (ga *gather[R, H]) takeReady(ctx context.Context) {
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
func (ga *gather[R, H]) start(ctx context.Context, now time.Time, at int) {
	pt := &ga.parts[at]
	pt.startedAt = now
	pt.hedgeAt = now.Add(ga.hedgeAfter)
	sv := ga.choose(now, pt, "")
	if sv == nil {
		ga.giveUp(at, contract.CauseNoReplica)
		return
	}
	ga.primaries++
	ga.send(ctx, now, at, sv, false)
}

// choose returns a replica that was not tried, else one whose link was at
// fault, nil if none is left.
func (ga *gather[R, H]) choose(now time.Time, pt *partState, avoid string) *machine.Server {
	sv := ga.chooseAmong(now, pt.shard.Replicas, pt.tried, avoid)
	if sv == nil && len(pt.again) > 0 {
		sv = ga.chooseAmong(now, pt.again, nil, avoid)
		pt.again = slices.DeleteFunc(pt.again, func(name string) bool { return sv != nil && name == sv.Name })
	}
	return sv
}

func (ga *gather[R, H]) chooseAmong(now time.Time, names, except []string, avoid string) *machine.Server {
	ga.candidates = ga.candidates[:0]
	for _, name := range names {
		if slices.Contains(except, name) {
			continue
		}
		sv, ok := ga.rq.View.Servers.Get(name)
		if ok && !sv.IsLeaving(now) && sv.State.Holds(now, ga.manifest.ID) {
			ga.candidates = append(ga.candidates, sv)
		}
	}
	return ga.query.Replicas.Choose(now, ga.query.Zone, ga.candidates, avoid)
}

func (ga *gather[R, H]) send(ctx context.Context, now time.Time, at int, sv *machine.Server, hedge bool) {
	pt := &ga.parts[at]
	ga.attempts++
	ctx, cancel := context.WithCancel(ctx)
	pt.open = append(pt.open, attempt{number: ga.attempts, server: sv, hedge: hedge, cancel: cancel})
	pt.tried = append(pt.tried, sv.Name)
	pt.record.Attempts++
	message := Part{
		RequestID:   ga.rq.ID,
		Attempt:     ga.attempts,
		Route:       ga.rq.Setting.Path,
		Shard:       pt.shard.Name,
		Snapshot:    ga.manifest.ID,
		Deadline:    ga.rq.AnswerBy,
		Idempotent:  ga.rq.Setting.Route.Idempotent,
		SilentAfter: silentAfter(ga.rq.Setting.State),
		Query:       ga.rq.Query,
	}
	sv.State.InFlight.Add(1)
	sv.State.Runs.Add(1)
	go ga.attempt(ctx, now, at, sv, message)
}

// attempt runs in a goroutine of its own.
func (ga *gather[R, H]) attempt(ctx context.Context, sentAt time.Time, at int, sv *machine.Server, message Part) {
	body, err := ga.query.Sender.Send(ctx, sv, message)
	sv.State.InFlight.Add(-1)
	now := time.Now()
	took := now.Sub(sentAt)
	ga.learn(now, sv, took, err)
	ga.results <- result{part: at, number: message.Attempt, body: body, took: took, err: err}
}

// learn takes the end of an attempt into the state of its server.
func (ga *gather[R, H]) learn(now time.Time, sv *machine.Server, took time.Duration, err error) {
	service := took - 2*ga.query.Zone.Delay(sv.Zone)
	if err == nil {
		sv.State.Succeeded(now, service, int64(sv.ConnectionLimit))
		ga.rq.Setting.State.Latency.Record(took)
		return
	}
	cause, _ := causeOf(err)
	switch cause {
	case contract.CauseCanceled:
		sv.State.ObserveAtLeast(now, service)
	case contract.CauseShed:
		sv.State.Overloaded(now)
	case contract.CauseDeadline:
		sv.State.Overloaded(now)
		sv.State.ObserveAtLeast(now, service)
	case contract.CauseDraining:
		sv.State.MarkLeaving(now)
	case contract.CauseSnapshotLost:
		sv.State.Lose(now, ga.manifest.ID)
	case contract.CauseDialFailed, contract.CauseLinkBroken, contract.CauseLinkReset, contract.CauseMismatched:
		sv.State.Failed(now)
	}
	// A request that was answered before does not crash servers.
	if cause != contract.CauseLinkBroken || ga.query.Quarantine.IsProven(ga.rq.Fingerprint) {
		return
	}
	if ga.query.Quarantine.Crashed(now, ga.rq.Fingerprint, sv.Name) && ga.query.Crashed != nil {
		ga.query.Crashed(now, ga.rq.Fingerprint, sv.Name)
	}
}

// take takes in one result.
func (ga *gather[R, H]) take(ctx context.Context, now time.Time, rs result) {
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
	pt.record.Misses = append(pt.record.Misses, contract.Miss{Server: ended.server.Name, Cause: cause})
	if cause == contract.CauseLinkSilent && len(pt.tried) < len(pt.shard.Replicas)+silentRetries {
		pt.again = append(pt.again, ended.server.Name)
	}
	if len(pt.open) > 0 {
		return
	}
	ga.retry(ctx, now, rs.part, cause, notRun)
}

// accept takes the first valid answer of a part and cancels its other attempts.
func (ga *gather[R, H]) accept(now time.Time, rs result, winner attempt) {
	pt := &ga.parts[rs.part]
	pt.body = rs.body
	pt.answered = true
	pt.record.Server = winner.server.Name
	pt.record.Took = now.Sub(pt.startedAt)
	ga.end(pt)
	for _, ap := range pt.open {
		ap.cancel()
	}
	ga.query.Quarantine.Proved(ga.rq.Fingerprint)
}

func (ga *gather[R, H]) giveUp(at int, cause contract.Cause) {
	ga.parts[at].record.Cause = cause
	ga.end(&ga.parts[at])
}

// end counts a part that is answered or given up.
func (ga *gather[R, H]) end(pt *partState) {
	pt.over = true
	ga.waiting--
	if ga.rq.PartOver != nil {
		ga.rq.PartOver()
	}
}

// stop gives up all parts that wait.
func (ga *gather[R, H]) stop() {
	for i := range ga.parts {
		pt := &ga.parts[i]
		if pt.over {
			continue
		}
		for _, ap := range pt.open {
			pt.record.Misses = append(pt.record.Misses, contract.Miss{Server: ap.server.Name, Cause: contract.CauseDeadline})
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
func (ga *gather[R, H]) provedNotRun(open int) bool {
	if ga.rq.Setting.Route.Idempotent {
		return false
	}
	timer := time.NewTimer(ga.rq.Setting.Route.ReplyMargin.Duration)
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

// answer sums up the gather. It is called once, after run.
func (ga *gather[R, H]) answer() Answer {
	rt := ga.rq.Setting.Route
	ga.rq.Setting.State.Hedges.Earn(ga.primaries, rt.HedgeShare)
	ga.rq.Setting.State.Retries.Earn(ga.primaries, rt.RetryShare)
	an := Answer{
		Manifest:   ga.manifest,
		Coverage:   contract.Coverage{Total: len(ga.parts), Missing: []string{}},
		Records:    make([]contract.PartRecord, len(ga.parts)),
		Parts:      make([]ShardAnswer, 0, len(ga.parts)),
		MayHaveRun: ga.mayHaveRun,
		Sends:      ga.primaries,
		Extra:      int(ga.attempts) - ga.primaries,
	}
	for i := range ga.parts {
		pt := &ga.parts[i]
		an.Records[i] = pt.record
		if !pt.answered {
			an.Coverage.Missing = append(an.Coverage.Missing, pt.shard.Name)
			continue
		}
		an.Coverage.Answered++
		an.Parts = append(an.Parts, ShardAnswer{Shard: pt.shard.Name, Body: pt.body})
	}
	return an
}
