package machine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

// vm is a live and ready entry VM, with marks: "-" silent, "!" leaving, "0"
// without a configuration, "p" that does not reach the platform.
func vm(name, zone, marks string) EntryVM {
	out := EntryVM{Name: name, Zone: zone, CallerAddress: name + ":1", HeardAt: now, Version: 1}
	for _, mark := range marks {
		switch mark {
		case '-':
			out.HeardAt = now.Add(-time.Minute)
		case '!':
			out.Leaving = true
		case '0':
			out.Version = 0
		case 'p':
			out.PlatformAway = true
		}
	}
	return out
}

func names(vms []EntryVM) string {
	text := ""
	for _, vm := range vms {
		text += vm.Name + " "
	}
	return text
}

func TestPlace(t *testing.T) {
	tests := []struct {
		name string
		vms  []EntryVM
		want string
	}{
		{"own zone", []EntryVM{vm("a1", "a", ""), vm("a2", "a", ""), vm("b1", "b", "")}, "a1 a2 "},
		{"too few in own zone", []EntryVM{vm("a1", "a", ""), vm("a2", "a", "-"), vm("b1", "b", "")}, "a1 b1 "},
		{"stopping ones are not offered", []EntryVM{vm("a1", "a", "!"), vm("a2", "a", "!"), vm("b1", "b", ""), vm("c1", "c", "")}, "b1 c1 "},
		{"none ready", []EntryVM{vm("a1", "a", "!"), vm("b1", "b", "0"), vm("c1", "c", "-")}, "a1 b1 "},
		{"unknown zone", []EntryVM{vm("b1", "b", ""), vm("a1", "x", "")}, "a1 b1 "},
		{"nobody", nil, ""},
	}
	for _, tt := range tests {
		assert.Equal(t, names(Place(now, "a", tt.vms)), tt.want, tt.name)
	}
}

func TestWatchers(t *testing.T) {
	tests := []struct {
		name string
		vms  []EntryVM
		want string
	}{
		{"one a zone", []EntryVM{vm("b2", "b", ""), vm("a2", "a", ""), vm("a1", "a", ""), vm("b1", "b", "")}, "a1 b1 "},
		{"the next takes over", []EntryVM{vm("a1", "a", "-"), vm("a2", "a", ""), vm("b1", "b", "!"), vm("b2", "b", "p"), vm("b3", "b", "")}, "a2 b3 "},
		{"two in a lone zone", []EntryVM{vm("a1", "a", ""), vm("a2", "a", ""), vm("a3", "a", "")}, "a1 a2 "},
		{"only one left", []EntryVM{vm("a1", "a", "")}, "a1 "},
		{"none reaches the platform", []EntryVM{vm("a1", "a", "p"), vm("b1", "b", "p")}, ""},
	}
	for _, tt := range tests {
		assert.Equal(t, names(Watchers(now, tt.vms)), tt.want, tt.name)
	}
}

func TestRejectingServerCostsMore(t *testing.T) {
	steady := &Server{Name: "steady", Slots: 2, State: &ServerState{}}
	sheds := &Server{Name: "sheds", Slots: 2, State: &ServerState{}}
	at := now
	for i := range 40 {
		at = at.Add(50 * time.Millisecond)
		steady.State.Succeeded(at, 8*time.Millisecond, 25)
		if i%5 < 3 {
			sheds.State.Ended(at, time.Millisecond, "shed")
		} else {
			sheds.State.Succeeded(at, 8*time.Millisecond, 25)
		}
	}
	assert.Equal(t, steady.State.MissShare(at), int64(0))
	share := sheds.State.MissShare(at)
	assert.Assert(t, share > 350 && share < 850, "share %d", share)
	assert.Assert(t, sheds.Expected(at, time.Millisecond) > 2*steady.Expected(at, time.Millisecond))
	// What it did fades, so that it is tried again.
	assert.Assert(t, sheds.State.MissShare(at.Add(20*time.Second)) < 30, fmt.Sprint(sheds.State.MissShare(at.Add(20*time.Second))))
}

// TestPlaceThroughLossOfAllLarge plays a zone with few large and many small VMs
// under a steady load, loses all large ones at once and brings them back. A
// caller that kept its own VM would use all of them.
func TestPlaceThroughLossOfAllLarge(t *testing.T) {
	const (
		large, small = 3, 12
		// load is in parts a second, of the zone.
		load   = 2400
		lostAt = 10 * time.Second
		backAt = 30 * time.Second
		end    = 45 * time.Second
	)
	var vms []EntryVM
	for at := range large + small {
		cores, kind := 0.192, "small"
		if at < large {
			cores, kind = 0.8, "large"
		}
		one := vm(fmt.Sprintf("%s-%02d", kind, at), "a", "")
		one.Capacity = CapacityOf(cores, 200)
		vms = append(vms, one)
	}
	for after := time.Duration(0); after < end; after += HeartbeatEvery {
		at := now.Add(after)
		lost := after >= lostAt && after < backAt
		for i := range vms {
			if i >= large || !lost {
				vms[i].HeardAt = at
			}
		}
		offered := Place(at, "a", vms)
		carried, larges := uint64(0), 0
		for i := range vms {
			vms[i].Load = 0
		}
		for _, vm := range offered {
			assert.Assert(t, vm.IsReady(at), "%s: %s is offered", after, vm.Name)
			carried += uint64(vm.Capacity)
			if vm.Capacity > CapacityOf(0.5, 200) {
				larges++
			}
			for i := range vms {
				if vms[i].Name == vm.Name {
					vms[i].Load = uint32(load / len(offered))
				}
			}
		}
		assert.Assert(t, carried >= load, "%s: %d parts a second carried", after, carried)
		switch {
		case !lost:
			assert.Equal(t, larges, large, "%s", after)
			assert.Assert(t, len(offered) <= large+1, "%s: %d VMs keep links to servers", after, len(offered))
		case after > lostAt+SilentPeer:
			assert.Equal(t, larges, 0, "%s", after)
			assert.Assert(t, len(offered) < small, "%s: %d VMs keep links to servers", after, len(offered))
		}
	}
}
