// Package entry exchanges state with the other entry VMs: heartbeats with
// membership, digests of the platform's objects and quarantines, and pulls of
// the objects that a peer lacks.
package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

const (
	// smallCluster is the number of peers up to which each round of heartbeats
	// goes to all of them. In a larger cluster it goes to the hubs of the zone, an
	// entry VM that watches the platform, and a partner.
	smallCluster = 8
	// partnerRounds is the number of rounds for which a partner is kept, so that
	// few connections to peers are open at a time. Every farPartnerTurn-th partner
	// may be in another zone.
	partnerRounds = 8
	// memberListTTL is how long a sorted list of the members is reused for replies
	// to heartbeats.
	memberListTTL  = 200 * time.Millisecond
	farPartnerTurn = 16
	// sampleSize is the number of members that one heartbeat lists, besides up
	// to leavingSampleSize members that are leaving.
	sampleSize        = 2
	leavingSampleSize = 4
	// exchangeTimeout limits one heartbeat.
	exchangeTimeout = 900 * time.Millisecond
	// roundTimeout limits the wait for the replies of one round.
	roundTimeout = 300 * time.Millisecond
	// pullTimeout limits one pull.
	pullTimeout = 5 * time.Second
	// pullOverlap is the number of versions by which a pull overlaps the known
	// ones, since watches of different prefixes progress independently and may
	// have missed earlier versions.
	pullOverlap = 256
	// watchLag is the age of the last confirmation by the platform above which
	// a difference of the digests is pulled at once.
	watchLag = 3 * time.Second
	// fullPullAfter is the number of rounds with a mismatched digest after
	// which a pull compares all objects.
	fullPullAfter = 3
	// agreementMaxAge is how recently a peer must have reported that the
	// platform is down, and agreementTTL how long an agreement on that keeps
	// the view confirmed: as long as a confirmation by the platform.
	agreementMaxAge = 3 * time.Second
	agreementTTL    = view.ConfirmationTTL
	// neverConfirmed is the age in milliseconds that is sent if the platform
	// never confirmed the view. It is 24 days, longer than any age that matters.
	neverConfirmed = 1 << 31
)

// Transport sends a message to one entry VM and returns the reply.
type Transport interface {
	Exchange(ctx context.Context, address string, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error)
	Pull(ctx context.Context, address string, rq *entrypb.PullRequest) (*entrypb.PullReply, error)
}

// Replica is this process's copy of the platform's objects.
type Replica interface {
	// Current returns the current copy.
	Current() *view.Copy
	// Apply applies objects to the copy.
	Apply(now time.Time, objects []view.Object)
}

// Member is an entry VM with the state from its last direct reply.
type Member struct {
	machine.EntryVM
	// AnsweredAt is when the last heartbeat that the VM answered was sent.
	AnsweredAt time.Time
	// PlatformDown is whether the VM last reported that its own calls to the
	// platform are unanswered.
	PlatformDown bool
	// Mismatches counts the successive rounds in which its digest differed.
	Mismatches int
}

// members is an immutable map by name, without this process.
type members map[string]Member

