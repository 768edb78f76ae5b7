package view

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// plainCodec implements FleetCodec: it decodes servers from JSON and tables from
// "version N".
type plainCodec struct{}

func (plainCodec) Table(value string) (*contract.Table, error) {
	var version int64
	if _, err := fmt.Sscanf(value, "version %d", &version); err != nil {
		return nil, fmt.Errorf("decode table: %w", err)
	}
	return contract.NewTable(version, nil, []contract.Service{{Name: "plans", ConnectionLimit: 25}}, contract.CallerLimits{})
}

func (plainCodec) Server(_ time.Time, name, value string) (machine.Server, error) {
	var sv machine.Server
	if err := json.Unmarshal([]byte(value), &sv); err != nil {
		return sv, fmt.Errorf("decode server: %w", err)
	}
	sv.Name = name
	return sv, nil
}

const removalDelay = 2 * time.Second

var start = time.Unix(1_000_000, 0)

func recordObject(name string, version int64, sv machine.Server) Object {
	text, _ := json.Marshal(sv)
	return Object{Key: PrefixFleetServers + name, Version: version, Value: string(text)}
}

func deletedObject(name string, version int64) Object {
	return Object{Key: PrefixFleetServers + name, Version: version, Deleted: true}
}

func mustApply(t *testing.T, fl Fleet, now time.Time, objects ...Object) Fleet {
	t.Helper()
	fl, refused := fl.Apply(now, Origin{}, removalDelay, plainCodec{}, objects)
	assert.Equal(t, len(refused), 0, "%v", refused)
	return fl
}

var planServer = machine.Server{Service: "plans", Zone: "a", Address: "10.0.0.1:80", Slots: 2, StartedAt: start}

func TestExpiringServerIsKeptForAWhile(t *testing.T) {
	fl := mustApply(t, Fleet{}, start, recordObject("one", 1, planServer))
	fl = mustApply(t, fl, start, deletedObject("one", 2))
	assert.Equal(t, len(fl.ServersOf("plans")), 1, "a server without a record is kept")
	assert.Assert(t, fl.ServersOf("plans")[0].State.IsSuspect(start), "a server without a record is suspect")
	assert.Assert(t, !fl.HasExpired(start.Add(removalDelay-1)))
	assert.Equal(t, len(fl.RemoveExpired(start.Add(removalDelay)).Services["plans"]), 0)
	// A server that registers again in time is not removed.
	fl = mustApply(t, fl, start.Add(time.Second), recordObject("one", 3, planServer))
	assert.Equal(t, len(fl.RemoveExpired(start.Add(removalDelay)).Services["plans"]), 1)
}

func TestLeavingServerStaysLeaving(t *testing.T) {
	leaving := planServer
	leaving.Leaving = true
	fl := mustApply(t, Fleet{}, start, recordObject("one", 1, planServer), recordObject("one", 2, leaving), recordObject("one", 3, planServer))
	assert.Assert(t, fl.Servers["one"].IsLeaving(start))
	fl = mustApply(t, fl, start, deletedObject("one", 4))
	assert.Equal(t, len(fl.ServersOf("plans")), 0, "a leaving server is removed at once")
}

func TestRestartedServerGetsNewState(t *testing.T) {
	fl := mustApply(t, Fleet{}, start, recordObject("one", 1, planServer))
	before := fl.Servers["one"].State
	before.MarkSuspect(start)
	restarted := planServer
	restarted.StartedAt = start.Add(time.Second)
	fl = mustApply(t, fl, start, recordObject("one", 2, restarted))
	assert.Assert(t, fl.Servers["one"].State != before)
	// A delayed record of the earlier start is ignored.
	stale := planServer
	stale.Leaving = true
	fl = mustApply(t, fl, start, recordObject("one", 3, stale))
	assert.Assert(t, !fl.Servers["one"].Leaving)
}

func TestUndecodableObjectsAreRefused(t *testing.T) {
	fl := mustApply(t, Fleet{}, start, recordObject("one", 1, planServer), Object{Key: PrefixTable + "main", Version: 2, Value: "version 5"})
	fl, refused := fl.Apply(start, Origin{}, removalDelay, plainCodec{}, []Object{
		{Key: PrefixFleetServers + "forged", Version: 3, Value: "{"},
		{Key: PrefixFleetServers + "one", Version: 4, Value: `{"slots":"many"}`},
		{Key: PrefixTable + "main", Version: 5, Value: "nothing"},
	})
	assert.Equal(t, len(refused), 3)
	assert.Equal(t, len(fl.ServersOf("plans")), 1)
	assert.Equal(t, fl.Table.Version, int64(5))
}

