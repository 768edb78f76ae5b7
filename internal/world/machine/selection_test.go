package machine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

// newVM returns a live and ready entry VM. Flags change it: with "-" it sent no
// heartbeat for a minute, with "!" it is leaving, with "0" it has no settings, with
// "p" it does not reach the platform, with "k" it refuses keys.
func newVM(name, zone, flags string) EntryVM {
	vm := EntryVM{Name: name, Zone: zone, CallerAddress: name + ":1", LastHeartbeat: now, Version: 1}
	for _, flag := range flags {
		switch flag {
		case '-':
			vm.LastHeartbeat = now.Add(-time.Minute)
		case '!':
			vm.Leaving = true
		case '0':
			vm.Version = 0
		case 'p':
			vm.PlatformUnreachable = true
		case 'k':
			vm.KeysStale = true
		}
	}
	return vm
}

func names(vms []EntryVM) string {
	text := ""
	for _, vm := range vms {
		text += vm.Name + " "
	}
	return text
}

func TestSelectEntryVMs(t *testing.T) {
	tests := []struct {
		name string
		vms  []EntryVM
		want string
	}{
		{"own zone", []EntryVM{newVM("a1", "a", ""), newVM("a2", "a", ""), newVM("b1", "b", "")}, "a1 a2 "},
		{"too few ready in own zone", []EntryVM{newVM("a1", "a", ""), newVM("a2", "a", "-"), newVM("b1", "b", "")}, "a1 b1 "},
		{"leaving VMs are not selected", []EntryVM{newVM("a1", "a", "!"), newVM("a2", "a", "!"), newVM("b1", "b", ""), newVM("c1", "c", "")}, "b1 c1 "},
		{"live VMs if none is ready", []EntryVM{newVM("a1", "a", "!"), newVM("b1", "b", "0"), newVM("c1", "c", "-")}, "a1 b1 "},
		{"VMs that refuse keys are not selected", []EntryVM{newVM("a1", "a", "k"), newVM("a2", "a", ""), newVM("b1", "b", "")}, "a2 b1 "},
		{"all refuse keys", []EntryVM{newVM("a1", "a", "k"), newVM("b1", "b", "k"), newVM("c1", "c", "-")}, "a1 b1 "},
		{"no VM in own zone", []EntryVM{newVM("b1", "b", ""), newVM("a1", "x", "")}, "a1 b1 "},
		{"no VMs", nil, ""},
	}
	for _, tt := range tests {
		assert.Equal(t, names(SelectEntryVMs(now, "a", tt.vms)), tt.want, tt.name)
	}
}

func TestWatchers(t *testing.T) {
	tests := []struct {
		name string
		vms  []EntryVM
		want string
	}{
		{"one in each zone", []EntryVM{newVM("b2", "b", ""), newVM("a2", "a", ""), newVM("a1", "a", ""), newVM("b1", "b", "")}, "a1 b1 "},
		{"next by name if the first is not eligible", []EntryVM{newVM("a1", "a", "-"), newVM("a2", "a", ""), newVM("b1", "b", "!"), newVM("b2", "b", "p"), newVM("b3", "b", "")}, "a2 b3 "},
		{"two in a single zone", []EntryVM{newVM("a1", "a", ""), newVM("a2", "a", ""), newVM("a3", "a", "")}, "a1 a2 "},
		{"a single VM", []EntryVM{newVM("a1", "a", "")}, "a1 "},
		{"none reaches the platform", []EntryVM{newVM("a1", "a", "p"), newVM("b1", "b", "p")}, ""},
	}
	for _, tt := range tests {
		assert.Equal(t, names(Watchers(now, tt.vms)), tt.want, tt.name)
	}
}

func TestRejectionsRaiseExpectedLatency(t *testing.T) {
	steady := &Server{Name: "steady", Slots: 2, State: &ServerState{}}
	shedding := &Server{Name: "shedding", Slots: 2, State: &ServerState{}}
	at := now
	for i := range 40 {
		at = at.Add(50 * time.Millisecond)
		steady.State.RecordAnswer(at, 8*time.Millisecond, 25)
		if i%5 < 3 {
			shedding.State.RecordFailure(at, time.Millisecond, "shed")
		} else {
			shedding.State.RecordAnswer(at, 8*time.Millisecond, 25)
		}
	}
	assert.Equal(t, steady.State.FailureShare(at), int64(0))
	share := shedding.State.FailureShare(at)
	assert.Assert(t, share > 350 && share < 850, "share %d", share)
	assert.Assert(t, shedding.ExpectedLatency(at, time.Millisecond) > 2*steady.ExpectedLatency(at, time.Millisecond))
	// The failure share decays, so that the server is used again.
	assert.Assert(t, shedding.State.FailureShare(at.Add(20*time.Second)) < 30, fmt.Sprint(shedding.State.FailureShare(at.Add(20*time.Second))))
}

