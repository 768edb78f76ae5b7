// Package entry speaks to the other entry VMs: heartbeats, digests of the
// settings, quarantines and the copies of objects that a peer missed.
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
	// goes to all of them; above it a round goes to fanOut.
	smallCluster = 8
	fanOut       = 3
	// sampleSize is the number of members that one heartbeat tells of, besides
	// up to leavingSize of those that leave.
	sampleSize  = 2
	leavingSize = 4
	// exchangeTimeout bounds one heartbeat.
	exchangeTimeout = 900 * time.Millisecond
	// roundTime bounds the wait for the answers of one round.
	roundTime = 300 * time.Millisecond
	// pullTimeout bounds one pull.
	pullTimeout = 5 * time.Second
	// pullOverlap is the span of versions that a pull repeats, since watches
	// of different prefixes run apart.
	pullOverlap = 256
	// watchLag is the age of the platform's word above which a difference is
	// pulled at once.
	watchLag = 3 * time.Second
	// fullPullAfter is the number of rounds in which a digest may differ
	// before all objects are pulled.
	fullPullAfter = 3
	// agreeWithin is how recently a peer must have said that the platform is
	// down, and frozenFor how long an agreement on that holds: as long as word
	// from the platform.
	agreeWithin = 3 * time.Second
	frozenFor   = view.ConfirmedFor
	// neverHeard stands for the age of a word that there was not, in
	// milliseconds: 24 days are longer than any age of use.
	neverHeard = 1 << 31
)

// Transport carries messages to one entry VM.
type Transport interface {
	Exchange(ctx context.Context, address string, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error)
	Pull(ctx context.Context, address string, rq *entrypb.PullRequest) (*entrypb.PullReply, error)
}

// Replica is this process's copy of the platform's objects.
type Replica interface {
	// Current returns the copy in force.
	Current() *view.Copy
	// Apply takes objects in.
	Apply(now time.Time, objects []view.Object)
}

// Member is an entry VM with what its last direct answer said.
type Member struct {
	machine.EntryVM
	// AnsweredAt is when the heartbeat was sent that the VM last answered.
	AnsweredAt time.Time
	// PlatformDown is what the VM last said of its own calls.
	PlatformDown bool
	// Mismatches counts the rounds in which its digest differed.
	Mismatches int
}

// members is an immutable set by name. It holds this process too.
type members map[string]Member

// Cluster knows the other entry VMs. Set the fields before Run.
type Cluster struct {
	Self      machine.EntryVM
	Seeds     []string
	Transport Transport
	Replica   Replica
	// Confirmation holds the word of the platform that peers passed on, and,
	// unless Direct is set, that of this process.
	Confirmation *view.Confirmation
	// Direct returns when the platform last gave this process its word; it may
	// be nil.
	Direct     func() time.Time
	Quarantine *contract.Quarantine
	// PlatformDown reports whether this process's own calls are unanswered.
	PlatformDown func() bool
	Log          *zap.Logger
	// Load returns the parts a second that this process sends; it may be nil.
	Load func() uint32
	// Follows reports whether this process hears of the platform through peers,
	// so that it takes over at once what they have; it may be nil.
	Follows func() bool

	leaving atomic.Bool
	// heardWord is set for good with the first word of the platform.
	heardWord atomic.Bool
	// following is set while a peer is asked for what it has.
	following atomic.Bool
	members   *rcu.Value[members]
	kick      chan struct{}
}

// Init readies the cluster. It is called once, before the other methods.
func (cr *Cluster) Init() {
	cr.members = rcu.New(members{})
	cr.kick = make(chan struct{}, 1)
}

// Leave marks this process as leaving, for good.
func (cr *Cluster) Leave() {
	cr.leaving.Store(true)
	cr.Kick()
}

// Kick starts a round of heartbeats now.
func (cr *Cluster) Kick() {
	select {
	case cr.kick <- struct{}{}:
	default:
	}
}

// Own returns the record of this process.
func (cr *Cluster) Own(now time.Time) machine.EntryVM {
	vm := cr.Self
	vw := cr.Replica.Current()
	vm.HeardAt, vm.Leaving, vm.PlatformAway = now, cr.leaving.Load(), cr.PlatformDown()
	vm.Version, vm.Digest = vw.Version, vw.Digest
	if !cr.hasHeardWord() {
		// It can't answer callers yet, whatever objects it has.
		vm.Version = 0
	}
	if cr.Load != nil {
		vm.Load = cr.Load()
	}
	return vm
}

