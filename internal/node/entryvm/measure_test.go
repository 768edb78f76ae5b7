//go:build !race

// The tests of this file send many requests and are too slow under the race
// detector; CI runs them without it.

package entryvm_test

import (
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/standin/network"
	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/standin/site"
)

// figures are the results of one run, as measured by the callers.
type figures struct {
	p50, p99, p999 time.Duration
	// coverage is the mean over all queries; those without an answer count 0.
	coverage float64
	whole    float64
	refused  float64
	// extra is the number of parts that servers ran beyond one for each shard of
	// each query that was not refused, as a share of those.
	extra         float64
	platformCalls int64
	// wrong counts wrong coverages and wrong parts in answers.
	wrong int
}

func (fg figures) String() string {
	ms := func(took time.Duration) float64 { return float64(took.Microseconds()) / 1000 }
	return fmt.Sprintf("| %.1f | %.1f | %.1f | %.4f | %.3f | %.3f | %+.2f%% | %d |",
		ms(fg.p50), ms(fg.p99), ms(fg.p999), fg.coverage, fg.whole, fg.refused, 100*fg.extra, fg.platformCalls)
}

// scenario is one situation to measure.
type scenario struct {
	name string
	// rate is the number of queries per second, and length the time for which
	// they are sent.
	rate   int
	length time.Duration
	// set sets up the situation after the warm-up.
	set func(st *site.Site)
	// plan changes the plan before the start.
	plan func(plan *site.Plan)
}

func oneStraggler(st *site.Site) {
	st.Servers[st.Plan.ServerNames(0)[0]].SetFaults(server.Faults{Slowdown: 20})
}

func slowZone(zone int, factor float64) func(*site.Site) {
	return func(st *site.Site) {
		for service := range st.Plan.Services {
			st.Servers[st.Plan.ServerNames(service)[zone]].SetFaults(server.Faults{Slowdown: factor})
		}
	}
}

func allSlow(factor float64) func(*site.Site) {
	return func(st *site.Site) {
		for _, sv := range st.Servers {
			sv.SetFaults(server.Faults{Slowdown: factor})
		}
	}
}

func lossyLinks(st *site.Site) {
	nw := st.Transport.(*site.MemoryTransport).Network
	zones := st.Plan.Zones
	for i, one := range zones {
		for _, two := range zones[i+1:] {
			nw.SetPath(one, two, network.Path{Delay: st.Plan.ZoneDelay, Jitter: st.Plan.ZoneDelay / 2, Loss: 0.02})
		}
		nw.SetPath(one, one, network.Path{Delay: st.Plan.ZoneDelay / 20, Loss: 0.001})
	}
}

// useNaivePolicies makes all entry VMs send to the first replica of each shard,
// wait for all, and never hedge.
func useNaivePolicies(st *site.Site) {
	for at := range st.Configs {
		ps := st.EntryVM(at)
		ps.Service.Runner = &scatter.SnapshotRunner[scatter.FirstReplica, scatter.NoHedge]{Sender: ps.Backend, Quarantine: ps.Quarantine}
	}
}

// measure runs a scenario on a site of the given plan. naive selects the policies
// of useNaivePolicies, without canaries and retries.
func measure(t *testing.T, plan site.Plan, sc scenario, naive bool) figures {
	t.Helper()
	var fg figures
	if naive {
		plan.Routes["find"] += "canary = \"off\"\nretry_share = 0.0\n"
	}
	if sc.plan != nil {
		sc.plan(&plan)
	}
	withSite(t, plan, func(t *testing.T, st *site.Site) {
		if naive {
			useNaivePolicies(st)
		}
		warmUp(t, st)
		if sc.set != nil {
			sc.set(st)
			// Lets the policies adapt to the situation, so that their steady
			// state is measured.
			time.Sleep(200 * time.Millisecond)
		}
		runsBefore, callsBefore := totalRuns(st), st.Store.Calls.Load()
		fg = load(t, st, sc)
		fg.platformCalls = st.Store.Calls.Load() - callsBefore
		expectedRuns := float64(sc.rate) * sc.length.Seconds() * (1 - fg.refused) * float64(plan.Shards)
		fg.extra = float64(totalRuns(st)-runsBefore)/expectedRuns - 1
		assert.Equal(t, fg.wrong, 0)
	})
	return fg
}

// totalRuns returns the number of parts run on all servers.
func totalRuns(st *site.Site) int {
	total := 0
	for _, sv := range st.Servers {
		total += sv.Total()
	}
	return total
}

