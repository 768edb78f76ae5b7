package entryvm_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/caller"
	"daisystage.example/daisystage/internal/standin/platform"
	"daisystage.example/daisystage/internal/standin/site"
	"daisystage.example/daisystage/internal/world/contract"
)

// inForce is how soon an accepted change must be in force everywhere.
const inForce = 7 * time.Second

// change puts a new deadline for the route find and returns its version.
func change(t *testing.T, st *site.Site, deadline string) int64 {
	t.Helper()
	body := "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"" + deadline + "\"\n"
	setting, err := st.PutSetting(t.Context(), time.Now(), contract.RoutePath(st.Plan.Team, "find"), body)
	assert.NilError(t, err)
	return setting.Version
}

// askAt sends a request through one entry VM.
func askAt(t *testing.T, st *site.Site, at int) caller.Result {
	t.Helper()
	client, _ := st.Caller()
	client.Only(st.Configs[at].CallerAddress)
	rs, err := client.Query(t.Context(), st.Plan.Team, "find", newID(), []byte(`{"text":"in force"}`), 0)
	assert.NilError(t, err)
	return rs
}

func cutZone(st *site.Site, zone int, apart bool) {
	nw := st.Places.(*site.Memory).Network
	for at, other := range st.Plan.Zones {
		if at != zone {
			nw.Cut(st.Plan.Zones[zone], other, apart)
		}
	}
}

// TestChangeInForceUnderFaults accepts a change in each situation and looks at
// every entry VM after 7 s: it has the change in force, or it refuses.
func TestChangeInForceUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		before func(t *testing.T, st *site.Site)
		// refuses is the index of the entry VM that may refuse; -1 is none.
		refuses int
	}{
		{"nothing is wrong", func(*testing.T, *site.Site) {}, -1},
		{"the platform is slow", func(_ *testing.T, st *site.Site) {
			st.Store.Set(platform.Faults{SlowMS: 800})
		}, -1},
		{"the lists are stale", func(_ *testing.T, st *site.Site) {
			st.Store.Set(platform.Faults{StaleList: true})
		}, -1},
		{"an entry VM reaches only a peer", func(_ *testing.T, st *site.Site) {
			// The platform stands in the first zone.
			st.Places.(*site.Memory).Network.Cut(st.Plan.Zones[0], st.Plan.Zones[1], true)
		}, -1},
		{"an entry VM is cut off", func(_ *testing.T, st *site.Site) { cutZone(st, 1, true) }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inSite(t, site.Gaisma(), func(t *testing.T, st *site.Site) {
				tt.before(t, st)
				version := change(t, st, "333ms")
				time.Sleep(inForce)
				for at := range st.Configs {
					rs := askAt(t, st, at)
					if at == tt.refuses {
						assert.Equal(t, told(rs), "not_run isolated")
						continue
					}
					assert.Assert(t, rs.Answer != nil, "entry VM %d: %+v", at, rs.Refusal)
					assert.Equal(t, rs.Answer.Settings.Version, version, "entry VM %d", at)
				}
				cutZone(st, 1, false)
				st.Store.Set(platform.Faults{})
				time.Sleep(inForce)
				for at := range st.Configs {
					rs := askAt(t, st, at)
					assert.Assert(t, rs.Answer != nil, "entry VM %d: %+v", at, rs.Refusal)
					assert.Equal(t, rs.Answer.Settings.Version, version, "entry VM %d", at)
				}
			})
		})
	}
}

// TestNeverReverts offers old state in each way and watches the version in
// force.
func TestNeverReverts(t *testing.T) {
	inSite(t, site.Gaisma(), func(t *testing.T, st *site.Site) {
		st.Store.Set(platform.Faults{StaleList: true})
		var version int64
		seen := make([]int64, len(st.Configs))
		check := func() {
			for at := range st.Configs {
				setting, ok := st.EntryVM(at).Views.Load().Settings.Get(contract.RoutePath(st.Plan.Team, "find"))
				assert.Assert(t, ok)
				assert.Assert(t, setting.Version >= seen[at], "entry VM %d went from %d to %d", at, seen[at], setting.Version)
				seen[at] = setting.Version
			}
		}
		for round := range 12 {
			version = change(t, st, []string{"301ms", "302ms", "303ms"}[round%3])
			time.Sleep(500 * time.Millisecond)
			check()
			// A lost watch makes the process list again, from the stale list.
			st.Store.Set(platform.Faults{StaleList: true, Compacted: true})
			time.Sleep(1500 * time.Millisecond)
			check()
			st.Store.Set(platform.Faults{StaleList: true, Down: true})
			time.Sleep(700 * time.Millisecond)
			check()
			st.Store.Set(platform.Faults{StaleList: true})
			cutZone(st, 1, round%2 == 0)
			time.Sleep(time.Second)
			check()
		}
		cutZone(st, 1, false)
		time.Sleep(inForce)
		check()
		for at := range st.Configs {
			assert.Equal(t, seen[at], version)
		}
	})
}

// TestFreshStartWithPlatformDown starts an entry VM while the platform is down.
func TestFreshStartWithPlatformDown(t *testing.T) {
	inSite(t, site.Gaisma(), func(t *testing.T, st *site.Site) {
		version := change(t, st, "333ms")
		time.Sleep(time.Second)
		st.Store.Set(platform.Faults{Down: true})
		st.StopEntryVM(2)
		assert.NilError(t, st.StartEntryVM(time.Now(), st.Configs[2]))
		time.Sleep(inForce)
		rs := askAt(t, st, 2)
		assert.Assert(t, rs.Answer != nil, "%+v", rs.Refusal)
		assert.Equal(t, rs.Answer.Settings.Version, version)
	})
}

// TestServeMarked lets a route go on while its entry VM is cut off.
func TestServeMarked(t *testing.T) {
	plan := site.Gaisma()
	plan.Routes["find"] += "when_unconfirmed = \"serve_marked\"\n"
	inSite(t, plan, func(t *testing.T, st *site.Site) {
		cutZone(st, 1, true)
		time.Sleep(10 * time.Second)
		rs := askAt(t, st, 1)
		assert.Assert(t, rs.Answer != nil, "%+v", rs.Refusal)
		rc, err := rs.Receipt()
		assert.NilError(t, err)
		assert.Assert(t, rc.UnconfirmedSince != nil)
	})
}
