package scatter

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/zone"

	"gotest.tools/v3/assert"
)

// loadPlan is a load that is played against servers with slots and queues.
type loadPlan struct {
	entryVMs int
	shards   int
	// replicas is the number of servers of a shard; shards in short have fewer.
	replicas int
	short    map[int]int
	slots    int
	// workTime is the mean time that a server works on a part.
	workTime time.Duration
	goal     time.Duration
	deadline time.Duration
	// minCoverage is that of the route.
	minCoverage float64
	// rate is the number of requests a second of all entry VMs together, over length.
	rate   float64
	length time.Duration
}

const (
	// loadZones is the number of zones, over which the servers are spread.
	loadZones = 3
	// loadDelay is the one-way delay to a server in another zone.
	loadDelay = 3 * time.Millisecond
	// returnTime is the time between a decision to answer and the caller's receipt.
	returnTime = 8 * time.Millisecond
	// queuedPerSlot is the number of requests that a server queues for each slot.
	queuedPerSlot = 8
	// pauseEvery and pauseFor describe the short pauses of each server.
	pauseEvery = 3 * time.Second
	pauseFor   = 100 * time.Millisecond
)

// loadServer runs parts in its slots, first come, first served.
type loadServer struct {
	slots   chan struct{}
	waiting atomic.Int64
	pauseAt time.Duration
	startAt time.Time
}

// serve runs one part, and reports the load at its end.
func (ls *loadServer) serve(ctx context.Context, work time.Duration) (load int, err error) {
	if ls.waiting.Add(1) > int64(cap(ls.slots)*(1+queuedPerSlot)) {
		ls.waiting.Add(-1)
		return cap(ls.slots) * (1 + queuedPerSlot), &contract.PartError{Cause: contract.CauseShed, NotRun: true}
	}
	defer ls.waiting.Add(-1)
	canceled := &contract.PartError{Cause: contract.CauseCanceled}
	select {
	case ls.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, canceled
	}
	defer func() { <-ls.slots }()
	if into := (time.Since(ls.startAt) + ls.pauseAt) % pauseEvery; into < pauseFor {
		work += pauseFor - into
	}
	select {
	case <-time.After(work):
		return int(ls.waiting.Load()) - 1, nil
	case <-ctx.Done():
		return 0, canceled
	}
}

// loadSender sends the parts of one entry VM.
type loadSender struct {
	zone    string
	servers map[string]*loadServer
	random  func() time.Duration
}

func (sd *loadSender) Send(ctx context.Context, sv *machine.Server, _ string) (string, error) {
	delay := time.Duration(0)
	if sv.Zone != sd.zone {
		delay = loadDelay
	}
	time.Sleep(delay)
	load, err := sd.servers[sv.Name].serve(ctx, sd.random())
	if ctx.Err() != nil {
		return "", &contract.PartError{Cause: contract.CauseCanceled, Err: ctx.Err()}
	}
	time.Sleep(delay)
	sv.State.RecordLoad(time.Now(), load)
	return "", err
}

// loadOutcome counts what callers got.
type loadOutcome struct {
	requests, inTime, late, failed int
	// refused counts those of the failed requests that ran nowhere, lateRefusals those
	// refused after a quarter of the goal and the time of one look for room.
	refused, lateRefusals int
	// worth is the mean worth of the answers: the square of the coverage in time, a
	// tenth of it later.
	worth float64
	// sent counts the parts sent.
	sent int
	// worst is the mean worth in the worst second.
	worst float64
}

// share returns a count as a share of the requests.
func (lo loadOutcome) share(count int) float64 {
	return float64(count) / float64(max(lo.requests, 1))
}

func (lo loadOutcome) String() string {
	return fmt.Sprintf("%d requests: in time %.3f, late %.3f, failed %.3f (refused %.3f, late %.3f), worth %.3f, worst second %.3f, parts %d",
		lo.requests, lo.share(lo.inTime), lo.share(lo.late), lo.share(lo.failed), lo.share(lo.refused), lo.share(lo.lateRefusals), lo.worth, lo.worst, lo.sent)
}

// shareBudget allows extra attempts up to a share of the parts.
type shareBudget struct {
	sends, extra atomic.Int64
	share        float64
}

