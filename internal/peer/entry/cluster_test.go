package entry

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

// memTransport is a Transport between clusters of one process. It encodes each
// message, to count its bytes.
type memTransport struct {
	lock     sync.Mutex
	clusters map[string]*Cluster
	// unreachable holds the addresses that can't be reached.
	unreachable  map[string]bool
	bytes, calls atomic.Int64
	// farBytes counts the bytes of heartbeats between zones.
	farBytes atomic.Int64
}

var errUnreachable = errors.New("address is unreachable")

func (mm *memTransport) find(address string) (*Cluster, error) {
	mm.lock.Lock()
	defer mm.lock.Unlock()
	if mm.unreachable[address] {
		return nil, errUnreachable
	}
	cr, ok := mm.clusters[address]
	if !ok {
		return nil, errUnreachable
	}
	return cr, nil
}

// roundTrip encodes and decodes a message and counts its bytes.
func roundTrip[M proto.Message](mm *memTransport, from, to M) error {
	text, err := proto.Marshal(from)
	if err != nil {
		return err
	}
	mm.bytes.Add(int64(len(text)))
	mm.calls.Add(1)
	return proto.Unmarshal(text, to)
}

func (mm *memTransport) Exchange(_ context.Context, address string, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	cr, err := mm.find(address)
	if err != nil {
		return nil, err
	}
	arrived, reply := &entrypb.Heartbeat{}, &entrypb.Heartbeat{}
	if err := roundTrip(mm, hb, arrived); err != nil {
		return nil, err
	}
	err = roundTrip(mm, cr.HandleHeartbeat(time.Now(), arrived), reply)
	if hb.Sender.Zone != cr.Self.Zone {
		mm.farBytes.Add(int64(proto.Size(arrived) + proto.Size(reply)))
	}
	return reply, err
}

func (mm *memTransport) Pull(_ context.Context, address string, rq *entrypb.PullRequest) (*entrypb.PullReply, error) {
	cr, err := mm.find(address)
	if err != nil {
		return nil, err
	}
	reply := &entrypb.PullReply{}
	return reply, roundTrip(mm, cr.HandlePull(time.Now(), rq), reply)
}

// newClusters returns clusters without objects, with the first nine as seeds.
func newClusters(count int) (*memTransport, []*Cluster) {
	mm := &memTransport{clusters: map[string]*Cluster{}, unreachable: map[string]bool{}}
	var all []*Cluster
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("entry-%03d:1", i))
	}
	for i := range count {
		cr := &Cluster{
			Self: machine.EntryVM{
				Name: fmt.Sprintf("entry-%03d", i), Zone: fmt.Sprintf("zone-%d", i%3), CallerAddress: "10.0.0.1:8401",
				OperatorAddress: "10.0.0.1:8402", EntryAddress: seeds[i], Incarnation: uint64(i + 1),
			},
			Seeds: seeds[:min(count, 9)], Transport: mm, Replica: platform.ViewTarget{Views: rcu.New(view.View{}), Confirmation: &view.Confirmation{}, Log: zap.NewNop()}, Confirmation: &view.Confirmation{},
			Quarantine: contract.NewQuarantine(), PlatformDown: func() bool { return false }, Log: zap.NewNop(),
		}
		cr.Init()
		all = append(all, cr)
		mm.clusters[seeds[i]] = cr
	}
	return mm, all
}

func BenchmarkHeartbeats(b *testing.B) {
	for _, count := range []int{9, 30, 100, 300} {
		b.Run(fmt.Sprintf("peers=%d", count), func(b *testing.B) {
			before := heapAlloc()
			mm, all := newClusters(count)
			for range 20 {
				for _, cr := range all {
					cr.round(b.Context())
				}
			}
			state := heapAlloc() - before
			mm.bytes.Store(0)
			mm.calls.Store(0)
			for b.Loop() {
				for _, cr := range all {
					cr.round(b.Context())
				}
			}
			rounds := float64(b.N * count)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/rounds, "us/round")
			b.ReportMetric(float64(mm.bytes.Load())/rounds, "B/round")
			b.ReportMetric(float64(mm.calls.Load())/rounds, "messages/round")
			b.ReportMetric(float64(state)/float64(count*count), "state-B/peer")
			known := len(all[0].Members(time.Now()))
			assert.Assert(b, known > count*9/10, "%d members known", known)
		})
	}
}

func heapAlloc() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// settingObject returns a setting's object at a version.
func settingObject(version int64, deadline string) view.Object {
	const path = "teams/gaisma/routes/find"
	text, _ := contract.Revision{Path: path, Body: "collection = \"lessons\"\ndeadline = \"" + deadline + "\"\n"}.Encode()
	return view.Object{Key: path, Version: version, Value: text}
}

func apply(cr *Cluster, ob view.Object) {
	cr.Replica.(platform.ViewTarget).Views.Update(func(vw view.View) view.View {
		next, err := vw.Apply(ob)
		if err != nil {
			panic(err)
		}
		return next
	})
}

func versionOf(cr *Cluster) int64 {
	st, ok := cr.Replica.(platform.ViewTarget).Views.Load().Settings.Get("teams/gaisma/routes/find")
	if !ok {
		return 0
	}
	return st.Version
}

