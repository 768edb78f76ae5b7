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
	// Apply applies objects to the copy, and returns how many changed it.
	Apply(now time.Time, origin view.Origin, objects []view.Object) (changed int64)
}

// Member is an entry VM with the state from its last direct reply.
type Member struct {
	machine.EntryVM
	// AnsweredAt is when the last heartbeat that the VM answered was sent.
	AnsweredAt time.Time
	// UnansweredAt is when the last heartbeat that the VM did not answer was sent.
	UnansweredAt time.Time
	// FirstHand is set once a heartbeat came from the VM itself.
	FirstHand bool
	// PlatformDown is whether the VM last reported that its own calls to the
	// platform are unanswered.
	PlatformDown bool
	// Mismatches counts the successive rounds in which its digest differed.
	Mismatches int
	// nameHash is a hash of the name.
	nameHash uint64
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
	// Table tells how recent the configuration in force is; nil if that is not tracked.
	Table *TableFreshness
	Log   *zap.Logger
	// Load returns the number of parts that this process sends per second; it
	// may be nil.
	Load func() uint32
	// FollowsPeers reports whether this process gets the platform's changes from
	// peers only, so that it pulls every difference at once; it may be nil.
	FollowsPeers func() bool
	// OnDeparture is called when a peer reports that a server is leaving that was
	// not known to leave; it may be nil.
	OnDeparture func(now time.Time, dp machine.Departure)
	// Random returns a random number. It selects partners and the members listed in
	// heartbeats, and is called concurrently. Init sets it if it is nil.
	Random func() uint64

	leaving atomic.Bool
	// everConfirmed is set with the first confirmation by the platform and never
	// cleared.
	everConfirmed atomic.Bool
	// wasInSync is set once a peer's copy was the same as this one.
	wasInSync atomic.Bool
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
	// seeds holds the seeds in force, contacts further entry addresses that may be those
	// of live VMs.
	seeds    *rcu.Value[[]string]
	contacts *rcu.Value[[]string]
	trigger  chan struct{}
}

// Init initializes the cluster. It is called once, before the other methods.
func (cr *Cluster) Init() {
	cr.members = rcu.New(members{})
	cr.departures = rcu.New(departures{})
	cr.seeds, cr.contacts = rcu.New(cr.Seeds), rcu.New([]string{})
	cr.trigger = make(chan struct{}, 1)
	if cr.Random == nil {
		cr.Random = rand.Uint64
	}
}

// SetSeeds replaces the entry addresses to contact.
func (cr *Cluster) SetSeeds(seeds []string) {
	cr.seeds.Update(func([]string) []string { return seeds })
}

// SetContacts replaces the entry addresses that are tried besides the seeds.
func (cr *Cluster) SetContacts(addresses []string) {
	cr.contacts.Update(func([]string) []string { return addresses })
}

// Leave marks this process as leaving and starts a round of heartbeats. It can't
// be undone.
func (cr *Cluster) Leave() {
	cr.leaving.Store(true)
	cr.TriggerRound()
}

// WasInSync reports whether this process has ever known all that a peer knew.
func (cr *Cluster) WasInSync() bool {
	return cr.wasInSync.Load()
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
	if cr.Table != nil {
		vm.KeysStale = cr.Table.KeysStale()
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
	targets := cr.startRound(time.Now())
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

// startRound removes what is too old, and returns the targets of the round.
func (cr *Cluster) startRound(now time.Time) []string {
	cr.removeSilent(now)
	cr.removeOldDepartures(now)
	cr.Quarantine.RemoveOld(now)
	return cr.targets(now)
}

func (cr *Cluster) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt, sentSinceBoot := time.Now(), cr.sinceBoot()
	reply, err := cr.Transport.Exchange(ctx, address, cr.Heartbeat(sentAt, cr.zoneOf(address)))
	if err != nil {
		cr.markUnanswered(sentAt, address)
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
	cr.confirmTable(sentSinceBoot, reply)
	cr.handleReply(ctx, sentAt, address, reply)
	// handleReply may have pulled the peer's configuration.
	cr.confirmTable(sentSinceBoot, reply)
}

// markUnanswered records that the member with an entry address did not answer.
func (cr *Cluster) markUnanswered(sentAt time.Time, address string) {
	cr.members.Update(func(old members) members {
		for name, mb := range old {
			if mb.EntryAddress == address {
				next := maps.Clone(old)
				mb.UnansweredAt = sentAt
				next[name] = mb
				return next
			}
		}
		return old
	})
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

// reports reports whether this process logs the coming and going of a member that
// it heard from: in a large cluster the hubs do so for their zone. The others hear
// from a member now and then, and lose sight of it while it lives.
func (cr *Cluster) reports(now time.Time, vm machine.EntryVM) bool {
	vms := cr.recentMembers(now)
	return len(vms) <= smallCluster+1 || vm.Zone == cr.Self.Zone && machine.IsHub(now, cr.Self, vms)
}

// removeSilent logs the members that have just become silent, and removes those
// that have been silent for more than machine.PeerRemoveAfter.
func (cr *Cluster) removeSilent(now time.Time) {
	for name, mb := range *cr.members.Load() {
		silence := now.Sub(mb.LastHeartbeat)
		if silence > machine.PeerTimeout && silence <= machine.PeerTimeout+machine.HeartbeatInterval && mb.FirstHand && cr.reports(now, mb.EntryVM) {
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
