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
	// A VM that sees less than minRatePart of the owners grants nothing, one that sees
	// more than the rest grants full rates, so that the loss of a few VMs costs the
	// customers nothing.
	minRatePart = 0.25
)

// RateVMs remembers the VMs that share rates. It is used by one goroutine.
type RateVMs struct {
	known map[string]rateVM
	// startedAt is when Update was first called.
	startedAt time.Time
}

type rateVM struct {
	vm EntryVM
	// readyAt is when it last had settings and was live; leftAt when it began to leave, zero if not.
	readyAt, leftAt time.Time
}

// RatePlacement is the result of RateVMs.Update, ordered by name.
type RatePlacement struct {
	// Holders are the VMs that count, Owners those of them that are live, have
	// settings and do not leave.
	Holders, Owners []string
	// Part is the part of the rates that the owners may grant.
	Part float64
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
		for _, vm := range largestVMs(vms)[:min(len(vms), ratesPerZone)] {
			rp.Holders = append(rp.Holders, vm.Name)
			known := rv.known[vm.Name]
			if known.readyAt.Equal(now) && known.leftAt.IsZero() {
				rp.Owners = append(rp.Owners, vm.Name)
			}
			if known.leftAt.IsZero() {
				staying++
			}
		}
	}
	slices.Sort(rp.Holders)
	slices.Sort(rp.Owners)
	if staying > 0 {
		rp.Part = ratePart(min(float64(len(rp.Owners))/float64(staying), rv.foundPeers(now, peers)))
	}
	return rp
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
			rv.known[vm.Name] = rateVM{vm: vm, readyAt: now}
		case ok && vm.Leaving && known.leftAt.IsZero():
			known.leftAt = now
			rv.known[vm.Name] = known
		}
	}
	for name, known := range rv.known {
		if now.Sub(known.readyAt) > rateMemory || !known.leftAt.IsZero() && now.Sub(known.leftAt) > leftMemory {
			delete(rv.known, name)
		}
	}
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
