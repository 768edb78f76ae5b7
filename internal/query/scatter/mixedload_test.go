package scatter

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
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

// mixedKind is one kind of request of a mixed load.
type mixedKind struct {
	name string
	// services are the services that a request is sent to.
	services []string
	// one is set if each request goes to one of them.
	one bool
	// rate is the number of requests a second of all entry VMs together.
	rate        float64
	mean        time.Duration
	spread      float64
	goal        time.Duration
	deadline    time.Duration
	minCoverage float64
	priority    int
}

// mixedPlan is a load of several kinds of requests on the same servers, with work that
// differs from request to request.
type mixedPlan struct {
	name     string
	entryVMs int
	length   time.Duration
	kinds    []mixedKind
	// services maps names to the number of servers and of their slots.
	services   map[string][2]int
	pauseEvery time.Duration
	pauseFor   time.Duration
	// slowShare of the servers are eight to ten times slower in the second quarter, and
	// failShare fail half of their requests at once in the last.
	slowShare, failShare float64
	// priorities is set if the priorities of the kinds count.
	priorities bool
}

// mixedQueue is the number of requests that a server queues.
const mixedQueue = 24

// mixedServer runs requests in its slots, first come, first served.
type mixedServer struct {
	loadServer
	speed float64
	// slow divides the speed during the second quarter, fails is set in the last.
	slow  float64
	fails bool
	busy  atomic.Int64
}

// mixedMessage is one part.
type mixedMessage struct{ work time.Duration }

// runTime returns how long some work takes that begins now.
func (ms *mixedServer) runTime(now time.Time, plan *mixedPlan, work time.Duration) time.Duration {
	into := now.Sub(ms.startAt)
	left := time.Duration(float64(work) / ms.speed)
	if into > plan.length/4 && into < plan.length/2 {
		left = time.Duration(float64(left) * ms.slow)
	}
	ms.busy.Add(int64(left))
	total := time.Duration(0)
	for {
		at := (into + total + ms.pauseAt) % plan.pauseEvery
		if at < plan.pauseFor {
			total += plan.pauseFor - at
			continue
		}
		if untilPause := plan.pauseEvery - at; left > untilPause {
			total, left = total+untilPause, left-untilPause
			continue
		}
		return total + left
	}
}

// mixedSender sends the parts of one entry VM.
type mixedSender struct {
	plan    *mixedPlan
	zone    string
	servers map[string]*mixedServer
	random  func() float64
}

func (sd *mixedSender) Send(ctx context.Context, sv *machine.Server, message mixedMessage) (string, error) {
	delay := time.Duration(0)
	if sv.Zone != sd.zone {
		delay = loadDelay
	}
	time.Sleep(delay)
	load, err := sd.servers[sv.Name].run(ctx, sd, message)
	if ctx.Err() != nil {
		return "", &contract.PartError{Cause: contract.CauseCanceled, Err: ctx.Err()}
	}
	time.Sleep(delay)
	sv.State.RecordLoad(time.Now(), load)
	return "", err
}

func (ms *mixedServer) run(ctx context.Context, sd *mixedSender, message mixedMessage) (int, error) {
	canceled := &contract.PartError{Cause: contract.CauseCanceled}
	if ms.fails && time.Since(ms.startAt) > sd.plan.length*3/4 && sd.random() < 0.5 {
		return int(ms.waiting.Load()), &contract.PartError{Cause: contract.CauseServerError}
	}
	if most := int64(cap(ms.slots) + mixedQueue); ms.waiting.Add(1) > most {
		ms.waiting.Add(-1)
		return int(most), &contract.PartError{Cause: contract.CauseShed, NotRun: true}
	}
	defer ms.waiting.Add(-1)
	select {
	case ms.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, canceled
	}
	defer func() { <-ms.slots }()
	select {
	case <-time.After(ms.runTime(time.Now(), sd.plan, message.work)):
		return int(ms.waiting.Load()) - 1, nil
	case <-ctx.Done():
		return 0, canceled
	}
}

// kindOutcome counts what the callers of one kind got.
type kindOutcome struct {
	loadOutcome
	took []time.Duration
}

