package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// Fleet holds the configuration in force and the registered servers. It is not
// changed once published. The zero value is an empty fleet, ready to use.
type Fleet struct {
	Copy
	// Table is nil until a table has been applied. Its version never decreases.
	Table *contract.Table
	// TableRecord tells where Table came from.
	TableRecord TableRecord
	// TableRevision is the highest version in the store of an object under PrefixTable.
	TableRevision int64
	// StoredTable is the version of the table that the store has; 0 if it has none. It is
	// lower than that of Table if the store was restored.
	StoredTable int64
	// Servers holds all servers by name.
	Servers map[string]*machine.Server
	// Services holds the servers of each service, sorted by name.
	Services map[string][]*machine.Server
	// Evacuated holds the zones whose servers get no work. It is replaced, not changed.
	Evacuated map[string]bool
	// expiring holds the time at which servers whose record disappeared are
	// removed, by name.
	expiring map[string]time.Time
	// heldZones holds the evacuated zones whose object the store lost in a restore, with
	// the time until which it may be written again. It is replaced, not changed.
	heldZones map[string]time.Time
	// behindUntil is until when the store may lack the table in force after a restore;
	// zero before the first one.
	behindUntil time.Time
	// former holds removed servers by name, for formerServerTTL. One that
	// registers again without a restart keeps what is known about it.
	former map[string]formerServer
}

// formerServerTTL is longer than outages of the platform in which the records of
// running servers expire.
const formerServerTTL = 10 * time.Minute

// formerServer is a server that was removed, or one that is only known from a
// peer.
type formerServer struct {
	StartedAt time.Time
	Leaving   bool
	// State is not nil.
	State     *machine.ServerState
	RemovedAt time.Time
}

// ServersOf returns the servers of a service.
func (fl *Fleet) ServersOf(service string) []*machine.Server {
	return fl.Services[service]
}

// WithTable returns a fleet with the table in force, unless the version of the current one
// is higher.
func (fl Fleet) WithTable(tb *contract.Table) Fleet {
	return fl.update(func(dr *draft) { dr.setTable(tb) })
}

// WithServer returns a fleet with the server added or updated. A record of an
// earlier start of the server is ignored. A server that is marked as leaving stays
// so until it restarts.
func (fl Fleet) WithServer(now time.Time, sv machine.Server) Fleet {
	return fl.update(func(dr *draft) { dr.setServer(now, sv) })
}

// WithoutServer returns a fleet without a server whose record disappeared. A
// server that is leaving is removed at once. Any other is marked as expiring
// and kept until removeAt, since its record may have expired although the
// server still runs.
func (fl Fleet) WithoutServer(now time.Time, name string, removeAt time.Time) Fleet {
	return fl.update(func(dr *draft) { dr.removeServer(now, name, removeAt) })
}

// WithDeparture returns a fleet in which a server that said that it is leaving
// gets no more work until it restarts, also if it is not registered yet.
func (fl Fleet) WithDeparture(now time.Time, dp machine.Departure) Fleet {
	return fl.update(func(dr *draft) { dr.setDeparture(now, dp) })
}

// update calls change with a draft of the fleet and returns the changed fleet.
func (fl Fleet) update(change func(dr *draft)) Fleet {
	dr := &draft{Fleet: fl}
	change(dr)
	return dr.build()
}

// draft is a fleet under modification. Its maps are copied once for any number of
// changes.
type draft struct {
	Fleet
	// origin is that of the objects that are applied.
	origin Origin
	// copied is set if the maps of servers are copies that may be changed.
	copied bool
}

// copyMaps copies the maps of servers before the first change.
func (dr *draft) copyMaps() {
	if !dr.copied {
		dr.Servers, dr.expiring, dr.former = cloneOrEmpty(dr.Servers), cloneOrEmpty(dr.expiring), cloneOrEmpty(dr.former)
		dr.copied = true
	}
}

// build returns the changed fleet. It must be called last.
func (dr *draft) build() Fleet {
	if !dr.copied {
		return dr.Fleet
	}
	return dr.Fleet.withServiceIndex()
}

// setTable implements WithTable. It also updates the limits of servers.
func (dr *draft) setTable(tb *contract.Table) {
	if dr.Table != nil && tb.Version < dr.Table.Version {
		return
	}
	dr.copyMaps()
	dr.Table = tb
	for name, sv := range dr.Servers {
		dr.Servers[name] = withLimits(sv, tb)
	}
}

// withLimits returns the server with the limits of its service. It sets the limit of a
// cold server in its state.
func withLimits(sv *machine.Server, tb *contract.Table) *machine.Server {
	se, ok := tb.Services[sv.Service]
	if !ok {
		return sv
	}
	sv.State.SetWarmUpRate(se.WarmUpRate)
	if se.ConnectionLimit == sv.ConnectionLimit {
		return sv
	}
	changed := *sv
	changed.ConnectionLimit = se.ConnectionLimit
	return &changed
}

