package forwardvm

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

// fleetTarget takes in what is heard of the platform. It is a platform.Target.
type fleetTarget struct {
	process *Process
	codec   view.FleetCodec
}

// Apply is of platform.Target.
func (ft *fleetTarget) Apply(now time.Time, objects []view.Object) {
	if len(objects) == 0 {
		return
	}
	ps := ft.process
	hold := min(ps.settings.Load().DrainFor-holdMargin, longestHold)
	var refused []error
	before := ps.Fleets.Load()
	after := ps.Fleets.Update(func(fl view.Fleet) view.Fleet {
		fl, refused = fl.Apply(now, hold, ft.codec, objects)
		return fl
	})
	for _, err := range refused {
		events.BadObject.Log(ps.Log, zap.Error(err))
	}
	if after.Digest != before.Digest {
		ps.Cluster.Kick()
	}
	if after.Table != before.Table {
		events.TableInForce.Log(ps.Log, zap.Int64("version", after.Table.Version), zap.Int("routes", len(after.Table.Routes)))
	}
}

// Current is of entry.Replica.
func (ft *fleetTarget) Current() *view.Copy {
	return &ft.process.Fleets.Load().Copy
}

// Known is of platform.Target.
func (ft *fleetTarget) Known(prefix string, version int64) []string {
	var keys []string
	for key, ob := range ft.Current().Objects.All() {
		if strings.HasPrefix(key, prefix) && !ob.Deleted && ob.Version < version {
			keys = append(keys, key)
		}
	}
	return keys
}

// Confirm is of platform.Target: what the process heard itself is told by
// directWord.
func (ft *fleetTarget) Confirm(time.Time) {}

// waitOfWatch is how long a watch waits.
func waitOfWatch(string) time.Duration {
	return watchWait + rand.N(watchSpread)
}

// directWord returns when the platform last gave this process its word.
func (ps *Process) directWord() time.Time {
	if ps.watcher.IsCurrent() {
		return time.Now()
	}
	return time.Time{}
}

// isPlatformAway reports whether the platform does not answer this process.
func (ps *Process) isPlatformAway() bool {
	return ps.watcher.FailedWithin(time.Now(), awayFor)
}

// follows reports whether this process hears of the platform through peers.
func (ps *Process) follows() bool {
	return !ps.watcher.IsCurrent()
}

// mustWatch reports whether this process watches the platform itself: it is one
// of those that do so for all, or no word came from those for too long. While
// the platform fails, the entry VMs try it in turns.
func (ps *Process) mustWatch(now time.Time) bool {
	members := ps.Cluster.Members(now)
	isSelf := func(vm machine.EntryVM) bool { return vm.Name == ps.Config.Name }
	if slices.ContainsFunc(machine.Watchers(now, members), isSelf) {
		return true
	}
	patience := min(ps.settings.Load().ApplyWithin, ps.settings.Load().DrainFor) * patienceShare / 100
	if now.Sub(ps.Confirmation.AsOf()) <= patience {
		return false
	}
	turn := int(now.UnixNano()/int64(turnTime)) % len(members)
	return !ps.isPlatformAway() || isSelf(members[turn])
}

// tend keeps shares, budgets and links up to date until the context ends.
func (ps *Process) tend(ctx context.Context) {
	ticker := time.NewTicker(tendEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case now := <-ticker.C:
			ps.tendOnce(now, round%slowRound == 0)
			ps.Backend.Warm(ctx, now, ps.worthWarming(now))
		case <-ctx.Done():
			return
		}
	}
}

func (ps *Process) tendOnce(now time.Time, slow bool) {
	if ps.Fleets.Load().HasLapsed(now) {
		ps.Fleets.Update(func(fl view.Fleet) view.Fleet { return fl.Lapse(now) })
	}
	ps.watcher.SetActive(ps.mustWatch(now))
	ps.Service.Tend()
	if !slow {
		return
	}
	ps.load.Store(smoothed(ps.load.Load(), ps.Service.Parts.Swap(0)))
	ps.share(now)
	ps.publish(now)
	ps.Backend.Forget(func(name, address string) bool {
		sv := ps.Fleets.Load().Servers[name]
		return sv != nil && sv.Address == address
	})
}

// loadWeight is the weight of the newest second in the smoothed load, in 1/100.
const loadWeight = 40

// smoothed takes the parts of a second into the load. Rises count at once, so
// that callers find room.
func smoothed(load uint32, parts int64) uint32 {
	newest := uint32(min(parts, math.MaxUint32))
	if newest > load {
		return newest
	}
	return load - (load-newest)*loadWeight/100
}

// strayShare is the part, in 1/100, of the servers' connections that is left to
// entry VMs which carry no callers by now.
const strayShare = 25

// share divides connections and extra sends among the entry VMs: nearly all go
// to those that carry callers.
func (ps *Process) share(now time.Time) {
	members := ps.Cluster.Members(now)
	live := ps.liveEntryVMs(now)
	carriers := machine.Carriers(now, members)
	carries := carriers[ps.Config.Name] || len(carriers) == 0
	ps.carries.Store(carries)
	retries := ps.settings.Load().Retries
	switch {
	case ps.isYoung(now) || len(carriers) == 0 || len(carriers) >= live:
		ps.Backend.SetShare(backend.Share{EntryVMs: live})
		ps.Service.Budgets.SetShare(retries, live)
	case carries:
		ps.Backend.SetShare(backend.Share{EntryVMs: len(carriers), Kept: strayShare})
		ps.Service.Budgets.SetShare(retries, len(carriers))
	default:
		ps.Backend.SetShare(backend.Share{EntryVMs: live, Kept: 100 - strayShare})
		// The slack is with those that carry callers.
		retries.Slack = 0
		ps.Service.Budgets.SetShare(retries, 1)
	}
}

// wideShare is the number of connections of one entry VM to a server from which
// links are opened before there is traffic.
const wideShare = 2

// worthWarming returns the servers that the next request may go to: those of
// services in use, and of all that routes name where connections are plenty.
func (ps *Process) worthWarming(now time.Time) []*machine.Server {
	fl := ps.Fleets.Load()
	if fl.Table == nil || ps.leaving.Load() || !ps.carries.Load() {
		return nil
	}
	var servers []*machine.Server
	for _, name := range fl.Table.Targets() {
		inUse := ps.Service.Budgets.InUse(now, name)
		for _, sv := range fl.Live(name) {
			if inUse || ps.Backend.ShareOf(sv) >= wideShare && !ps.isYoung(now) {
				servers = append(servers, sv)
			}
		}
	}
	return servers
}

// liveEntryVMs counts the entry VMs that may hold connections to servers.
func (ps *Process) liveEntryVMs(now time.Time) int {
	count := 0
	for _, vm := range ps.Cluster.Members(now) {
		if vm.IsLive(now) {
			count++
		}
	}
	if ps.isYoung(now) {
		count = max(count, unheardVMs)
	}
	return max(count, len(ps.settings.Load().Peers))
}

const (
	// youngFor is the time after the start in which other entry VMs may be
	// unheard: three rounds of heartbeats.
	youngFor = 3 * machine.HeartbeatEvery
	// unheardVMs is the number of entry VMs to assume meanwhile: today's users
	// have 6 to 9.
	unheardVMs = 9
)

// isYoung reports whether the process may not know the other entry VMs yet.
func (ps *Process) isYoung(now time.Time) bool {
	return now.Sub(ps.startedAt) < youngFor
}
