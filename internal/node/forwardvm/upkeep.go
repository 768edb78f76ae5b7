package forwardvm

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/bootclock"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/node/lifecycle"
	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/peer/callerhttp"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

// fleetTarget applies objects from the platform or from peers to the fleet of a
// process. It implements platform.Target and entry.Replica.
type fleetTarget struct {
	process *Process
	codec   view.FleetCodec
}

// Apply implements platform.Target and entry.Replica. Objects that can't be
// decoded are logged and left out.
func (ft *fleetTarget) Apply(now time.Time, origin view.Origin, objects []view.Object) (changed int64) {
	if len(objects) == 0 {
		return 0
	}
	ps := ft.process
	removalDelay := ps.settings.Load().removalDelay()
	ps.dateRemovals(now, origin, objects)
	newestAge := ps.Freshness.AsOf().Age(bootclock.Now())
	var refused []error
	var before view.Fleet
	after := ps.Fleets.Update(func(fl view.Fleet) view.Fleet {
		before = fl
		fl, refused = fl.Apply(now, origin, removalDelay, ft.codec, objects)
		return fl
	})
	// A peer may know of a restore that this process has not seen yet.
	ps.eras.Observe(view.EraOf(after.Version))
	if after.Digest != before.Digest {
		ps.Cluster.TriggerRound()
	}
	if after.Table != before.Table {
		ps.rates.share.SetVersion(after.Table.Version)
		ps.guard.SetLimits(headLimits(after.Table))
	}
	ps.logObjects(now, origin, newestAge, &before, after, objects, refused)
	return after.Changes - before.Changes
}

// logEvacuations logs the zones of which an evacuation began or ended.
func (ps *Process) logEvacuations(before, after map[string]bool) {
	for zone := range after {
		if !before[zone] {
			events.ZoneEvacuated.Log(ps.Log, zap.String("evacuated_zone", zone))
		}
	}
	for zone := range before {
		if !after[zone] {
			events.ZoneTakenBack.Log(ps.Log, zap.String("evacuated_zone", zone))
		}
	}
}

// headLimits returns the limits of heads under a table.
func headLimits(tb *contract.Table) callerhttp.Limits {
	limits := callerhttp.Limits{HeadBytes: tb.Limits.HeaderBytes, HeadTimeout: tb.Limits.HeaderTimeout, FanOut: 1}
	for _, route := range tb.Routes {
		limits.FanOut = max(limits.FanOut, len(route.Shards))
	}
	return limits
}

// Current implements entry.Replica.
func (ft *fleetTarget) Current() *view.Copy {
	return &ft.process.Fleets.Load().Copy
}

// KeysOlderThan implements platform.Target.
func (ft *fleetTarget) KeysOlderThan(prefix string, version int64) []string {
	return ft.Current().KeysOlderThan(prefix, version)
}

// Confirm implements platform.Target. It does nothing, since
// directlyConfirmedAt queries the watcher.
func (ft *fleetTarget) Confirm(time.Time) {}

// watchWait returns how long the next watch of a prefix waits for a change.
func (ps *Process) watchWait(prefix string) time.Duration {
	cg := ps.settings.Load()
	if prefix == view.PrefixEvacuations {
		return cg.EvacuateWithin*minEvacuationWaitPercent/100 + rand.N(max(cg.EvacuateWithin*evacuationJitterPercent/100, 1))
	}
	wait, strictWait := minDrawnWait+rand.N(drawnWaitJitter), cg.RevokeWithin*strictWaitPercent/100
	if !ps.isStrict() || strictWait > maxAnswerGap {
		first, last := ps.watcher.Due(prefix)
		wait = spreadWait(wait, bootclock.Now(), first, last)
	}
	if ps.isStrictTable(prefix) {
		wait = min(wait, strictWait)
	}
	return wait
}

// spreadWait shortens a wait so that this watch and the open ones, of which the first and
// the last end at the given times, are answered at most maxAnswerGap apart if nothing
// changes. So answers prove often that the platform is reached, without other calls.
func spreadWait(wait, now, first, last time.Duration) time.Duration {
	switch {
	case last == 0:
		return wait
	case first-now > minWatchWait:
		return minWatchWait
	}
	return max(min(wait, last-now+maxAnswerGap), minWatchWait)
}

// directlyConfirmedAt returns the latest time as of which the platform told this process
// itself all changes; the zero time unless all prefixes are listed and watched. A watch that
// hangs renews nothing.
func (ps *Process) directlyConfirmedAt() time.Time {
	if !ps.watcher.IsCurrent() {
		return time.Time{}
	}
	asOf := ps.watcher.Progress().ConfirmedAsOf()
	return time.Now().Add(asOf - bootclock.Now())
}

