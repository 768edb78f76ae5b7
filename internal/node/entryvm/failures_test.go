package entryvm_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerplatform "daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/standin/platform"
	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/standin/site"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/snapshot"
)

// assertNoConnectionRefused asserts that no server was asked for more connections
// than its limit.
func assertNoConnectionRefused(t *testing.T, st *site.Site) {
	t.Helper()
	for name, sv := range st.Servers {
		assert.Equal(t, sv.Listener.Refused.Load(), int64(0), "server %s refused connections", name)
	}
}

// countOutcomes counts the results by outcome and code, and checks each answer.
func countOutcomes(t *testing.T, st *site.Site, results []streamResult) map[string]int {
	t.Helper()
	manifests := map[string]*snapshot.Manifest{site.FirstSnapshot: st.Plan.Manifest(site.FirstSnapshot)}
	counts := map[string]int{}
	for _, rs := range results {
		switch {
		case rs.err != nil:
			counts["cut: "+rs.err.Error()]++
		case rs.Refusal != nil:
			counts[outcomeAndCode(rs.Result)]++
		default:
			checkAnswer(t, manifests, rs.query, rs.Result)
			counts[string(rs.Outcome())]++
		}
	}
	return counts
}

// assertAllWhole asserts that every counted outcome is a whole answer.
func assertAllWhole(t *testing.T, counts map[string]int) {
	t.Helper()
	assert.Assert(t, len(counts) == 1 && counts["whole"] > 0, "%v", counts)
}

// TestSilentConnectionsDoNotAffectAnswers guards against requests that wait on
// silent connections: it freezes the open connections of servers several times,
// while new connections work.
func TestSilentConnectionsDoNotAffectAnswers(t *testing.T) {
	tests := []struct {
		name     string
		entryVMs int
		frozen   func(name string) bool
	}{
		{"one server", 3, func(name string) bool { return name == "svc00-riga-1" }},
		{"one zone", 3, func(name string) bool { return name[len(name)-1] == '1' }},
		{"all servers", 3, func(string) bool { return true }},
		{"all servers, at most two connections each", 9, func(string) bool { return true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := site.GaismaPlan()
			plan.EntryVMs = tt.entryVMs
			withSite(t, plan, func(t *testing.T, st *site.Site) {
				warmUp(t, st)
				sm := startStream(t, st, "find", 100*time.Millisecond)
				for range 3 {
					time.Sleep(2 * time.Second)
					for name, sv := range st.Servers {
						if tt.frozen(name) {
							sv.Listener.Freeze()
						}
					}
				}
				time.Sleep(2 * time.Second)
				assertAllWhole(t, countOutcomes(t, st, sm.end()))
				assertNoConnectionRefused(t, st)
			})
		})
	}
}

// TestLeavingServerGetsNoWork guards against work sent to a server that leaves:
// the server leaves in each way in which it or the platform can announce it.
func TestLeavingServerGetsNoWork(t *testing.T) {
	const noWorkAfter = 3 * time.Second
	tests := []struct {
		name  string
		leave func(t *testing.T, st *site.Site, name string)
	}{
		{"announced only in the VM list", func(_ *testing.T, st *site.Site, name string) {
			st.Store.SetVMs([]peerplatform.VM{{Name: name, Leaving: true}})
		}},
		{"announced only by the health check", func(_ *testing.T, st *site.Site, name string) {
			st.Servers[name].SetFaults(server.Faults{ClaimDrain: true})
		}},
		{"announced only in answers", func(_ *testing.T, st *site.Site, name string) {
			st.Servers[name].SetFaults(server.Faults{Drain: true, HideDrain: true})
		}},
		{"announced in its record", func(t *testing.T, st *site.Site, name string) {
			settings := st.Servers[name].Settings
			assert.NilError(t, st.PutServer(t.Context(), settings, true))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
				warmUp(t, st)
				name := st.Plan.ServerNames(0)[0]
				sm := startStream(t, st, "find", 100*time.Millisecond)
				time.Sleep(time.Second)
				tt.leave(t, st, name)
				time.Sleep(noWorkAfter)
				before := st.Servers[name].Total()
				assert.Assert(t, before > 0)
				time.Sleep(5 * time.Second)
				assert.Equal(t, st.Servers[name].Total(), before)
				assertAllWhole(t, countOutcomes(t, st, sm.end()))
			})
		})
	}
}

