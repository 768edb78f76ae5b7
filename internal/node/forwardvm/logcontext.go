package forwardvm

import (
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/query/forward"
	"daisystage.example/daisystage/internal/world/view"
)

// logContext is what log lines tell of the configuration and of the store. Its methods take
// no lock.
type logContext struct {
	// answers is how the calls of this VM to the store ended.
	answers *platform.LastAnswer
	// watches reports whether this VM calls the store.
	watches func() bool
	// sinceBoot reads the clock of the confirmations of the configuration.
	sinceBoot func() time.Duration
}

// requestFields returns the fields about the configuration of a request. Of the request
// they have no more than its host and path, since queries and headers may hold keys.
func (lc *logContext) requestFields(now time.Time, rc *forward.CallRecord) []zap.Field {
	fields := []zap.Field{zap.String("host", cut(rc.Host)), zap.String("path", cut(rc.Path)), zap.Strings("services", servicesOf(rc))}
	if rc.Fleet == nil {
		return fields
	}
	fields = append(fields, tableFields(now, rc.Fleet)...)
	fields = append(fields, ageField("table_newest_age", rc.TableAsOf.Age(lc.sinceBoot())))
	return append(fields, lc.storeFields(now)...)
}

// servicesOf returns the services that a request was planned for.
func servicesOf(rc *forward.CallRecord) []string {
	if rc.Service != "" {
		return []string{rc.Service}
	}
	return rc.Shards
}

// storeFields returns the fields about the calls of this VM to the store.
func (lc *logContext) storeFields(now time.Time) []zap.Field {
	history := lc.answers.Load()
	return []zap.Field{
		zap.String("store_answer", history.Last.String()), zap.String("store_answer_prefix", history.Last.Prefix),
		sinceField("store_answer_age", now, history.Last.At), sinceField("store_ok_age", now, history.OKAt), zap.Bool("watches", lc.watches()),
	}
}

// maxLoggedLength bounds the host and the path in a line, in bytes.
const maxLoggedLength = 256

// cut returns at most the first maxLoggedLength bytes of a text.
func cut(text string) string {
	return text[:min(len(text), maxLoggedLength)]
}

// tableFields returns the fields about the configuration in force in a fleet.
func tableFields(now time.Time, fl *view.Fleet) []zap.Field {
	record, origin := fl.TableRecord, fl.TableOrigin()
	return []zap.Field{
		zap.Int64("store_era", view.EraOf(fl.Version)), zap.Int64("stored_revision", view.RevisionOf(fl.TableRevision)), zap.Int64("stored_version", fl.StoredTable),
		zap.Int64("table_era", view.EraOf(record.Version)), zap.Int64("table_revision", view.RevisionOf(record.Version)),
		zap.String("table_source", string(origin.Source)), zap.String("table_peer", origin.Peer),
		sinceField("table_in_force_for", now, record.Since),
	}
}

// sinceField returns a field with the time since a time; none if that is the zero time.
func sinceField(name string, now, since time.Time) zap.Field {
	if since.IsZero() {
		return zap.Skip()
	}
	return zap.Duration(name, max(now.Sub(since), 0))
}

// ageField returns a field with the age of a confirmation; none if there was none.
func ageField(name string, age time.Duration) zap.Field {
	if age == view.NeverConfirmed {
		return zap.Skip()
	}
	return zap.Duration(name, age)
}

// logObjects logs what objects from an origin changed in the fleet, and which were refused.
// newestAge is the age of the configuration's confirmation before.
func (ps *Process) logObjects(now time.Time, origin view.Origin, newestAge time.Duration, before, after *view.Fleet, objects []view.Object, refused []error) {
	for _, err := range refused {
		ps.logRefused(now, origin, err)
	}
	ps.logEvacuations(before.Evacuated, after.Evacuated)
	ps.logLeavingServers(now, origin, before, after, objects)
	ps.logTable(now, origin, newestAge, before, after)
}

// logRefused logs an object that was refused.
func (ps *Process) logRefused(now time.Time, origin view.Origin, err error) {
	var oe *view.ObjectError
	if !errors.As(err, &oe) {
		oe = &view.ObjectError{Err: err}
	}
	if errors.Is(err, view.ErrOlderVersion) {
		ps.olderLogs.log(now, ps.Log, platform.RefusedFields(origin, oe.Object, err)...)
		return
	}
	entry := platform.UnreadableEntry{Problem: err.Error(), Object: oe.Object, Origin: origin}
	if te := (*view.TableError)(nil); errors.As(err, &te) {
		entry.TableVersion = te.Version
	}
	ps.unreadable.Record(now, entry)
}