// isPlatformUnreachable reports whether this process's last call to the platform
// failed recently, or its calls have been unanswered for too long.
func (ps *Process) isPlatformUnreachable() bool {
	return ps.watcher.FailedWithin(time.Now(), unreachableFor) || ps.isUnanswered()
}

// isUnanswered reports whether another entry VM is to watch the platform since this one gets
// no answers. They may still come.
func (ps *Process) isUnanswered() bool {
	return ps.watcher.Progress().IsUnanswered(bootclock.Now(), ps.changeWithin())
}

// changeWithin returns the time within which any change must take effect.
func (ps *Process) changeWithin() time.Duration {
	cg := ps.settings.Load()
	within := min(cg.ApplyWithin, cg.DrainFor)
	if cg.UsesWarmUp {
		within = min(within, cg.EvacuateWithin)
	}
	return within
}

// reportUnanswered tells the peers without waiting for the next heartbeat when this process
// gets no answers, so that a successor watches the platform, and when it gets them again. A
// failed call is not told at once, since the next one is mostly answered. Only the upkeep
// calls it.
func (ps *Process) reportUnanswered() {
	if is := ps.isUnanswered(); is != ps.wasUnanswered {
		ps.wasUnanswered = is
		ps.Cluster.TriggerRound()
	}
}

// followsPeers reports whether this process gets changes of the platform through
// peers.
func (ps *Process) followsPeers() bool {
	return !ps.watcher.IsCurrent() || ps.isUnanswered()
}

// confirmationAge returns how long ago the platform confirmed the fleet to the peers.
func (ps *Process) confirmationAge(now time.Time) time.Duration {
	asOf := ps.Confirmation.AsOf()
	if ps.Config.FirstStart && asOf.Before(ps.startedAt) {
		// The others have just started, too, and confirm the platform's state soon.
		asOf = ps.startedAt
	}
	return now.Sub(asOf)
}

// mustWatchPlatform reports whether this process is to watch the platform directly: it is one
// of the entry VMs that watch on behalf of all, its calls may still be answered, or no
// confirmation came through those for too long. While the platform is unreachable, entry VMs
// without confirmation try it in turns.
func (ps *Process) mustWatchPlatform(now time.Time) bool {
	members := ps.Cluster.Members(now)
	isSelf := func(vm machine.EntryVM) bool { return vm.Name == ps.Config.Name }
	if slices.ContainsFunc(machine.Watchers(now, members), isSelf) {
		return true
	}
	if ps.isUnanswered() && !ps.watcher.FailedWithin(now, unreachableFor) {
		return true
	}
	if ps.lacksFreshTable(bootclock.Now()) {
		return !ps.isPlatformUnreachable() || ps.isTurn(now, members)
	}
	if ps.confirmationAge(now) <= ps.changeWithin()*ownWatchPercent/100 {
		return false
	}
	if ps.isPlatformUnreachable() {
		return ps.isTurn(now, members)
	}
	return !ps.Cluster.HearsWatcher(now) && ps.isDrawn(now, members)
}

// askPeers starts a round of heartbeats when the platform's last confirmation gets old: a
// successor of a VM that watched may have a newer one.
func (ps *Process) askPeers(now time.Time) {
	age, within := ps.confirmationAge(now), ps.changeWithin()
	if !ps.watcher.IsCurrent() && age > within*askPeersPercent/100 && age <= within {
		ps.Cluster.TriggerRound()
	}
}

// isDrawn draws some of many VMs, so that not all of them call the platform at once when
// they lack a confirmation. A VM that hears from no peer is always drawn.
func (ps *Process) isDrawn(now time.Time, members []machine.EntryVM) bool {
	live := 0
	for _, vm := range members {
		if vm.IsLive(now) {
			live++
		}
	}
	return live <= maxUndrawn || !ps.Cluster.HearsPeer(now) || rand.N(live) < drawnWatchers
}

// isTurn reports whether it is this process's turn among the members to try an
// unreachable platform.
func (ps *Process) isTurn(now time.Time, members []machine.EntryVM) bool {
	turn := int(now.UnixNano()/int64(retryTurn)) % len(members)
	return members[turn].Name == ps.Config.Name
}

// runUpkeep keeps shares, budgets and connections up to date until the context
// ends.
func (ps *Process) runUpkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	var stalls lifecycle.StallDetector
	for round := 0; ; round++ {
		select {
		case now := <-ticker.C:
			if st, ok := stalls.Observe(time.Now(), lifecycle.CPUTime(), upkeepInterval); ok {
				events.Paused.Log(ps.Log, zap.Duration("for", st.For), zap.Duration("cpu", st.CPU))
			}
			ps.upkeepRound(now, round%roundsPerFullUpkeep == 0)
			ps.Backend.Warm(ctx, now, ps.serversToWarm(now))
		case <-ctx.Done():
			return
		}
	}
}

