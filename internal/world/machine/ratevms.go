package machine

import (
	"slices"
	"strings"
	"time"
)

const (
	// ratesPerZone is the number of VMs of a zone among which the owners of shared rates
	// are chosen: its largest ones. SelectEntryVMs selects at least those for callers,
	// so that every VM knows them in a large cluster, too (Representatives). The number
	// does not depend on the load, so that owners change only when VMs come and go.
	ratesPerZone = minSelected
	// rateMemory is how long a silent VM counts: on both sides of a partition, so that
	// they agree on the parts of the rates that each may grant.
	rateMemory = 10 * time.Minute
	// leftMemory is how long a VM that left counts, so that a restart changes nothing
	// for the others.
	leftMemory = time.Minute
	// restartTime is how long a VM that left stays among the holders.
	restartTime = 20 * time.Second
	// listedPerZone is the number of VMs of a zone that the roster is to list: the owners
	// and reserves that take over when those are gone. Representatives has as many.
	// Of a cluster of listedAll VMs at most it lists all.
	listedPerZone = ratesPerZone + spareRepresentatives
	listedAll     = 9
	// A VM that sees less than minRatePart of the owners grants nothing, one that sees
	// more than the rest grants full rates, so that the loss of a few VMs costs the
	// customers nothing.
	minRatePart = 0.25
)

// RateVMs remembers the VMs that share rates. It is used by one goroutine.
type RateVMs struct {
	// Roster tells lost VMs from those on the other side of a partition; nil if the
	// platform keeps none.
	Roster *RosterKeeper
	known  map[string]rateVM
	// startedAt is when Update was first called, updatedAt when it was last called.
	startedAt, updatedAt time.Time
	// heardListed is set once a VM that the roster lists was heard.
	heardListed bool
}

type rateVM struct {
	vm EntryVM
	// readyAt is when it last had settings and was live; leftAt when it began to leave, zero if not.
	readyAt, leftAt time.Time
	// heardFrom is since when it is heard, goneFrom since when it is neither heard nor
	// listed in the roster; zero if not.
	heardFrom, goneFrom time.Time
}

// RatePlacement is the result of RateVMs.Update, ordered by name.
type RatePlacement struct {
	// Holders are the VMs that may spend advances, Owners those of them that are live,
	// have settings and do not leave; in a zone without such a VM, others that do.
	Holders, Owners []string
	// Listed are the VMs that the roster is to list, Heard those of them that are live,
	// have settings and do not leave.
	Listed, Heard []string
	// Surplus are those of Listed whose places others take once all are heard.
	Surplus []string
	// Part is the part of the rates that the owners may grant.
	Part float64
	// Seen is the part of the VMs that may grant which are heard, Found that of the peers
	// in the settings.
	Seen, Found float64
	// Silent are the VMs that may grant and are not heard.
	Silent []SilentVM
	// Left are the VMs that left and did not come back, Lasting those of Heard that have
	// been heard for listAfter.
	Left, Lasting []string
}

// Update takes over the members of the cluster. peers are the entry addresses of other VMs
// in the settings, not necessarily all.
func (rv *RateVMs) Update(now time.Time, members []EntryVM, peers []string) RatePlacement {
	rv.remember(now, members)
	zones := map[string][]EntryVM{}
	for _, known := range rv.known {
		zones[known.vm.Zone] = append(zones[known.vm.Zone], known.vm)
	}
	var rp RatePlacement
	staying := 0
	for _, vms := range zones {
		staying += rv.placeZone(now, vms, &rp)
	}
	for name, known := range rv.known {
		if !known.leftAt.IsZero() {
			rp.Left = append(rp.Left, name)
		}
	}
	staying += rv.countUnknown(now, &rp)
	slices.Sort(rp.Holders)
	slices.Sort(rp.Owners)
	slices.Sort(rp.Listed)
	slices.Sort(rp.Lasting)
	if staying > 0 {
		rp.Seen = float64(rv.countSeen(now, &rp)) / float64(staying)
	}
	rp.Part = rv.partOf(now, &rp, peers)
	return rp
}

