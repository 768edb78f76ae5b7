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

// memory is a Transport between clusters of one process. It encodes each
// message, to count its bytes.
type memory struct {
	lock     sync.Mutex
	clusters map[string]*Cluster
	// cut holds the addresses that can't be reached.
	cut          map[string]bool
	bytes, calls atomic.Int64
}

var errCut = errors.New("cut off")

func (mm *memory) find(address string) (*Cluster, error) {
	mm.lock.Lock()
	defer mm.lock.Unlock()
	if mm.cut[address] {
		return nil, errCut
	}
	cr, ok := mm.clusters[address]
	if !ok {
		return nil, errCut
	}
	return cr, nil
}

// carry encodes and decodes a message.
func carry[M proto.Message](mm *memory, from, to M) error {
	text, err := proto.Marshal(from)
	if err != nil {
		return err
	}
	mm.bytes.Add(int64(len(text)))
	mm.calls.Add(1)
	return proto.Unmarshal(text, to)
}

func (mm *memory) Exchange(_ context.Context, address string, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	cr, err := mm.find(address)
	if err != nil {
		return nil, err
	}
	arrived, reply := &entrypb.Heartbeat{}, &entrypb.Heartbeat{}
	if err := carry(mm, hb, arrived); err != nil {
		return nil, err
	}
	return reply, carry(mm, cr.Handle(time.Now(), arrived), reply)
}

func (mm *memory) Pull(_ context.Context, address string, rq *entrypb.PullRequest) (*entrypb.PullReply, error) {
	cr, err := mm.find(address)
	if err != nil {
		return nil, err
	}
	reply := &entrypb.PullReply{}
	return reply, carry(mm, cr.HandlePull(rq), reply)
}

// newClusters returns clusters that know each other and have one setting.
func newClusters(count int) (*memory, []*Cluster) {
	mm := &memory{clusters: map[string]*Cluster{}, cut: map[string]bool{}}
	var all []*Cluster
	var seeds []string
	for at := range count {
		seeds = append(seeds, fmt.Sprintf("entry-%03d:1", at))
	}
	for at := range count {
		cr := &Cluster{
			Self: machine.EntryVM{
				Name: fmt.Sprintf("entry-%03d", at), Zone: fmt.Sprintf("zone-%d", at%3), CallerAddress: "10.0.0.1:8401",
				OperatorAddress: "10.0.0.1:8402", EntryAddress: seeds[at], Incarnation: uint64(at + 1),
			},
			Seeds: seeds[:min(count, 9)], Transport: mm, Replica: platform.ViewTarget{Views: rcu.New(view.View{}), Confirmation: &view.Confirmation{}, Log: zap.NewNop()}, Confirmation: &view.Confirmation{},
			Quarantine: contract.NewQuarantine(), PlatformDown: func() bool { return false }, Log: zap.NewNop(),
		}
		cr.Init()
		all = append(all, cr)
		mm.clusters[seeds[at]] = cr
	}
	return mm, all
}

func BenchmarkHeartbeats(b *testing.B) {
	for _, count := range []int{9, 30, 100, 300} {
		b.Run(fmt.Sprintf("peers=%d", count), func(b *testing.B) {
			before := heap()
			mm, all := newClusters(count)
			for range 20 {
				for _, cr := range all {
					cr.round(b.Context())
				}
			}
			state := heap() - before
			mm.bytes.Store(0)
			mm.calls.Store(0)
			for b.Loop() {
				for _, cr := range all {
					cr.round(b.Context())
				}
			}
			daemonRounds := float64(b.N * count)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/daemonRounds, "us/round")
			b.ReportMetric(float64(mm.bytes.Load())/daemonRounds, "B/round")
			b.ReportMetric(float64(mm.calls.Load())/daemonRounds, "messages/round")
			b.ReportMetric(float64(state)/float64(count*count), "state-B/peer")
			known := len(all[0].Members(time.Now()))
			assert.Assert(b, known > count*9/10, "%d known", known)
		})
	}
}

func heap() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// settingObject is a change of a setting at a version.
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

// TestChangeSpreadsFromOneWatcher counts the rounds, one a second, until a
// change that one process heard is in force on all. A failure domain of the
// target holds 148 processes, and a change must be in force within 7 s.
func TestChangeSpreadsFromOneWatcher(t *testing.T) {
	const mostRounds = 7
	for _, count := range []int{9, 30, 148} {
		t.Run(fmt.Sprintf("peers=%d", count), func(t *testing.T) {
			_, all := newClusters(count)
			everyRound := func() {
				for _, cr := range all {
					cr.round(t.Context())
				}
			}
			for range 20 {
				everyRound()
			}
			apply(all[0], settingObject(1, "300ms"))
			rounds := 0
			for lagging(all, 1) > 0 {
				everyRound()
				rounds++
				assert.Assert(t, rounds <= mostRounds, "%d lag after %d rounds", lagging(all, 1), rounds)
			}
			t.Logf("%d processes: %d rounds", count, rounds)
		})
	}
}

func lagging(all []*Cluster, version int64) int {
	count := 0
	for _, cr := range all {
		if versionOf(cr) < version {
			count++
		}
	}
	return count
}

// TestPullBringsOnlyWhatIsMissing has two copies with 200 objects in common, of
// which one missed an early one: the objects that both have don't travel.
func TestPullBringsOnlyWhatIsMissing(t *testing.T) {
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
	whole := int64(0)
	for _, ob := range all[0].Replica.Current().After(0, nil) {
		whole += int64(len(ob.Key) + len(ob.Value))
	}
	rounds := 0
	for ; all[1].Replica.Current().Digest != all[0].Replica.Current().Digest; rounds++ {
		assert.Assert(t, rounds < 6, "the copies still differ")
		all[1].round(t.Context())
	}
	assert.Assert(t, rounds > 0)
	assert.Assert(t, mm.bytes.Load() < whole/4, "%d bytes of %d", mm.bytes.Load(), whole)
}

// TestNotOfferedBeforeTheFirstWord has a process that knows objects and has no
// word from the platform yet: neither it nor its peers send callers there.
func TestNotOfferedBeforeTheFirstWord(t *testing.T) {
	_, all := newClusters(2)
	young, old := all[0], all[1]
	apply(young, settingObject(5, "300ms"))
	apply(old, settingObject(5, "300ms"))
	old.Confirmation.Heard(time.Now())
	ready := func(cr *Cluster, name string) bool {
		for _, vm := range cr.Members(time.Now()) {
			if vm.Name == name {
				return vm.IsReady(time.Now())
			}
		}
		return false
	}
	// The young one speaks first, so that it is known before it hears anything.
	old.take(time.Now(), young.Heartbeat(time.Now()))
	assert.Assert(t, !ready(young, young.Self.Name))
	assert.Assert(t, !ready(old, young.Self.Name))
	assert.Assert(t, ready(old, old.Self.Name))
	young.round(t.Context())
	assert.Assert(t, ready(young, young.Self.Name), "the peer passed the word on")
	old.take(time.Now(), young.Heartbeat(time.Now()))
	assert.Assert(t, ready(old, young.Self.Name))
	// An outage later takes nothing back.
	young.Confirmation = &view.Confirmation{}
	assert.Assert(t, ready(young, young.Self.Name))
}