// TestRollingRestartCutsNoRequest guards against requests lost in a restart: it
// restarts every entry VM under load, while callers use their cached lists of
// entries for as long as they may.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		var streams []*stream
		for range 3 {
			streams = append(streams, startStream(t, st, "find", 300*time.Millisecond), startStream(t, st, "save", 300*time.Millisecond))
		}
		for at := range st.Configs {
			time.Sleep(2 * time.Second)
			st.StopEntryVM(at)
			time.Sleep(time.Second)
			assert.NilError(t, st.StartEntryVM(time.Now(), st.Configs[at]))
			time.Sleep(5 * time.Second)
		}
		for _, sm := range streams {
			for _, rs := range sm.end() {
				assert.NilError(t, rs.err)
				assert.Equal(t, string(rs.Outcome()), "whole", "%+v", rs.Refusal)
				assert.Equal(t, rs.Failures, 0, "a request was cut")
			}
		}
		assertNoConnectionRefused(t, st)
	})
}

// TestCrashingRequestLosesFewServers guards against one request that crashes all
// its servers: it is resent through all entry VMs, in sequence or concurrently,
// and must be quarantined after few crashes.
func TestCrashingRequestLosesFewServers(t *testing.T) {
	tests := []struct {
		name       string
		route      string
		concurrent bool
		maxLost    int
	}{
		{"to all shards, in sequence", "find", false, 2},
		{"to all shards, concurrently", "find", true, 3},
		{"not idempotent, in sequence", "save", false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
				warmUp(t, st)
				setAllServerFaults(server.Faults{CrashOn: "poison"})(t, st)
				sm := startStream(t, st, "find", 200*time.Millisecond)
				var sends sync.WaitGroup
				for range 10 {
					for at := range st.Configs {
						send := func() {
							client, _ := st.Caller()
							client.UseOnly(st.Configs[at].CallerAddress)
							_, _ = client.Query(t.Context(), st.Plan.Team, tt.route, newID(), []byte(`{"text":"poison"}`), 0)
						}
						if tt.concurrent {
							sends.Go(send)
						} else {
							send()
							time.Sleep(200 * time.Millisecond)
						}
					}
					sends.Wait()
				}
				// Other requests must still be answered after the crashes.
				time.Sleep(2 * time.Second)
				var lost []string
				for name, sv := range st.Servers {
					if sv.Killed() {
						lost = append(lost, name)
					}
				}
				t.Logf("lost %v", lost)
				assert.Assert(t, len(lost) <= tt.maxLost, "%v lost", lost)
				assertAllWhole(t, countOutcomes(t, st, sm.end()))
			})
		})
	}
}

// TestPlatformOutage checks that queries are answered during a long outage of
// the platform and while it is slow, that the calls to it stay within their
// limits, and that requests which need it work again afterwards.
func TestPlatformOutage(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		warmUp(t, st)
		sm := startStream(t, st, "find", 400*time.Millisecond)
		st.Store.SetFaults(platform.Faults{Down: true})
		time.Sleep(10 * time.Second)
		callsBefore := st.Store.Calls.Load()
		saves := startStream(t, st, "save", 2*time.Second)
		time.Sleep(2 * time.Minute)
		for _, rs := range saves.end() {
			assert.NilError(t, rs.err)
			assert.Equal(t, outcomeAndCode(rs.Result), "unknown platform_down")
		}
		calls := st.Store.Calls.Load() - callsBefore
		// Three entry VMs, each limited to 50 reads and 40 writes per second.
		assert.Assert(t, calls < 3*90*120, "%d calls", calls)
		t.Logf("%d calls in 2 minutes of outage", calls)
		before := st.Store.Calls.Load()
		st.Store.SetFaults(platform.Faults{})
		time.Sleep(time.Second)
		callsAfter := st.Store.Calls.Load() - before
		t.Logf("%d calls in the first second after it", callsAfter)
		assert.Assert(t, callsAfter < 3*90, "%d calls", callsAfter)
		st.Store.SetFaults(platform.Faults{SlowMS: 1500})
		time.Sleep(30 * time.Second)
		assertAllWhole(t, countOutcomes(t, st, sm.end()))
		st.Store.SetFaults(platform.Faults{})
		time.Sleep(10 * time.Second)
		client, _ := st.Caller()
		rs, err := client.Query(t.Context(), st.Plan.Team, "save", newID(), []byte(`{"plan":"Jonah"}`), 0)
		assert.NilError(t, err)
		assert.Equal(t, string(rs.Outcome()), string(contract.Whole), "%+v", rs.Refusal)
	})
}
