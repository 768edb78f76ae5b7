package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// leaseNetwork carries requests for tokens between the processes of a test, encoded.
type leaseNetwork struct {
	mm     *memTransport
	lock   sync.Mutex
	leases map[string]*Leases
	bytes  atomic.Int64
}

func (ln *leaseNetwork) Lease(ctx context.Context, address string, rq *entrypb.LeaseRequest) (*entrypb.LeaseReply, error) {
	if _, err := ln.mm.find(address); err != nil {
		return nil, err
	}
	ln.lock.Lock()
	ls := ln.leases[address]
	ln.lock.Unlock()
	arrived, reply := &entrypb.LeaseRequest{}, &entrypb.LeaseReply{}
	if err := ln.pass(rq, arrived); err != nil {
		return nil, err
	}
	return reply, ln.pass(ls.HandleLease(ctx, arrived), reply)
}

func (ln *leaseNetwork) pass(from, to proto.Message) error {
	text, err := proto.Marshal(from)
	if err != nil {
		return err
	}
	ln.bytes.Add(int64(len(text)))
	return proto.Unmarshal(text, to)
}

var leaseBounds = contract.RateBounds{Customers: contract.QuotaBounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}}

// newLeases returns clusters of confirmed VMs that share rates.
func newLeases(t *testing.T, count int) (*leaseNetwork, []*Cluster, []*Leases) {
	t.Helper()
	mm, all := newZonedClusters(t, count, 3)
	ln := &leaseNetwork{mm: mm, leases: map[string]*Leases{}}
	started := time.Now()
	var leases []*Leases
	for _, cr := range all {
		ls := &Leases{
			Cluster: cr, Transport: ln, Share: contract.NewRateShare(leaseBounds), Owner: contract.NewRateOwner(leaseBounds, false),
			Now: time.Now, StartedAt: started,
			IsDiscovering: func() bool { return time.Since(started) < 3*time.Second },
		}
		ls.Init()
		leases = append(leases, ls)
		ln.leases[cr.Self.EntryAddress] = ls
	}
	return ln, all, leases
}

var (
	leaseKey  = contract.RateKey{Kind: contract.RateOfCustomer, Name: "customer"}
	leaseRate = contract.SharedRate{PerSecond: 10, Burst: 10}
)

// takeFor sends requests through random VMs for a time, and returns the numbers of those
// that were admitted and refused.
func takeFor(t *testing.T, leases []*Leases, perSecond int, long time.Duration) (admitted, refused int) {
	t.Helper()
	for range int(long.Seconds() * float64(perSecond)) {
		ls := leases[rand.IntN(len(leases))]
		if ls.Share.TryTake(ls.Now(), leaseKey, leaseRate) || ls.Await(t.Context(), leaseKey, leaseRate) {
			admitted++
		} else {
			refused++
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	return admitted, refused
}

// TestLeasesOverTransport guards against requests that are refused below a limit or
// admitted far above it, in clusters with and without hubs, and while the owner leaves.
func TestLeasesOverTransport(t *testing.T) {
	for _, count := range []int{6, 24} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, all, leases := newLeases(t, count)
				ctx, cancel := context.WithCancel(context.Background())
				defer func() { cancel(); time.Sleep(2 * time.Second) }()
				for _, ls := range leases {
					go ls.Run(ctx)
				}
				go func() {
					for ctx.Err() == nil {
						runRounds(t, all, nil, 1)
					}
				}()
				time.Sleep(12 * time.Second)
				_, refused := takeFor(t, leases, 8, 20*time.Second)
				assert.Equal(t, refused, 0)
				time.Sleep(5 * time.Second)
				admitted, _ := takeFor(t, leases, 70, 20*time.Second)
				assert.Assert(t, admitted >= 190 && admitted <= 250, "admitted %d", admitted)
				time.Sleep(5 * time.Second)
				owner := leaseKey.OwnerAmong(leases[0].Place().Owners)
				for i, cr := range all {
					if cr.Self.Name == owner {
						cr.Leave()
						leases[i].Refresh()
					}
				}
				_, refused = takeFor(t, leases, 8, 20*time.Second)
				assert.Equal(t, refused, 0)
				assert.Assert(t, leaseKey.OwnerAmong(leases[0].Place().Owners) != owner)
			})
		})
	}
}

// memRosters is a RosterStore of a test.
type memRosters struct {
	lock   sync.Mutex
	roster machine.Roster
}

func (mr *memRosters) ReadRoster(context.Context) (machine.Roster, error) {
	mr.lock.Lock()
	defer mr.lock.Unlock()
	return mr.roster, nil
}

