package entryvm_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	product "daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/standin/platform"
	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/standin/site"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/snapshot"
)

// checkConnections asserts that no server was asked for more connections than
// it accepts.
func checkConnections(t *testing.T, st *site.Site) {
	t.Helper()
	for name, un := range st.Servers {
		assert.Equal(t, un.Listener.Refused.Load(), int64(0), "server %s refused connections", name)
	}
}

// countOutcomes counts outcomes with their codes, and checks each answer.
func countOutcomes(t *testing.T, st *site.Site, results []streamed) map[string]int {
	t.Helper()
	manifests := map[string]*snapshot.Manifest{site.FirstSnapshot: st.Plan.Manifest(site.FirstSnapshot)}
	counts := map[string]int{}
	for _, rs := range results {
		switch {
		case rs.err != nil:
			counts["cut: "+rs.err.Error()]++
		case rs.Refusal != nil:
			counts[told(rs.Result)]++
		default:
			checkAnswer(t, manifests, rs.query, rs.Result)
			counts[string(rs.Outcome())]++
		}
	}
	return counts
}

func onlyWhole(t *testing.T, counts map[string]int) {
	t.Helper()
	assert.Assert(t, len(counts) == 1 && counts["whole"] > 0, "%v", counts)
}

// TestSilentLinks freezes open connections while new ones work.
func TestSilentLinks(t *testing.T) {
	tests := []struct {
		name     string
		entryVMs int
		frozen   func(name string) bool
	}{
		{"one server", 3, func(name string) bool { return name == "svc00-riga-1" }},
		{"one zone", 3, func(name string) bool { return name[len(name)-1] == '1' }},
		{"all servers", 3, func(string) bool { return true }},
		{"all servers, two connections each", 9, func(string) bool { return true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := site.Gaisma()
			plan.EntryVMs = tt.entryVMs
			inSite(t, plan, func(t *testing.T, st *site.Site) {
				warmUp(t, st)
				sm := startStream(t, st, "find", 100*time.Millisecond)
				for range 3 {
					time.Sleep(2 * time.Second)
					for name, un := range st.Servers {
						if tt.frozen(name) {
							un.Listener.Freeze()
						}
					}
				}
				time.Sleep(2 * time.Second)
				onlyWhole(t, countOutcomes(t, st, sm.end()))
				checkConnections(t, st)
			})
		})
	}
}

// TestLeavingServerGetsNoWork lets a server leave in each way that the platform
// and the server can tell of it.
func TestLeavingServerGetsNoWork(t *testing.T) {
	const noWorkAfter = 3 * time.Second
	tests := []struct {
		name  string
		leave func(t *testing.T, st *site.Site, name string)
	}{
		{"the VM list says so, the server does not", func(_ *testing.T, st *site.Site, name string) {
			st.Store.SetVMs([]product.VM{{Name: name, Leaving: true}})
		}},
		{"the health says so, the VM list does not", func(_ *testing.T, st *site.Site, name string) {
			st.Servers[name].Set(server.Faults{ClaimDrain: true})
		}},
		{"only the answers say so", func(_ *testing.T, st *site.Site, name string) {
			st.Servers[name].Set(server.Faults{Drain: true, HideDrain: true})
		}},
		{"its record says so", func(t *testing.T, st *site.Site, name string) {
			settings := st.Servers[name].Settings
			assert.NilError(t, st.PutServer(t.Context(), settings, true))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inSite(t, site.Gaisma(), func(t *testing.T, st *site.Site) {
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
				onlyWhole(t, countOutcomes(t, st, sm.end()))
			})
		})
	}
}

// TestRollingRestartCutsNothing restarts every entry VM under load while callers
// keep the addresses that they were told, for as long as they may.
func TestRollingRestartCutsNothing(t *testing.T) {
	inSite(t, site.Gaisma(), func(t *testing.T, st *site.Site) {
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
		checkConnections(t, st)
	})
}

// TestCrashingRequest sends a request that crashes servers again and again,
// through all entry VMs, one after the other or all at once.
func TestCrashingRequest(t *testing.T) {
	tests := []struct {
		name     string
		route    string
		together bool
		most     int
	}{
		{"to all shards, one after the other", "find", false, 2},
		{"to all shards, all at once", "find", true, 3},
		{"not idempotent, one after the other", "save", false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inSite(t, site.Gaisma(), func(t *testing.T, st *site.Site) {
				warmUp(t, st)
				allServers(server.Faults{CrashOn: "poison"})(t, st)
				sm := startStream(t, st, "find", 200*time.Millisecond)
				var sends sync.WaitGroup
				for range 10 {
					for at := range st.Configs {
						send := func() {
							client, _ := st.Caller()
							client.Only(st.Configs[at].CallerAddress)
							_, _ = client.Query(t.Context(), st.Plan.Team, tt.route, newID(), []byte(`{"text":"poison"}`), 0)
						}
						if tt.together {
							sends.Go(send)
						} else {
							send()
							time.Sleep(200 * time.Millisecond)
						}
					}
					sends.Wait()
				}
				// Other requests go on after the servers are lost.
				time.Sleep(2 * time.Second)
				var lost []string
				for name, un := range st.Servers {
					if un.Killed() {
						lost = append(lost, name)
					}
				}
				t.Logf("lost %v", lost)
				assert.Assert(t, len(lost) <= tt.most, "%v lost", lost)
				onlyWhole(t, countOutcomes(t, st, sm.end()))
			})
		})
	}
}

// TestPlatformOutage takes the platform away for long, and makes it slow.
func TestPlatformOutage(t *testing.T) {
	inSite(t, site.Gaisma(), func(t *testing.T, st *site.Site) {
		warmUp(t, st)
		sm := startStream(t, st, "find", 400*time.Millisecond)
		st.Store.Set(platform.Faults{Down: true})
		time.Sleep(10 * time.Second)
		callsBefore := st.Store.Calls.Load()
		saves := startStream(t, st, "save", 2*time.Second)
		time.Sleep(2 * time.Minute)
		for _, rs := range saves.end() {
			assert.NilError(t, rs.err)
			assert.Equal(t, told(rs.Result), "unknown platform_down")
		}
		calls := st.Store.Calls.Load() - callsBefore
		// Three entry VMs, at most the 50 reads and 40 writes a second of each.
		assert.Assert(t, calls < 3*90*120, "%d calls", calls)
		t.Logf("%d calls in 2 minutes of outage", calls)
		before := st.Store.Calls.Load()
		st.Store.Set(platform.Faults{})
		time.Sleep(time.Second)
		back := st.Store.Calls.Load() - before
		t.Logf("%d calls in the first second after it", back)
		assert.Assert(t, back < 3*90, "%d calls", back)
		st.Store.Set(platform.Faults{SlowMS: 1500})
		time.Sleep(30 * time.Second)
		onlyWhole(t, countOutcomes(t, st, sm.end()))
		st.Store.Set(platform.Faults{})
		time.Sleep(10 * time.Second)
		client, _ := st.Caller()
		rs, err := client.Query(t.Context(), st.Plan.Team, "save", newID(), []byte(`{"plan":"Jonah"}`), 0)
		assert.NilError(t, err)
		assert.Equal(t, string(rs.Outcome()), string(contract.Whole), "%+v", rs.Refusal)
	})
}