func TestOlderTableIsIgnored(t *testing.T) {
	table := func(version, number int64) Object {
		return Object{Key: PrefixTable + "main", Version: version, Value: fmt.Sprintf("version %d", number)}
	}
	fl := mustApply(t, Fleet{}, start, recordObject("one", 1, planServer), table(2, 7), table(3, 6))
	assert.Equal(t, fl.Table.Version, int64(7))
	assert.Equal(t, fl.Servers["one"].ConnectionLimit, 25)
	_, refused := fl.Apply(start, Origin{}, removalDelay, plainCodec{}, []Object{table(1, 9)})
	assert.ErrorIs(t, refused[0], ErrOlderVersion)
}

// TestDigestIsIndependentOfOrder guards against entry VMs whose copies hold the
// same objects but differ in their digests, and so exchange objects without end. It
// applies the same changes in different orders and through NewerThan and Newer.
func TestDigestIsIndependentOfOrder(t *testing.T) {
	var objects []Object
	for i := range 200 {
		key := fmt.Sprintf("%s%d", PrefixFleetServers, i%40)
		objects = append(objects, Object{Key: key, Version: int64(i + 1), Value: strings.Repeat("x", i%7), Deleted: i%11 == 0})
	}
	// A deletion with the same version as the object that it deletes.
	objects = append(objects, Object{Key: objects[199].Key, Version: objects[199].Version, Deleted: true})
	var want Copy
	for _, ob := range objects {
		want, _, _ = want.With(ob)
	}
	for seed := range uint64(20) {
		shuffled := append([]Object(nil), objects...)
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		var got Copy
		for _, ob := range shuffled {
			got, _, _ = got.With(ob)
		}
		assert.Equal(t, got.Digest, want.Digest)
		var pulled Copy
		for _, ob := range pulled.Newer(got.NewerThan(0, nil)) {
			pulled, _, _ = pulled.With(ob)
		}
		assert.Equal(t, pulled.Digest, want.Digest)
		assert.Equal(t, len(want.Newer(got.NewerThan(0, nil))), 0)
	}
}

// TestBatchApplyEqualsSingleApplies applies random changes in batches and one by
// one, and compares the results.
func TestBatchApplyEqualsSingleApplies(t *testing.T) {
	rd := rand.New(rand.NewPCG(7, 11))
	now := time.Unix(1_000_000, 0)
	const removalDelay = 2 * time.Second
	batched, single := Fleet{}, Fleet{}
	version := int64(0)
	for range 200 {
		var batch []Object
		for range 1 + rd.IntN(6) {
			version++
			name := fmt.Sprintf("sv-%d", rd.IntN(8))
			ob := Object{Key: PrefixFleetServers + name, Version: version - rd.Int64N(3), Deleted: rd.IntN(4) == 0}
			ob.Value = fmt.Sprintf(`{"name":%q,"service":"plans","zone":"a","address":"10.0.0.%d:1","slots":2,"leaving":%t}`, name, rd.IntN(9), rd.IntN(5) == 0)
			switch rd.IntN(12) {
			case 0:
				ob.Value = "{"
			case 1:
				ob = Object{Key: PrefixTable + "main", Version: version, Value: fmt.Sprintf("version %d", version-rd.Int64N(4))}
			}
			batch = append(batch, ob)
		}
		now = now.Add(300 * time.Millisecond)
		batched, _ = batched.Apply(now, Origin{}, removalDelay, plainCodec{}, batch)
		for _, ob := range batch {
			single, _ = single.Apply(now, Origin{}, removalDelay, plainCodec{}, []Object{ob})
		}
		batched, single = batched.RemoveExpired(now), single.RemoveExpired(now)
		assert.Equal(t, batched.Digest, single.Digest)
		assert.DeepEqual(t, summary(batched), summary(single))
	}
	assert.Assert(t, len(batched.Servers) > 0 && batched.Table != nil)
}

