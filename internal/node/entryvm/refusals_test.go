package entryvm_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/caller"
	"daisystage.example/daisystage/internal/standin/platform"
	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/standin/site"
	"daisystage.example/daisystage/internal/world/contract"
)

// countRuns returns how often parts of a request ran, on all servers together.
func countRuns(st *site.Site, id uuid.UUID) int {
	total := 0
	for _, sv := range st.Servers {
		for key, count := range sv.Runs() {
			if strings.HasPrefix(key, id.String()) {
				total += count
			}
		}
	}
	return total
}

// setAllServerFaults returns a setup step that sets faults on all servers.
func setAllServerFaults(faults server.Faults) func(*testing.T, *site.Site) {
	return func(_ *testing.T, st *site.Site) {
		for _, sv := range st.Servers {
			sv.SetFaults(faults)
		}
	}
}

// keepRequestsInFlight starts a number of concurrent requests, and lets the test
// wait for them at its end.
func keepRequestsInFlight(t *testing.T, st *site.Site, route string, count int) {
	t.Helper()
	client, _ := st.Caller()
	var sends sync.WaitGroup
	for range count {
		sends.Go(func() {
			_, _ = client.Query(t.Context(), st.Plan.Team, route, newID(), []byte(`{"text":"occupied"}`), 0)
		})
	}
	t.Cleanup(sends.Wait)
	time.Sleep(50 * time.Millisecond)
}

// setTeamLimits returns a setup step that sets the limits of the plan's team.
func setTeamLimits(body string) func(*testing.T, *site.Site) {
	return func(t *testing.T, st *site.Site) {
		_, err := st.PutSetting(t.Context(), time.Now(), contract.LimitsPath(st.Plan.Team), body)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
	}
}

// TestNotRunRequestsNeverExecute guards against requests that run although the
// caller was told not_run: it provokes each kind of refusal, and counts the runs
// at the servers some time later.
func TestNotRunRequestsNeverExecute(t *testing.T) {
	platformDown := func(_ *testing.T, st *site.Site) { st.Store.SetFaults(platform.Faults{Down: true}) }
	tests := []struct {
		name     string
		entryVMs int
		before   func(*testing.T, *site.Site)
		deadline time.Duration
		// find and save are the outcome and code of an idempotent request and of
		// one that is not; empty if it is answered.
		find, save string
	}{
		{
			name: "the team's queue is full",
			before: func(t *testing.T, st *site.Site) {
				setTeamLimits("max_in_flight = 1\nmax_queued = 0\n")(t, st)
				setAllServerFaults(server.Faults{Slowdown: 50})(t, st)
				keepRequestsInFlight(t, st, "find", 3)
			},
			find: "not_run queue_full",
			// A collection has one gate for all its routes, so the team's limit
			// applies to both.
			save: "not_run queue_full",
		},
		{
			name: "the deadline is too short", deadline: time.Millisecond,
			find: "not_run deadline_hopeless", save: "not_run deadline_hopeless",
		},
		{
			name: "the deadline passes in the queue", deadline: 100 * time.Millisecond,
			before: func(t *testing.T, st *site.Site) {
				setTeamLimits("max_in_flight = 1\nmax_queued = 10\n")(t, st)
				setAllServerFaults(server.Faults{Slowdown: 50})(t, st)
				keepRequestsInFlight(t, st, "find", 3)
			},
			find: "not_run deadline_hopeless", save: "not_run deadline_hopeless",
		},
		{
			name: "all servers shed requests", before: setAllServerFaults(server.Faults{Shed: true}),
			find: "not_run no_server", save: "not_run server_refused",
		},
		{
			name: "all servers drain", before: setAllServerFaults(server.Faults{Drain: true}),
			find: "not_run no_server", save: "not_run server_refused",
		},
		{
			name: "no server listens",
			before: func(_ *testing.T, st *site.Site) {
				for _, sv := range st.Servers {
					sv.Kill()
				}
				// Broken connections are detected at their next use.
				time.Sleep(time.Minute)
			},
			find: "not_run no_server", save: "not_run server_refused",
		},
		{
			name: "all servers lost the snapshot", before: setAllServerFaults(server.Faults{LoseSnapshot: site.FirstSnapshot}),
			find: "not_run no_server", save: "not_run server_refused",
		},
		{
			name: "the platform has just gone down", before: platformDown,
			find: "", save: "unknown platform_down",
		},
		{
			name: "the platform has been down for long", before: func(t *testing.T, st *site.Site) {
				platformDown(t, st)
				time.Sleep(time.Minute)
			},
			find: "", save: "unknown platform_down",
		},
		{
			name: "the only entry VM is cut off from the platform", entryVMs: 1,
			before: func(t *testing.T, st *site.Site) {
				platformDown(t, st)
				time.Sleep(10 * time.Second)
			},
			find: "not_run isolated", save: "unknown platform_down",
		},
		{
			name: "the request was quarantined",
			before: func(_ *testing.T, st *site.Site) {
				now := time.Now()
				for at := range st.Configs {
					ps := st.EntryVM(at)
					for _, route := range []string{"find", "save"} {
						fingerprint := contract.Fingerprint([]byte(`{"text":"refused"}`), contract.RoutePath(st.Plan.Team, route))
						for generation, server := range []string{"one", "two"} {
							ps.Quarantine.RecordCrash(now, fingerprint, contract.Crash{CrashKey: contract.CrashKey{Server: server}, Generation: generation + 1})
						}
					}
				}
			},
			find: "not_run quarantined", save: "not_run quarantined",
		},
		{
			name: "servers crash after receiving the request", before: setAllServerFaults(server.Faults{CrashOn: "refused"}),
			find: "unknown no_answer", save: "unknown no_answer",
		},
		{
			name: "servers never answer", before: setAllServerFaults(server.Faults{Slowdown: 1e6}),
			find: "unknown no_answer", save: "unknown no_answer",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := site.GaismaPlan()
			if tt.entryVMs > 0 {
				plan.EntryVMs = tt.entryVMs
			}
			withSite(t, plan, func(t *testing.T, st *site.Site) {
				if tt.before != nil {
					tt.before(t, st)
				}
				client, _ := st.Caller()
				client.UseOnly(st.Configs[0].CallerAddress)
				var refused []uuid.UUID
				for route, want := range map[string]string{"find": tt.find, "save": tt.save} {
					id := newID()
					rs, err := client.Query(t.Context(), plan.Team, route, id, []byte(`{"text":"refused"}`), tt.deadline)
					assert.NilError(t, err)
					assert.Equal(t, outcomeAndCode(rs), want, "%s: %+v", route, rs.Refusal)
					if rs.Outcome() == contract.NotRun {
						refused = append(refused, id)
					}
				}
				time.Sleep(10 * time.Second)
				for _, id := range refused {
					assert.Equal(t, countRuns(st, id), 0)
				}
			})
		})
	}
}

