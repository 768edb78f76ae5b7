package scatter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/zone"
)

// farm answers messages that name a shard, as its servers do.
type farm struct {
	// behave returns the time of an answer, or its error.
	behave func(sv *machine.Server, shard string, attempt int) (time.Duration, error)
	lock   sync.Mutex
	// sends holds the names of the servers by shard.
	sends map[string][]string
}

func (fm *farm) Send(ctx context.Context, sv *machine.Server, shard string) (string, error) {
	fm.lock.Lock()
	fm.sends[shard] = append(fm.sends[shard], sv.Name)
	attempt := len(fm.sends[shard])
	fm.lock.Unlock()
	took, err := fm.behave(sv, shard, attempt)
	select {
	case <-time.After(took):
		return "answer of " + shard, err
	case <-ctx.Done():
		return "", &contract.PartError{Cause: contract.CauseCanceled, Err: ctx.Err()}
	}
}

// limited allows some extra sends, and keeps some for those that decide.
type limited struct{ left, kept int }

func (li *limited) take(decides bool) bool {
	if li.left <= 0 || !decides && li.left <= li.kept {
		return false
	}
	li.left--
	return true
}

func (li *limited) TryHedge(_ time.Time, decides bool) bool { return li.take(decides) }

func (li *limited) TryRetry(_ time.Time, _ contract.Cause, decides bool) bool {
	return li.take(decides)
}

// newJob has shards of three servers in three zones.
func newJob(now time.Time, shards int, terms Terms, budget ExtraBudget) *Job[string] {
	jb := &Job[string]{
		Fingerprint: 7, Terms: terms, Latency: link.NewLatency(), AnswerBy: now.Add(time.Second),
		Message: func(sh *Shard, _ int32) string { return sh.Name },
	}
	for at := range shards {
		sh := Shard{Name: fmt.Sprintf("shard-%02d", at), Budget: budget}
		for zn := range 3 {
			sh.Replicas = append(sh.Replicas, &machine.Server{
				Name: fmt.Sprintf("sv-%02d-%d", at, zn), Zone: fmt.Sprintf("zone-%d", zn), Slots: 2,
				ConnectionLimit: 25, State: &machine.ServerState{},
			})
		}
		jb.Shards = append(jb.Shards, sh)
	}
	return jb
}

func newEngine(fm *farm) *Engine[LeastExpected, GoalHedge, string, string] {
	fm.sends = map[string][]string{}
	return &Engine[LeastExpected, GoalHedge, string, string]{
		Sender: fm, Zone: zone.Zone{Name: "zone-0", Else: time.Millisecond}, Quarantine: contract.NewQuarantine(),
	}
}

func gatherTerms() Terms {
	return Terms{
		Class: contract.Urgent, Idempotent: true, MaxAttempts: 2, MinCoverage: 0.9, Goal: 100 * time.Millisecond,
		Canary: contract.CanaryOff, TryAgain: true,
	}
}

func TestLaggingPartIsHedgedBySiblings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fm := &farm{behave: func(_ *machine.Server, shard string, attempt int) (time.Duration, error) {
			if shard == "shard-03" && attempt == 1 {
				return 100 * time.Millisecond, nil
			}
			return 8 * time.Millisecond, nil
		}}
		startedAt := time.Now()
		rs := newEngine(fm).Run(t.Context(), newJob(startedAt, 10, gatherTerms(), &limited{left: 5}))
		assert.Equal(t, rs.Answered(), 10)
		assert.Equal(t, rs.Hedges, 1)
		// 8 ms of the siblings, half as much again and a margin, and the hedge.
		assert.Assert(t, time.Since(startedAt) < 30*time.Millisecond, "%s", time.Since(startedAt))
	})
}