// setServer implements WithServer. The state of a server is kept unless the server
// restarted.
func (dr *draft) setServer(now time.Time, sv machine.Server) {
	old := dr.Servers[sv.Name]
	if old != nil && old.StartedAt.Equal(sv.StartedAt) {
		sv.State = old.State
		sv.Leaving = sv.Leaving || old.Leaving
	}
	if old != nil && sv.StartedAt.Before(old.StartedAt) {
		return
	}
	if fm, ok := dr.former[sv.Name]; ok && old == nil && !sv.StartedAt.After(fm.StartedAt) {
		if sv.StartedAt.Before(fm.StartedAt) {
			return
		}
		sv.State = fm.State
		sv.Leaving = sv.Leaving || fm.Leaving
	}
	if sv.State == nil {
		sv.State = &machine.ServerState{}
	}
	if old != nil && old.State != sv.State {
		// The process that requests with an older fleet know has ended.
		old.State.Withdrawn.Store(true)
	}
	sv.State.Withdrawn.Store(sv.Leaving)
	sv.State.SetEvacuated(now, dr.Evacuated[sv.Zone])
	sv.State.RecordCold(sv.ColdUntil)
	if dr.Table != nil {
		sv = *withLimits(&sv, dr.Table)
	}
	dr.copyMaps()
	dr.Servers[sv.Name] = &sv
	delete(dr.expiring, sv.Name)
}

// removeServer implements WithoutServer.
func (dr *draft) removeServer(now time.Time, name string, removeAt time.Time) {
	sv := dr.Servers[name]
	if sv == nil {
		return
	}
	if !removeAt.After(now) || sv.Leaving {
		dr.copyMaps()
		sv.State.Withdrawn.Store(true)
		delete(dr.Servers, name)
		delete(dr.expiring, name)
		dr.setFormer(now, name, formerServer{StartedAt: sv.StartedAt, Leaving: sv.Leaving, State: sv.State, RemovedAt: now})
		return
	}
	if _, ok := dr.expiring[name]; !ok {
		dr.copyMaps()
		dr.expiring[name] = removeAt
		sv.State.MarkExpiring(removeAt)
	}
}

// setFormer adds a former server and forgets those removed too long ago. The maps
// must have been copied.
func (dr *draft) setFormer(now time.Time, name string, fm formerServer) {
	maps.DeleteFunc(dr.former, func(_ string, old formerServer) bool { return now.Sub(old.RemovedAt) > formerServerTTL })
	dr.former[name] = fm
}

// setDeparture implements WithDeparture.
func (dr *draft) setDeparture(now time.Time, dp machine.Departure) {
	if sv := dr.Servers[dp.Server]; sv != nil {
		if !sv.StartedAt.After(dp.StartedAt) {
			sv.State.MarkDeparting()
		}
		return
	}
	if fm, ok := dr.former[dp.Server]; ok && !fm.StartedAt.Before(dp.StartedAt) {
		if fm.StartedAt.Equal(dp.StartedAt) {
			fm.State.MarkDeparting()
		}
		return
	}
	dr.copyMaps()
	state := &machine.ServerState{}
	state.MarkDeparting()
	dr.setFormer(now, dp.Server, formerServer{StartedAt: dp.StartedAt, State: state, RemovedAt: now})
}

// setEvacuated marks a zone as evacuated or takes the mark back. Requests that began with
// an older fleet see it in the state of the servers.
func (dr *draft) setEvacuated(now time.Time, zone string, evacuated bool) {
	dr.releaseEvacuation(zone)
	zones := cloneOrEmpty(dr.Evacuated)
	delete(zones, zone)
	if evacuated {
		zones[zone] = true
	}
	dr.Evacuated = zones
	for _, sv := range dr.Servers {
		if sv.Zone == zone {
			sv.State.SetEvacuated(now, evacuated)
		}
	}
}

// RemoveExpired returns a fleet without the expired servers: those whose record
// disappeared and whose removal is due. It also takes back the evacuations that the store
// lost in a restore and that were not written again.
func (fl Fleet) RemoveExpired(now time.Time) Fleet {
	for zone, until := range fl.heldZones {
		if !now.Before(until) {
			fl = fl.update(func(dr *draft) { dr.setEvacuated(now, zone, false) })
		}
	}
	for name, removeAt := range fl.expiring {
		if !now.Before(removeAt) {
			fl = fl.WithoutServer(now, name, now)
		}
	}
	return fl
}

// HasExpired reports whether RemoveExpired would change the fleet.
func (fl *Fleet) HasExpired(now time.Time) bool {
	for _, until := range fl.heldZones {
		if !now.Before(until) {
			return true
		}
	}
	for _, removeAt := range fl.expiring {
		if !now.Before(removeAt) {
			return true
		}
	}
	return false
}