// load sends queries at a fixed rate, without waiting for answers, and returns
// the figures that the caller can measure.
func load(t *testing.T, st *site.Site, sc scenario) figures {
	t.Helper()
	client, _ := st.Caller()
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	mf := st.Plan.Manifest(site.FirstSnapshot)
	var fg figures
	var lock sync.Mutex
	var sends sync.WaitGroup
	count := int(float64(sc.rate) * sc.length.Seconds())
	for at := range count {
		sends.Go(func() {
			query := fmt.Sprintf(`{"text":"%s %d"}`, sc.name, at)
			rs, err := client.Query(t.Context(), st.Plan.Team, "find", newID(), []byte(query), 0)
			lock.Lock()
			defer lock.Unlock()
			assert.Check(t, latency.RecordValue(rs.Took.Microseconds()))
			switch {
			case err != nil:
			case rs.Refusal != nil:
				if rs.Refusal.Outcome == "not_run" {
					fg.refused++
				}
			default:
				share := float64(rs.Answer.Coverage.Answered) / float64(rs.Answer.Coverage.Total)
				fg.coverage += share
				if share == 1 {
					fg.whole++
				}
				if len(rs.Answer.Parts) != rs.Answer.Coverage.Answered || rs.Answer.Coverage.Total != len(mf.Shards) {
					fg.wrong++
				}
				for _, pt := range rs.Answer.Parts {
					if string(pt.Body) != string(server.Body(mf.ID, pt.Shard, []byte(query))) {
						fg.wrong++
					}
				}
			}
		})
		time.Sleep(time.Second / time.Duration(sc.rate))
	}
	sends.Wait()
	fg.coverage /= float64(count)
	fg.whole /= float64(count)
	fg.refused /= float64(count)
	quantile := func(q float64) time.Duration { return time.Duration(latency.ValueAtQuantile(q)) * time.Microsecond }
	fg.p50, fg.p99, fg.p999 = quantile(50), quantile(99), quantile(99.9)
	return fg
}

// TestStragglerLatencyAndExtraLoad checks the targets with one slow server: p99
// at most 1.5 times that of a quiet site, and extra load at most 3%.
func TestStragglerLatencyAndExtraLoad(t *testing.T) {
	for _, plan := range []func() site.Plan{site.GaismaPlan, site.KaracaPlan} {
		t.Run(plan().Team, func(t *testing.T) {
			quiet := measure(t, plan(), scenario{name: "quiet", rate: 60, length: 10 * time.Second}, false)
			straggler := measure(t, plan(), scenario{name: "straggler", rate: 60, length: 10 * time.Second, set: oneStraggler}, false)
			naive := measure(t, plan(), scenario{name: "straggler", rate: 60, length: 10 * time.Second, set: oneStraggler}, true)
			t.Logf("quiet     %s", quiet)
			t.Logf("straggler %s", straggler)
			t.Logf("naive     %s", naive)
			assert.Assert(t, straggler.p99 <= quiet.p99*3/2, "p99 %s and %s", straggler.p99, quiet.p99)
			assert.Assert(t, straggler.extra <= 0.03, "extra load %.4f", straggler.extra)
			assert.Assert(t, straggler.p99 < naive.p99, "p99 %s and naive %s", straggler.p99, naive.p99)
			assert.Equal(t, quiet.wrong+straggler.wrong+naive.wrong, 0)
		})
	}
}

// TestHedgingStaysInBudgetUnderOverload guards against hedges that amplify an
// overload: many servers become slow, and hedges must stay within the route's
// share.
func TestHedgingStaysInBudgetUnderOverload(t *testing.T) {
	for _, sc := range []scenario{
		{name: "all slow", rate: 60, length: 5 * time.Second, set: allSlow(6)},
		{name: "a zone slow", rate: 60, length: 5 * time.Second, set: slowZone(0, 6)},
	} {
		t.Run(sc.name, func(t *testing.T) {
			fg := measure(t, site.GaismaPlan(), sc, false)
			t.Log(fg)
			assert.Assert(t, fg.extra <= 0.03, "extra load %.4f", fg.extra)
			assert.Equal(t, fg.wrong, 0)
		})
	}
}

