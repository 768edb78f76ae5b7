package view

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// Fleet is the configuration in force and the servers that registered. It is
// not changed once published. The zero value is empty and ready.
type Fleet struct {
	Copy
	// Table is nil until one is known. Its version never falls.
	Table *contract.Table
	// Servers holds each server by name.
	Servers map[string]*machine.Server
	// Services holds the servers of each service, ordered by name.
	Services map[string][]*machine.Server
	// lapsed holds the servers whose record vanished, with the time from which
	// they are gone.
	lapsed map[string]time.Time
}

// Live returns the servers of a service.
func (fl *Fleet) Live(service string) []*machine.Server {
	return fl.Services[service]
}

// WithTable returns a fleet with a table in force, if it is newer than the one
// that is.
func (fl Fleet) WithTable(tb *contract.Table) Fleet {
	return fl.with(func(dr *draft) { dr.setTable(tb) })
}

// WithServer returns a fleet that takes in the record of a server. A record of
// an earlier start, or one that takes back that the server leaves, changes
// nothing.
func (fl Fleet) WithServer(sv machine.Server) Fleet {
	return fl.with(func(dr *draft) { dr.setServer(sv) })
}

// WithoutServer returns a fleet without a server, at once if it leaves. Another
// one is kept, as the last choice, until a time: its record may have lapsed
// while it lives.
func (fl Fleet) WithoutServer(now time.Time, name string, keepUntil time.Time) Fleet {
	return fl.with(func(dr *draft) { dr.dropServer(now, name, keepUntil) })
}

// with returns the fleet with changes made to a draft of it.
func (fl Fleet) with(change func(dr *draft)) Fleet {
	dr := &draft{Fleet: fl}
	change(dr)
	return dr.done()
}

// draft is a fleet that is being changed: its maps are copied once for any
// number of changes.
type draft struct {
	Fleet
	// owned is set when Servers and lapsed are copies.
	owned bool
}

func (dr *draft) own() {
	if !dr.owned {
		dr.Servers, dr.lapsed, dr.owned = cloned(dr.Servers), cloned(dr.lapsed), true
	}
}

// done returns the fleet, with its servers by service.
func (dr *draft) done() Fleet {
	if !dr.owned {
		return dr.Fleet
	}
	return dr.Fleet.indexed()
}

func (dr *draft) setTable(tb *contract.Table) {
	if dr.Table != nil && tb.Version <= dr.Table.Version {
		return
	}
	dr.own()
	dr.Table = tb
	for name, sv := range dr.Servers {
		dr.Servers[name] = withLimit(sv, tb)
	}
}

// withLimit returns the server with the connection limit of its service.
func withLimit(sv *machine.Server, tb *contract.Table) *machine.Server {
	se, ok := tb.Services[sv.Service]
	if !ok || se.ConnectionLimit == sv.ConnectionLimit {
		return sv
	}
	changed := *sv
	changed.ConnectionLimit = se.ConnectionLimit
	return &changed
}

func (dr *draft) setServer(sv machine.Server) {
	old := dr.Servers[sv.Name]
	if old != nil && old.StartedAt == sv.StartedAt {
		sv.State = old.State
		sv.Leaving = sv.Leaving || old.Leaving
	}
	if old != nil && sv.StartedAt.Before(old.StartedAt) {
		return
	}
	if sv.State == nil {
		sv.State = &machine.ServerState{}
	}
	if dr.Table != nil {
		sv = *withLimit(&sv, dr.Table)
	}
	dr.own()
	dr.Servers[sv.Name] = &sv
	delete(dr.lapsed, sv.Name)
}

func (dr *draft) dropServer(now time.Time, name string, keepUntil time.Time) {
	sv := dr.Servers[name]
	if sv == nil {
		return
	}
	if !keepUntil.After(now) || sv.Leaving {
		dr.own()
		delete(dr.Servers, name)
		delete(dr.lapsed, name)
		return
	}
	if _, ok := dr.lapsed[name]; !ok {
		dr.own()
		dr.lapsed[name] = keepUntil
		sv.State.Lapse(keepUntil)
	}
}

// Lapse returns a fleet without the servers whose time is over.
func (fl Fleet) Lapse(now time.Time) Fleet {
	for name, until := range fl.lapsed {
		if !now.Before(until) {
			fl = fl.WithoutServer(now, name, now)
		}
	}
	return fl
}

// HasLapsed reports whether Lapse would change the fleet.
func (fl *Fleet) HasLapsed(now time.Time) bool {
	for _, until := range fl.lapsed {
		if !now.Before(until) {
			return true
		}
	}
	return false
}

// indexed returns the fleet with its servers by service.
func (fl Fleet) indexed() Fleet {
	fl.Services = map[string][]*machine.Server{}
	for _, name := range slices.Sorted(maps.Keys(fl.Servers)) {
		sv := fl.Servers[name]
		fl.Services[sv.Service] = append(fl.Services[sv.Service], sv)
	}
	return fl
}

func cloned[K comparable, V any](old map[K]V) map[K]V {
	if old == nil {
		return map[K]V{}
	}
	return maps.Clone(old)
}

// The prefixes of the objects that make up a fleet.
const (
	PrefixTable   = "config/"
	PrefixMembers = "servers/"
)

// FleetCodec decodes the objects of a fleet.
type FleetCodec interface {
	// Table decodes a configuration.
	Table(value string) (*contract.Table, error)
	// Server decodes the record of a server; its State is nil.
	Server(now time.Time, name, value string) (machine.Server, error)
}

// Apply returns the fleet with objects taken in, and the errors of those that
// can't be. hold is how long a server is kept whose record vanished.
func (fl Fleet) Apply(now time.Time, hold time.Duration, codec FleetCodec, objects []Object) (Fleet, []error) {
	var refused []error
	next := fl.with(func(dr *draft) {
		for _, ob := range objects {
			if err := dr.apply(now, hold, codec, ob); err != nil {
				refused = append(refused, fmt.Errorf("object %s: %w", ob.Key, err))
			}
		}
	})
	return next, refused
}

func (dr *draft) apply(now time.Time, hold time.Duration, codec FleetCodec, ob Object) error {
	cp, changed, err := dr.Copy.With(ob)
	if err != nil || !changed {
		return err
	}
	dr.Copy = cp
	name, isServer := strings.CutPrefix(ob.Key, PrefixMembers)
	switch {
	case isServer && ob.Deleted:
		dr.dropServer(now, name, now.Add(hold))
		return nil
	case isServer:
		sv, err := codec.Server(now, name, ob.Value)
		if err != nil {
			return err
		}
		dr.setServer(sv)
		return nil
	case ob.Deleted:
		return nil
	}
	tb, err := codec.Table(ob.Value)
	if err != nil {
		return err
	}
	dr.setTable(tb)
	return nil
}