// withServiceIndex returns the fleet with Services rebuilt from Servers.
func (fl Fleet) withServiceIndex() Fleet {
	fl.Services = map[string][]*machine.Server{}
	for _, name := range slices.Sorted(maps.Keys(fl.Servers)) {
		sv := fl.Servers[name]
		fl.Services[sv.Service] = append(fl.Services[sv.Service], sv)
	}
	return fl
}

// cloneOrEmpty returns a copy of a map, an empty map for nil.
func cloneOrEmpty[K comparable, V any](old map[K]V) map[K]V {
	if old == nil {
		return map[K]V{}
	}
	return maps.Clone(old)
}

// The key prefixes of the objects that make up a fleet.
const (
	PrefixTable = "config/"
	// KeyTable is the key of the configuration, the only one under its prefix.
	KeyTable           = PrefixTable + "main"
	PrefixFleetServers = "servers/"
	// PrefixEvacuations is followed by the name of a zone. The content of the objects is
	// not read.
	PrefixEvacuations = "evacuations/"
)

// FleetCodec decodes the objects of a fleet.
type FleetCodec interface {
	// Table decodes a configuration. Its error may be a *TableError.
	Table(value string) (*contract.Table, error)
	// Server decodes the record of a server. The State of the result is nil.
	Server(now time.Time, name, value string) (machine.Server, error)
}

// Apply returns the fleet with objects applied, and an error for each that can't be
// applied, an *ObjectError. removalDelay is how long a server is kept after an entry VM first saw that
// its record disappeared.
func (fl Fleet) Apply(now time.Time, origin Origin, removalDelay time.Duration, codec FleetCodec, objects []Object) (Fleet, []error) {
	var refused []error
	next := fl.update(func(dr *draft) {
		dr.origin = origin
		for _, ob := range marksLast(objects) {
			if err := dr.apply(now, removalDelay, codec, ob); err != nil {
				refused = append(refused, &ObjectError{Object: ob, Err: err})
			}
		}
	})
	return next, refused
}

func (dr *draft) apply(now time.Time, removalDelay time.Duration, codec FleetCodec, ob Object) error {
	if ob.SeenAt.IsZero() {
		ob.SeenAt = now
	}
	if ob.isKept() {
		return dr.applyKept(now, codec, ob)
	}
	have, known := dr.Objects.Get(ob.Key)
	cp, changed, err := dr.Copy.With(ob)
	if err != nil || !changed {
		return err
	}
	dr.Copy = cp
	if ob.isEraMark() {
		dr.applyEraMark(now, removalDelay, codec, ob)
		return nil
	}
	isRestored := known && EraOf(have.Version) < EraOf(ob.Version)
	kind, name, _ := strings.Cut(ob.Key, "/")
	switch kind + "/" {
	case PrefixFleetServers:
		err := dr.applyServer(now, removalDelay, codec, name, ob)
		if sv := dr.Servers[name]; isRestored && have.Deleted && sv != nil {
			// Its record was removed, and may be back from the older copy only.
			sv.State.MarkExpiring(now.Add(RewriteTime))
		}
		return err
	case PrefixEvacuations:
		if isRestored && ob.Deleted {
			dr.holdEvacuation(name, ob.SeenAt.Add(RewriteTime))
			return nil
		}
		dr.setEvacuated(now, name, !ob.Deleted)
	case PrefixTable:
		dr.TableRevision = max(dr.TableRevision, ob.Version)
		if ob.Key != KeyTable {
			return nil
		}
		err := dr.applyTable(now, codec, ob)
		if isRestored {
			dr.keepTable(now, codec, have)
		}
		dr.dropKept(codec, ob.Key)
		return err
	}
	// An object of a kind that only newer versions know is passed on to peers.
	return nil
}

func (dr *draft) applyServer(now time.Time, removalDelay time.Duration, codec FleetCodec, name string, ob Object) error {
	if ob.Deleted {
		dr.removeServer(now, name, ob.SeenAt.Add(removalDelay))
		return nil
	}
	sv, err := codec.Server(now, name, ob.Value)
	if err != nil {
		return err
	}
	dr.setServer(now, sv)
	return nil
}

func (dr *draft) applyTable(now time.Time, codec FleetCodec, ob Object) error {
	if ob.Deleted {
		dr.StoredTable = 0
		return nil
	}
	tb, err := codec.Table(ob.Value)
	if err != nil {
		return err
	}
	dr.StoredTable = tb.Version
	dr.putInForce(now, tb, ob.Version)
	if err := tb.UnusableError(); err != nil {
		return &TableError{Version: tb.Version, Err: err}
	}
	return nil
}