// Cluster tracks the other entry VMs by heartbeats and synchronizes the copy of
// the platform's objects with them. Set the fields and call Init before Run.
type Cluster struct {
	Self machine.EntryVM
	// Seeds are the entry addresses to contact before any member is known. After
	// Init they are replaced by SetSeeds only.
	Seeds     []string
	Transport Transport
	Replica   Replica
	// Confirmation holds when the platform last confirmed the view, as relayed by
	// peers and, unless DirectlyConfirmedAt is set, as known from this process's
	// calls.
	Confirmation *view.Confirmation
	// DirectlyConfirmedAt returns when the platform last confirmed the view to
	// this process itself; it may be nil.
	DirectlyConfirmedAt func() time.Time
	Quarantine          *contract.Quarantine
	// PlatformDown reports whether this process's own calls are unanswered.
	PlatformDown func() bool
	Log          *zap.Logger
	// Load returns the number of parts that this process sends per second; it
	// may be nil.
	Load func() uint32
	// FollowsPeers reports whether this process gets the platform's changes from
	// peers only, so that it pulls every difference at once; it may be nil.
	FollowsPeers func() bool
	// OnDeparture is called when a peer reports that a server is leaving that was
	// not known to leave; it may be nil.
	OnDeparture func(now time.Time, dp machine.Departure)

	leaving atomic.Bool
	// everConfirmed is set with the first confirmation by the platform and never
	// cleared.
	everConfirmed atomic.Bool
	// recent is the last result of recentMembers.
	recent atomic.Pointer[memberList]
	// rounds counts the rounds of heartbeats; partner is the entry address of the
	// current partner. Only Run uses them.
	rounds  int
	partner string
	// catchingUp is set while an exchange started by catchUpFromSender runs.
	catchingUp atomic.Bool
	members    *rcu.Value[members]
	departures *rcu.Value[departures]
	// seeds holds the seeds in force.
	seeds   *rcu.Value[[]string]
	trigger chan struct{}
}

// Init initializes the cluster. It is called once, before the other methods.
func (cr *Cluster) Init() {
	cr.members = rcu.New(members{})
	cr.departures = rcu.New(departures{})
	cr.seeds = rcu.New(cr.Seeds)
	cr.trigger = make(chan struct{}, 1)
}

// SetSeeds replaces the entry addresses to contact.
func (cr *Cluster) SetSeeds(seeds []string) {
	cr.seeds.Update(func([]string) []string { return seeds })
}

// Leave marks this process as leaving and starts a round of heartbeats. It can't
// be undone.
func (cr *Cluster) Leave() {
	cr.leaving.Store(true)
	cr.TriggerRound()
}

// TriggerRound starts a round of heartbeats without waiting for the next
// interval. It does not block.
func (cr *Cluster) TriggerRound() {
	select {
	case cr.trigger <- struct{}{}:
	default:
	}
}

// OwnRecord returns the membership record of this process.
func (cr *Cluster) OwnRecord(now time.Time) machine.EntryVM {
	vm := cr.Self
	cp := cr.Replica.Current()
	vm.LastHeartbeat, vm.Leaving, vm.PlatformUnreachable = now, cr.leaving.Load(), cr.PlatformDown()
	vm.Version, vm.Digest = cp.Version, cp.Digest
	if !cr.wasEverConfirmed() {
		// Callers must not be sent here yet, whatever objects are known.
		vm.Version = 0
	}
	if cr.Load != nil {
		vm.Load = cr.Load()
	}
	return vm
}