// summary describes the properties of each server that affect requests, by service
// and position.
func summary(fl Fleet) map[string]string {
	lines := map[string]string{}
	for service, servers := range fl.Services {
		for i, sv := range servers {
			_, expiring := fl.expiring[sv.Name]
			lines[fmt.Sprintf("%s %d", service, i)] = fmt.Sprint(sv.Name, sv.Address, sv.Leaving, sv.ConnectionLimit, expiring)
		}
	}
	return lines
}

// TestDepartureHoldsUntilRestart lets a server that said it is leaving lose its
// record, register again as ready, and be reported by a peer before it registers.
func TestDepartureHoldsUntilRestart(t *testing.T) {
	departure := machine.Departure{Server: "one", StartedAt: start}
	restarted := planServer
	restarted.StartedAt = start.Add(time.Second)
	earlier := planServer
	earlier.StartedAt = start.Add(-time.Second)
	registered := func(t *testing.T, version int64, sv machine.Server) func(Fleet) Fleet {
		return func(fl Fleet) Fleet { return mustApply(t, fl, start, recordObject("one", version, sv)) }
	}
	departed := func(fl Fleet) Fleet { return fl.WithDeparture(start, departure) }
	removed := func(version int64) func(Fleet) Fleet {
		return func(fl Fleet) Fleet {
			return mustApply(t, fl, start, deletedObject("one", version)).RemoveExpired(start.Add(removalDelay))
		}
	}
	tests := []struct {
		name  string
		steps []func(Fleet) Fleet
		// used is whether the server may get work in the end.
		used bool
	}{
		{"no departure", []func(Fleet) Fleet{registered(t, 1, planServer)}, true},
		{"a ready record after it", []func(Fleet) Fleet{registered(t, 1, planServer), departed, registered(t, 2, planServer)}, false},
		{"a record that was lost and is back", []func(Fleet) Fleet{registered(t, 1, planServer), departed, removed(2), registered(t, 3, planServer)}, false},
		{"a record after the departure", []func(Fleet) Fleet{departed, registered(t, 1, planServer)}, false},
		{"a record of an earlier start", []func(Fleet) Fleet{departed, registered(t, 1, earlier)}, false},
		{"a restart", []func(Fleet) Fleet{registered(t, 1, planServer), departed, registered(t, 2, restarted)}, true},
		{"a restart after the removal", []func(Fleet) Fleet{registered(t, 1, planServer), departed, removed(2), registered(t, 3, restarted)}, true},
		{"a departure of the start before", []func(Fleet) Fleet{registered(t, 1, restarted), departed}, true},
		{"a departure of the start before, after the removal", []func(Fleet) Fleet{registered(t, 1, restarted), removed(2), departed, registered(t, 3, restarted)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fl := Fleet{}
			for _, step := range tt.steps {
				fl = step(fl)
			}
			used := false
			for _, sv := range fl.ServersOf("plans") {
				used = used || sv.AcceptsWork(start)
			}
			assert.Equal(t, used, tt.used)
		})
	}
}

// TestBackOffOutlastsLostRecord guards against a server that is asked again
// because its record was lost and came back.
func TestBackOffOutlastsLostRecord(t *testing.T) {
	fl := mustApply(t, Fleet{}, start, recordObject("one", 1, planServer))
	fl.Servers["one"].State.BackOff(start, time.Minute)
	fl = mustApply(t, fl, start, deletedObject("one", 2)).RemoveExpired(start.Add(removalDelay))
	fl = mustApply(t, fl, start, recordObject("one", 3, planServer))
	assert.Assert(t, !fl.Servers["one"].AcceptsWork(start.Add(time.Minute-1)))
	assert.Assert(t, fl.Servers["one"].AcceptsWork(start.Add(time.Minute)))
}

