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
	if fl.Table != nil && tb.Version <= fl.Table.Version {
		return fl
	}
	fl.Table = tb
	servers := maps.Clone(fl.Servers)
	for name, sv := range servers {
		servers[name] = withLimit(sv, tb)
	}
	fl.Servers = servers
	return fl.indexed()
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

// WithServer returns a fleet that takes in the record of a server. A record of
// an earlier start, or one that takes back that the server leaves, changes
// nothing.
func (fl Fleet) WithServer(sv machine.Server) Fleet {
	old := fl.Servers[sv.Name]
	if old != nil && old.StartedAt == sv.StartedAt {
		sv.State = old.State
		sv.Leaving = sv.Leaving || old.Leaving
	}
	if old != nil && sv.StartedAt.Before(old.StartedAt) {
		return fl
	}
	if sv.State == nil {
		sv.State = &machine.ServerState{}
	}
	if fl.Table != nil {
		sv = *withLimit(&sv, fl.Table)
	}
	fl.Servers = cloned(fl.Servers)
	fl.Servers[sv.Name] = &sv
	fl.lapsed = cloned(fl.lapsed)
	delete(fl.lapsed, sv.Name)
	return fl.indexed()
}

// WithoutServer returns a fleet without a server, at once if it leaves. Another
// one is kept, as the last choice, until a time: its record may have lapsed
// while it lives.
func (fl Fleet) WithoutServer(now time.Time, name string, keepUntil time.Time) Fleet {
	sv := fl.Servers[name]
	if sv == nil {
		return fl
	}
	if keepUntil.After(now) && !sv.Leaving {
		if _, ok := fl.lapsed[name]; !ok {
			fl.lapsed = cloned(fl.lapsed)
			fl.lapsed[name] = keepUntil
			sv.State.Lapse(keepUntil)
		}
		return fl
	}
	fl.Servers, fl.lapsed = cloned(fl.Servers), cloned(fl.lapsed)
	delete(fl.Servers, name)
	delete(fl.lapsed, name)
	return fl.indexed()
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
	for _, ob := range objects {
		next, err := fl.apply(now, hold, codec, ob)
		if err != nil {
			refused = append(refused, fmt.Errorf("object %s: %w", ob.Key, err))
		}
		fl = next
	}
	return fl, refused
}

func (fl Fleet) apply(now time.Time, hold time.Duration, codec FleetCodec, ob Object) (Fleet, error) {
	cp, changed, err := fl.Copy.With(ob)
	if err != nil || !changed {
		return fl, err
	}
	fl.Copy = cp
	name, isServer := strings.CutPrefix(ob.Key, PrefixMembers)
	switch {
	case isServer && ob.Deleted:
		return fl.WithoutServer(now, name, now.Add(hold)), nil
	case isServer:
		sv, err := codec.Server(now, name, ob.Value)
		if err != nil {
			return fl, err
		}
		return fl.WithServer(sv), nil
	case ob.Deleted:
		return fl, nil
	}
	tb, err := codec.Table(ob.Value)
	if err != nil {
		return fl, err
	}
	return fl.WithTable(tb), nil
}
