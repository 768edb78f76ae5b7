package machine

import (
	"slices"
	"strings"
	"time"
)

// loneZoneWatchers is the number of watchers where there is but one zone, so
// that the loss of one goes unnoticed.
const loneZoneWatchers = 2

// Watchers returns the entry VMs that watch the platform for all: the first of
// each zone, by name, of those that live, stay and reach it.
func Watchers(now time.Time, vms []EntryVM) []EntryVM {
	fit := slices.DeleteFunc(slices.Clone(vms), func(vm EntryVM) bool {
		return !vm.IsLive(now) || vm.Leaving || vm.PlatformAway
	})
	slices.SortFunc(fit, func(a, b EntryVM) int { return strings.Compare(a.Name, b.Name) })
	var chosen []EntryVM
	taken := map[string]bool{}
	for _, vm := range fit {
		if !taken[vm.Zone] {
			taken[vm.Zone] = true
			chosen = append(chosen, vm)
		}
	}
	if len(chosen) == 1 {
		chosen = fit[:min(len(fit), loneZoneWatchers)]
	}
	return chosen
}
