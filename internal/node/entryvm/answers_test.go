package entryvm_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/caller"
	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/standin/site"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/snapshot"
)

// checkAnswer compares an answer with the bodies that all shards of the snapshot
// it names must return for the query: each part is correct, and the coverage and
// outcome match the parts.
func checkAnswer(t *testing.T, manifests map[string]*snapshot.Manifest, query string, rs caller.Result) {
	t.Helper()
	assert.Assert(t, rs.Answer != nil, "%+v", rs.Refusal)
	an := rs.Answer
	mf, ok := manifests[an.Snapshot]
	assert.Assert(t, ok, "snapshot %q", an.Snapshot)
	want := map[string]string{}
	for _, sh := range mf.Shards {
		want[sh.Name] = string(server.Body(mf.ID, sh.Name, []byte(query)))
	}
	assert.Equal(t, an.Coverage.Total, len(mf.Shards))
	assert.Equal(t, an.Coverage.Answered, len(an.Parts))
	for _, pt := range an.Parts {
		assert.Equal(t, string(pt.Body), want[pt.Shard])
		delete(want, pt.Shard)
	}
	missing := slices.Sorted(maps.Keys(want))
	slices.Sort(an.Coverage.Missing)
	assert.Assert(t, slices.Equal(missing, an.Coverage.Missing), "missing %v, reported %v", missing, an.Coverage.Missing)
	assert.Equal(t, string(an.Outcome) == "whole", len(missing) == 0)
}

// stream sends queries at a steady rate until it is ended, and collects the
// results.
type stream struct {
	lock    sync.Mutex
	results []streamResult
	work    sync.WaitGroup
	stop    chan struct{}
}

// streamResult is the outcome of one query of a stream.
type streamResult struct {
	caller.Result
	query string
	err   error
}

// startStream starts a stream that sends a query with a new body once per pause,
// for a route of the plan's team.
func startStream(t *testing.T, st *site.Site, route string, pause time.Duration) *stream {
	t.Helper()
	return startTeamStream(t, st, st.Plan.Team, route, pause)
}

// startTeamStream is startStream for a route of any team.
func startTeamStream(t *testing.T, st *site.Site, team, route string, pause time.Duration) *stream {
	t.Helper()
	client, _ := st.Caller()
	sm := &stream{stop: make(chan struct{})}
	sm.work.Go(func() {
		for at := 0; ; at++ {
			select {
			case <-sm.stop:
				return
			case <-time.After(pause):
			}
			query := fmt.Sprintf(`{"text":"%s %d"}`, route, at)
			sm.work.Go(func() {
				rs, err := client.Query(t.Context(), team, route, newID(), []byte(query), 0)
				sm.lock.Lock()
				defer sm.lock.Unlock()
				sm.results = append(sm.results, streamResult{rs, query, err})
			})
		}
	})
	return sm
}

// end stops the stream and returns the results of all queries.
func (sm *stream) end() []streamResult {
	close(sm.stop)
	sm.work.Wait()
	return sm.results
}

// TestAnswersUseOneSnapshotDuringPublishes guards against answers that mix shards
// of several snapshots: it publishes manifests with other shard counts while
// queries run.
func TestAnswersUseOneSnapshotDuringPublishes(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		manifests := map[string]*snapshot.Manifest{site.FirstSnapshot: st.Plan.Manifest(site.FirstSnapshot)}
		sm := startStream(t, st, "find", 20*time.Millisecond)
		for at, shards := range []int{20, 45, 7, 60} {
			time.Sleep(300 * time.Millisecond)
			plan := st.Plan
			plan.Shards = shards
			mf := plan.Manifest(fmt.Sprintf("2026-02-%02d", at))
			manifests[mf.ID] = mf
			assert.NilError(t, st.PutManifest(t.Context(), mf))
		}
		time.Sleep(300 * time.Millisecond)
		seen := map[string]bool{}
		for _, rs := range sm.end() {
			assert.NilError(t, rs.err)
			checkAnswer(t, manifests, rs.query, rs.Result)
			seen[rs.Answer.Snapshot] = true
		}
		assert.Equal(t, len(seen), 5, "%v", seen)
	})
}

// TestCoverageIsAccurateUnderServerFaults guards against answers that contain or
// count wrong parts: it makes servers answer wrongly in each known way, and
// compares the answers with the expected bodies.
func TestCoverageIsAccurateUnderServerFaults(t *testing.T) {
	zeroLoad := 0
	tests := []struct {
		name string
		// services is the number of services whose three servers all have the
		// fault; single sets it on one server only.
		services int
		single   bool
		faults   server.Faults
		// minAnswered is the least number of shards that each answer must cover.
		minAnswered int
	}{
		{"one server lost the snapshot", 0, true, server.Faults{LoseSnapshot: site.FirstSnapshot}, 30},
		{"a service lost the only snapshot", 1, false, server.Faults{LoseSnapshot: site.FirstSnapshot}, 27},
		{"one server answers from another snapshot", 0, true, server.Faults{OtherSnapshot: "2025-01-01"}, 30},
		{"a service answers from another snapshot", 1, false, server.Faults{OtherSnapshot: "2025-01-01"}, 27},
		{"one server swaps answers", 0, true, server.Faults{SwapAnswers: true}, 30},
		{"two services swap answers", 2, false, server.Faults{SwapAnswers: true}, 24},
		{"one server swaps shards", 0, true, server.Faults{SwapShards: true}, 30},
		{"one server corrupts answers", 0, true, server.Faults{Corrupt: true}, 30},
		{"one server truncates answers", 0, true, server.Faults{Truncate: true}, 30},
		{"a service truncates answers", 1, false, server.Faults{Truncate: true}, 27},
		{"one server answers late", 0, true, server.Faults{Late: true}, 30},
		{"a service answers late", 1, false, server.Faults{Late: true}, 27},
		{"one server sheds requests", 0, true, server.Faults{Shed: true}, 30},
		{"one server drains but reports healthy", 0, true, server.Faults{Drain: true, HideDrain: true}, 30},
		{"a service reports draining but answers", 1, false, server.Faults{ClaimDrain: true}, 27},
		{"one server reports zero load", 0, true, server.Faults{ReportLoad: &zeroLoad}, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
				manifests := map[string]*snapshot.Manifest{site.FirstSnapshot: st.Plan.Manifest(site.FirstSnapshot)}
				warmUp(t, st)
				setFaults(st, tt.services, tt.single, tt.faults)
				results := startStream(t, st, "find", 60*time.Millisecond)
				time.Sleep(1500 * time.Millisecond)
				for _, rs := range results.end() {
					assert.NilError(t, rs.err)
					checkAnswer(t, manifests, rs.query, rs.Result)
					assert.Assert(t, rs.Answer.Coverage.Answered >= tt.minAnswered, "%d answered", rs.Answer.Coverage.Answered)
				}
			})
		})
	}
}