// TestRunningRequestsSeeThatServersLeave has requests that began with an older fleet, and
// wait or send again after the news that a server leaves, or is gone. They must not use
// it; one whose record comes back must be used again.
func TestRunningRequestsSeeThatServersLeave(t *testing.T) {
	draining := planServer
	draining.Leaving = true
	restarted := draining
	restarted.Leaving, restarted.StartedAt = false, start.Add(time.Minute)
	tests := []struct {
		name    string
		objects []Object
		// later is the time after which expired servers are removed; 0 for never.
		later time.Duration
		want  bool
	}{
		{"nothing changes", nil, 0, true},
		{"the record says so", []Object{recordObject("a", 2, draining)}, 0, false},
		{"the record disappeared a moment ago", []Object{deletedObject("a", 2)}, 0, true},
		{"the record disappeared", []Object{deletedObject("a", 2)}, removalDelay, false},
		{"the record came back", []Object{deletedObject("a", 2), recordObject("a", 3, planServer)}, removalDelay, true},
		{"the server was restarted", []Object{recordObject("a", 2, draining), recordObject("a", 3, restarted)}, 0, false},
	}
	for _, tt := range tests {
		old := mustApply(t, Fleet{}, start, recordObject("a", 1, planServer))
		next := old
		for _, ob := range tt.objects {
			next = mustApply(t, next, start, ob)
		}
		at := start.Add(tt.later)
		next.RemoveExpired(at)
		assert.Equal(t, old.Servers["a"].AcceptsWork(at), tt.want, tt.name)
	}
	// A server that lapsed and was removed comes back without a restart.
	old := mustApply(t, Fleet{}, start, recordObject("a", 1, planServer))
	gone := mustApply(t, old, start, deletedObject("a", 2)).RemoveExpired(start.Add(removalDelay))
	assert.Equal(t, len(gone.Servers), 0)
	back := mustApply(t, gone, start.Add(3*time.Second), recordObject("a", 3, planServer))
	assert.Assert(t, back.Servers["a"].AcceptsWork(start.Add(3*time.Second)))
}

func evacuation(zone string, version int64, deleted bool) Object {
	return Object{Key: PrefixEvacuations + zone, Version: version, Deleted: deleted, Value: "{}"}
}

// TestRunningRequestsSeeEvacuations has requests that began with an older fleet. They must
// not use servers of an evacuated zone, and must use them again when it is taken back,
// also if the objects arrive late or in another order.
func TestRunningRequestsSeeEvacuations(t *testing.T) {
	moved, restarted := planServer, planServer
	moved.Zone, restarted.StartedAt = "b", start.Add(time.Minute)
	tests := []struct {
		name    string
		objects []Object
		// old and next are whether requests of the first and of the last fleet may use
		// the server.
		old, next bool
	}{
		{"another zone", []Object{evacuation("b", 2, false)}, true, true},
		{"its zone", []Object{evacuation("a", 2, false)}, false, false},
		{"content that is odd", []Object{{Key: PrefixEvacuations + "a", Version: 2, Value: "null"}}, false, false},
		{"taken back", []Object{evacuation("a", 2, false), evacuation("a", 3, true)}, true, true},
		{"taken back with the version of the object", []Object{evacuation("a", 2, false), evacuation("a", 2, true)}, true, true},
		{"an older object after it was taken back", []Object{evacuation("a", 3, true), evacuation("a", 2, false)}, true, true},
		{"twice", []Object{evacuation("a", 2, false), evacuation("a", 3, true), evacuation("a", 4, false)}, false, false},
		{"a new record", []Object{evacuation("a", 2, false), recordObject("one", 3, planServer)}, false, false},
		{"a restart", []Object{evacuation("a", 2, false), recordObject("one", 3, restarted)}, false, false},
		{"a restart, then taken back", []Object{evacuation("a", 2, false), recordObject("one", 3, restarted), evacuation("a", 4, true)}, false, true},
		{"moved out of it", []Object{evacuation("a", 2, false), recordObject("one", 3, moved)}, true, true},
		{"moved into it", []Object{evacuation("b", 2, false), recordObject("one", 3, moved)}, false, false},
		{"record lost and back", []Object{evacuation("a", 2, false), deletedObject("one", 3), recordObject("one", 4, planServer)}, false, false},
		{"a kind that is not known", []Object{{Key: "places/a", Version: 2, Value: "{}"}}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			old := mustApply(t, Fleet{}, start, recordObject("one", 1, planServer), Object{Key: PrefixTable + "main", Version: 1, Value: "version 5"})
			next := old
			for _, ob := range tt.objects {
				// Objects that are older than those in force are refused.
				next, _ = next.Apply(start, Origin{}, removalDelay, plainCodec{}, []Object{ob})
			}
			// A zone that was taken back is used a moment later.
			later := start.Add(time.Second)
			assert.Equal(t, old.Servers["one"].AcceptsWork(later), tt.old, "the older fleet")
			assert.Equal(t, next.Servers["one"].AcceptsWork(later), tt.next, "the newer fleet")
			_, ok := next.Servers["one"].AcceptsWorkAt(later)
			assert.Equal(t, ok, tt.next, "known to accept work later")
			assert.Equal(t, next.Table.Version, int64(5), "the configuration is unchanged")
		})
	}
}

