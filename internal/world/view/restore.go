package view

import (
	"fmt"
	"strings"
	"time"
)

// RewriteTime is how long after a restore of the store its clients may take to write again
// what it has lost. Until then, what the store lacks is not taken for withdrawn.
const RewriteTime = 10 * time.Second

// prefixKept is followed by the key of a table that a restored store lacks.
const prefixKept = "kept/"

// KeyRoster is the key of the roster of the entry VMs in a copy, by which they pass it on.
const KeyRoster = "entry_vms/roster"

// isKept reports whether an object is one that the store has lost.
func (ob Object) isKept() bool {
	return strings.HasPrefix(ob.Key, prefixKept)
}

// IsTableBehind reports whether the store, after a restore, may still lack tables that were
// written before: its own is older than the one in force. So long its answers do not tell
// whether a newer one was written.
func (fl *Fleet) IsTableBehind(now time.Time) bool {
	return fl.Table != nil && fl.StoredTable < fl.Table.Version && now.Before(fl.behindUntil)
}

// keepTable keeps a record that the store lost if it is that of the table in force, so
// that VMs which start learn it from their peers.
func (dr *draft) keepTable(now time.Time, codec FleetCodec, lost Object) {
	if dr.Table == nil || dr.StoredTable >= dr.Table.Version {
		return
	}
	dr.behindUntil = now.Add(RewriteTime)
	if tb, err := codec.Table(lost.Value); lost.Deleted || err != nil || tb.Version != dr.Table.Version {
		return
	}
	kept := Object{Key: prefixKept + lost.Key, Version: lost.Version, Value: lost.Value, SeenAt: lost.SeenAt}
	if cp, changed, err := dr.Copy.With(kept); err == nil && changed {
		dr.Copy = cp
	}
}

// dropKept drops the kept record of a table if the store has one as new again.
func (dr *draft) dropKept(codec FleetCodec, key string) {
	kept, ok := dr.Objects.Get(prefixKept + key)
	if !ok {
		return
	}
	if tb, err := codec.Table(kept.Value); err != nil || tb.Version <= dr.StoredTable {
		dr.Copy = dr.Copy.without(kept).withTrail()
	}
}

// applyKept puts a table in force that the store has lost, from a peer that knew it.
func (dr *draft) applyKept(now time.Time, codec FleetCodec, ob Object) error {
	tb, err := codec.Table(ob.Value)
	if err != nil {
		return fmt.Errorf("decode kept table: %w", err)
	}
	if tb.Version <= dr.StoredTable {
		return fmt.Errorf("table %d, the store has %d: %w", tb.Version, dr.StoredTable, ErrOlderVersion)
	}
	cp, changed, err := dr.Copy.With(ob)
	if err != nil || !changed {
		return err
	}
	dr.Copy = cp
	dr.putInForce(now, tb, ob.Version)
	dr.behindUntil = now.Add(RewriteTime)
	return nil
}

// applyEraMark drops the objects that a mark replaces.
func (dr *draft) applyEraMark(now time.Time, removalDelay time.Duration, codec FleetCodec, mark Object) {
	cp, dropped := dr.Copy.withoutMarked(mark)
	dr.Copy = cp
	for _, ob := range dropped {
		kind, name, _ := strings.Cut(ob.Key, "/")
		switch kind + "/" {
		case PrefixFleetServers:
			dr.removeServer(now, name, mark.SeenAt.Add(removalDelay))
		case PrefixEvacuations:
			dr.holdEvacuation(name, mark.SeenAt.Add(RewriteTime))
		case PrefixTable:
			if ob.Key == KeyTable {
				dr.StoredTable = 0
				dr.keepTable(now, codec, ob)
			}
		}
	}
}

// holdEvacuation keeps a zone evacuated whose object the store has lost, until a time.
func (dr *draft) holdEvacuation(zone string, until time.Time) {
	if !dr.Evacuated[zone] {
		return
	}
	dr.heldZones = cloneOrEmpty(dr.heldZones)
	dr.heldZones[zone] = until
}

// releaseEvacuation forgets that the object of a zone was lost.
func (dr *draft) releaseEvacuation(zone string) {
	if _, ok := dr.heldZones[zone]; ok {
		dr.heldZones = cloneOrEmpty(dr.heldZones)
		delete(dr.heldZones, zone)
	}
}