// Members returns all known entry VMs with this one, ordered by name.
func (cr *Cluster) Members(now time.Time) []machine.EntryVM {
	known := *cr.members.Load()
	vms := make([]machine.EntryVM, 0, len(known)+1)
	vms = append(vms, cr.Own(now))
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

// Run sends heartbeats until the context ends.
func (cr *Cluster) Run(ctx context.Context) {
	ticker := time.NewTicker(machine.HeartbeatEvery)
	defer ticker.Stop()
	for {
		cr.round(ctx)
		select {
		case <-ticker.C:
		case <-cr.kick:
		case <-ctx.Done():
			return
		}
	}
}

// round sends one heartbeat to each of a choice of peers, at the same time.
func (cr *Cluster) round(ctx context.Context) {
	now := time.Now()
	cr.forget(now)
	targets := cr.targets(now)
	done := make(chan struct{}, len(targets))
	for _, address := range targets {
		go func() {
			cr.exchange(ctx, address)
			done <- struct{}{}
		}()
	}
	waited := time.After(roundTime)
	for range targets {
		select {
		case <-done:
		case <-waited:
			// A peer that does not answer holds no news up.
			cr.judgeFrozen(time.Now())
			return
		}
	}
	cr.judgeFrozen(time.Now())
}

// targets returns the addresses of the peers of one round and all unheard
// seeds.
func (cr *Cluster) targets(now time.Time) []string {
	known := *cr.members.Load()
	var addresses []string
	heard := map[string]bool{cr.Self.EntryAddress: true}
	for _, mb := range known {
		heard[mb.EntryAddress] = heard[mb.EntryAddress] || mb.IsLive(now)
		addresses = append(addresses, mb.EntryAddress)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if len(addresses) > smallCluster {
		addresses = addresses[:fanOut]
		if watcher := cr.watcher(now); watcher != "" && !slices.Contains(addresses, watcher) {
			addresses[0] = watcher
		}
	}
	for _, seed := range cr.Seeds {
		if !heard[seed] && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// watcher returns the address of an entry VM that watches the platform, of this
// one's zone if there is one; empty if there is none.
func (cr *Cluster) watcher(now time.Time) string {
	address := ""
	for _, vm := range machine.Watchers(now, cr.Members(now)) {
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
	reply, err := cr.Transport.Exchange(ctx, address, cr.Heartbeat(sentAt))
	if err != nil {
		if ctx.Err() == nil {
			events.PeerFailed.Log(cr.Log, zap.String("address", address), zap.Error(err))
		}
		return
	}
	cr.take(sentAt, reply)
	cr.answered(ctx, sentAt, address, reply)
}

// Word returns when the platform last gave its word, to this process or a peer.
func (cr *Cluster) Word() time.Time {
	asOf := cr.Confirmation.AsOf()
	if cr.Direct == nil {
		return asOf
	}
	if direct := cr.Direct(); direct.After(asOf) {
		return direct
	}
	return asOf
}

// hasHeardWord reports whether the platform ever gave its word.
func (cr *Cluster) hasHeardWord() bool {
	if !cr.heardWord.Load() && !cr.Word().IsZero() {
		cr.heardWord.Store(true)
	}
	return cr.heardWord.Load()
}

// wordAge returns the age of the platform's word as told to peers; neverHeard if
// there was none since the start.
func (cr *Cluster) wordAge(now time.Time) uint32 {
	if !cr.hasHeardWord() {
		return neverHeard
	}
	return min(ageOf(now, cr.Word()), neverHeard-1)
}

// Heartbeat returns the message of this process.
func (cr *Cluster) Heartbeat(now time.Time) *entrypb.Heartbeat {
	own, cp := cr.Own(now), cr.Replica.Current()
	hb := &entrypb.Heartbeat{
		Sender:       encodeMember(now, own),
		Confirmed:    now.Sub(cr.Word()) <= view.ConfirmedFor,
		ConfirmedMs:  cr.wordAge(now),
		PlatformDown: cr.PlatformDown(),
		Version:      cp.Version,
		Digest:       cp.Digest,
	}
	hb.Members = sample(now, *cr.members.Load())
	for print, cs := range cr.Quarantine.Current() {
		hb.Quarantines = append(hb.Quarantines, &entrypb.Quarantine{Fingerprint: print, Servers: cs.Servers})
	}
	return hb
}

// sample returns some live members, those that leave in addition. The order of
// a map is random enough.
func sample(now time.Time, known members) []*entrypb.Member {
	var told []*entrypb.Member
	staying, leaving := 0, 0
	for _, mb := range known {
		switch {
		case !mb.IsLive(now):
			continue
		case mb.Leaving && leaving < leavingSize:
			leaving++
		case !mb.Leaving && staying < sampleSize:
			staying++
		default:
			continue
		}
		told = append(told, encodeMember(now, mb.EntryVM))
		if staying == sampleSize && leaving == leavingSize {
			break
		}
	}
	return told
}

// Handle takes a heartbeat of a peer and returns the answer to it.
func (cr *Cluster) Handle(now time.Time, hb *entrypb.Heartbeat) *entrypb.Heartbeat {
	cr.take(now, hb)
	cr.followSender(now, hb)
	return cr.Heartbeat(now)
}

// followSender asks a peer that has something newer for it.
func (cr *Cluster) followSender(now time.Time, hb *entrypb.Heartbeat) {
	cp := cr.Replica.Current()
	if !cr.follows() || hb.Digest == cp.Digest || cp.Had(hb.Version, hb.Digest) {
		return
	}
	address := decodeMember(now, hb.Sender).EntryAddress
	if address == "" || !cr.following.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer cr.following.Store(false)
		cr.exchange(context.Background(), address)
	}()
}

func (cr *Cluster) follows() bool {
	return cr.Follows != nil && cr.Follows()
}

// take takes in members and quarantines, as of a time.
func (cr *Cluster) take(now time.Time, hb *entrypb.Heartbeat) {
	sender := decodeMember(now, hb.Sender)
	sender.Version, sender.Digest, sender.PlatformAway = hb.Version, hb.Digest, hb.PlatformDown
	if hb.ConfirmedMs == neverHeard {
		sender.Version = 0
	}
	told := []machine.EntryVM{sender}
	for _, mb := range hb.Members {
		told = append(told, decodeMember(now, mb))
	}
	if cr.isNews(told) {
		cr.members.Update(func(old members) members { return cr.merge(now, old, told) })
	}
	for _, qn := range hb.Quarantines {
		cr.takeQuarantine(now, qn)
	}
}

func (cr *Cluster) isNews(told []machine.EntryVM) bool {
	known := *cr.members.Load()
	return slices.ContainsFunc(told, func(vm machine.EntryVM) bool {
		have, ok := known[vm.Name]
		if vm.Name != told[0].Name {
			vm.PlatformAway = have.PlatformAway
		}
		return vm.Name != cr.Self.Name && (!ok || have.EntryVM != have.Newer(vm))
	})
}

// merge takes in records; the first is of the VM that told of the others.
func (cr *Cluster) merge(now time.Time, old members, told []machine.EntryVM) members {
	next := maps.Clone(old)
	for _, vm := range told {
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
		away := mb.PlatformAway
		mb.EntryVM = mb.Newer(vm)
		if vm.Name != told[0].Name {
			// Only a VM itself tells whether it reaches the platform.
			mb.PlatformAway = away
		}
		next[vm.Name] = mb
	}
	return next
}

func (cr *Cluster) takeQuarantine(now time.Time, qn *entrypb.Quarantine) {
	for _, server := range qn.Servers {
		if cr.Quarantine.Count(now, qn.Fingerprint) >= len(qn.Servers) {
			return
		}
		cr.Quarantine.Crashed(now, qn.Fingerprint, server)
	}
}

// forget drops members that were not heard for long and logs the silent ones.
func (cr *Cluster) forget(now time.Time) {
	for name, mb := range *cr.members.Load() {
		silence := now.Sub(mb.HeardAt)
		if silence > machine.SilentPeer && silence <= machine.SilentPeer+machine.HeartbeatEvery {
			events.PeerSilent.Log(cr.Log, zap.String("peer", name))
		}
		if silence > machine.ForgetPeer {
			cr.members.Update(func(old members) members {
				next := maps.Clone(old)
				delete(next, name)
				return next
			})
		}
	}
}

func ageOf(now, then time.Time) uint32 {
	return uint32(min(max(now.Sub(then).Milliseconds(), 0), neverHeard))
}

func encodeMember(now time.Time, vm machine.EntryVM) *entrypb.Member {
	return &entrypb.Member{
		Name: vm.Name, Zone: vm.Zone, CallerAddress: vm.CallerAddress, OperatorAddress: vm.OperatorAddress,
		EntryAddress: vm.EntryAddress, Incarnation: vm.Incarnation, Leaving: vm.Leaving, HeardMs: ageOf(now, vm.HeardAt),
		Capacity: vm.Capacity, Load: vm.Load,
	}
}

func decodeMember(now time.Time, mb *entrypb.Member) machine.EntryVM {
	return machine.EntryVM{
		Name: mb.GetName(), Zone: mb.GetZone(), CallerAddress: mb.GetCallerAddress(), OperatorAddress: mb.GetOperatorAddress(),
		EntryAddress: mb.GetEntryAddress(), Incarnation: mb.GetIncarnation(), Leaving: mb.GetLeaving(),
		HeardAt:  now.Add(-time.Duration(mb.GetHeardMs()) * time.Millisecond),
		Capacity: mb.GetCapacity(), Load: mb.GetLoad(),
	}
}
