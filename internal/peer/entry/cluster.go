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
	"daisystage.example/daisystage/internal/peer/platform"
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
)

// Transport carries messages to one entry VM.
type Transport interface {
	Exchange(ctx context.Context, address string, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error)
	Pull(ctx context.Context, address string, rq *entrypb.PullRequest) (*entrypb.PullReply, error)
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
	Self         machine.EntryVM
	Seeds        []string
	Transport    Transport
	Views        *rcu.Value[view.View]
	Confirmation *view.Confirmation
	Quarantine   *contract.Quarantine
	// PlatformDown reports whether this process's own calls are unanswered.
	PlatformDown func() bool
	Log          *zap.Logger

	leaving atomic.Bool
	members *rcu.Value[members]
	kick    chan struct{}
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
	vw := cr.Views.Load()
	vm.HeardAt, vm.Leaving = now, cr.leaving.Load()
	vm.Version, vm.Digest = vw.Version, vw.Digest
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
	for range targets {
		<-done
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
	}
	for _, seed := range cr.Seeds {
		if !heard[seed] && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
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

// Heartbeat returns the message of this process.
func (cr *Cluster) Heartbeat(now time.Time) *entrypb.Heartbeat {
	own := cr.Own(now)
	hb := &entrypb.Heartbeat{
		Sender:       encodeMember(now, own),
		Confirmed:    cr.Confirmation.IsDirect(now),
		ConfirmedMs:  ageOf(now, cr.Confirmation.AsOf()),
		PlatformDown: cr.PlatformDown(),
		Version:      own.Version,
		Digest:       own.Digest,
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
	return cr.Heartbeat(now)
}

// take takes in members and quarantines, as of a time.
func (cr *Cluster) take(now time.Time, hb *entrypb.Heartbeat) {
	sender := decodeMember(now, hb.Sender)
	sender.Version, sender.Digest = hb.Version, hb.Digest
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
		return vm.Name != cr.Self.Name && (!ok || have.EntryVM != have.Newer(vm))
	})
}

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
		mb.EntryVM = mb.Newer(vm)
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

// answered takes in the answer of a peer to a heartbeat sent at a time. The
// answer was made after that, so what it says counts from sentAt.
func (cr *Cluster) answered(ctx context.Context, sentAt time.Time, address string, reply *entrypb.Heartbeat) {
	vw := cr.Views.Load()
	same := reply.Digest == vw.Digest
	behind := vw.Had(reply.Version, reply.Digest)
	if !same && !behind && cr.mustPull(sentAt, reply) {
		same = cr.pull(ctx, address, reply)
	}
	if same && reply.Confirmed {
		cr.Confirmation.Heard(sentAt.Add(-time.Duration(reply.ConfirmedMs) * time.Millisecond))
	}
	cr.members.Update(func(old members) members {
		mb, ok := old[reply.Sender.Name]
		if !ok {
			return old
		}
		next := maps.Clone(old)
		mb.AnsweredAt, mb.PlatformDown = sentAt, reply.PlatformDown
		mb.Mismatches++
		if same || behind {
			mb.Mismatches = 0
		}
		next[reply.Sender.Name] = mb
		return next
	})
}

// mustPull reports whether a difference is not just the platform's own watch
// being a moment behind.
func (cr *Cluster) mustPull(now time.Time, reply *entrypb.Heartbeat) bool {
	mb := (*cr.members.Load())[reply.Sender.Name]
	return mb.Mismatches > 0 || now.Sub(cr.Confirmation.AsOf()) > watchLag
}

// pull takes the objects that a peer has and this process lacks, and reports
// whether the views are the same then.
func (cr *Cluster) pull(ctx context.Context, address string, reply *entrypb.Heartbeat) bool {
	mb := (*cr.members.Load())[reply.Sender.Name]
	after := cr.Views.Load().Version
	switch {
	case mb.Mismatches >= fullPullAfter:
		after = 0
	case mb.Mismatches > 0:
		after = max(min(after, reply.Version)-pullOverlap, 0)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pullTimeout)
	defer cancel()
	pulled, err := cr.Transport.Pull(ctx, address, &entrypb.PullRequest{After: after})
	if err != nil {
		events.PeerFailed.Log(cr.Log, zap.String("address", address), zap.Error(err))
		return false
	}
	before := cr.Views.Load().Digest
	platform.Apply(cr.Views, cr.Log, newerOf(cr.Views.Load(), pulled.Objects))
	digest := cr.Views.Load().Digest
	if digest != before {
		events.PeerPulled.Log(cr.Log, zap.String("peer", reply.Sender.Name), zap.Int64("version", pulled.Version))
	}
	return digest == reply.Digest
}

// newerOf returns the objects that are newer than those of the view.
func newerOf(vw *view.View, pulled []*entrypb.Object) []view.Object {
	var newer []view.Object
	for _, ob := range pulled {
		have, ok := vw.Objects.Get(ob.Key)
		if !ok || ob.Version > have.Version {
			newer = append(newer, view.Object{Key: ob.Key, Version: ob.Version, Value: ob.Value, Deleted: ob.Deleted})
		}
	}
	return newer
}

// HandlePull returns the objects that a peer asks for.
func (cr *Cluster) HandlePull(rq *entrypb.PullRequest) *entrypb.PullReply {
	vw := cr.Views.Load()
	reply := &entrypb.PullReply{Version: vw.Version}
	for _, ob := range vw.Objects.All() {
		if ob.Version > rq.After {
			reply.Objects = append(reply.Objects, &entrypb.Object{
				Key: ob.Key, Version: ob.Version, Value: ob.Value, Deleted: ob.Deleted,
			})
		}
	}
	return reply
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

// judgeFrozen keeps the view confirmed while the platform answers nobody: most
// entry VMs say so, one of them in another zone, and all have the same view.
func (cr *Cluster) judgeFrozen(now time.Time) {
	if !cr.PlatformDown() {
		return
	}
	vw := cr.Views.Load()
	if vw.Version == 0 {
		return
	}
	digest := vw.Digest
	known := *cr.members.Load()
	agree, elsewhere := 1, false
	for _, mb := range known {
		heard := now.Sub(mb.AnsweredAt) <= agreeWithin
		if heard && mb.PlatformDown && mb.Digest == digest {
			agree++
			elsewhere = elsewhere || mb.Zone != cr.Self.Zone
		}
	}
	if elsewhere && 2*agree > len(known)+1 {
		cr.Confirmation.Frozen(now.Add(frozenFor))
	}
}

func ageOf(now, then time.Time) uint32 {
	return uint32(min(max(now.Sub(then).Milliseconds(), 0), 1<<31))
}

func encodeMember(now time.Time, vm machine.EntryVM) *entrypb.Member {
	return &entrypb.Member{
		Name: vm.Name, Zone: vm.Zone, CallerAddress: vm.CallerAddress, OperatorAddress: vm.OperatorAddress,
		EntryAddress: vm.EntryAddress, Incarnation: vm.Incarnation, Leaving: vm.Leaving, HeardMs: ageOf(now, vm.HeardAt),
	}
}

func decodeMember(now time.Time, mb *entrypb.Member) machine.EntryVM {
	return machine.EntryVM{
		Name: mb.GetName(), Zone: mb.GetZone(), CallerAddress: mb.GetCallerAddress(), OperatorAddress: mb.GetOperatorAddress(),
		EntryAddress: mb.GetEntryAddress(), Incarnation: mb.GetIncarnation(), Leaving: mb.GetLeaving(),
		HeardAt: now.Add(-time.Duration(mb.GetHeardMs()) * time.Millisecond),
	}
}