func TestPartialAnswerAtTheGoal(t *testing.T) {
	tests := []struct {
		name string
		// dead is the number of shards that never answer.
		dead, answered int
		took           time.Duration
	}{
		{"whole", 0, 10, 8 * time.Millisecond},
		{"one missing is enough", 1, 9, 86 * time.Millisecond},
		{"too few waits for more", 2, 8, time.Second},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			fm := &farm{behave: func(_ *machine.Server, shard string, _ int) (time.Duration, error) {
				if shard < fmt.Sprintf("shard-%02d", tt.dead) {
					return time.Hour, nil
				}
				return 8 * time.Millisecond, nil
			}}
			startedAt := time.Now()
			jb := newJob(startedAt, 10, gatherTerms(), &limited{left: 5})
			jb.EnoughAt = startedAt.Add(86 * time.Millisecond)
			rs := newEngine(fm).Run(t.Context(), jb)
			assert.Equal(t, rs.Answered(), tt.answered, tt.name)
			assert.Equal(t, time.Since(startedAt), tt.took, tt.name)
		})
	}
}

func TestHopelessAnswerIsGivenUpAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fm := &farm{behave: func(_ *machine.Server, shard string, _ int) (time.Duration, error) {
			if shard < "shard-02" {
				return time.Millisecond, &contract.PartError{Cause: contract.CauseDialFailed, NotRun: true}
			}
			return 30 * time.Millisecond, nil
		}}
		startedAt := time.Now()
		jb := newJob(startedAt, 10, gatherTerms(), &limited{left: 20})
		jb.EnoughAt = startedAt.Add(86 * time.Millisecond)
		rs := newEngine(fm).Run(t.Context(), jb)
		assert.Assert(t, rs.Answered() < 9)
		assert.Assert(t, time.Since(startedAt) < 10*time.Millisecond, "%s", time.Since(startedAt))
	})
}

func TestMaxAttemptsBoundsRuns(t *testing.T) {
	fail := func(cause contract.Cause, notRun bool) error {
		return &contract.PartError{Cause: cause, NotRun: notRun}
	}
	tests := []struct {
		name       string
		idempotent bool
		err        error
		sends      int
	}{
		{"may have run", true, fail(contract.CauseLinkReset, false), 2},
		{"rejected", true, fail(contract.CauseShed, true), 6},
		{"failed at the server", true, fail(contract.CauseServerError, false), 2},
		{"once, may have run", false, fail(contract.CauseLinkReset, false), 1},
		{"once, rejected", false, fail(contract.CauseShed, true), 6},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			fm := &farm{behave: func(*machine.Server, string, int) (time.Duration, error) { return time.Millisecond, tt.err }}
			terms := gatherTerms()
			terms.Idempotent = tt.idempotent
			rs := newEngine(fm).Run(t.Context(), newJob(time.Now(), 1, terms, &limited{left: 20}))
			assert.Equal(t, len(fm.sends["shard-00"]), tt.sends, tt.name)
			_, notRun := causeOf(tt.err)
			assert.Equal(t, rs.MayHaveRun, !notRun, tt.name)
		})
	}
}

// TestBudgetGoesToPartsThatDecide has two shards whose servers all reject the
// first attempt, and room for one extra send beside a reserve of one.
func TestBudgetGoesToPartsThatDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fm := &farm{behave: func(_ *machine.Server, shard string, attempt int) (time.Duration, error) {
			if shard < "shard-02" && attempt == 1 {
				return time.Millisecond, &contract.PartError{Cause: contract.CauseShed, NotRun: true}
			}
			return 8 * time.Millisecond, nil
		}}
		jb := newJob(time.Now(), 10, gatherTerms(), &limited{left: 1, kept: 1})
		rs := newEngine(fm).Run(t.Context(), jb)
		assert.Equal(t, rs.Answered(), 9)
		assert.Equal(t, rs.Retries, 1)
	})
}