// placeZone adds the VMs of a zone to a placement, and returns the number of those that may
// grant rates now or in a moment.
func (rv *RateVMs) placeZone(now time.Time, vms []EntryVM, rp *RatePlacement) (staying int) {
	counting := slices.DeleteFunc(vms, func(vm EntryVM) bool {
		known := rv.known[vm.Name]
		return known.isGone(now) || known.hasLeft(now)
	})
	var owners, reserves, others []string
	sorted := largestVMs(counting)
	keepsPlaces, places := rv.keepsPlaces(now, sorted), 0
	for i, vm := range sorted {
		known := rv.known[vm.Name]
		isHolder, isHeard := i < ratesPerZone, known.readyAt.Equal(now)
		if isHolder {
			rp.Holders = append(rp.Holders, vm.Name)
		}
		switch {
		case !known.leftAt.IsZero():
			if keepsPlaces {
				places++
			}
			continue
		case places >= rv.listedPerZone() && !rv.Roster.lists(vm.Name):
			if isHeard {
				others = append(others, vm.Name)
			}
			continue
		case places >= rv.listedPerZone():
			rp.Surplus = append(rp.Surplus, vm.Name)
		}
		places++
		staying++
		rp.Listed = append(rp.Listed, vm.Name)
		switch {
		case !isHeard && !rv.Roster.excludedSince(vm):
			rp.Silent = append(rp.Silent, SilentVM{vm.Name, vm.LastHeartbeat})
		case !isHeard:
		case isHolder:
			owners = append(owners, vm.Name)
		default:
			reserves = append(reserves, vm.Name)
		}
	}
	rp.Heard = append(append(rp.Heard, owners...), reserves...)
	lasting := append(slices.Clone(owners), reserves...)
	if len(owners) == 0 {
		owners = reserves[:min(len(reserves), ratesPerZone)]
	}
	if len(owners) == 0 && rv.Roster != nil {
		owners = others[:min(len(others), ratesPerZone)]
		lasting = owners
	}
	rp.Owners = append(rp.Owners, owners...)
	for _, name := range lasting {
		if now.Sub(rv.known[name].heardFrom) >= listAfter {
			rp.Lasting = append(rp.Lasting, name)
		}
	}
	return staying
}

// keepsPlaces reports whether VMs of a zone that left keep their places for a restart: others
// that are to be listed are heard. The next VMs in size are no representatives, and others
// would take them for silent.
func (rv *RateVMs) keepsPlaces(now time.Time, sorted []EntryVM) bool {
	listed := sorted[:min(len(sorted), rv.listedPerZone())]
	return rv.Roster != nil && slices.ContainsFunc(listed, func(vm EntryVM) bool {
		known := rv.known[vm.Name]
		return known.leftAt.IsZero() && known.readyAt.Equal(now)
	})
}

// listedPerZone returns the number of VMs of a zone that may grant rates.
func (rv *RateVMs) listedPerZone() int {
	switch {
	case rv.Roster == nil:
		return ratesPerZone
	case len(rv.known) <= listedAll:
		return listedAll
	}
	return listedPerZone
}

// countSeen returns the number of heard VMs that silent VMs count as well: those that are
// listed, or without a roster those that were heard before the silence.
func (rv *RateVMs) countSeen(now time.Time, rp *RatePlacement) int {
	isElsewhere := func(name string) bool { return rv.mayBeElsewhere(now, name) }
	if rv.Roster == nil || len(rp.Silent) == 0 && !slices.ContainsFunc(rv.Roster.unsettled(now), isElsewhere) {
		return len(rp.Heard)
	}
	since := now
	if len(rp.Silent) > 0 {
		since = silentSince(rp.Silent)
	}
	count := 0
	for _, name := range rp.Heard {
		if rv.Roster.IsKnown() && rv.Roster.Roster().Has(name) || !rv.Roster.IsKnown() && !rv.known[name].heardFrom.After(since) {
			count++
		}
	}
	return count
}

// mayBeElsewhere reports whether a VM may be on another side of a partition: it is not heard,
// and did not stop.
func (rv *RateVMs) mayBeElsewhere(now time.Time, name string) bool {
	known, ok := rv.known[name]
	return !ok || known.leftAt.IsZero() && !known.readyAt.Equal(now)
}

// countUnknown returns the number of VMs that the roster lists, or did until a moment ago,
// and that this process does not know: it was restarted after they were lost. It adds those
// to the silent ones that are listed.
func (rv *RateVMs) countUnknown(now time.Time, rp *RatePlacement) int {
	if !rv.Roster.IsKnown() {
		return 0
	}
	isUnknown := func(name string) bool {
		_, ok := rv.known[name]
		return !ok && name != rv.Roster.Self.Name
	}
	count := 0
	for _, vm := range rv.Roster.Roster().VMs {
		if isUnknown(vm.Name) {
			count++
			rp.Silent = append(rp.Silent, SilentVM{vm.Name, rv.Roster.listedAt[vm.Name]})
		}
	}
	for _, name := range rv.Roster.unsettled(now) {
		if isUnknown(name) {
			count++
		}
	}
	return count
}

// partOf returns the part of the rates that this process may grant.
func (rv *RateVMs) partOf(now time.Time, rp *RatePlacement, peers []string) float64 {
	rk, seen := rv.Roster, rp.Seen
	rp.Found = rv.foundPeers(now, peers)
	if !rk.isSettled(now) {
		if rp.Found < 1 && rk != nil && !rk.IsKnown() {
			rp.Silent = append(rp.Silent, SilentVM{Since: rv.startedAt})
		}
		seen = min(seen, rp.Found)
	}
	switch {
	case rk == nil:
		return ratePart(seen)
	case rk.isAlone(now, rv.heardListed, rv.heard(now)) && (rk.IsKnown() || ratePart(seen) == 0):
		// All VMs may be as alone as these.
		return min(float64(rv.countStarted(rp.Owners))/maxRateOwners, 1)
	case !rk.mayGrant(now, rp.Heard, rp.Silent):
		return 0
	}
	return ratePart(seen)
}