// TestOverloadKeepsUrgentDeadlines sends more requests than the servers can run:
// urgent requests must be whole, and ordinary ones answered or refused early.
func TestOverloadKeepsUrgentDeadlines(t *testing.T) {
	plan := site.GaismaPlan()
	plan.Routes["browse"] = "class = \"ordinary\"\ncollection = \"lessons\"\ndeadline = \"400ms\"\n"
	// 30 servers with 2 slots and 4 ms per part run 500 queries of 30 parts per
	// second.
	for _, factor := range []float64{1.5, 3} {
		t.Run(fmt.Sprintf("%.1f times the slots", factor), func(t *testing.T) {
			withSite(t, plan, func(t *testing.T, st *site.Site) {
				warmUp(t, st)
				urgent := startStream(t, st, "find", 10*time.Millisecond)
				pause := time.Duration(float64(time.Second) / (factor*500 - 100))
				ordinary := startStream(t, st, "browse", pause)
				time.Sleep(3 * time.Second)
				ordinaryResults := ordinary.end()
				counts := countOutcomes(t, st, urgent.end())
				t.Logf("urgent %v", counts)
				assertAllWhole(t, counts)
				counts = countOutcomes(t, st, ordinaryResults)
				t.Logf("ordinary %v", counts)
				for outcome := range maps.Keys(counts) {
					assert.Assert(t, outcome == "whole" || outcome == "partial" || outcome == "not_run queue_full" || outcome == "not_run deadline_hopeless", "%v", counts)
				}
				assert.Assert(t, counts["whole"] > 0, "%v", counts)
				assertNoConnectionRefused(t, st)
			})
		})
	}
}

// TestFloodOfOneTeam guards against one team slowing down another: it compares a
// team's p99 on a quiet site with that during a flood by another team.
func TestFloodOfOneTeam(t *testing.T) {
	plan := site.GaismaPlan()
	withSite(t, plan, func(t *testing.T, st *site.Site) {
		_, err := st.PutSetting(t.Context(), time.Now(), "teams/flood/routes/find", st.Plan.Routes["find"])
		assert.NilError(t, err)
		warmUp(t, st)
		sc := scenario{name: "quiet", rate: 50, length: 12 * time.Second}
		quiet := load(t, st, sc)
		flood := startTeamStream(t, st, "flood", "find", 2*time.Millisecond)
		time.Sleep(time.Second)
		flooded := load(t, st, sc)
		flood.end()
		t.Logf("quiet   %s", quiet)
		t.Logf("flooded %s", flooded)
		assert.Assert(t, flooded.p99 <= quiet.p99*6/5, "p99 %s, quiet %s", flooded.p99, quiet.p99)
		assert.Equal(t, flooded.refused, 0.0)
	})
}

// TestMeasure prints the rows of docs/MEASUREMENTS.md. It runs only if
// DAISYSTAGE_MEASURE is set, to "all" or to a substring of the names of the
// scenarios to run.
func TestMeasure(t *testing.T) {
	chosen := os.Getenv("DAISYSTAGE_MEASURE")
	if chosen == "" {
		t.Skip("DAISYSTAGE_MEASURE is not set")
	}
	const length = 10 * time.Second
	scenarios := []scenario{
		{name: "quiet", rate: 100, length: length},
		{name: "one straggler, 20 times", rate: 100, length: length, set: oneStraggler},
		{name: "one zone 5 times slower", rate: 100, length: length, set: slowZone(0, 5)},
		{name: "all 3 times slower", rate: 100, length: length, set: allSlow(3)},
		{name: "lossy links", rate: 100, length: length, set: lossyLinks},
		{name: "overload, 1.5 times the slots", rate: 750, length: 5 * time.Second},
		{name: "overload, 3 times the slots", rate: 1500, length: 3 * time.Second},
	}
	for _, sc := range scenarios {
		if chosen != "all" && !strings.Contains(sc.name, chosen) {
			continue
		}
		for _, plan := range []func() site.Plan{site.GaismaPlan, site.KaracaPlan} {
			fmt.Printf("| %s | %s | naive %s\n", plan().Team, sc.name, measure(t, plan(), sc, true))
			fmt.Printf("| %s | %s | daisystage %s\n", plan().Team, sc.name, measure(t, plan(), sc, false))
			for _, variant := range strings.Split(os.Getenv("DAISYSTAGE_VARIANTS"), ";") {
				if variant == "" {
					continue
				}
				changed := sc
				changed.plan = func(plan *site.Plan) { plan.Routes["find"] += variant + "\n" }
				fmt.Printf("| %s | %s | daisystage, %s %s\n", plan().Team, sc.name, variant, measure(t, plan(), changed, false))
			}
		}
	}
}
