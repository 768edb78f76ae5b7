package machine

import (
	"slices"
	"time"
)

const (
	// hubsPerZone is the number of hubs of a zone, so that the loss of one does not
	// interrupt the membership.
	hubsPerZone = 2
	// spareRepresentatives is the number of VMs that a zone offers beyond those that
	// its load needs, so that a lost one is replaced without waiting for news.
	spareRepresentatives = 2
)

// Hubs returns the entry VMs that collect the heartbeats of a zone and pass its
// membership on: the largest ones that are live and not leaving. The others pull changes
// from them: a large configuration would hold up the link of a small VM for seconds, and
// the changes behind it.
func Hubs(now time.Time, zone string, vms []EntryVM) []EntryVM {
	var hubs []EntryVM
	for _, vm := range vms {
		if vm.Zone == zone && vm.IsLive(now) && !vm.Leaving {
			hubs = append(hubs, vm)
		}
	}
	slices.SortFunc(hubs, compareSize)
	return hubs[:min(len(hubs), hubsPerZone)]
}

// IsHub reports whether a VM is a hub of its zone.
func IsHub(now time.Time, vm EntryVM, vms []EntryVM) bool {
	return slices.ContainsFunc(Hubs(now, vm.Zone, vms), func(hub EntryVM) bool { return hub.Name == vm.Name })
}

// Representatives returns the entry VMs that others need to know of a zone: those
// that SelectEntryVMs returns for its callers, spareRepresentatives more, and those with one
// of the listed entry addresses.
func Representatives(now time.Time, zone string, vms []EntryVM, listed []string) []EntryVM {
	var ready []EntryVM
	for _, vm := range vms {
		if vm.Zone == zone && vm.IsReady(now) {
			ready = append(ready, vm)
		}
	}
	selected := len(selectLargest(ready))
	count := min(selected+spareRepresentatives, len(ready))
	representatives := slices.Clone(ready[:count])
	for _, vm := range ready[count:] {
		if slices.Contains(listed, vm.EntryAddress) {
			representatives = append(representatives, vm)
		}
	}
	return representatives
}
