package entryvm

import (
	"context"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/node/metrics"
	"daisystage.example/daisystage/internal/peer/callerhttp"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

// runUpkeep periodically updates the state that changes as time passes, such as
// the number of live entry VMs, until the context ends.
func (ps *Process) runUpkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	last := time.Now()
	confirmed := false
	leaving := map[string]bool{}
	var rounds, version int64
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if now.Sub(last) > pauseThreshold {
			events.Paused.Log(ps.Log, zap.Duration("for", now.Sub(last)))
		}
		last = now
		ps.Service.Refresh(now)
		ps.Backend.SetEntryVMs(ps.countLiveEntryVMs(now))
		confirmed = ps.logConfirmation(now, confirmed)
		if rounds++; rounds%roundsPerFullUpkeep != 0 {
			continue
		}
		ps.Metrics.SetGauges(ps.gaugeValues(now))
		ps.guard.LogRefused(now, ps.Log)
		ps.logLeavingServers(now, leaving)
		if vw := ps.Views.Load(); vw.Version != version {
			version = vw.Version
			ps.Backend.Prune(ps.isKnownServer)
		}
	}
}

// logLeavingServers logs the servers that began to leave since the last call.
// before maps each server to whether it was leaving then, and is updated.
func (ps *Process) logLeavingServers(now time.Time, before map[string]bool) {
	for name, sv := range ps.Views.Load().Servers.All() {
		leaves := sv.IsLeaving(now)
		if leaves && !before[name] {
			events.ServerLeaving.Log(ps.Log, zap.String("server", name))
		}
		before[name] = leaves
	}
}

// logConfirmation logs when the view becomes confirmed or unconfirmed, and
// returns the current state. before is the result of the last call.
func (ps *Process) logConfirmation(now time.Time, before bool) bool {
	confirmed := ps.Confirmation.IsConfirmed(now)
	if confirmed && !before {
		events.Confirmed.Log(ps.Log, zap.Int64("version", ps.Views.Load().Version))
	}
	if !confirmed && before {
		events.Isolated.Log(ps.Log, zap.Time("since", ps.Confirmation.AsOf()))
	}
	return confirmed
}

// countLiveEntryVMs returns the number of entry VMs that may hold connections to
// servers.
func (ps *Process) countLiveEntryVMs(now time.Time) int {
	count := 0
	for _, vm := range ps.Cluster.Members(now) {
		if vm.IsLive(now) {
			count++
		}
	}
	return count
}

// isKnownServer reports whether the current view has a server of this name at
// this address.
func (ps *Process) isKnownServer(name, address string) bool {
	sv, ok := ps.Views.Load().Servers.Get(name)
	return ok && sv.Address == address
}

// knownServers returns the servers of the current view, in no order.
func (ps *Process) knownServers() []*machine.Server {
	vw := ps.Views.Load()
	servers := make([]*machine.Server, 0, vw.Servers.Len())
	for _, sv := range vw.Servers.All() {
		servers = append(servers, sv)
	}
	return servers
}

// markLeavingVMs marks the servers that the platform's VM list shows as leaving.
// The list lags behind, so a VM that it does not show as leaving keeps its mark.
func (ps *Process) markLeavingVMs(now time.Time, vms []platform.VM) {
	vw := ps.Views.Load()
	for _, vm := range vms {
		if sv, ok := vw.Servers.Get(vm.Name); ok && vm.Leaving {
			sv.State.MarkLeaving(now)
		}
	}
}

// sweepClaims periodically deletes claims that are past their retention, until
// the context ends.
func (ps *Process) sweepClaims(ctx context.Context) {
	ticker := time.NewTicker(claimSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		swept, err := platform.SweepClaims(ctx, time.Now(), ps.Platform)
		if swept > 0 || err != nil {
			events.ClaimsSwept.Log(ps.Log, zap.Int("count", swept), zap.Error(err))
		}
	}
}

// gaugeValues returns the values of all gauges by name.
func (ps *Process) gaugeValues(now time.Time) map[string]float64 {
	invalidations := int64(0)
	open := int64(0)
	for _, pl := range ps.Backend.Pools() {
		invalidations += pl.Invalidations
		open += pl.Open
	}
	return map[string]float64{
		"platform_reads":       float64(ps.Platform.Reads.Load()),
		"platform_writes":      float64(ps.Platform.Writes.Load()),
		"platform_failures":    float64(ps.Platform.Failures.Load()),
		"settings_age_seconds": now.Sub(ps.Confirmation.AsOf()).Seconds(),
		"view_version":         float64(ps.Views.Load().Version),
		"links_open":           float64(open),
		"links_condemned":      float64(invalidations),
		"answers_mismatched":   float64(ps.Backend.Mismatches.Load()),
		"receipts_waiting":     float64(ps.Receipts.QueueLength()),
		"receipts_dropped":     float64(ps.Receipts.Dropped.Load()),
		"entry_vms_live":       float64(ps.countLiveEntryVMs(now)),

		"callers_leased_bytes":                 float64(ps.guard.Leased()),
		"callers_connections":                  float64(ps.guard.Connections()),
		"callers_refused_head_too_large":       float64(ps.guard.Refused(callerhttp.HeadTooLarge)),
		"callers_refused_no_memory":            float64(ps.guard.Refused(callerhttp.NoMemory)),
		"callers_refused_unfinished_dropped":   float64(ps.guard.Refused(callerhttp.UnfinishedDropped)),
		"callers_refused_connection_displaced": float64(ps.guard.Refused(callerhttp.ConnectionDisplaced)),
		"callers_refused_connection_refused":   float64(ps.guard.Refused(callerhttp.ConnectionRefused)),
	}
}

// observer records metrics of finished requests, and logs those that were not
// answered in full.
type observer struct {
	metrics *metrics.Metrics
	log     *zap.Logger
}

// RequestFinished implements request.Observer.
func (ob *observer) RequestFinished(rc *contract.Receipt, class contract.Class, sends, extra int) {
	ob.metrics.RequestFinished(rc, class, sends, extra)
	ev := events.AnswerRefused
	switch rc.Outcome {
	case contract.Whole, contract.AlreadyRun:
		return
	case contract.Partial:
		ev = events.AnswerPartial
	case contract.Unknown:
		ev = events.AnswerUnknown
	}
	ev.Log(ob.log, zap.String("request_id", rc.RequestID), zap.String("path", rc.Setting.Path),
		zap.Int64("era", view.EraOf(rc.Setting.Version)), zap.Int64("revision", view.RevisionOf(rc.Setting.Version)),
		zap.String("outcome", string(rc.Outcome)), zap.String("code", string(rc.Code)), zap.String("reason", rc.Reason),
		zap.Int("answered", rc.Coverage.Answered), zap.Int("total", rc.Coverage.Total))
}