// upkeepRound does one round of upkeep; full includes the work that visits all
// connections.
func (ps *Process) upkeepRound(now time.Time, full bool) {
	if ps.Fleets.Load().HasExpired(now) {
		ps.Fleets.Update(func(fl view.Fleet) view.Fleet { return fl.RemoveExpired(now) })
	}
	ps.watcher.SetActive(ps.mustWatchPlatform(now))
	ps.reportUnanswered()
	ps.askPeers(now)
	ps.reportStaleKeys()
	ps.Service.PublishLatencies()
	if !full {
		return
	}
	ps.load.Store(smoothLoad(ps.load.Load(), ps.Service.AttemptsSent.Swap(0)))
	ps.divideShares(now)
	ps.Service.ForgetCosts(now)
	ps.publishGauges(now)
	ps.guard.LogRefused(now, ps.Log)
	ps.Backend.Prune(func(name, address string) bool {
		sv := ps.Fleets.Load().Servers[name]
		return sv != nil && sv.Address == address
	})
}

// loadDecayPercent is the weight of the newest second, in percent, when the load
// falls.
const loadDecayPercent = 40

// smoothLoad returns the load after a second in which a number of parts was
// sent. It follows a rise at once, so that callers are spread over more entry
// VMs in time, and a fall slowly.
func smoothLoad(load uint32, parts int64) uint32 {
	newest := uint32(min(parts, math.MaxUint32))
	if newest > load {
		return newest
	}
	return load - (load-newest)*loadDecayPercent/100
}

// unselectedPercent is the percentage of the servers' connections that is left
// to the entry VMs that are currently not selected for callers.
const unselectedPercent = 25

// divideShares sets this process's share of the server connections and of the
// hedges and retries. Most of them go to the entry VMs that are selected for
// callers.
func (ps *Process) divideShares(now time.Time) {
	members := ps.Cluster.Members(now)
	live := ps.countLiveEntryVMs(now)
	selected := machine.SelectedNames(now, members)
	isSelected := selected[ps.Config.Name] || len(selected) == 0
	ps.carriesCallers.Store(isSelected)
	retries := ps.settings.Load().Retries
	switch {
	case ps.isDiscoveringPeers(now) || len(selected) == 0 || len(selected) >= live:
		ps.Backend.SetShare(backend.Share{EntryVMs: live})
		ps.Service.Budgets.SetShare(now, retries, live)
	case isSelected:
		ps.Backend.SetShare(backend.Share{EntryVMs: len(selected), ReservedPercent: unselectedPercent})
		ps.Service.Budgets.SetShare(now, retries, len(selected))
	default:
		ps.Backend.SetShare(backend.Share{EntryVMs: live, ReservedPercent: 100 - unselectedPercent})
		// The slack is divided among the selected entry VMs.
		retries.Slack = 0
		ps.Service.Budgets.SetShare(now, retries, 1)
	}
}

// prewarmMinShare is the number of connections that an entry VM must be allowed
// to a server for it to open one before there is traffic.
const prewarmMinShare = 2

// serversToWarm returns the servers to open connections to in advance: those of
// services with recent requests, and those of any service named by a route to
// which this process may open at least prewarmMinShare connections.
func (ps *Process) serversToWarm(now time.Time) []*machine.Server {
	fl := ps.Fleets.Load()
	if fl.Table == nil || ps.leaving.Load() || !ps.carriesCallers.Load() {
		return nil
	}
	var servers []*machine.Server
	for _, name := range fl.Table.Targets() {
		inUse := ps.Service.Budgets.InUse(now, name)
		for _, sv := range fl.ServersOf(name) {
			if inUse || ps.Backend.ShareOf(sv) >= prewarmMinShare && !ps.isDiscoveringPeers(now) {
				servers = append(servers, sv)
			}
		}
	}
	return servers
}

// countLiveEntryVMs returns the number of entry VMs that may hold connections to
// servers. Peers that are configured or not yet discovered count as live.
func (ps *Process) countLiveEntryVMs(now time.Time) int {
	count := 0
	for _, vm := range ps.Cluster.Members(now) {
		if vm.IsLive(now) {
			count++
		}
	}
	if ps.isDiscoveringPeers(now) {
		count = max(count, assumedEntryVMs)
	}
	return max(count, len(ps.settings.Load().Peers))
}

const (
	// peerDiscoveryTime is the time after the start in which some entry VMs may
	// be undiscovered: three rounds of heartbeats.
	peerDiscoveryTime = 3 * machine.HeartbeatInterval
	// assumedEntryVMs is the least number of entry VMs assumed in that time:
	// today's users have 6 to 9.
	assumedEntryVMs = 9
)

// isDiscoveringPeers reports whether this process started so recently that it
// may not know all entry VMs yet.
func (ps *Process) isDiscoveringPeers(now time.Time) bool {
	return now.Sub(ps.startedAt) < peerDiscoveryTime
}
