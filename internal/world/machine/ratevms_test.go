package machine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func rateVMsOf(now time.Time, count int) []EntryVM {
	vms := make([]EntryVM, count)
	for i := range vms {
		vms[i] = EntryVM{Name: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprintf("zone-%d", i%3), EntryAddress: fmt.Sprintf("vm-%03d:1", i), Version: 1, LastHeartbeat: now, Capacity: uint32(2000 - i)}
	}
	return vms
}

// TestRatePartsOfPartition guards against two sides of a partition that together grant more
// than the rates, also if a VM left or the sides know VMs that the others don't.
func TestRatePartsOfPartition(t *testing.T) {
	for _, tt := range []struct {
		name  string
		count int
		// side is the side of each VM, by its index.
		side  func(i int) int
		parts []float64
	}{
		{"a zone is cut off", 65, func(i int) int { return min(i%3, 1) }, []float64{1.0 / 3, 2.0 / 3}},
		{"one VM is cut off", 65, func(i int) int { return min(i, 1) }, []float64{0, 1}},
		{"three zones", 30, func(i int) int { return i % 3 }, []float64{1.0 / 3, 1.0 / 3, 1.0 / 3}},
		{"small cluster", 3, func(i int) int { return min(i, 1) }, []float64{1.0 / 3, 2.0 / 3}},
		{"without owners", 65, func(i int) int { return min(i/9, 1) }, []float64{1, 0}},
	} {
		now := time.Unix(1000, 0)
		for side, want := range tt.parts {
			var rv RateVMs
			all := rateVMsOf(now, tt.count)
			whole := rv.Update(now, all, nil)
			assert.Equal(t, whole.Part, 1.0)
			assert.Equal(t, len(whole.Holders), min(tt.count, 9))
			seen := slices.Clone(all)
			later := now.Add(PeerTimeout + time.Second)
			for i := range seen {
				if tt.side(i) == side {
					seen[i].LastHeartbeat = later
				}
			}
			cut := rv.Update(later, seen, nil)
			assert.DeepEqual(t, cut.Holders, whole.Holders)
			assert.Equal(t, cut.Part, want, "%s, side %d", tt.name, side)
		}
	}
}

// TestRateVMsThatLeave guards against rates that fall because a VM stops or starts, and
// against a VM without peers that grants although there are others.
func TestRateVMsThatLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	var rv RateVMs
	vms := rateVMsOf(now, 3)
	peers := []string{"vm-001:1", "vm-002:1"}
	for seen, want := range []float64{0, 0, 0.5, 1} {
		assert.Equal(t, (&RateVMs{}).Update(now, vms[:seen], peers).Part, want)
	}
	assert.Equal(t, (&RateVMs{}).Update(now, vms[:1], nil).Part, 1.0)
	rv.Update(now, vms, nil)
	vms[0].Leaving = true
	left := rv.Update(now, vms, nil)
	assert.Equal(t, left.Part, 1.0)
	assert.DeepEqual(t, left.Owners, []string{"vm-001", "vm-002"})
	assert.Equal(t, len(left.Holders), 3)
	now = now.Add(leftMemory + time.Second)
	for i := range vms {
		vms[i].LastHeartbeat = now
	}
	assert.Equal(t, len(rv.Update(now, vms, nil).Holders), 2)
}

func BenchmarkRateVMs(b *testing.B) {
	for _, count := range []int{65, 141, 344} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			var rv RateVMs
			vms := rateVMsOf(now, count)
			for b.Loop() {
				rv.Update(now, vms, nil)
			}
		})
	}
}

// TestStopsMakeNoVMsSilent guards against VMs that are taken for lost because they get the
// place of one that stops, and of which no heartbeats were passed on before.
func TestStopsMakeNoVMsSilent(t *testing.T) {
	for _, tt := range []struct {
		name string
		// started is set if the process starts after the VM stopped.
		started bool
	}{{"heard before", false}, {"after a start", true}} {
		now := time.Unix(1000, 0)
		vms := rateVMsOf(now, 30)
		rk := &RosterKeeper{Self: RosterVM{vms[0].Name, vms[0].EntryAddress}, StartedAt: now.Add(-time.Minute)}
		rv := RateVMs{Roster: rk}
		var listed []RosterVM
		for _, vm := range vms[:3*listedPerZone] {
			listed = append(listed, RosterVM{vm.Name, vm.EntryAddress})
		}
		rk.Answered(now.Add(-10*time.Second), Roster{Revision: 1, VMs: listed})
		if !tt.started {
			assert.Equal(t, rv.Update(now, vms, nil).Part, 1.0)
		}
		later := now.Add(10 * time.Second)
		for i := range vms[:3*listedPerZone] {
			vms[i].LastHeartbeat = later
		}
		vms[3].Leaving, vms[4].Leaving = true, true
		rp := rv.Update(later, vms, nil)
		assert.Equal(t, len(rp.Silent), 0, tt.name)
		assert.Equal(t, rp.Part, 1.0, tt.name)
		// Those that don't come back are replaced.
		rp = rv.Update(later.Add(restartTime+time.Second), rateVMsOf(later.Add(restartTime+time.Second), 30)[5:], nil)
		assert.Assert(t, slices.Contains(rp.Listed, vms[3*listedPerZone].Name), tt.name)
	}
}