// TestSelectEntryVMsWhenAllLargeVMsAreLost simulates a zone with few large and
// many small VMs under constant load, in which all large ones fail at once and
// come back later. At each heartbeat the selection must have the capacity for
// the load, and must not use all small VMs.
func TestSelectEntryVMsWhenAllLargeVMsAreLost(t *testing.T) {
	const (
		large, small = 3, 12
		// load is the load of the zone in parts a second.
		load   = 2400
		lostAt = 10 * time.Second
		backAt = 30 * time.Second
		end    = 45 * time.Second
	)
	var vms []EntryVM
	for i := range large + small {
		cores, kind := 0.192, "small"
		if i < large {
			cores, kind = 0.8, "large"
		}
		vm := newVM(fmt.Sprintf("%s-%02d", kind, i), "a", "")
		vm.Capacity = PartCapacity(cores, 200)
		vms = append(vms, vm)
	}
	for after := time.Duration(0); after < end; after += HeartbeatInterval {
		at := now.Add(after)
		lost := after >= lostAt && after < backAt
		for i := range vms {
			if i >= large || !lost {
				vms[i].LastHeartbeat = at
			}
		}
		selected := SelectEntryVMs(at, "a", vms)
		capacity, largeCount := uint64(0), 0
		for i := range vms {
			vms[i].Load = 0
		}
		for _, vm := range selected {
			assert.Assert(t, vm.IsReady(at), "%s: %s is selected", after, vm.Name)
			capacity += uint64(vm.Capacity)
			if vm.Capacity > PartCapacity(0.5, 200) {
				largeCount++
			}
			for i := range vms {
				if vms[i].Name == vm.Name {
					vms[i].Load = uint32(load / len(selected))
				}
			}
		}
		assert.Assert(t, capacity >= load, "%s: capacity of %d parts a second", after, capacity)
		switch {
		case !lost:
			assert.Equal(t, largeCount, large, "%s", after)
			assert.Assert(t, len(selected) <= large+1, "%s: %d VMs are selected", after, len(selected))
		case after > lostAt+PeerTimeout:
			assert.Equal(t, largeCount, 0, "%s", after)
			assert.Assert(t, len(selected) < small, "%s: %d VMs are selected", after, len(selected))
		}
	}
}

// TestLargestVMsServePeers guards against small VMs in the roles in which the others of a
// zone pull changes from a VM: with names alone, "vm-10" comes before "vm-2", and its link
// holds up each change behind a large configuration.
func TestLargestVMsServePeers(t *testing.T) {
	var vms []EntryVM
	for i := range 12 {
		vm := EntryVM{Name: fmt.Sprintf("vm-%d", i+1), Zone: "zone-a", Version: 1, Capacity: 500, LastHeartbeat: now}
		if i == 1 || i == 2 {
			vm.Capacity = 3000
		}
		vms = append(vms, vm)
	}
	assert.Equal(t, names(Hubs(now, "zone-a", vms)), "vm-2 vm-3 ")
	assert.Equal(t, names(Watchers(now, vms)), "vm-2 vm-3 ")
	vms[1].Leaving = true
	assert.Equal(t, names(Hubs(now, "zone-a", vms)), "vm-3 vm-1 ")
}

// TestListedVMsAreRepresentatives guards against VMs that the roster lists and of which other
// zones hear no more once larger ones are back: they would be taken for lost.
func TestListedVMsAreRepresentatives(t *testing.T) {
	now := time.Unix(1000, 0)
	vms := rateVMsOf(now, 30)
	var names []string
	for _, vm := range Representatives(now, "zone-0", vms, []string{vms[3].EntryAddress, vms[28].EntryAddress, vms[27].EntryAddress}) {
		names = append(names, vm.Name)
	}
	assert.DeepEqual(t, names, []string{"vm-000", "vm-003", "vm-006", "vm-009", "vm-012", "vm-027"})
}