func (sb *shareBudget) TryHedge(time.Time, bool) bool {
	if float64(sb.extra.Load()) >= sb.share*float64(sb.sends.Load()) {
		return false
	}
	sb.extra.Add(1)
	return true
}

func (sb *shareBudget) TryRetry(now time.Time, _ contract.Cause, required bool) bool {
	return sb.TryHedge(now, required)
}

// play plays a load, and returns what the callers got.
func play[R ReplicaPolicy, S StartPolicy](t *testing.T, plan loadPlan, seed uint64) loadOutcome {
	t.Helper()
	var lo loadOutcome
	synctest.Test(t, func(t *testing.T) {
		// The arrivals are the same for all policies.
		rnd, workRnd := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
		startedAt := time.Now()
		servers := map[string]*loadServer{}
		replicas := func(shard int) int {
			if count, ok := plan.short[shard]; ok {
				return count
			}
			return plan.replicas
		}
		for shard := range plan.shards {
			for at := range replicas(shard) {
				servers[fmt.Sprintf("sv-%02d-%d", shard, at)] = &loadServer{
					slots: make(chan struct{}, plan.slots), startAt: startedAt, pauseAt: time.Duration(rnd.Int64N(int64(pauseEvery))),
				}
			}
		}
		var lock sync.Mutex
		work := func() time.Duration {
			lock.Lock()
			defer lock.Unlock()
			return time.Duration(float64(plan.workTime) * math.Exp(0.35*workRnd.NormFloat64()-0.06))
		}
		type entryVM struct {
			engine *Engine[R, GoalHedge, S, string, string]
			shards []Shard
			budget *shareBudget
			recent *link.Latency
			costs  contract.RouteCosts
		}
		vms := make([]*entryVM, plan.entryVMs)
		for i := range vms {
			vm := &entryVM{budget: &shareBudget{share: 0.1}, recent: link.NewLatency()}
			zn := fmt.Sprintf("zone-%d", i%loadZones)
			vm.engine = &Engine[R, GoalHedge, S, string, string]{
				Sender: &loadSender{zone: zn, servers: servers, random: work}, Zone: zone.Zone{Name: zn, DefaultDelay: loadDelay},
				Quarantine: contract.NewQuarantine(),
			}
			for shard := range plan.shards {
				sh := Shard{Name: fmt.Sprintf("shard-%02d", shard), Budget: vm.budget}
				for at := range replicas(shard) {
					sh.Replicas = append(sh.Replicas, &machine.Server{
						Name: fmt.Sprintf("sv-%02d-%d", shard, at), Zone: fmt.Sprintf("zone-%d", (shard+at)%loadZones),
						Slots: plan.slots, ConnectionLimit: 30, State: &machine.ServerState{},
					})
				}
				vm.shards = append(vm.shards, sh)
			}
			vms[i] = vm
		}
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-time.After(200 * time.Millisecond):
					for _, vm := range vms {
						vm.recent.Publish()
					}
				case <-stop:
					return
				}
			}
		}()
		seconds := make([][]float64, int(plan.length/time.Second)+1)
		var all sync.WaitGroup
		for time.Since(startedAt) < plan.length {
			time.Sleep(time.Duration(rnd.ExpFloat64() / plan.rate * float64(time.Second)))
			vm := vms[rnd.IntN(len(vms))]
			all.Go(func() {
				now := time.Now()
				vm.budget.sends.Add(int64(plan.shards))
				jb := &Job[string]{
					Fingerprint: 7, Latency: vm.recent, Costs: &vm.costs, Deadline: now.Add(plan.deadline), Shards: vm.shards,
					PartialAfter: now.Add(plan.goal - 14*time.Millisecond),
					Message:      func(sh *Shard, _ int32) string { return sh.Name },
					Settings: JobSettings{
						Class: contract.Urgent, Idempotent: true, MaxAttempts: 2, MinCoverage: plan.minCoverage, Goal: plan.goal,
						Canary: contract.CanaryOff, RetrySameServer: true,
					},
				}
				rs := vm.engine.Run(t.Context(), jb)
				took := time.Since(now) + returnTime
				lock.Lock()
				defer lock.Unlock()
				lo.requests++
				lo.sent += rs.Sends + rs.Hedges + rs.Retries
				coverage := float64(rs.Answered()) / float64(plan.shards)
				worth := coverage * coverage
				switch {
				case rs.Answered() < NeededParts(plan.minCoverage, plan.shards):
					lo.failed++
					worth = 0
					if !rs.MayHaveRun {
						lo.refused++
						if took > plan.goal/4+startCheckInterval+returnTime {
							lo.lateRefusals++
						}
					}
				case took <= plan.goal:
					lo.inTime++
				default:
					lo.late++
					worth *= 0.1
				}
				lo.worth += worth
				at := int(now.Sub(startedAt) / time.Second)
				seconds[at] = append(seconds[at], worth)
			})
		}
		all.Wait()
		close(stop)
		// Canceled attempts end before the clock stops.
		time.Sleep(time.Minute)
		lo.worth /= float64(lo.requests)
		lo.worst = 1
		for _, worths := range seconds[:len(seconds)-1] {
			sum := 0.0
			for _, worth := range worths {
				sum += worth
			}
			lo.worst = min(lo.worst, sum/float64(max(len(worths), 1)))
		}
	})
	return lo
}