// TestColdServers guards against a server whose record says that it became cold again, or is
// warm, and that is treated as before.
func TestColdServers(t *testing.T) {
	cold, restarted, earlier := planServer, planServer, planServer
	cold.ColdUntil = start.Add(time.Minute)
	restarted.StartedAt = start.Add(time.Second)
	earlier.StartedAt, earlier.ColdUntil = start.Add(-time.Second), start.Add(time.Hour)
	sooner := planServer
	sooner.ColdUntil = start.Add(time.Second)
	tests := []struct {
		name    string
		records []machine.Server
		answer  time.Time
		want    bool
	}{
		{"warm", []machine.Server{planServer}, time.Time{}, false},
		{"cold", []machine.Server{cold}, time.Time{}, true},
		{"warm by a newer record", []machine.Server{cold, planServer}, time.Time{}, false},
		{"cold again by a newer record", []machine.Server{planServer, cold}, time.Time{}, true},
		{"a newer record with an earlier end", []machine.Server{cold, sooner}, time.Time{}, true},
		{"restarted warm", []machine.Server{cold, restarted}, time.Time{}, false},
		{"a record of an earlier start", []machine.Server{planServer, earlier}, time.Time{}, false},
		{"cold again by an answer", []machine.Server{planServer}, start.Add(time.Minute), true},
	}
	for _, tt := range tests {
		fl := Fleet{}
		for i, record := range tt.records {
			fl = mustApply(t, fl, start, recordObject("one", int64(i+1), record))
		}
		if !tt.answer.IsZero() {
			fl.Servers["one"].State.RecordCold(tt.answer)
		}
		assert.Equal(t, fl.Servers["one"].State.IsCold(start.Add(30*time.Second)), tt.want, tt.name)
	}
	// The limit of the service applies whether the table or the record comes first.
	tb, err := contract.NewTable(5, nil, []contract.Service{{Name: "plans", ConnectionLimit: 25, WarmUpRate: 8}}, contract.CallerLimits{})
	assert.NilError(t, err)
	before := mustApply(t, Fleet{}.WithTable(tb), start, recordObject("one", 1, planServer))
	after := mustApply(t, Fleet{}, start, recordObject("one", 1, planServer)).WithTable(tb)
	assert.Equal(t, before.Servers["one"].State.WarmUpRate(), 8.0)
	assert.Equal(t, after.Servers["one"].State.WarmUpRate(), 8.0)
}

// TestOtherObjectsAreNoTable guards against an object beside the configuration that is put in
// force in its place, and for good if its version is higher.
func TestOtherObjectsAreNoTable(t *testing.T) {
	other := func(version int64, value string) Object {
		return Object{Key: PrefixTable + "draft", Version: version, Value: value}
	}
	fl := mustApply(t, Fleet{}, start, other(1, "version 90"), Object{Key: KeyTable, Version: 2, Value: "version 5"}, other(3, "version 91"), other(4, "nothing"))
	assert.Equal(t, fl.Table.Version, int64(5))
	fl = mustApply(t, fl, start, Object{Key: PrefixTable + "draft", Version: 5, Deleted: true}, Object{Key: KeyTable, Version: 6, Value: "version 6"})
	assert.Equal(t, fl.Table.Version, int64(6))
	assert.Equal(t, fl.StoredTable, int64(6))
}

// TestNewestRecordOfVersionIsInForce guards against a table that stays in force although the
// store has another one of that version, as after a restore.
func TestNewestRecordOfVersionIsInForce(t *testing.T) {
	table := func(version int64, value string) Object { return Object{Key: KeyTable, Version: version, Value: value} }
	fl := mustApply(t, Fleet{}, start, table(2, "version 5"))
	first := fl.Table
	fl = mustApply(t, fl, start, table(3, "version 5"))
	assert.Assert(t, fl.Table != first)
	second := fl.Table
	fl = mustApply(t, fl, start, table(4, "version 4"))
	assert.Equal(t, fl.Table, second)
}