// logUnreadable logs an entry of the platform that can't be used.
func (ps *Process) logUnreadable(entry platform.UnreadableEntry) {
	fields := append(platform.OriginFields(entry.Origin), zap.String("key", entry.Object.Key), zap.String("error", entry.Problem),
		zap.Int64("table_version", ps.tableVersion()))
	if version := entry.Object.Version; version > 0 {
		fields = append(fields, zap.Int64("era", view.EraOf(version)), zap.Int64("revision", view.RevisionOf(version)))
	}
	if entry.TableVersion > 0 {
		fields = append(fields, zap.Int64("version", entry.TableVersion))
	}
	events.BadObjectRefused.Log(ps.Log, fields...)
}

// logTable logs that another configuration is in force, or that the store's is older than
// the one in force.
func (ps *Process) logTable(now time.Time, origin view.Origin, newestAge time.Duration, before, after *view.Fleet) {
	if after.Table == before.Table {
		if isBehind := after.Table != nil && after.StoredTable < after.Table.Version; isBehind && after.StoredTable != before.StoredTable {
			fields := append(platform.OriginFields(origin), zap.Int64("version", after.StoredTable), zap.Int64("table_version", after.Table.Version))
			ps.olderLogs.log(now, ps.Log, append(fields, tableFields(now, after)...)...)
		}
		return
	}
	tb := after.Table
	fields := []zap.Field{
		zap.Int64("version", tb.Version), zap.Int64("from", versionOf(before)), sinceField("from_in_force_for", now, before.TableRecord.Since),
		zap.Int("routes", len(tb.Routes)), zap.Int("customers", len(tb.Customers)), zap.Int("unusable_customers", tb.UnusableCustomers),
		zap.Int("ambiguous_keys", tb.AmbiguousKeys), ageField("newest_age_before", newestAge),
	}
	fields = append(fields, tableFields(now, after)...)
	events.TableInForce.Log(ps.Log, append(fields, ps.logContext.storeFields(now)...)...)
}

// versionOf returns the version of the configuration in force in a fleet; 0 if there is none.
func versionOf(fl *view.Fleet) int64 {
	if fl.Table == nil {
		return 0
	}
	return fl.Table.Version
}

// logLeavingServers logs the servers whose record says that they drain, or was removed,
// because of objects from an origin.
func (ps *Process) logLeavingServers(now time.Time, origin view.Origin, before, after *view.Fleet, objects []view.Object) {
	for _, ob := range objects {
		name, isServer := strings.CutPrefix(ob.Key, view.PrefixFleetServers)
		if !isServer {
			continue
		}
		old, have := before.Servers[name], after.Servers[name]
		isRemoved := ob.Deleted && old != nil && !isDeleted(before, ob.Key) && isDeleted(after, ob.Key)
		isDraining := have != nil && have.Leaving && (old == nil || !old.Leaving)
		if !isRemoved && !isDraining {
			continue
		}
		fields := append(platform.OriginFields(origin), zap.String("server", name), zap.String("said_by", "record"), zap.Bool("removed", isRemoved),
			zap.Int64("era", view.EraOf(ob.Version)), zap.Int64("revision", view.RevisionOf(ob.Version)))
		ps.leavingLogs.log(now, ps.Log, append(fields, ps.gapFields(now, origin)...)...)
	}
}

// gapFields returns the fields about how long this VM did not hear from the store before
// an answer, or before a pull from a peer.
func (ps *Process) gapFields(now time.Time, origin view.Origin) []zap.Field {
	history := ps.logContext.answers.Load()
	heardAt := history.OKBefore
	if origin.Source == view.SourcePeer {
		heardAt = history.OKAt
	}
	return []zap.Field{sinceField("store_ok_age_before", now, heardAt), zap.Bool("watches", ps.logContext.watches())}
}

// isDeleted reports whether a fleet knows that an object was deleted.
func isDeleted(fl *view.Fleet, key string) bool {
	ob, ok := fl.Objects.Get(key)
	return ok && ob.Deleted
}