// TestChoiceLearnsWhoRejects plays a service of three servers of which one
// rejects most requests: it gets few of them.
func TestChoiceLearnsWhoRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turn := 0
		fm := &farm{behave: func(sv *machine.Server, _ string, _ int) (time.Duration, error) {
			turn++
			if sv.Zone == "zone-0" && turn%5 < 3 {
				return time.Millisecond, &contract.PartError{Cause: contract.CauseShed, NotRun: true}
			}
			return 8 * time.Millisecond, nil
		}}
		en := newEngine(fm)
		jb := newJob(time.Now(), 1, gatherTerms(), &limited{left: 1000})
		for range 200 {
			jb.AnswerBy = time.Now().Add(time.Second)
			rs := en.Run(t.Context(), jb)
			assert.Equal(t, rs.Answered(), 1)
			time.Sleep(20 * time.Millisecond)
		}
		rejecting := 0
		for _, name := range fm.sends["shard-00"] {
			if name == "sv-00-0" {
				rejecting++
			}
		}
		assert.Assert(t, rejecting < 60, "%d of %d sends to the server that rejects", rejecting, len(fm.sends["shard-00"]))
	})
}

// TestSuspicionDoesNotOverfillOneServer has two of three servers that failed a
// moment ago and a third that answers late: parts must not pile up at it.
func TestSuspicionDoesNotOverfillOneServer(t *testing.T) {
	now := time.Now()
	var servers []*machine.Server
	for _, name := range []string{"late", "fast-1", "fast-2"} {
		servers = append(servers, &machine.Server{Name: name, Zone: "a", Slots: 2, ConnectionLimit: 25, State: &machine.ServerState{}})
	}
	late := servers[0]
	late.State.Succeeded(now, 80*time.Millisecond, 25)
	for _, sv := range servers[1:] {
		sv.State.Succeeded(now, 5*time.Millisecond, 25)
		sv.State.Failed(now)
	}
	for range 20 {
		sv := LeastExpected{}.Choose(now, zone.Zone{Name: "a"}, slices.Clone(servers), "")
		sv.State.InFlight.Add(1)
	}
	assert.Equal(t, servers[1].State.InFlight.Load(), int64(1), "one part at a time tries it")
	assert.Equal(t, servers[2].State.InFlight.Load(), int64(1), "one part at a time tries it")
	// The first answer of a fast one ends its suspicion.
	servers[1].State.InFlight.Add(-1)
	servers[1].State.Succeeded(now.Add(20*time.Millisecond), 5*time.Millisecond, 25)
	before := late.State.InFlight.Load()
	sv := LeastExpected{}.Choose(now.Add(20*time.Millisecond), zone.Zone{Name: "a"}, slices.Clone(servers), "")
	assert.Equal(t, sv.Name, "fast-1")
	assert.Equal(t, late.State.InFlight.Load(), before)
}

// TestTrialOfSlowServerIsHedgedEarly has a server tried again that is still slow:
// its part is hedged at about the usual time, not at the route's quantile.
func TestTrialOfSlowServerIsHedgedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fm := &farm{sends: map[string][]string{}, behave: func(sv *machine.Server, _ string, _ int) (time.Duration, error) {
			if sv.Zone == "zone-0" {
				return 300 * time.Millisecond, nil
			}
			return 5 * time.Millisecond, nil
		}}
		terms := gatherTerms()
		terms.Goal = 300 * time.Millisecond
		jb := newJob(time.Now(), 1, terms, &limited{left: 10})
		for at := range 200 {
			jb.Latency.Record(5 * time.Millisecond)
			if at%10 == 0 {
				jb.Latency.Record(70 * time.Millisecond)
			}
		}
		jb.Latency.Publish()
		for _, sv := range jb.Shards[0].Replicas {
			sv.State.Succeeded(time.Now(), 20*time.Millisecond, 25)
		}
		jb.Shards[0].Replicas[0].State.LatencyNanos.Store(int64(90 * time.Millisecond))
		time.Sleep(5 * time.Second)
		for _, sv := range jb.Shards[0].Replicas[1:] {
			sv.State.Succeeded(time.Now(), 20*time.Millisecond, 25)
		}
		startedAt := time.Now()
		jb.AnswerBy = startedAt.Add(time.Second)
		rs := newEngine(fm).Run(t.Context(), jb)
		assert.Equal(t, fm.sends["shard-00"][0], "sv-00-0", "the slow server is tried")
		assert.Equal(t, rs.Answered(), 1)
		assert.Equal(t, rs.Hedges, 1)
		assert.Assert(t, time.Since(startedAt) < 20*time.Millisecond, "%s", time.Since(startedAt))
	})
}
