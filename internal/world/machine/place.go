package machine

import (
	"slices"
	"strings"
	"time"
)

// enoughPlaces is the number of entry VMs in a caller's own zone from which it
// is sent to no other zone: with fewer, the loss of one is felt.
const enoughPlaces = 2

// Place returns the entry VMs that a caller in a zone may use, ordered by name:
// the ready ones of its zone, and of all zones where those are too few. When
// none is ready, live ones that leave stand in.
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
	chosen := near
	if len(chosen) < enoughPlaces {
		chosen = ready
	}
	if len(chosen) == 0 {
		chosen = live
	}
	slices.SortFunc(chosen, func(a, b EntryVM) int { return strings.Compare(a.Name, b.Name) })
	return chosen
}
