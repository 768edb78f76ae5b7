package machine

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// partCPUTime is the CPU time that one part takes on a full core, and
	// partBytes the bytes that it moves over the VM's network link: the slopes of
	// CPU time and bytes over the number of parts in docs/MEASUREMENTS.md.
	partCPUTime = 150 * time.Microsecond
	partBytes   = 1500
	bitsPerByte = 8
	// headroom is the factor by which the load of a zone may grow before the
	// selected entry VMs are at capacity: callers keep the list of entry VMs for
	// seconds and learn of additional ones only then.
	headroom = 4
	// minSelected is the least number of entry VMs over which the callers of a
	// zone are spread, so that the loss of one affects only some of them.
	minSelected = 3
	// minReadyInZone is the number of ready entry VMs in a zone from which on its
	// callers use no other zone.
	minReadyInZone = 2
)

// PartCapacity returns the number of parts a second that a VM can send, from
// its CPU cores and the bandwidth of its network link in Mbit/s. A bandwidth of
// 0 is unknown and does not limit the result.
func PartCapacity(cores, linkMbps float64) uint32 {
	capacity := cores * float64(time.Second/partCPUTime)
	if linkMbps > 0 {
		capacity = min(capacity, linkMbps*1e6/bitsPerByte/partBytes)
	}
	return uint32(min(max(capacity, 0), math.MaxUint32))
}

// SelectEntryVMs returns the entry VMs that a caller in a zone may use: the
// largest ready ones in the zone, as many as the zone's load with headroom needs,
// and at least minSelected. If fewer than minReadyInZone are ready in the zone,
// they are selected from all zones. If no VM is ready, all live ones are
// returned.
//
// The selection is kept small because an entry VM with much traffic keeps its
// connections to servers open and its latency estimates current.
func SelectEntryVMs(now time.Time, from string, vms []EntryVM) []EntryVM {
	var inZone, ready, live []EntryVM
	for _, vm := range vms {
		if !vm.IsLive(now) {
			continue
		}
		live = append(live, vm)
		if !vm.IsReady(now) {
			continue
		}
		ready = append(ready, vm)
		if vm.Zone == from {
			inZone = append(inZone, vm)
		}
	}
	switch {
	case len(inZone) >= minReadyInZone:
		return selectLargest(inZone)
	case len(ready) > 0:
		return selectLargest(ready)
	}
	slices.SortFunc(live, func(a, b EntryVM) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// selectLargest sorts vms by size and returns the largest whose total capacity covers the load of
// all vms with headroom, at least minSelected if there are as many.
func selectLargest(vms []EntryVM) []EntryVM {
	needed := uint64(0)
	for _, vm := range vms {
		needed += uint64(vm.Load) * headroom
	}
	slices.SortFunc(vms, compareSize)
	capacity := uint64(0)
	for i, vm := range vms {
		if capacity >= needed && i >= minSelected {
			return vms[:i]
		}
		capacity += uint64(vm.Capacity)
	}
	return vms
}

// compareSize orders entry VMs by their capacity, the largest first, and by name.
func compareSize(a, b EntryVM) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(a.Name, b.Name))
}

// SelectedNames returns the names of the entry VMs that SelectEntryVMs returns for
// at least one zone.
func SelectedNames(now time.Time, vms []EntryVM) map[string]bool {
	selected := map[string]bool{}
	zones := map[string]bool{}
	for _, vm := range vms {
		zones[vm.Zone] = true
	}
	for zone := range zones {
		for _, vm := range SelectEntryVMs(now, zone, vms) {
			selected[vm.Name] = true
		}
	}
	return selected
}