// TestChangeReachesAllPeersFromOneWatcher counts the rounds, one per second,
// until a change that one process received is in force on all. A failure domain
// at the target size has 148 processes, and a change must be in force within 7 s.
func TestChangeReachesAllPeersFromOneWatcher(t *testing.T) {
	const maxRounds = 7
	for _, count := range []int{9, 30, 148} {
		t.Run(fmt.Sprintf("peers=%d", count), func(t *testing.T) {
			_, all := newClusters(count)
			runRound := func() {
				for _, cr := range all {
					cr.round(t.Context())
				}
			}
			for range 20 {
				runRound()
			}
			apply(all[0], settingObject(1, "300ms"))
			rounds := 0
			for countBehind(all, 1) > 0 {
				runRound()
				rounds++
				assert.Assert(t, rounds <= maxRounds, "%d behind after %d rounds", countBehind(all, 1), rounds)
			}
			t.Logf("%d processes: %d rounds", count, rounds)
		})
	}
}

func countBehind(all []*Cluster, version int64) int {
	count := 0
	for _, cr := range all {
		if versionOf(cr) < version {
			count++
		}
	}
	return count
}

// TestPullTransfersOnlyMissingObjects has two copies of 200 objects, of which one
// lacks an early object. The number of bytes sent shows that the objects that both
// have are not transferred.
func TestPullTransfersOnlyMissingObjects(t *testing.T) {
	mm, all := newClusters(2)
	missed := int64(40)
	for version := int64(1); version <= 200; version++ {
		ob := settingObject(version, "300ms")
		path := fmt.Sprintf("%s-%d", ob.Key, version)
		ob.Key, ob.Value = path, strings.Replace(ob.Value, ob.Key, path, 1)
		apply(all[0], ob)
		if version != missed {
			apply(all[1], ob)
		}
	}
	total := int64(0)
	for _, ob := range all[0].Replica.Current().NewerThan(0, nil) {
		total += int64(len(ob.Key) + len(ob.Value))
	}
	rounds := 0
	for ; all[1].Replica.Current().Digest != all[0].Replica.Current().Digest; rounds++ {
		assert.Assert(t, rounds < 6, "the copies still differ")
		all[1].round(t.Context())
	}
	assert.Assert(t, rounds > 0)
	assert.Assert(t, mm.bytes.Load() < total/4, "%d bytes sent, all objects have %d", mm.bytes.Load(), total)
}

// TestNotReadyBeforeFirstConfirmation guards against callers being sent to a
// process that has objects although the platform never confirmed them: neither
// the process nor its peers may consider it ready.
func TestNotReadyBeforeFirstConfirmation(t *testing.T) {
	_, all := newClusters(2)
	unconfirmed, confirmed := all[0], all[1]
	apply(unconfirmed, settingObject(5, "300ms"))
	apply(confirmed, settingObject(5, "300ms"))
	confirmed.Confirmation.Confirm(time.Now())
	ready := func(cr *Cluster, name string) bool {
		for _, vm := range cr.Members(time.Now()) {
			if vm.Name == name {
				return vm.IsReady(time.Now())
			}
		}
		return false
	}
	// The unconfirmed process sends the first heartbeat, so that its peer knows
	// it before it receives a confirmation.
	confirmed.mergeHeartbeat(time.Now(), unconfirmed.Heartbeat(time.Now(), ""))
	assert.Assert(t, !ready(unconfirmed, unconfirmed.Self.Name))
	assert.Assert(t, !ready(confirmed, unconfirmed.Self.Name))
	assert.Assert(t, ready(confirmed, confirmed.Self.Name))
	unconfirmed.round(t.Context())
	assert.Assert(t, ready(unconfirmed, unconfirmed.Self.Name), "the peer relayed the confirmation")
	confirmed.mergeHeartbeat(time.Now(), unconfirmed.Heartbeat(time.Now(), ""))
	assert.Assert(t, ready(confirmed, unconfirmed.Self.Name))
	// Readiness survives a later loss of the confirmation.
	unconfirmed.Confirmation = &view.Confirmation{}
	assert.Assert(t, ready(unconfirmed, unconfirmed.Self.Name))
}

// TestHeartbeatWithoutSenderIsIgnored guards against a peer of another kind at a
// known address, whose message would end the process.
func TestHeartbeatWithoutSenderIsIgnored(t *testing.T) {
	for _, hb := range []*entrypb.Heartbeat{{}, {Sender: &entrypb.Member{}, Digest: 7, Version: 9}} {
		mm, all := newClusters(2)
		reply := all[0].HandleHeartbeat(time.Now(), hb)
		assert.Equal(t, reply.Sender.Name, all[0].Self.Name)
		assert.Equal(t, len(all[0].Members(time.Now())), 1)
		other := all[1]
		other.Transport = replyTransport{mm, hb}
		other.exchange(t.Context(), all[0].Self.EntryAddress)
		assert.Equal(t, len(other.Members(time.Now())), 1)
	}
}

// replyTransport answers each heartbeat with the same reply.
type replyTransport struct {
	*memTransport
	reply *entrypb.Heartbeat
}

func (rt replyTransport) Exchange(context.Context, string, *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	return rt.reply, nil
}

// TestReloadedSeedsAreContacted replaces the seeds of a process that knows nobody.
func TestReloadedSeedsAreContacted(t *testing.T) {
	_, all := newClusters(2)
	all[0].SetSeeds([]string{"gone:1"})
	all[0].round(t.Context())
	assert.Equal(t, len(all[0].Members(time.Now())), 1)
	all[0].SetSeeds([]string{all[1].Self.EntryAddress})
	all[0].round(t.Context())
	assert.Equal(t, len(all[0].Members(time.Now())), 2)
}