func (ko *kindOutcome) quantile(q float64) time.Duration {
	if len(ko.took) == 0 {
		return 0
	}
	slices.Sort(ko.took)
	return ko.took[int(q*float64(len(ko.took)-1))]
}

// mixedOutcome is the outcome of a mixed load.
type mixedOutcome struct {
	kinds map[string]*kindOutcome
	// imbalance is the busy time of the busiest server by the mean of those of equal speed
	// and service.
	imbalance float64
	worst     float64
}

// mixedVM is one entry VM of a mixed load.
type mixedVM[R ReplicaPolicy, S StartPolicy] struct {
	engine *Engine[R, GoalHedge, S, mixedMessage, string]
	budget *shareBudget
	shards map[string]Shard
	recent map[string]*link.Latency
	costs  map[string]*contract.RouteCosts
}

// playMixed plays a mixed load.
func playMixed[R ReplicaPolicy, S StartPolicy](t *testing.T, plan mixedPlan, seed uint64) *mixedOutcome {
	t.Helper()
	mo := &mixedOutcome{kinds: map[string]*kindOutcome{}}
	synctest.Test(t, func(t *testing.T) {
		rnd, workRnd := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
		startedAt := time.Now()
		var lock sync.Mutex
		random := func() float64 {
			lock.Lock()
			defer lock.Unlock()
			return workRnd.Float64()
		}
		work := func(kd *mixedKind) time.Duration {
			lock.Lock()
			defer lock.Unlock()
			// One in 100 takes five times as long; the mean stays that of the kind.
			factor := math.Exp(kd.spread*workRnd.NormFloat64()-kd.spread*kd.spread/2) / 1.04
			if workRnd.IntN(100) == 0 {
				factor *= 5
			}
			return time.Duration(float64(kd.mean) * factor)
		}
		servers := map[string]*mixedServer{}
		var records []machine.Server
		for at, name := range sortedKeys(plan.services) {
			for i := range plan.services[name][0] {
				ms := &mixedServer{speed: []float64{0.8, 1, 1.3}[rnd.IntN(3)], slow: 1}
				ms.slots, ms.startAt = make(chan struct{}, plan.services[name][1]), startedAt
				ms.pauseAt = time.Duration(rnd.Int64N(int64(plan.pauseEvery)))
				if rnd.Float64() < plan.slowShare {
					ms.slow = 8 + 2*rnd.Float64()
				}
				ms.fails = rnd.Float64() < plan.failShare
				record := machine.Server{
					Name: fmt.Sprintf("%s-%d", name, i), Service: name, Zone: fmt.Sprintf("zone-%d", (at+i)%loadZones),
					Slots: plan.services[name][1], ConnectionLimit: 200,
				}
				servers[record.Name] = ms
				records = append(records, record)
			}
		}
		vms := make([]*mixedVM[R, S], plan.entryVMs)
		for i := range vms {
			zn := fmt.Sprintf("zone-%d", i%loadZones)
			vm := &mixedVM[R, S]{
				budget: &shareBudget{share: 0.1}, shards: map[string]Shard{}, recent: map[string]*link.Latency{}, costs: map[string]*contract.RouteCosts{},
				engine: &Engine[R, GoalHedge, S, mixedMessage, string]{
					Sender: &mixedSender{plan: &plan, zone: zn, servers: servers, random: random}, Zone: zone.Zone{Name: zn, DefaultDelay: loadDelay},
					Quarantine: contract.NewQuarantine(),
				},
			}
			for _, record := range records {
				record.State = &machine.ServerState{}
				sh := vm.shards[record.Service]
				if sh.Contention == nil && plan.priorities {
					sh.Contention = &contract.Contention{}
				}
				sh.Name, sh.Budget, sh.Replicas = record.Service, vm.budget, append(sh.Replicas, &record)
				vm.shards[record.Service] = sh
			}
			for _, kd := range plan.kinds {
				vm.recent[kd.name], vm.costs[kd.name] = link.NewLatency(), &contract.RouteCosts{}
			}
			vms[i] = vm
		}
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-time.After(200 * time.Millisecond):
					for _, vm := range vms {
						for _, recent := range vm.recent {
							recent.Publish()
						}
					}
				case <-stop:
					return
				}
			}
		}()
		seconds := make([][]float64, int(plan.length/time.Second)+1)
		var all sync.WaitGroup
		for i := range plan.kinds {
			kd, arrivals := &plan.kinds[i], rand.New(rand.NewPCG(seed, 100+uint64(i)))
			ko := &kindOutcome{}
			mo.kinds[kd.name] = ko
			all.Go(func() {
				for {
					time.Sleep(time.Duration(arrivals.ExpFloat64() / kd.rate * float64(time.Second)))
					if time.Since(startedAt) >= plan.length {
						return
					}
					vm := vms[arrivals.IntN(len(vms))]
					all.Go(func() {
						now := time.Now()
						took, rs := vm.run(t, now, kd, work)
						lock.Lock()
						defer lock.Unlock()
						worth := ko.count(kd, took, &rs)
						at := int(now.Sub(startedAt) / time.Second)
						seconds[at] = append(seconds[at], worth)
					})
				}
			})
		}
		all.Wait()
		close(stop)
		// Canceled attempts end before the clock stops.
		time.Sleep(time.Minute)
		for _, ko := range mo.kinds {
			ko.worth /= float64(max(ko.requests, 1))
		}
		mo.worst = 1
		for _, worths := range seconds[:len(seconds)-1] {
			sum := 0.0
			for _, worth := range worths {
				sum += worth
			}
			mo.worst = min(mo.worst, sum/float64(max(len(worths), 1)))
		}
		mo.imbalance = imbalanceOf(records, servers)
	})
	return mo
}