// setFaults sets faults on one server of the first service if single is set, and
// on all servers of the first services.
func setFaults(st *site.Site, services int, single bool, faults server.Faults) {
	if single {
		st.Servers[st.Plan.ServerNames(0)[0]].SetFaults(faults)
	}
	for service := range services {
		for _, name := range st.Plan.ServerNames(service) {
			st.Servers[name].SetFaults(faults)
		}
	}
}

// warmUp sends queries until the hedging has latencies to work with.
func warmUp(t *testing.T, st *site.Site) {
	t.Helper()
	sm := startStream(t, st, "find", 40*time.Millisecond)
	time.Sleep(time.Second)
	for _, rs := range sm.end() {
		assert.NilError(t, rs.err)
	}
}

// TestRestartsOnOlderSnapshotWhenNewestIsLost guards against partial answers when
// all servers of a service lost the newest snapshot: an older one is complete.
func TestRestartsOnOlderSnapshotWhenNewestIsLost(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		older := st.Plan.Manifest(site.FirstSnapshot)
		newer := st.Plan.Manifest("2026-02-01")
		assert.NilError(t, st.PutManifest(t.Context(), newer))
		setFaults(st, 1, false, server.Faults{LoseSnapshot: newer.ID})
		time.Sleep(time.Second)
		client, _ := st.Caller()
		query := `{"text":"Jonah"}`
		rs, err := client.Query(t.Context(), st.Plan.Team, "find", newID(), []byte(query), 0)
		assert.NilError(t, err)
		checkAnswer(t, map[string]*snapshot.Manifest{older.ID: older, newer.ID: newer}, query, rs)
		assert.Equal(t, rs.Answer.Snapshot, older.ID)
		assert.Equal(t, string(rs.Answer.Outcome), "whole")
	})
}

// TestCallersReceiveOnlyTheirOwnAnswers guards against answers delivered to the
// wrong caller: many callers share the server connections while servers swap,
// duplicate, delay and truncate answers.
func TestCallersReceiveOnlyTheirOwnAnswers(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		manifests := map[string]*snapshot.Manifest{site.FirstSnapshot: st.Plan.Manifest(site.FirstSnapshot)}
		warmUp(t, st)
		st.Servers[st.Plan.ServerNames(0)[0]].SetFaults(server.Faults{SwapAnswers: true})
		st.Servers[st.Plan.ServerNames(1)[1]].SetFaults(server.Faults{Truncate: true})
		st.Servers[st.Plan.ServerNames(2)[2]].SetFaults(server.Faults{Late: true})
		for _, service := range []int{3, 4, 5} {
			st.Servers[st.Plan.ServerNames(service)[0]].Listener.SendTwice.Store(true)
		}
		var streams []*stream
		for range 4 {
			streams = append(streams, startStream(t, st, "find", 60*time.Millisecond))
		}
		time.Sleep(3 * time.Second)
		whole, all := 0, 0
		for _, sm := range streams {
			for _, rs := range sm.end() {
				assert.NilError(t, rs.err)
				if rs.Refusal != nil {
					assert.Equal(t, string(rs.Refusal.Outcome), "not_run", "%+v", rs.Refusal)
					continue
				}
				checkAnswer(t, manifests, rs.query, rs.Result)
				all++
				if rs.Outcome() == contract.Whole {
					whole++
				}
			}
		}
		t.Logf("%d of %d whole", whole, all)
		assert.Assert(t, whole*10 >= all*9, "%d of %d whole", whole, all)
	})
}

// TestCanceledRequestsDoNotAffectOthers guards against a canceled request
// breaking a connection that other requests use: one caller gives up early again
// and again, and the answers of another stay whole.
func TestCanceledRequestsDoNotAffectOthers(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		manifests := map[string]*snapshot.Manifest{site.FirstSnapshot: st.Plan.Manifest(site.FirstSnapshot)}
		impatient, _ := st.Caller()
		sm := startStream(t, st, "find", 30*time.Millisecond)
		for at := range 50 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(at%20)*time.Millisecond)
			_, _ = impatient.Query(ctx, st.Plan.Team, "find", newID(), []byte(`{"text":"impatient"}`), 0)
			cancel()
		}
		for _, rs := range sm.end() {
			assert.NilError(t, rs.err)
			checkAnswer(t, manifests, rs.query, rs.Result)
			assert.Equal(t, string(rs.Outcome()), "whole")
		}
	})
}
