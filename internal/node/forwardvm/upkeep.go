package forwardvm

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/query/forward"
	"daisystage.example/daisystage/internal/world/contract"
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
	hold := min(ps.Config.DrainFor-holdMargin, longestHold)
	var refused []error
	before := ps.Fleets.Load().Table
	after := ps.Fleets.Update(func(fl view.Fleet) view.Fleet {
		fl, refused = fl.Apply(now, hold, ft.codec, objects)
		return fl
	}).Table
	for _, err := range refused {
		events.BadObject.Log(ps.Log, zap.Error(err))
	}
	if after != before {
		ps.views.Update(func(vw view.View) view.View {
			vw.Version, vw.Digest = after.Version, uint64(after.Version)
			return vw
		})
		ps.Cluster.Kick()
		events.TableInForce.Log(ps.Log, zap.Int64("version", after.Version), zap.Int("routes", len(after.Routes)))
	}
}

// Known is of platform.Target.
func (ft *fleetTarget) Known(prefix string, _ int64) []string {
	var keys []string
	if prefix == view.PrefixMembers {
		for name := range ft.process.Fleets.Load().Servers {
			keys = append(keys, prefix+name)
		}
	}
	return keys
}

// Confirm is of platform.Target.
func (ft *fleetTarget) Confirm(asOf time.Time) {
	ft.process.Confirmation.Heard(asOf)
}

// watchWait is how long a watch of a prefix waits.
func (ps *Process) watchWait(prefix string) time.Duration {
	if prefix == view.PrefixMembers {
		return serverWatch
	}
	// The entry VMs take turns, at random times.
	spread := time.Duration(ps.liveEntryVMs(time.Now())) * tableWatch
	return min(max(spread/2+rand.N(spread), serverWatch), longestWatch)
}

// peerIsNewer is told of a peer that has a newer configuration in force.
func (ps *Process) peerIsNewer() {
	ps.watcher.Refresh(view.PrefixTable)
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
	ps.Service.Tend()
	if !slow {
		return
	}
	live := ps.liveEntryVMs(now)
	ps.Backend.SetEntryVMs(live)
	ps.Service.Budgets.SetShare(ps.Config.Retries, live)
	ps.Backend.Forget(func(name, address string) bool {
		sv := ps.Fleets.Load().Servers[name]
		return sv != nil && sv.Address == address
	})
}

// wideShare is the number of connections of one entry VM to a server from which
// links are opened before there is traffic.
const wideShare = 2

// worthWarming returns the servers that the next request may go to: those of
// services in use, and of all that routes name where connections are plenty.
func (ps *Process) worthWarming(now time.Time) []*machine.Server {
	fl := ps.Fleets.Load()
	if fl.Table == nil || ps.leaving.Load() {
		return nil
	}
	entryVMs := ps.liveEntryVMs(now)
	var servers []*machine.Server
	for _, name := range fl.Table.Targets() {
		inUse := ps.Service.Budgets.InUse(now, name)
		for _, sv := range fl.Live(name) {
			if inUse || sv.ConnectionShare(entryVMs, 0) >= wideShare {
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
	return max(count, len(ps.Config.Peers))
}

// observer logs the calls that did not go as usual.
type observer struct {
	log *zap.Logger
}

// Forwarded is of forward.Observer.
func (ob *observer) Forwarded(rc *forward.Record) {
	event := events.AnswerPartial
	switch rc.Outcome {
	case contract.Whole:
		return
	case contract.Unknown:
		event = events.AnswerUnknown
	case contract.NotRun, contract.Invalid:
		event = events.AnswerRefused
	}
	var missed []string
	for _, pt := range rc.Parts {
		for _, ms := range pt.Misses {
			missed = append(missed, pt.Shard+"/"+ms.Server+":"+string(ms.Cause))
		}
		if pt.Why != "" {
			missed = append(missed, pt.Shard+":"+string(pt.Why))
		}
	}
	event.Log(ob.log,
		zap.String("request_id", rc.ID), zap.String("route", rc.Route), zap.Int64("table_version", rc.TableVersion),
		zap.Duration("table_age", rc.Age), zap.Duration("took", rc.Took),
		zap.String("outcome", string(rc.Outcome)), zap.String("code", string(rc.Code)), zap.String("reason", rc.Reason),
		zap.Int("answered", rc.Coverage.Answered), zap.Int("total", rc.Coverage.Total),
		zap.Int("hedges", rc.Hedges), zap.Int("retries", rc.Retries), zap.String("missed", strings.Join(missed, " ")),
	)
}