// outcomeAndCode returns the outcome and code of a refusal, separated by a space;
// empty for an answer.
func outcomeAndCode(rs caller.Result) string {
	if rs.Refusal == nil {
		return ""
	}
	return string(rs.Refusal.Outcome) + " " + rs.Refusal.Code
}

// TestRetryOfOpenRequestIsUnknown guards against not_run for a request that may
// have run: it resends a request whose first attempt has no known outcome, in
// each state in which a new request would be refused as not_run.
func TestRetryOfOpenRequestIsUnknown(t *testing.T) {
	tests := []struct {
		name     string
		before   func(*testing.T, *site.Site)
		deadline time.Duration
	}{
		{"no other fault", func(*testing.T, *site.Site) {}, 0},
		{"the deadline is too short", func(*testing.T, *site.Site) {}, time.Millisecond},
		{"the team's queue is full", func(t *testing.T, st *site.Site) {
			setTeamLimits("max_in_flight = 1\nmax_queued = 0\n")(t, st)
			keepRequestsInFlight(t, st, "find", 3)
		}, 0},
		{"the platform is down", func(_ *testing.T, st *site.Site) {
			st.Store.SetFaults(platform.Faults{Down: true})
		}, 0},
		{"all servers shed requests", setAllServerFaults(server.Faults{Shed: true}), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
				setAllServerFaults(server.Faults{Slowdown: 1e6})(t, st)
				client, _ := st.Caller()
				id := newID()
				body := []byte(`{"plan":"Jonah"}`)
				first, err := client.Query(t.Context(), st.Plan.Team, "save", id, body, 200*time.Millisecond)
				assert.NilError(t, err)
				assert.Equal(t, outcomeAndCode(first), "unknown no_answer")
				tt.before(t, st)
				again, err := client.Query(t.Context(), st.Plan.Team, "save", id, body, tt.deadline)
				assert.NilError(t, err)
				assert.Equal(t, string(again.Outcome()), "unknown", "%+v", again.Refusal)
				assert.Equal(t, countRuns(st, id), 1)
			})
		})
	}
}
