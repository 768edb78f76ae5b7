package entry

import (
	"maps"
	"slices"
	"time"

	"daisystage.example/daisystage/internal/world/machine"
)

// targets returns the addresses of the peers for one round, with all seeds and contacts
// that are not live members. In a large cluster the result includes the hubs of the
// zone, for a hub also one hub of each other zone, and an entry VM that watches the
// platform, if one is known.
func (cr *Cluster) targets(now time.Time) []string {
	cr.rounds++
	vms := cr.Members(now)
	var addresses []string
	add := func(address string) {
		if address != "" && address != cr.Self.EntryAddress && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	if len(vms) <= smallCluster+1 {
		for _, vm := range vms {
			add(vm.EntryAddress)
		}
	} else {
		answering := cr.answering(vms)
		for _, vm := range cr.hubsToContact(now, vms, answering) {
			add(vm.EntryAddress)
		}
		add(cr.watcherAddress(now, answering))
		add(cr.nextPartner(now, answering))
	}
	live := map[string]bool{}
	for _, vm := range vms {
		if vm.IsLive(now) {
			live[vm.EntryAddress] = true
		}
	}
	if len(live) > smallCluster && (cr.rounds%partnerRounds != 0 || !machine.IsHub(now, cr.Self, vms)) {
		// The cluster is found. A seed in another zone may be live without news of
		// it here; hubs keep trying.
		return addresses
	}
	for _, address := range slices.Concat(*cr.seeds.Load(), *cr.contacts.Load()) {
		if !live[address] {
			add(address)
		}
	}
	return addresses
}

// hubsToContact returns the hubs of this VM's zone, and if it is one of them, one
// hub of each other zone in turns. If it knows no live VM of a zone, it tries one
// that was live before: the zones must find each other again after all hubs were
// lost at once.
func (cr *Cluster) hubsToContact(now time.Time, vms, answering []machine.EntryVM) []machine.EntryVM {
	hubs := machine.Hubs(now, cr.Self.Zone, answering)
	if !machine.IsHub(now, cr.Self, answering) {
		return hubs
	}
	for _, zone := range zonesOf(vms) {
		if zone == cr.Self.Zone {
			continue
		}
		far := machine.Hubs(now, zone, answering)
		if len(far) == 0 {
			far = slices.DeleteFunc(slices.Clone(vms), func(vm machine.EntryVM) bool { return vm.Zone != zone })
		}
		hubs = append(hubs, far[cr.rounds%len(far)])
	}
	return hubs
}

// zonesOf returns the zones of entry VMs, sorted.
func zonesOf(vms []machine.EntryVM) []string {
	zones := map[string]bool{}
	for _, vm := range vms {
		zones[vm.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// answering returns the members without those that are only known not to have answered
// since they were last heard of. After a loss of hubs their successors get the
// heartbeats in the next round, while the members still know them.
func (cr *Cluster) answering(vms []machine.EntryVM) []machine.EntryVM {
	known := *cr.members.Load()
	return slices.DeleteFunc(slices.Clone(vms), func(vm machine.EntryVM) bool {
		mb, ok := known[vm.Name]
		return ok && mb.UnansweredAt.After(mb.LastHeartbeat)
	})
}

// nextPartner returns the address of a random live member, for partnerRounds rounds
// the same while it answers. It keeps news flowing if the VMs disagree on the hubs.
func (cr *Cluster) nextPartner(now time.Time, vms []machine.EntryVM) string {
	turn := cr.rounds / partnerRounds
	var near, all []string
	for _, vm := range vms {
		if vm.Name == cr.Self.Name || !vm.IsLive(now) {
			continue
		}
		all = append(all, vm.EntryAddress)
		if vm.Zone == cr.Self.Zone {
			near = append(near, vm.EntryAddress)
		}
	}
	if cr.rounds%partnerRounds != 0 && slices.Contains(all, cr.partner) {
		return cr.partner
	}
	if turn%farPartnerTurn == 0 || len(near) == 0 {
		near = all
	}
	cr.partner = ""
	if len(near) > 0 {
		cr.partner = near[cr.Random()%uint64(len(near))]
	}
	return cr.partner
}

// watcherAddress returns the address of an entry VM that watches the platform,
// preferably in this VM's zone; empty if there is none.
func (cr *Cluster) watcherAddress(now time.Time, vms []machine.EntryVM) string {
	address := ""
	for _, vm := range machine.Watchers(now, vms) {
		if vm.Name != cr.Self.Name && (address == "" || vm.Zone == cr.Self.Zone) {
			address = vm.EntryAddress
		}
	}
	return address
}