// Members returns all known entry VMs, including this one, ordered by name.
func (cr *Cluster) Members(now time.Time) []machine.EntryVM {
	known := *cr.members.Load()
	vms := make([]machine.EntryVM, 0, len(known)+1)
	vms = append(vms, cr.OwnRecord(now))
	for _, mb := range known {
		vms = append(vms, mb.EntryVM)
	}
	slices.SortFunc(vms, func(a, b machine.EntryVM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return vms
}

// memberList is a result of Members with its time.
type memberList struct {
	at  time.Time
	vms []machine.EntryVM
}

// recentMembers returns a result of Members that is at most memberListTTL old. It
// must not be changed.
func (cr *Cluster) recentMembers(now time.Time) []machine.EntryVM {
	if recent := cr.recent.Load(); recent != nil && now.Sub(recent.at) < memberListTTL && !now.Before(recent.at) {
		return recent.vms
	}
	list := &memberList{at: now, vms: cr.Members(now)}
	cr.recent.Store(list)
	return list.vms
}

// Run sends heartbeats until the context is done.
func (cr *Cluster) Run(ctx context.Context) {
	ticker := time.NewTicker(machine.HeartbeatInterval)
	defer ticker.Stop()
	for {
		cr.round(ctx)
		select {
		case <-ticker.C:
		case <-cr.trigger:
		case <-ctx.Done():
			return
		}
	}
}

// round sends heartbeats to the targets concurrently, and waits for the replies
// for at most roundTimeout.
func (cr *Cluster) round(ctx context.Context) {
	now := time.Now()
	cr.removeSilent(now)
	cr.removeOldDepartures(now)
	targets := cr.targets(now)
	done := make(chan struct{}, len(targets))
	for _, address := range targets {
		go func() {
			cr.exchange(ctx, address)
			done <- struct{}{}
		}()
	}
	timeout := time.After(roundTimeout)
	for range targets {
		select {
		case <-done:
		case <-timeout:
			// A peer that does not answer must not delay the next round. Its
			// exchange continues in the background.
			cr.confirmDuringOutage(time.Now())
			return
		}
	}
	cr.confirmDuringOutage(time.Now())
}

// targets returns the addresses of the peers for one round, with all seeds that
// are not live members. In a large cluster the result includes the hubs of the
// zone, for a hub also one hub of each other zone, and an entry VM that watches the
// platform, if one is known.
func (cr *Cluster) targets(now time.Time) []string {
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
		for _, vm := range cr.hubsToContact(now, vms) {
			add(vm.EntryAddress)
		}
		add(cr.watcherAddress(now, vms))
		add(cr.nextPartner(now, vms))
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
	for _, seed := range *cr.seeds.Load() {
		if !live[seed] {
			add(seed)
		}
	}
	return addresses
}

// hubsToContact returns the hubs of this VM's zone, and if it is one of them, one
// hub of each other zone in turns. If it knows no live VM of a zone, it tries one
// that was live before: the zones must find each other again after all hubs were
// lost at once.
func (cr *Cluster) hubsToContact(now time.Time, vms []machine.EntryVM) []machine.EntryVM {
	hubs := machine.Hubs(now, cr.Self.Zone, vms)
	if !machine.IsHub(now, cr.Self, vms) {
		return hubs
	}
	for _, zone := range zonesOf(vms) {
		if zone == cr.Self.Zone {
			continue
		}
		far := machine.Hubs(now, zone, vms)
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

// nextPartner returns the address of a random live member, for partnerRounds rounds
// the same. It keeps news flowing if the VMs disagree on the hubs.
func (cr *Cluster) nextPartner(now time.Time, vms []machine.EntryVM) string {
	cr.rounds++
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
		cr.partner = near[rand.IntN(len(near))]
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

func (cr *Cluster) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := cr.Transport.Exchange(ctx, address, cr.Heartbeat(sentAt, cr.zoneOf(address)))
	if err != nil {
		if ctx.Err() == nil {
			events.PeerFailed.Log(cr.Log, zap.String("address", address), zap.Error(err))
		}
		return
	}
	if reply.GetSender().GetName() == "" {
		events.PeerFailed.Log(cr.Log, zap.String("address", address), zap.String("error", "the reply names no sender"))
		return
	}
	cr.mergeHeartbeat(sentAt, reply)
	cr.handleReply(ctx, sentAt, address, reply)
}

// zoneOf returns the zone of the member with an entry address; empty if it is not
// known.
func (cr *Cluster) zoneOf(address string) string {
	for _, mb := range *cr.members.Load() {
		if mb.EntryAddress == address {
			return mb.Zone
		}
	}
	return ""
}

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
	own, cp := cr.OwnRecord(now), cr.Replica.Current()
	hb := &entrypb.Heartbeat{
		Sender:       encodeMember(now, own),
		Confirmed:    now.Sub(cr.ConfirmedAt()) <= view.ConfirmationTTL,
		ConfirmedMs:  cr.confirmationAge(now),
		PlatformDown: cr.PlatformDown(),
		Version:      cp.Version,
		Digest:       cp.Digest,
	}
	hb.Members = sampleMembers(now, *cr.members.Load())
	for _, vm := range cr.newsFor(now, zone) {
		if !slices.ContainsFunc(hb.Members, func(mb *entrypb.Member) bool { return mb.Name == vm.Name }) {
			hb.Members = append(hb.Members, encodeMember(now, vm))
		}
	}
	hb.Departures = cr.encodeDepartures(now)
	for fingerprint, cs := range cr.Quarantine.Crashes() {
		hb.Quarantines = append(hb.Quarantines, &entrypb.Quarantine{Fingerprint: fingerprint, Servers: cs.Servers})
	}
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
		return append(news, machine.Representatives(now, cr.Self.Zone, vms)...)
	}
	for _, each := range zonesOf(vms) {
		news = append(news, machine.Representatives(now, each, vms)...)
	}
	return news
}

// sampleMembers returns up to sampleSize live members that are not leaving and up
// to leavingSampleSize that are. The random order of map iteration selects them.
func sampleMembers(now time.Time, known members) []*entrypb.Member {
	var sampled []*entrypb.Member
	staying, leaving := 0, 0
	for _, mb := range known {
		switch {
		case !mb.IsLive(now):
			continue
		case mb.Leaving && leaving < leavingSampleSize:
			leaving++
		case !mb.Leaving && staying < sampleSize:
			staying++
		default:
			continue
		}
		sampled = append(sampled, encodeMember(now, mb.EntryVM))
		if staying == sampleSize && leaving == leavingSampleSize {
			break
		}
	}
	return sampled
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
	for _, qn := range hb.Quarantines {
		cr.mergeQuarantine(now, qn)
	}
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
			mb.EntryVM = vm
			events.PeerJoined.Log(cr.Log, zap.String("peer", vm.Name), zap.String("peer_zone", vm.Zone))
		}
		if mb.Incarnation != vm.Incarnation && vm.Incarnation > mb.Incarnation {
			mb = Member{EntryVM: vm}
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

func (cr *Cluster) mergeQuarantine(now time.Time, qn *entrypb.Quarantine) {
	for _, server := range qn.Servers {
		if cr.Quarantine.CrashCount(now, qn.Fingerprint) >= len(qn.Servers) {
			return
		}
		cr.Quarantine.RecordCrash(now, qn.Fingerprint, server)
	}
}

// removeSilent logs the members that have just become silent, and removes those
// that have been silent for more than machine.PeerRemoveAfter.
func (cr *Cluster) removeSilent(now time.Time) {
	for name, mb := range *cr.members.Load() {
		silence := now.Sub(mb.LastHeartbeat)
		if silence > machine.PeerTimeout && silence <= machine.PeerTimeout+machine.HeartbeatInterval {
			events.PeerSilent.Log(cr.Log, zap.String("peer", name))
		}
		if silence > machine.PeerRemoveAfter {
			cr.members.Update(func(old members) members {
				next := maps.Clone(old)
				delete(next, name)
				return next
			})
		}
	}
}

func ageMillis(now, then time.Time) uint32 {
	return uint32(min(max(now.Sub(then).Milliseconds(), 0), neverConfirmed))
}

func encodeMember(now time.Time, vm machine.EntryVM) *entrypb.Member {
	return &entrypb.Member{
		Name: vm.Name, Zone: vm.Zone, CallerAddress: vm.CallerAddress, OperatorAddress: vm.OperatorAddress,
		EntryAddress: vm.EntryAddress, Incarnation: vm.Incarnation, Leaving: vm.Leaving, HeardMs: ageMillis(now, vm.LastHeartbeat),
		Capacity: vm.Capacity, Load: vm.Load, Version: vm.Version, Digest: vm.Digest,
	}
}

func decodeMember(now time.Time, mb *entrypb.Member) machine.EntryVM {
	return machine.EntryVM{
		Name: mb.GetName(), Zone: mb.GetZone(), CallerAddress: mb.GetCallerAddress(), OperatorAddress: mb.GetOperatorAddress(),
		EntryAddress: mb.GetEntryAddress(), Incarnation: mb.GetIncarnation(), Leaving: mb.GetLeaving(),
		LastHeartbeat: now.Add(-time.Duration(mb.GetHeardMs()) * time.Millisecond),
		Capacity:      mb.GetCapacity(), Load: mb.GetLoad(), Version: mb.GetVersion(), Digest: mb.GetDigest(),
	}
}
