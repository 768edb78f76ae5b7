package entry

import (
	"time"

	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/view"
)

// TableFreshness connects the freshness of the configuration with the heartbeats.
type TableFreshness struct {
	*view.Freshness
	// SinceBoot reads the clock of Freshness, TableVersion returns the version of the
	// configuration in force, 0 if there is none.
	SinceBoot    func() time.Duration
	TableVersion func() int64
	// IsStrict reports whether keys are refused while the configuration may be out of
	// date; a newer one that a peer has is pulled at once then.
	IsStrict func() bool
	// KeysStale reports whether this process refuses customers' keys.
	KeysStale func() bool
}

// confirmedTable returns the version of the configuration in force and the age of its
// confirmation in milliseconds, as sent to peers; version 0 if there is none.
func (cr *Cluster) confirmedTable() (int64, uint32) {
	if cr.Table == nil {
		return 0, neverConfirmed
	}
	asOf := cr.Table.AsOf()
	// Read after the confirmation, so that the version is at least the confirmed one.
	version := cr.Table.TableVersion()
	age := asOf.Age(cr.Table.SinceBoot())
	if age >= neverConfirmed*time.Millisecond {
		return version, neverConfirmed
	}
	// Rounded up, so that the age is not lower than it is.
	return version, uint32((age + time.Millisecond - 1) / time.Millisecond)
}

// sinceBoot returns the time at which a heartbeat is sent, as Freshness counts it.
func (cr *Cluster) sinceBoot() time.Duration {
	if cr.Table == nil {
		return 0
	}
	return cr.Table.SinceBoot()
}

// confirmTable takes over what a peer's reply to a heartbeat, sent at sentAt, tells about
// the age of the configuration.
func (cr *Cluster) confirmTable(sentAt time.Duration, reply *entrypb.Heartbeat) {
	if cr.Table == nil || reply.TableConfirmedMs >= neverConfirmed {
		return
	}
	cr.Table.ConfirmByPeer(sentAt, cr.Table.TableVersion(), reply.TableVersion, time.Duration(reply.TableConfirmedMs)*time.Millisecond)
}

// hasNewerTable reports whether a peer has a newer configuration that is to be pulled at
// once.
func (cr *Cluster) hasNewerTable(reply *entrypb.Heartbeat) bool {
	return cr.Table != nil && cr.Table.IsStrict() && reply.TableVersion > cr.Table.TableVersion()
}
