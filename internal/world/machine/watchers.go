package machine

import (
	"slices"
	"time"
)

// singleZoneWatchers is the number of watchers if all VMs are in one zone, so that
// the loss of one does not interrupt watching.
const singleZoneWatchers = 2

// Watchers returns the entry VMs that watch the platform on behalf of all: in each
// zone the largest one that is live, not leaving and reaches the platform. Others pull
// changes from it.
func Watchers(now time.Time, vms []EntryVM) []EntryVM {
	eligible := slices.DeleteFunc(slices.Clone(vms), func(vm EntryVM) bool {
		return !vm.IsLive(now) || vm.Leaving || vm.PlatformUnreachable
	})
	slices.SortFunc(eligible, compareSize)
	var chosen []EntryVM
	taken := map[string]bool{}
	for _, vm := range eligible {
		if !taken[vm.Zone] {
			taken[vm.Zone] = true
			chosen = append(chosen, vm)
		}
	}
	if len(chosen) == 1 {
		chosen = eligible[:min(len(eligible), singleZoneWatchers)]
	}
	return chosen
}