// heard returns the VMs that are live and have settings.
func (rv *RateVMs) heard(now time.Time) []string {
	var names []string
	for name, known := range rv.known {
		if known.readyAt.Equal(now) {
			names = append(names, name)
		}
	}
	return names
}

// startedTogether is the most between the starts of VMs that started together, by their
// clocks.
const startedTogether = 5 * time.Second

// countStarted returns the number of VMs that started with this process, or later. The
// others may have heard VMs that this process has not.
func (rv *RateVMs) countStarted(names []string) int {
	own, count := rv.known[rv.Roster.Self.Name].vm.Incarnation, 0
	for _, name := range names {
		if rv.known[name].vm.Incarnation+uint64(startedTogether) >= own {
			count++
		}
	}
	return count
}

// foundPeers returns the part of the peers in the settings that were found. A VM that
// started during a partition knows of the other side from the settings only. After
// rateMemory, those that were not found are taken for gone.
func (rv *RateVMs) foundPeers(now time.Time, peers []string) float64 {
	if len(peers) == 0 || now.Sub(rv.startedAt) > rateMemory {
		return 1
	}
	found := map[string]bool{}
	for _, known := range rv.known {
		found[known.vm.EntryAddress] = true
	}
	count := 0
	for _, peer := range peers {
		if found[peer] {
			count++
		}
	}
	return float64(count) / float64(len(peers))
}

// ratePart returns the part of the rates for a part of the owners. The parts of disjoint
// sets of owners together are at most 1.
func ratePart(seen float64) float64 {
	switch {
	case seen <= minRatePart:
		return 0
	case seen >= 1-minRatePart:
		return 1
	}
	return seen
}

func (rv *RateVMs) remember(now time.Time, members []EntryVM) {
	if rv.known == nil {
		rv.known, rv.startedAt = map[string]rateVM{}, now
	}
	for _, vm := range members {
		known, ok := rv.known[vm.Name]
		switch {
		case vm.Version > 0 && !vm.Leaving && vm.IsLive(now):
			heardFrom := known.heardFrom
			if !ok || !known.readyAt.Equal(rv.updatedAt) {
				heardFrom = now
			}
			rv.known[vm.Name] = rateVM{vm: vm, readyAt: now, heardFrom: heardFrom}
		case ok && vm.Leaving && known.leftAt.IsZero():
			known.leftAt = now
			rv.known[vm.Name] = known
		case !ok && vm.Leaving && (rv.Roster.lists(vm.Name) || now.Sub(vm.LastHeartbeat) <= restartTime):
			rv.known[vm.Name] = rateVM{vm: vm, readyAt: vm.LastHeartbeat.Add(-1), leftAt: now}
		}
	}
	for name, known := range rv.known {
		isHeard := known.readyAt.Equal(now)
		rv.heardListed = rv.heardListed || isHeard && rv.Roster.IsKnown() && !rv.Roster.Excludes(name)
		isGone := !isHeard && rv.Roster.excludedSince(known.vm)
		switch {
		case isGone && known.goneFrom.IsZero():
			known.goneFrom = now
			rv.known[name] = known
		case !isGone && !known.goneFrom.IsZero():
			known.goneFrom = time.Time{}
			rv.known[name] = known
		}
		hasLeft := !known.leftAt.IsZero() && now.Sub(known.leftAt) > leftMemory && !rv.Roster.lists(name)
		if now.Sub(known.readyAt) > rateMemory || hasLeft {
			delete(rv.known, name)
		}
	}
	rv.updatedAt = now
}

// isGone reports whether a VM that is not heard grants nothing any more.
func (rv rateVM) isGone(now time.Time) bool {
	return !rv.goneFrom.IsZero() && now.Sub(rv.goneFrom) >= rosterSettle
}

// hasLeft reports whether a VM left and did not come back for so long that another one takes
// its place.
func (rv rateVM) hasLeft(now time.Time) bool {
	return !rv.leftAt.IsZero() && now.Sub(rv.leftAt) > restartTime
}

// largestVMs sorts VMs by size, then by name.
func largestVMs(vms []EntryVM) []EntryVM {
	slices.SortFunc(vms, func(a, b EntryVM) int {
		if a.Capacity != b.Capacity {
			return int(int64(b.Capacity) - int64(a.Capacity))
		}
		return strings.Compare(a.Name, b.Name)
	})
	return vms
}
