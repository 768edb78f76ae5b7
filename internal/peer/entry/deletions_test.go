package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

// removalDelay is how long the fleets of these tests keep a server after its record
// disappeared.
const removalDelay = time.Minute

// anyServerCodec takes each record for the same server.
type anyServerCodec struct{}

func (anyServerCodec) Table(string) (*contract.Table, error) { return &contract.Table{}, nil }

func (anyServerCodec) Server(_ time.Time, name, _ string) (machine.Server, error) {
	return machine.Server{Name: name, Service: "search", Slots: 1}, nil
}

// fleetReplica is a Replica that holds a fleet.
type fleetReplica struct {
	fleets *rcu.Value[view.Fleet]
}

func (fr fleetReplica) Current() *view.Copy { return &fr.fleets.Load().Copy }

func (fr fleetReplica) Apply(now time.Time, origin view.Origin, objects []view.Object) int64 {
	before := fr.Current().Changes
	fr.fleets.Update(func(fl view.Fleet) view.Fleet {
		fl, _ = fl.Apply(now, origin, removalDelay, anyServerCodec{}, objects)
		return fl
	})
	return fr.Current().Changes - before
}

// TestPulledDeletionIsAsOldAsAtThePeer lets the record of a server disappear, and the
// news pass through three entry VMs, each later than the one before. All of them must
// stop using the server at the same time, since the platform allows it to end by then.
func TestPulledDeletionIsAsOldAsAtThePeer(t *testing.T) {
	const lag = 60 * time.Millisecond
	_, all := newClusters(3)
	fleets := make([]fleetReplica, len(all))
	for i, cr := range all {
		fleets[i] = fleetReplica{fleets: rcu.New(view.Fleet{})}
		cr.Replica = fleets[i]
		cr.FollowsPeers = func() bool { return true }
	}
	record := view.Object{Key: view.PrefixFleetServers + "a", Version: 1, Value: "{}"}
	for _, fr := range fleets {
		fr.Apply(time.Now(), view.Origin{}, []view.Object{record})
	}
	seenAt := time.Now()
	fleets[0].Apply(seenAt, view.Origin{}, []view.Object{{Key: record.Key, Version: 2, Deleted: true}})
	for i := 1; i < len(all); i++ {
		time.Sleep(lag)
		all[i].exchange(t.Context(), all[i-1].Self.EntryAddress)
		assert.Equal(t, fleets[i].Current().Version, int64(2))
	}
	for i, fr := range fleets {
		fl := fr.fleets.Load()
		assert.Assert(t, !fl.HasExpired(seenAt.Add(removalDelay/2)), "entry VM %d gives the server up too early", i)
		assert.Assert(t, fl.HasExpired(seenAt.Add(removalDelay+2*time.Millisecond)), "entry VM %d uses the server for too long", i)
	}
}
