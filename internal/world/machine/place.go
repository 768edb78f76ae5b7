package machine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// partCost is the processor time of one part on a whole core, and partBytes
	// what it moves over the VM's link: the slopes of processor time and bytes
	// over parts in docs/MEASUREMENTS.md.
	partCost  = 150 * time.Microsecond
	partBytes = 1500
	// bitsPerByte turns the speed of links into bytes.
	bitsPerByte = 8
	// headroom is the number of times that the load of a zone may grow before
	// its entry VMs are full: callers keep an answer for seconds, and learn of
	// others only then.
	headroom = 4
	// fewestPlaces is the number of entry VMs that a zone's callers are spread
	// over at least, so that the loss of one is felt by a part of them.
	fewestPlaces = 3
	// enoughPlaces is the number of ready entry VMs in a zone from which its
	// callers are sent to no other zone.
	enoughPlaces = 2
)

// CapacityOf returns the number of parts a second that a VM can send.
func CapacityOf(cores, linkMbps float64) uint32 {
	bySpeed := cores * float64(time.Second/partCost)
	if linkMbps <= 0 {
		return uint32(bySpeed)
	}
	byLink := linkMbps * 1e6 / bitsPerByte / partBytes
	return uint32(min(bySpeed, byLink))
}

// Place returns the entry VMs that a caller in a zone may use: of its zone the
// largest ones that carry the load of the zone with room to grow, and at least
// some; of all zones where it has too few. Few entry VMs that are used much keep
// their links to servers and know them well. When none is ready, live ones that
// leave stand in.
func Place(now time.Time, from string, vms []EntryVM) []EntryVM {
	var near, ready, live []EntryVM
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
			near = append(near, vm)
		}
	}
	switch {
	case len(near) >= enoughPlaces:
		return largest(near)
	case len(ready) > 0:
		return largest(ready)
	}
	slices.SortFunc(live, func(a, b EntryVM) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// largest returns the largest VMs that carry the load of all with headroom.
func largest(vms []EntryVM) []EntryVM {
	needed := uint64(0)
	for _, vm := range vms {
		needed += uint64(vm.Load) * headroom
	}
	slices.SortFunc(vms, func(a, b EntryVM) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(a.Name, b.Name))
	})
	carried := uint64(0)
	for i, vm := range vms {
		if carried >= needed && i >= fewestPlaces {
			return vms[:i]
		}
		carried += uint64(vm.Capacity)
	}
	return vms
}

// Carriers returns the names of all entry VMs that callers of any zone are sent
// to.
func Carriers(now time.Time, vms []EntryVM) map[string]bool {
	carriers := map[string]bool{}
	zones := map[string]bool{}
	for _, vm := range vms {
		zones[vm.Zone] = true
	}
	for zone := range zones {
		for _, vm := range Place(now, zone, vms) {
			carriers[vm.Name] = true
		}
	}
	return carriers
}