// overloadCase is a load with the least that callers must get under it.
type overloadCase struct {
	name   string
	change func(plan *loadPlan)
	// goodput is the least share of requests answered in time, worth the least mean
	// worth.
	goodput, worth float64
}

// TestOverload plays loads against servers of which some have no room, and compares with
// requests that send all parts at once.
func TestOverload(t *testing.T) {
	tests := []overloadCase{
		// Nothing may be lost while there is room.
		{"quiet", func(*loadPlan) {}, 0.99, 0.99},
		{"busy", func(plan *loadPlan) { plan.rate = 270 }, 0.99, 0.99},
		{"one short shard", func(plan *loadPlan) { plan.rate, plan.short = 270, map[int]int{0: 1} }, 0.99, 0.81},
		// Each request needs one of two shards, which together have room for all.
		{"two short shards", func(plan *loadPlan) { plan.rate, plan.short = 270, map[int]int{0: 1, 1: 1} }, 0.6, 0.5},
		// The capacity is 450 a second.
		{"1.5 times the capacity", func(plan *loadPlan) { plan.rate = 675 }, 0.9 / 1.5, 0.5},
		{"3 times the capacity", func(plan *loadPlan) { plan.rate = 1350 }, 0.9 / 3, 0.25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { playOverload(t, tt) })
	}
}

// TestOverloadOfManyShards has many shards, of which three have a third of their
// servers.
func TestOverloadOfManyShards(t *testing.T) {
	playOverload(t, overloadCase{"many shards, three short", func(plan *loadPlan) {
		plan.entryVMs, plan.shards, plan.workTime, plan.goal, plan.deadline = 15, 42, 7500*time.Microsecond, 100*time.Millisecond, 1200*time.Millisecond
		plan.minCoverage, plan.rate, plan.length, plan.short = 0.95, 450, 2*time.Second, map[int]int{0: 1, 1: 1, 2: 1}
	}, 0.95, 0.85})
}

// playOverload plays a load with both policies.
func playOverload(t *testing.T, tt overloadCase) {
	t.Helper()
	plan := loadPlan{
		entryVMs: 6, shards: 10, replicas: 3, slots: 3, workTime: 20 * time.Millisecond, goal: 150 * time.Millisecond,
		deadline: 2500 * time.Millisecond, minCoverage: 0.89, rate: 150, length: 3 * time.Second,
	}
	tt.change(&plan)
	baseline, lo := play[LeastExpectedLatency, StartAtOnce](t, plan, 1), play[LeastExpectedLatency, StartWithRoom](t, plan, 1)
	byWork := play[ExpectedCompletion, StartWithRoom](t, plan, 1)
	t.Logf("at once:   %s", baseline)
	t.Logf("with room: %s", lo)
	t.Logf("by work:   %s", byWork)
	for _, got := range []loadOutcome{lo, byWork} {
		assert.Assert(t, got.share(got.inTime) >= tt.goodput)
		assert.Assert(t, got.worth >= tt.worth)
		assert.Assert(t, got.worth >= baseline.worth-0.01)
		assert.Assert(t, got.share(got.lateRefusals) <= 0.01)
	}
}
