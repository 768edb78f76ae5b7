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

// plainCodec decodes the project's own JSON.
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

const hold = 2 * time.Second

var start = time.Unix(1_000_000, 0)

func record(name string, version int64, sv machine.Server) Object {
	text, _ := json.Marshal(sv)
	return Object{Key: PrefixMembers + name, Version: version, Value: string(text)}
}

func gone(name string, version int64) Object {
	return Object{Key: PrefixMembers + name, Version: version, Deleted: true}
}

func apply(t *testing.T, fl Fleet, now time.Time, objects ...Object) Fleet {
	t.Helper()
	fl, refused := fl.Apply(now, hold, plainCodec{}, objects)
	assert.Equal(t, len(refused), 0, "%v", refused)
	return fl
}

var plans = machine.Server{Service: "plans", Zone: "a", Address: "10.0.0.1:80", Slots: 2, StartedAt: start}

func TestVanishedServerIsHeldAndThenGone(t *testing.T) {
	fl := apply(t, Fleet{}, start, record("one", 1, plans))
	fl = apply(t, fl, start, gone("one", 2))
	assert.Equal(t, len(fl.Live("plans")), 1, "held: its record may have lapsed")
	assert.Assert(t, fl.Live("plans")[0].State.Suspect(start), "the last choice")
	assert.Assert(t, !fl.HasLapsed(start.Add(hold-1)))
	assert.Equal(t, len(fl.Lapse(start.Add(hold)).Services["plans"]), 0)
	// It registered again in time.
	fl = apply(t, fl, start.Add(time.Second), record("one", 3, plans))
	assert.Equal(t, len(fl.Lapse(start.Add(hold)).Services["plans"]), 1)
}

func TestDrainingIsFinal(t *testing.T) {
	leaves := plans
	leaves.Leaving = true
	fl := apply(t, Fleet{}, start, record("one", 1, plans), record("one", 2, leaves), record("one", 3, plans))
	assert.Assert(t, fl.Servers["one"].IsLeaving(start))
	fl = apply(t, fl, start, gone("one", 4))
	assert.Equal(t, len(fl.Live("plans")), 0, "one that said that it leaves is not held")
}

func TestRestartedServerIsAnotherOne(t *testing.T) {
	fl := apply(t, Fleet{}, start, record("one", 1, plans))
	before := fl.Servers["one"].State
	before.Failed(start)
	again := plans
	again.StartedAt = start.Add(time.Second)
	fl = apply(t, fl, start, record("one", 2, again))
	assert.Assert(t, fl.Servers["one"].State != before)
	// A late record of the earlier start changes nothing.
	stale := plans
	stale.Leaving = true
	fl = apply(t, fl, start, record("one", 3, stale))
	assert.Assert(t, !fl.Servers["one"].Leaving)
}

func TestUnreadableRecordsChangeNothing(t *testing.T) {
	fl := apply(t, Fleet{}, start, record("one", 1, plans), Object{Key: PrefixTable + "main", Version: 2, Value: "version 5"})
	fl, refused := fl.Apply(start, hold, plainCodec{}, []Object{
		{Key: PrefixMembers + "forged", Version: 3, Value: "{"},
		{Key: PrefixMembers + "one", Version: 4, Value: `{"slots":"many"}`},
		{Key: PrefixTable + "main", Version: 5, Value: "nothing"},
	})
	assert.Equal(t, len(refused), 3)
	assert.Equal(t, len(fl.Live("plans")), 1)
	assert.Equal(t, fl.Table.Version, int64(5))
}

func TestTableNeverFallsBack(t *testing.T) {
	table := func(version, number int64) Object {
		return Object{Key: PrefixTable + "main", Version: version, Value: fmt.Sprintf("version %d", number)}
	}
	fl := apply(t, Fleet{}, start, record("one", 1, plans), table(2, 7), table(3, 6))
	assert.Equal(t, fl.Table.Version, int64(7))
	assert.Equal(t, fl.Servers["one"].ConnectionLimit, 25)
	_, refused := fl.Apply(start, hold, plainCodec{}, []Object{table(1, 9)})
	assert.ErrorIs(t, refused[0], ErrOlder)
}

// TestCopiesAgreeInAnyOrder takes the same changes in different orders and by
// pulls, as entry VMs do.
func TestCopiesAgreeInAnyOrder(t *testing.T) {
	var objects []Object
	for at := range 200 {
		key := fmt.Sprintf("%s%d", PrefixMembers, at%40)
		objects = append(objects, Object{Key: key, Version: int64(at + 1), Value: strings.Repeat("x", at%7), Deleted: at%11 == 0})
	}
	// A removal that bears the version of the object that it removes.
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
		for _, ob := range pulled.Newer(got.After(0, nil)) {
			pulled, _, _ = pulled.With(ob)
		}
		assert.Equal(t, pulled.Digest, want.Digest)
		assert.Equal(t, len(want.Newer(got.After(0, nil))), 0)
	}
}

// TestApplyAtOnceSameAsOneByOne takes random changes in both ways.
func TestApplyAtOnceSameAsOneByOne(t *testing.T) {
	rd := rand.New(rand.NewPCG(7, 11))
	now := time.Unix(1_000_000, 0)
	const hold = 2 * time.Second
	atOnce, oneByOne := Fleet{}, Fleet{}
	version := int64(0)
	for range 200 {
		var batch []Object
		for range 1 + rd.IntN(6) {
			version++
			name := fmt.Sprintf("sv-%d", rd.IntN(8))
			ob := Object{Key: PrefixMembers + name, Version: version - rd.Int64N(3), Deleted: rd.IntN(4) == 0}
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
		atOnce, _ = atOnce.Apply(now, hold, plainCodec{}, batch)
		for _, ob := range batch {
			oneByOne, _ = oneByOne.Apply(now, hold, plainCodec{}, []Object{ob})
		}
		atOnce, oneByOne = atOnce.Lapse(now), oneByOne.Lapse(now)
		assert.Equal(t, atOnce.Digest, oneByOne.Digest)
		assert.DeepEqual(t, summary(atOnce), summary(oneByOne))
	}
	assert.Assert(t, len(atOnce.Servers) > 0 && atOnce.Table != nil)
}

// summary tells of each server what requests depend on.
func summary(fl Fleet) map[string]string {
	told := map[string]string{}
	for service, servers := range fl.Services {
		for at, sv := range servers {
			_, lapsed := fl.lapsed[sv.Name]
			told[fmt.Sprintf("%s %d", service, at)] = fmt.Sprint(sv.Name, sv.Address, sv.Leaving, sv.ConnectionLimit, lapsed)
		}
	}
	return told
}
