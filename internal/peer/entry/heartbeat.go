package entry

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

// ConfirmedAt returns when the platform last confirmed the view, to this
// process or to a peer; the zero time if it never did.
func (cr *Cluster) ConfirmedAt() time.Time {
	asOf := cr.Confirmation.AsOf()
	if cr.DirectlyConfirmedAt == nil {
		return asOf
	}
	if direct := cr.DirectlyConfirmedAt(); direct.After(asOf) {
		return direct
	}
	return asOf
}

// wasEverConfirmed reports whether the platform has ever confirmed the view.
func (cr *Cluster) wasEverConfirmed() bool {
	if !cr.everConfirmed.Load() && !cr.ConfirmedAt().IsZero() {
		cr.everConfirmed.Store(true)
	}
	return cr.everConfirmed.Load()
}

// confirmationAge returns the age of the platform's last confirmation in
// milliseconds, as sent to peers; neverConfirmed if there was none since the
// start.
func (cr *Cluster) confirmationAge(now time.Time) uint32 {
	if !cr.wasEverConfirmed() {
		return neverConfirmed
	}
	return min(ageMillis(now, cr.ConfirmedAt()), neverConfirmed-1)
}

// Heartbeat returns the heartbeat that this process sends to an entry VM in a zone.
func (cr *Cluster) Heartbeat(now time.Time, zone string) *entrypb.Heartbeat {
	// Read before the copy, so that no confirmation is paired with an older copy.
	confirmedAt, age := cr.ConfirmedAt(), cr.confirmationAge(now)
	own, cp := cr.OwnRecord(now), cr.Replica.Current()
	hb := &entrypb.Heartbeat{
		Sender:       encodeMember(now, own),
		Confirmed:    now.Sub(confirmedAt) <= view.ConfirmationTTL,
		ConfirmedMs:  age,
		PlatformDown: cr.PlatformDown(),
		Version:      cp.Version,
		Digest:       cp.Digest,
	}
	hb.TableVersion, hb.TableConfirmedMs = cr.confirmedTable()
	hb.Members = sampleMembers(now, *cr.members.Load(), cr.Random())
	for _, vm := range cr.newsFor(now, zone) {
		if !slices.ContainsFunc(hb.Members, func(mb *entrypb.Member) bool { return mb.Name == vm.Name }) {
			hb.Members = append(hb.Members, encodeMember(now, vm))
		}
	}
	hb.Departures = cr.encodeDepartures(now)
	hb.Quarantines = encodeQuarantines(now, cr.Quarantine.Crashes())
	return hb
}

// newsFor returns the members that an entry VM in a zone needs to know, in a large
// cluster: the hubs of its zone, and from a hub the representatives of zones. A hub
// passes those of all zones on within its own zone, and those of its own zone to
// others.
func (cr *Cluster) newsFor(now time.Time, zone string) []machine.EntryVM {
	vms := cr.recentMembers(now)
	if len(vms) <= smallCluster+1 {
		return nil
	}
	news := machine.Hubs(now, zone, vms)
	if !machine.IsHub(now, cr.Self, vms) {
		return news
	}
	if zone != cr.Self.Zone {
		news = append(news, machine.Hubs(now, cr.Self.Zone, vms)...)
		return append(news, machine.Representatives(now, cr.Self.Zone, vms, *cr.contacts.Load())...)
	}
	for _, each := range zonesOf(vms) {
		news = append(news, machine.Representatives(now, each, vms, *cr.contacts.Load())...)
	}
	return news
}

// sampleMembers returns up to sampleSize live members that are not leaving and up
// to leavingSampleSize that are. The salt alone selects them, independently of the
// order of map iteration.
func sampleMembers(now time.Time, known members, salt uint64) []*entrypb.Member {
	var staying, leaving []rankedMember
	for _, mb := range known {
		switch {
		case !mb.IsLive(now):
			continue
		case mb.Leaving:
			leaving = addLowest(leaving, mb, salt, leavingSampleSize)
		default:
			staying = addLowest(staying, mb, salt, sampleSize)
		}
	}
	var sampled []*entrypb.Member
	for _, rm := range append(staying, leaving...) {
		sampled = append(sampled, encodeMember(now, rm.vm))
	}
	return sampled
}

// rankedMember is a member with its random rank in one sample.
type rankedMember struct {
	vm   machine.EntryVM
	rank uint64
}

// addLowest adds a member to a sample of the given size, which holds the members with
// the lowest ranks in order.
func addLowest(sample []rankedMember, mb Member, salt uint64, size int) []rankedMember {
	rank := mix(mb.nameHash ^ salt)
	at, _ := slices.BinarySearchFunc(sample, rank, func(rm rankedMember, rank uint64) int { return cmp.Compare(rm.rank, rank) })
	if at == size {
		return sample
	}
	sample = slices.Insert(sample, at, rankedMember{mb.EntryVM, rank})
	return sample[:min(len(sample), size)]
}

// mix returns a hash of a number whose bits all depend on all of its bits: the
// finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashName returns a hash of a member's name.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// HandleHeartbeat merges a heartbeat from a peer and returns the reply.
func (cr *Cluster) HandleHeartbeat(now time.Time, hb *entrypb.Heartbeat) *entrypb.Heartbeat {
	if hb.GetSender().GetName() != "" {
		cr.mergeHeartbeat(now, hb)
		cr.catchUpFromSender(now, hb)
	}
	return cr.Heartbeat(now, hb.GetSender().GetZone())
}