func sortedKeys[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// run runs one request, and returns the time that its caller waits.
func (vm *mixedVM[R, S]) run(t *testing.T, now time.Time, kd *mixedKind, work func(*mixedKind) time.Duration) (time.Duration, Result[string]) {
	jb := &Job[mixedMessage]{
		Fingerprint: 7, Latency: vm.recent[kd.name], Costs: vm.costs[kd.name], Deadline: now.Add(kd.deadline),
		Settings: JobSettings{
			Class: contract.Urgent, Idempotent: true, MaxAttempts: 2, MinCoverage: kd.minCoverage, Goal: kd.goal,
			Canary: contract.CanaryOff, RetrySameServer: true,
		},
	}
	works := map[string]time.Duration{}
	services := kd.services
	if kd.one {
		at := rand.IntN(len(services))
		services = services[at : at+1]
	}
	for _, name := range services {
		jb.Shards = append(jb.Shards, vm.shards[name])
		works[name] = work(kd)
	}
	if len(services) > 1 {
		jb.PartialAfter = now.Add(kd.goal - 14*time.Millisecond)
	}
	jb.Settings.Priority = kd.priority
	jb.Message = func(sh *Shard, _ int32) mixedMessage { return mixedMessage{works[sh.Name]} }
	vm.budget.sends.Add(int64(len(services)))
	rs := vm.engine.Run(t.Context(), jb)
	return time.Since(now) + returnTime, rs
}

// count counts a request, and returns its worth.
func (ko *kindOutcome) count(kd *mixedKind, took time.Duration, rs *Result[string]) float64 {
	ko.requests++
	ko.sent += rs.Sends + rs.Hedges + rs.Retries
	coverage := float64(rs.Answered()) / float64(len(rs.Parts))
	worth := coverage * coverage
	switch {
	case rs.Answered() < NeededParts(kd.minCoverage, len(rs.Parts)):
		ko.failed++
		worth = 0
		if !rs.MayHaveRun {
			ko.refused++
		}
	case took <= kd.goal:
		ko.inTime++
		ko.took = append(ko.took, took)
	default:
		ko.late++
		worth *= 0.1
		ko.took = append(ko.took, took)
	}
	ko.worth += worth
	return worth
}

// imbalanceOf returns the busy time of the busiest server by the mean of those of equal
// speed and service, but for those that were slow or failed. The shards count as one service.
func imbalanceOf(records []machine.Server, servers map[string]*mixedServer) float64 {
	most, sum, count := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, record := range records {
		ms := servers[record.Name]
		if ms.slow > 1 || ms.fails {
			continue
		}
		group := fmt.Sprintf("%s/%.1f", strings.Split(record.Service, "-")[0], ms.speed)
		busy := float64(ms.busy.Load())
		most[group], sum[group], count[group] = max(most[group], busy), sum[group]+busy, count[group]+1
	}
	worst := 0.0
	for group := range sum {
		if sum[group] > 0 && count[group] > 1 {
			worst = max(worst, most[group]*count[group]/sum[group])
		}
	}
	return worst
}

// newMixedPlan returns a load that uses a share of the servers' capacity. The two gathered
// kinds arrive equally often.
func newMixedPlan(entryVMs, shards int, utilization float64) mixedPlan {
	plan := mixedPlan{name: fmt.Sprintf("load %.1f", utilization), entryVMs: entryVMs, length: 8 * time.Second, pauseEvery: 6 * time.Second, pauseFor: 250 * time.Millisecond, services: map[string][2]int{"single": {12, 6}}}
	var names []string
	for i := range shards {
		name := fmt.Sprintf("shard-%02d", i)
		plan.services[name] = [2]int{3, 4}
		names = append(names, name)
	}
	rate := utilization * 12 / (0.028 + 0.009)
	plan.kinds = []mixedKind{
		{name: "deep", services: names, rate: rate, mean: 28 * time.Millisecond, spread: 0.35, goal: 300 * time.Millisecond, deadline: 3 * time.Second, minCoverage: 0.9, priority: 1},
		{name: "quick", services: names, rate: rate, mean: 9 * time.Millisecond, spread: 0.35, goal: 80 * time.Millisecond, deadline: 1200 * time.Millisecond, minCoverage: 0.83},
		{name: "small", services: names, one: true, rate: rate / 2, mean: 9 * time.Millisecond, spread: 0.35, goal: 60 * time.Millisecond, deadline: 1200 * time.Millisecond, minCoverage: 1},
		{name: "single", services: []string{"single"}, rate: utilization * 72 / 0.22, mean: 220 * time.Millisecond, spread: 0.5, goal: 700 * time.Millisecond, deadline: 3 * time.Second, minCoverage: 1, priority: 2},
	}
	return plan
}

// fasterKinds changes a plan to the shorter kinds.
func (mp mixedPlan) fasterKinds() mixedPlan {
	mp.name += ", short"
	mp.pauseEvery, mp.pauseFor = 2400*time.Millisecond, 100*time.Millisecond
	mp.kinds = slices.Clone(mp.kinds)
	for i, mean := range []time.Duration{7500 * time.Microsecond, 2500 * time.Microsecond} {
		kd := &mp.kinds[i]
		kd.rate *= 3.7
		kd.mean, kd.goal = mean, []time.Duration{150 * time.Millisecond, 60 * time.Millisecond}[i]
	}
	return mp
}

// withFaults changes a plan so that servers become slow and fail.
func (mp mixedPlan) withFaults() mixedPlan {
	mp.name += ", faults"
	mp.slowShare, mp.failShare = 0.15, 0.1
	return mp
}

// mixedPolicy is a choice of policies for a mixed load.
type mixedPolicy struct {
	name string
	play func(*testing.T, mixedPlan, uint64) *mixedOutcome
}

var (
	leastLatency = mixedPolicy{"least expected latency", playMixed[LeastExpectedLatency, StartWithRoom]}
	twoChoices   = mixedPolicy{"two choices", playMixed[TwoChoices, StartWithRoom]}
	byCompletion = mixedPolicy{"expected completion", playMixed[ExpectedCompletion, StartWithRoom]}
	byPriority   = mixedPolicy{"same, with priorities", func(t *testing.T, plan mixedPlan, seed uint64) *mixedOutcome {
		plan.priorities = true
		return playMixed[ExpectedCompletion, StartWithRoom](t, plan, seed)
	}}
)

// TestComparePolicies plays mixed loads with all policies, three seeds each, and prints the
// mean of what callers get, for the table in MEASUREMENTS.md. It runs on request only.
func TestComparePolicies(t *testing.T) {
	if os.Getenv("DAISYSTAGE_MEASURE") == "" {
		t.Skip("DAISYSTAGE_MEASURE is not set")
	}
	const seeds = 3
	for _, vms := range []int{3, 9, 40} {
		for _, plan := range []mixedPlan{
			newMixedPlan(vms, 12, 0.3), newMixedPlan(vms, 12, 0.7), newMixedPlan(vms, 12, 1.5), newMixedPlan(vms, 12, 3),
			newMixedPlan(vms, 12, 0.3).withFaults(), newMixedPlan(vms, 12, 0.7).withFaults(), newMixedPlan(vms, 12, 0.5).fasterKinds(),
		} {
			for _, po := range []mixedPolicy{leastLatency, twoChoices, byCompletion, byPriority} {
				t.Run(fmt.Sprintf("%d/%s/%s", vms, plan.name, po.name), func(t *testing.T) {
					t.Parallel()
					outcomes := make([]*mixedOutcome, seeds)
					imbalance, worst := 0.0, 0.0
					for seed := range outcomes {
						outcomes[seed] = po.play(t, plan, uint64(seed))
						imbalance, worst = imbalance+outcomes[seed].imbalance/seeds, worst+outcomes[seed].worst/seeds
					}
					line := fmt.Sprintf("| %2d | %-13s | %-22s | %.2f | %.2f |", vms, plan.name, po.name, imbalance, worst)
					for _, kd := range plan.kinds {
						inTime, worth, p50, p99 := 0.0, 0.0, time.Duration(0), time.Duration(0)
						for _, mo := range outcomes {
							ko := mo.kinds[kd.name]
							inTime, worth = inTime+ko.share(ko.inTime)/seeds, worth+ko.worth/seeds
							p50, p99 = p50+ko.quantile(0.5)/seeds, p99+ko.quantile(0.99)/seeds
						}
						line += fmt.Sprintf(" %.3f, %.3f, %d/%d |", inTime, worth, p50.Milliseconds(), p99.Milliseconds())
					}
					fmt.Println(line)
				})
			}
		}
	}
}

// TestMixedLoad plays mixed loads. Callers need nearly all answers in time while there is
// room. Without it, more urgent requests must not be served less often than others of the
// same services, and each kind at least a quarter as often as all.
func TestMixedLoad(t *testing.T) {
	tests := []struct {
		plan mixedPlan
		// urgent is the least share of the most urgent kind that is answered in time, others
		// that of the other gathered kind.
		urgent, others float64
	}{
		{newMixedPlan(9, 12, 0.3), 0.98, 0.98},
		{newMixedPlan(9, 12, 0.3).withFaults(), 0.95, 0.95},
		{newMixedPlan(40, 12, 0.7), 0.95, 0.9},
		// The urgent kind alone takes a third of the capacity, and three quarters.
		{newMixedPlan(9, 12, 1.5), 0.8, 0},
		{newMixedPlan(9, 12, 3), 0.4, 0},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d/%s", tt.plan.entryVMs, tt.plan.name), func(t *testing.T) {
			t.Parallel()
			tt.plan.length = 3 * time.Second
			before, mo := leastLatency.play(t, tt.plan, 1), byPriority.play(t, tt.plan, 1)
			served := func(mo *mixedOutcome, kind string) float64 {
				return mo.kinds[kind].share(mo.kinds[kind].inTime)
			}
			t.Logf("before: quick %.3f, deep %.3f, single %.3f; now: quick %.3f, deep %.3f, single %.3f", served(before, "quick"), served(before, "deep"),
				served(before, "single"), served(mo, "quick"), served(mo, "deep"), served(mo, "single"))
			assert.Assert(t, served(mo, "quick") >= tt.urgent)
			assert.Assert(t, served(mo, "deep") >= tt.others)
			assert.Assert(t, served(mo, "deep") <= served(mo, "quick")+0.05)
			assert.Assert(t, mo.kinds["deep"].worth <= mo.kinds["quick"].worth+0.15)
			assert.Assert(t, served(mo, "quick") >= served(before, "quick")-0.05)
			assert.Assert(t, served(mo, "single") >= served(before, "single")-0.05)
			all, requests := 0.0, 0.0
			for _, kind := range []string{"quick", "deep", "small"} {
				ko := mo.kinds[kind]
				all, requests = all+float64(ko.inTime+ko.late), requests+float64(ko.requests)
			}
			deep := mo.kinds["deep"]
			assert.Assert(t, deep.share(deep.inTime+deep.late) >= all/requests/4)
		})
	}
}
