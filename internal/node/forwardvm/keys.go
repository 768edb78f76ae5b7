package forwardvm

import (
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/bootclock"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/world/view"
)

const (
	// strictWaitPercent is how long a watch of the configuration waits for a change at
	// most, in percent of RevokeWithin. With the pause between two watches and the
	// interval of heartbeats, the configuration of VMs that follow peers stays younger
	// than strictPeerPercent.
	strictWaitPercent = 10
	// strictPeerPercent is the age, in percent of RevokeWithin, at which a process whose
	// peers do not confirm the configuration watches the store itself. Keys earn nothing
	// from 60 percent on.
	strictPeerPercent = 50
)

// keyBounds returns the bounds on the age of the configuration that are in force.
func (ps *Process) keyBounds() view.KeyBounds {
	cg := ps.settings.Load()
	return view.KeyBounds{ApplyWithin: cg.ApplyWithin, RevokeWithin: cg.RevokeWithin}
}

// usesCustomers reports whether the deployment has customers.
func (ps *Process) usesCustomers() bool {
	return ps.settings.Load().UsesCustomers
}

// tableVersion returns the version of the configuration in force; 0 if there is none.
func (ps *Process) tableVersion() int64 {
	if tb := ps.Fleets.Load().Table; tb != nil {
		return tb.Version
	}
	return 0
}

// keysAreStale reports whether requests with keys are refused, because the configuration
// may be out of date.
func (ps *Process) keysAreStale() bool {
	age := ps.Freshness.AsOf().Age(bootclock.Now())
	tb := ps.Fleets.Load().Table
	return tb != nil && tb.HasCustomers() && !ps.keyBounds().MayAccept(age)
}

// isStrict reports whether customers' keys must be refused while the configuration may be
// out of date.
func (ps *Process) isStrict() bool {
	tb := ps.Fleets.Load().Table
	return ps.settings.Load().RevokeWithin > 0 && tb != nil && tb.HasCustomers()
}

// isStrictTable is isStrict for the prefix of the configuration, and false for others.
func (ps *Process) isStrictTable(prefix string) bool {
	return prefix == view.PrefixTable && ps.isStrict()
}

// lacksFreshTable reports whether peers do not confirm the configuration often enough for
// keys to be accepted.
func (ps *Process) lacksFreshTable(sinceBoot time.Duration) bool {
	if !ps.isStrict() {
		return false
	}
	age := ps.Freshness.Relayed().Age(sinceBoot)
	if ps.Config.FirstStart {
		// The others have just started, too, and confirm the configuration soon.
		age = min(age, time.Since(ps.startedAt))
	}
	return age > ps.settings.Load().RevokeWithin*strictPeerPercent/100
}

// onStoreCall returns a function that confirms the configuration as of now, to be called
// when the store has answered a call that is sent now.
func (ps *Process) onStoreCall(prefix string) func(version int64) {
	if prefix != view.PrefixTable {
		return nil
	}
	sentAt := bootclock.Now()
	known := ps.Fleets.Load().TableRevision
	return func(version int64) {
		if now := time.Now(); !ps.Fleets.Load().IsTableBehind(now) && !ps.mayLackLostTable(now) {
			ps.Freshness.ConfirmByStore(sentAt, version, known)
		}
	}
}

// mayLackLostTable reports whether this process has just started and peers may know a newer
// configuration than a store that was restored.
func (ps *Process) mayLackLostTable(now time.Time) bool {
	era, _ := ps.eras.Newest()
	return era > 0 && ps.isDiscoveringPeers(now) && !ps.Cluster.WasInSync()
}

// reportStaleKeys logs when requests with keys begin and cease to be refused, and tells
// the peers without waiting for the next heartbeat. Only the upkeep calls it.
func (ps *Process) reportStaleKeys() {
	stale := ps.keysAreStale()
	if stale == ps.keysWereStale {
		return
	}
	ps.keysWereStale = stale
	event := events.KeysAccepted
	if stale {
		event = events.KeysRefused
	}
	event.Log(ps.Log, zap.Int64("table_version", ps.tableVersion()), zap.Duration("table_age", ps.Freshness.AsOf().Age(bootclock.Now())),
		zap.Bool("watches", ps.watcher.IsCurrent()), zap.Bool("platform_away", ps.isPlatformUnreachable()))
	ps.Cluster.TriggerRound()
}
