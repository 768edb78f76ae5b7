package view

import (
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// Source is the kind of message by which a VM learned of objects.
type Source string

// The sources.
const (
	// SourceList and SourceWatch are answers of the store; SourceStaleList is one that the
	// store gives from a copy of its own.
	SourceList      Source = "list"
	SourceWatch     Source = "watch"
	SourceStaleList Source = "stale_list"
	// SourcePeer is a pull from another entry VM.
	SourcePeer Source = "peer"
	// SourceKept is that of a table that stays in force although the store has none that
	// is as new.
	SourceKept Source = "kept"
)

// Origin is where a VM learned of objects.
type Origin struct {
	Source Source
	// Peer is the name of the entry VM if Source is SourcePeer, else empty.
	Peer string
	// Since is the earliest time at which the changes may have happened, by what an answer of
	// the store says; zero if it was not read, or another source.
	Since time.Time
}

// TableRecord tells where the table in force came from.
type TableRecord struct {
	// Version is the version in the store of the newest known object with the table, and
	// Origin that of this object.
	Version int64
	Origin  Origin
	// Since is when this VM put the table in force.
	Since time.Time
}

// TableOrigin returns the origin of the table in force.
func (fl *Fleet) TableOrigin() Origin {
	origin := fl.TableRecord.Origin
	if fl.Table != nil && fl.StoredTable < fl.Table.Version {
		origin.Source = SourceKept
	}
	return origin
}

// putInForce puts a table in force, unless the current one is at least as new, and records
// its origin. version is that of the object with the table.
func (dr *draft) putInForce(now time.Time, tb *contract.Table, version int64) {
	isNew := dr.Table == nil || tb.Version > dr.Table.Version
	dr.setTable(tb)
	switch {
	case isNew:
		dr.TableRecord = TableRecord{Version: version, Origin: dr.origin, Since: now}
	case tb.Version == dr.Table.Version && version > dr.TableRecord.Version:
		dr.TableRecord.Version, dr.TableRecord.Origin = version, dr.origin
	}
}