func (mr *memRosters) WriteRoster(_ context.Context, next machine.Roster) (machine.Roster, error) {
	mr.lock.Lock()
	defer mr.lock.Unlock()
	if next.Revision == mr.roster.Revision {
		next.Revision++
		next.WrittenAt, next.IsMissing = next.Revision, false
		mr.roster = next
	}
	return mr.roster, nil
}

func (*memRosters) IsRestorable() bool { return true }

// TestRatesAfterLossOfAllSeeds guards against VMs that are back after a loss of all, without
// the seeds, and neither find each other nor grant anything to customers below their limits.
func TestRatesAfterLossOfAllSeeds(t *testing.T) {
	for _, count := range []int{6, 24} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rosters := &memRosters{roster: machine.Roster{IsMissing: true}}
				play := func(first int, long time.Duration) (admitted, refused int) {
					ctx, cancel := context.WithCancel(context.Background())
					defer func() { cancel(); time.Sleep(2 * time.Second) }()
					_, all, leases := newLeases(t, count)
					for i, cr := range all {
						if i < first {
							all[0].Transport.(*memTransport).unreachable[cr.Self.EntryAddress] = true
							continue
						}
						leases[i].RosterStore, leases[i].IsFirst = rosters, first == 0
						leases[i].Init()
						go leases[i].Run(ctx)
					}
					go func() {
						for ctx.Err() == nil {
							runRounds(t, all[first:], nil, 1)
						}
					}()
					time.Sleep(long)
					return takeFor(t, leases[first:], 8, 20*time.Second)
				}
				_, refused := play(0, 15*time.Second)
				assert.Equal(t, refused, 0)
				admitted, refused := play(3, 15*time.Second)
				assert.Assert(t, refused == 0, "%d of %d refused", refused, admitted+refused)
			})
		})
	}
}

// TestNoLeaseMessagesWithoutUse guards against messages where no key is in use.
func TestNoLeaseMessagesWithoutUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln, all, leases := newLeases(t, 6)
		ctx, cancel := context.WithCancel(t.Context())
		for _, ls := range leases {
			go ls.Run(ctx)
		}
		runRounds(t, all, nil, 6)
		assert.Equal(t, ln.bytes.Load(), int64(0))
		takeFor(t, leases, 10, 5*time.Second)
		runRounds(t, all, nil, 2)
		before := ln.bytes.Load()
		assert.Assert(t, before > 0)
		runRounds(t, all, nil, 10)
		assert.Equal(t, ln.bytes.Load(), before)
		cancel()
		time.Sleep(time.Second)
	})
}

// BenchmarkLeaseMessage measures one request for the tokens of all keys of a VM, encoded,
// answered by their owner, and taken over.
func BenchmarkLeaseMessage(b *testing.B) {
	for _, count := range []int{75, 10_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			share, owner := contract.NewRateShare(leaseBounds), contract.NewRateOwner(leaseBounds, true)
			place := &contract.RatePlace{Self: "owner", Owners: []string{"owner"}, Holders: []string{"owner"}, Part: 1, Ready: true}
			share.SetPlace(place)
			owner.Update(now, place)
			ls := &Leases{Cluster: &Cluster{}, Owner: owner, Now: func() time.Time { return now }}
			keys := make([]contract.RateKey, count)
			for i := range keys {
				keys[i] = contract.RateKey{Kind: contract.RateOfCustomer, Name: fmt.Sprintf("customer-%06d", i)}
			}
			bytes := 0
			b.ResetTimer()
			for b.Loop() {
				now = now.Add(contract.RateInterval)
				owner.Update(now, place)
				for _, key := range keys {
					for range 3 {
						share.TryTake(now, key, leaseRate)
					}
				}
				asks, _ := share.NextAsks(now)
				rq := &entrypb.LeaseRequest{Sender: "vm", Incarnation: 1}
				for _, ask := range asks {
					rq.Demands = append(rq.Demands, encodeDemand(&ask.Demand))
				}
				text, _ := proto.Marshal(rq)
				arrived, reply := &entrypb.LeaseRequest{}, &entrypb.LeaseReply{}
				_ = proto.Unmarshal(text, arrived)
				answer, _ := proto.Marshal(ls.HandleLease(b.Context(), arrived))
				_ = proto.Unmarshal(answer, reply)
				for i, ask := range asks {
					share.Apply(now, ask, decodeGrant(reply.Grants[i]))
				}
				bytes = len(text) + len(answer)
			}
			b.ReportMetric(float64(bytes), "bytes/op")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/key")
		})
	}
}
