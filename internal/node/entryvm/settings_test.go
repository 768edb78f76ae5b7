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

// propagationLimit is the time within which an accepted change must be in force
// on all entry VMs.
const propagationLimit = 7 * time.Second

// changeDeadline sets a new deadline for the route find and returns the version
// of the setting.
func changeDeadline(t *testing.T, st *site.Site, deadline string) int64 {
	t.Helper()
	body := "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"" + deadline + "\"\n"
	setting, err := st.PutSetting(t.Context(), time.Now(), contract.RoutePath(st.Plan.Team, "find"), body)
	assert.NilError(t, err)
	return setting.Version
}

// queryEntryVM sends a request through the entry VM with an index.
func queryEntryVM(t *testing.T, st *site.Site, at int) caller.Result {
	t.Helper()
	client, _ := st.Caller()
	client.UseOnly(st.Configs[at].CallerAddress)
	rs, err := client.Query(t.Context(), st.Plan.Team, "find", newID(), []byte(`{"text":"in force"}`), 0)
	assert.NilError(t, err)
	return rs
}

// setZonePartitioned partitions one zone from all others, or reconnects it.
func setZonePartitioned(st *site.Site, zone int, partitioned bool) {
	nw := st.Transport.(*site.MemoryTransport).Network
	for at, other := range st.Plan.Zones {
		if at != zone {
			nw.SetPartitioned(st.Plan.Zones[zone], other, partitioned)
		}
	}
}

// TestSettingChangeAppliesInTimeUnderFaults guards against requests answered by
// outdated settings: 7 s after a change is accepted, every entry VM has it in
// force or refuses requests, whatever is broken meanwhile.
func TestSettingChangeAppliesInTimeUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		before func(t *testing.T, st *site.Site)
		// refuses is the index of the entry VM that must refuse; -1 if none.
		refuses int
	}{
		{"no fault", func(*testing.T, *site.Site) {}, -1},
		{"the platform is slow", func(_ *testing.T, st *site.Site) {
			st.Store.SetFaults(platform.Faults{SlowMS: 800})
		}, -1},
		{"the lists are stale", func(_ *testing.T, st *site.Site) {
			st.Store.SetFaults(platform.Faults{StaleList: true})
		}, -1},
		{"an entry VM reaches only one peer", func(_ *testing.T, st *site.Site) {
			// The platform is in the first zone.
			st.Transport.(*site.MemoryTransport).Network.SetPartitioned(st.Plan.Zones[0], st.Plan.Zones[1], true)
		}, -1},
		{"an entry VM is isolated", func(_ *testing.T, st *site.Site) { setZonePartitioned(st, 1, true) }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
				tt.before(t, st)
				version := changeDeadline(t, st, "333ms")
				time.Sleep(propagationLimit)
				for at := range st.Configs {
					rs := queryEntryVM(t, st, at)
					if at == tt.refuses {
						assert.Equal(t, outcomeAndCode(rs), "not_run isolated")
						continue
					}
					assert.Assert(t, rs.Answer != nil, "entry VM %d: %+v", at, rs.Refusal)
					assert.Equal(t, rs.Answer.Settings.Version, version, "entry VM %d", at)
				}
				setZonePartitioned(st, 1, false)
				st.Store.SetFaults(platform.Faults{})
				time.Sleep(propagationLimit)
				for at := range st.Configs {
					rs := queryEntryVM(t, st, at)
					assert.Assert(t, rs.Answer != nil, "entry VM %d: %+v", at, rs.Refusal)
					assert.Equal(t, rs.Answer.Settings.Version, version, "entry VM %d", at)
				}
			})
		})
	}
}

// TestSettingsNeverRevert guards against an older setting coming back into force:
// it returns stale lists, compacts the watch history, and interrupts the platform
// and the network, and checks that the version in force never falls.
func TestSettingsNeverRevert(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		st.Store.SetFaults(platform.Faults{StaleList: true})
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
			version = changeDeadline(t, st, []string{"301ms", "302ms", "303ms"}[round%3])
			time.Sleep(500 * time.Millisecond)
			check()
			// Compaction ends the watches, so the processes list again and get
			// the stale list.
			st.Store.SetFaults(platform.Faults{StaleList: true, Compacted: true})
			time.Sleep(1500 * time.Millisecond)
			check()
			st.Store.SetFaults(platform.Faults{StaleList: true, Down: true})
			time.Sleep(700 * time.Millisecond)
			check()
			st.Store.SetFaults(platform.Faults{StaleList: true})
			setZonePartitioned(st, 1, round%2 == 0)
			time.Sleep(time.Second)
			check()
		}
		setZonePartitioned(st, 1, false)
		time.Sleep(propagationLimit)
		check()
		for at := range st.Configs {
			assert.Equal(t, seen[at], version)
		}
	})
}

// TestStartWithPlatformDown checks that an entry VM that starts while the
// platform is down gets the current settings from its peers.
func TestStartWithPlatformDown(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		version := changeDeadline(t, st, "333ms")
		time.Sleep(time.Second)
		st.Store.SetFaults(platform.Faults{Down: true})
		st.StopEntryVM(2)
		assert.NilError(t, st.StartEntryVM(time.Now(), st.Configs[2]))
		time.Sleep(propagationLimit)
		rs := queryEntryVM(t, st, 2)
		assert.Assert(t, rs.Answer != nil, "%+v", rs.Refusal)
		assert.Equal(t, rs.Answer.Settings.Version, version)
	})
}

// TestServeMarkedRouteAnswersUnconfirmed checks that a route with serve_marked is
// answered while its entry VM is isolated, and that the receipt says so.
func TestServeMarkedRouteAnswersUnconfirmed(t *testing.T) {
	plan := site.GaismaPlan()
	plan.Routes["find"] += "when_unconfirmed = \"serve_marked\"\n"
	withSite(t, plan, func(t *testing.T, st *site.Site) {
		setZonePartitioned(st, 1, true)
		time.Sleep(10 * time.Second)
		rs := queryEntryVM(t, st, 1)
		assert.Assert(t, rs.Answer != nil, "%+v", rs.Refusal)
		rc, err := rs.Receipt()
		assert.NilError(t, err)
		assert.Assert(t, rc.UnconfirmedSince != nil)
	})
}

// TestAddedRouteIsNotDeniedByIsolatedEntryVM guards against the answer that there is no such
// route, from an entry VM that may not know of it.
func TestAddedRouteIsNotDeniedByIsolatedEntryVM(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		setZonePartitioned(st, 1, true)
		time.Sleep(propagationLimit)
		body := "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"333ms\"\n"
		_, err := st.PutSetting(t.Context(), time.Now(), contract.RoutePath(st.Plan.Team, "added"), body)
		assert.NilError(t, err)
		client, _ := st.Caller()
		client.UseOnly(st.Configs[1].CallerAddress)
		rs, err := client.Query(t.Context(), st.Plan.Team, "added", newID(), []byte(`{"text":"added"}`), 0)
		assert.NilError(t, err)
		assert.Equal(t, outcomeAndCode(rs), "not_run isolated")
	})
}