// catchUpFromSender starts an exchange with the sender of a heartbeat if this
// process is a follower and lacks the sender's state. It does not block.
func (cr *Cluster) catchUpFromSender(now time.Time, hb *entrypb.Heartbeat) {
	cp := cr.Replica.Current()
	if !cr.isFollower() || hb.Digest == cp.Digest || cp.HadDigest(hb.Version, hb.Digest) {
		return
	}
	address := decodeMember(now, hb.Sender).EntryAddress
	if address == "" || !cr.catchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer cr.catchingUp.Store(false)
		cr.exchange(context.Background(), address)
	}()
}

func (cr *Cluster) isFollower() bool {
	return cr.FollowsPeers != nil && cr.FollowsPeers()
}

// mergeHeartbeat merges the members and quarantines of a heartbeat; the ages in
// it count back from now.
func (cr *Cluster) mergeHeartbeat(now time.Time, hb *entrypb.Heartbeat) {
	sender := decodeMember(now, hb.Sender)
	sender.Version, sender.Digest, sender.PlatformUnreachable = hb.Version, hb.Digest, hb.PlatformDown
	if hb.ConfirmedMs == neverConfirmed {
		sender.Version = 0
	}
	records := []machine.EntryVM{sender}
	for _, mb := range hb.Members {
		records = append(records, decodeMember(now, mb))
	}
	if cr.changesMembers(records) {
		cr.members.Update(func(old members) members { return cr.mergeMembers(now, old, records) })
	}
	cr.mergeQuarantines(now, hb.Quarantines)
	cr.mergeDepartures(now, hb.Departures)
}

// changesMembers reports whether a merge of records would change the members. It
// avoids the copy of the map that a merge makes.
func (cr *Cluster) changesMembers(records []machine.EntryVM) bool {
	known := *cr.members.Load()
	return slices.ContainsFunc(records, func(vm machine.EntryVM) bool {
		have, ok := known[vm.Name]
		if vm.Name != records[0].Name {
			vm.PlatformUnreachable = have.PlatformUnreachable
		}
		return vm.Name != cr.Self.Name && (!ok || have.EntryVM != have.Merge(vm))
	})
}

// mergeMembers returns the members with records merged; the first record is that
// of the sender.
func (cr *Cluster) mergeMembers(now time.Time, old members, records []machine.EntryVM) members {
	next := maps.Clone(old)
	for _, vm := range records {
		if vm.Name == cr.Self.Name || vm.Name == "" {
			continue
		}
		mb, ok := next[vm.Name]
		if !ok {
			if !vm.IsLive(now) {
				continue
			}
			mb = Member{EntryVM: vm, nameHash: hashName(vm.Name)}
		}
		if vm.Name == records[0].Name && !mb.FirstHand {
			mb.FirstHand = true
			if cr.reports(now, vm) {
				events.PeerJoined.Log(cr.Log, zap.String("peer", vm.Name), zap.String("peer_zone", vm.Zone))
			}
		}
		if mb.Incarnation != vm.Incarnation && vm.Incarnation > mb.Incarnation {
			mb = Member{EntryVM: vm, FirstHand: mb.FirstHand, nameHash: mb.nameHash}
		}
		unreachable := mb.PlatformUnreachable
		mb.EntryVM = mb.Merge(vm)
		if vm.Name != records[0].Name {
			// Only a VM's own heartbeat carries whether it reaches the platform.
			mb.PlatformUnreachable = unreachable
		}
		next[vm.Name] = mb
	}
	return next
}

func ageMillis(now, then time.Time) uint32 {
	return uint32(min(max(now.Sub(then).Milliseconds(), 0), neverConfirmed))
}

func encodeMember(now time.Time, vm machine.EntryVM) *entrypb.Member {
	return &entrypb.Member{
		Name: vm.Name, Zone: vm.Zone, CallerAddress: vm.CallerAddress, OperatorAddress: vm.OperatorAddress,
		EntryAddress: vm.EntryAddress, Incarnation: vm.Incarnation, Leaving: vm.Leaving, HeardMs: ageMillis(now, vm.LastHeartbeat),
		Capacity: vm.Capacity, Load: vm.Load, Version: vm.Version, Digest: vm.Digest, KeysStale: vm.KeysStale,
	}
}

func decodeMember(now time.Time, mb *entrypb.Member) machine.EntryVM {
	return machine.EntryVM{
		Name: mb.GetName(), Zone: mb.GetZone(), CallerAddress: mb.GetCallerAddress(), OperatorAddress: mb.GetOperatorAddress(),
		EntryAddress: mb.GetEntryAddress(), Incarnation: mb.GetIncarnation(), Leaving: mb.GetLeaving(),
		LastHeartbeat: now.Add(-time.Duration(mb.GetHeardMs()) * time.Millisecond),
		Capacity:      mb.GetCapacity(), Load: mb.GetLoad(), Version: mb.GetVersion(), Digest: mb.GetDigest(), KeysStale: mb.GetKeysStale(),
	}
}
