package contract_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

// playedRequest is one request of the load, and playedLoad a load on caller VMs: 75
// customers of skewed sizes, 100 requests a second together, each below its limit but the
// hot one, which sends seven times its usual amount. Half of the customers spread their
// requests, the others use one VM for a second or two; some send in bursts, some twice a
// minute.
type playedRequest struct {
	at       time.Duration
	customer string
	vm       int
}

type playedLoad struct {
	rates    map[string]contract.SharedRate
	requests []playedRequest
}

const (
	playedHot  = "customer-02"
	playedLong = time.Minute
)

func newPlayedLoad(callers int) playedLoad {
	random := rand.New(rand.NewPCG(7, 7))
	pl := playedLoad{rates: map[string]contract.SharedRate{}}
	sum := 0.0
	for i := range 75 {
		sum += 1 / float64(i+1)
	}
	for i := range 75 {
		name, usual := fmt.Sprintf("customer-%02d", i), 100/sum/float64(i+1)
		if i >= 65 {
			usual = 2.0 / 60
		}
		pl.rates[name] = contract.SharedRate{PerSecond: 1.5 * usual, Burst: math.Ceil(2*usual + 5)}
		sent, vm, movesAt := usual, random.IntN(callers), time.Duration(0)
		if name == playedHot {
			sent = 7 * usual
		}
		burst := 1
		if i%5 == 4 {
			burst = 4
		}
		for at := time.Duration(0); at < playedLong; at += time.Duration(random.ExpFloat64() / sent * float64(burst) * float64(time.Second)) {
			if at >= movesAt {
				vm, movesAt = random.IntN(callers), at+time.Second+time.Duration(random.Int64N(int64(time.Second)))
			}
			for range burst {
				if i%2 == 0 {
					vm = random.IntN(callers)
				}
				pl.requests = append(pl.requests, playedRequest{at, name, vm})
			}
		}
	}
	return pl
}

// rateBucket is a token bucket.
type rateBucket struct {
	level float64
	at    time.Duration
}

func (rb *rateBucket) take(now time.Duration, rate contract.SharedRate) bool {
	rb.level = min(rate.Burst, rb.level+rate.PerSecond*(now-rb.at).Seconds())
	rb.at = now
	if rb.level < 1 {
		return false
	}
	rb.level--
	return true
}

// localBuckets admits by a bucket on each VM, which gets a share of the rate.
type localBuckets struct {
	buckets map[string]*rateBucket
	share   func(now time.Duration, customer string, vm int) float64
}

func (lb *localBuckets) take(now time.Duration, customer string, vm int, rate contract.SharedRate) bool {
	share := lb.share(now, customer, vm)
	part := contract.SharedRate{PerSecond: rate.PerSecond * share, Burst: rate.Burst * share}
	key := fmt.Sprint(customer, vm)
	if lb.buckets[key] == nil {
		lb.buckets[key] = &rateBucket{level: part.Burst}
	}
	return lb.buckets[key].take(now, part)
}

// demandShares returns a share that follows the demand in the last second but one, as
// heartbeats would tell it.
func demandShares(pl playedLoad, callers int) func(now time.Duration, customer string, vm int) float64 {
	type cell struct {
		second   int
		customer string
		vm       int
	}
	counts := map[cell]float64{}
	for _, rq := range pl.requests {
		counts[cell{int(rq.at / time.Second), rq.customer, rq.vm}]++
		counts[cell{int(rq.at / time.Second), rq.customer, -1}]++
	}
	return func(now time.Duration, customer string, vm int) float64 {
		second := int(now/time.Second) - 2
		// Each VM keeps a tenth of an equal share.
		kept := 0.1 / float64(callers)
		total := counts[cell{second, customer, -1}]
		if total == 0 {
			return 1 / float64(callers)
		}
		return kept + 0.9*counts[cell{second, customer, vm}]/total
	}
}

// playedResult counts what became of the requests.
type playedResult struct {
	below, belowAdmitted int
	// hot is the part of its rate and burst that the hot customer got, worst the most
	// requests in a window of any customer over the bound.
	hot, worst float64
}

func (pl playedLoad) result(rw *rateWorld) playedResult {
	rs := playedResult{worst: math.Inf(-1)}
	for customer, rate := range pl.rates {
		rs.worst = max(rs.worst, rw.worst(customer))
		admitted, ideal, below := len(rw.admitted[customer]), rateBucket{level: rate.Burst}, 0
		for _, rq := range pl.requests {
			if rq.customer == customer && ideal.take(rq.at, rate) {
				below++
			}
		}
		if customer == playedHot {
			rs.hot = float64(admitted) / float64(below)
			continue
		}
		rs.below += below
		rs.belowAdmitted += min(admitted, below)
	}
	return rs
}

// TestComparedRateShares guards against a customer that is refused below its limit while it
// moves between VMs, and compares leases with an equal split and with shares that follow
// the demand under the same load.
func TestComparedRateShares(t *testing.T) {
	const callers = 9
	pl := newPlayedLoad(callers)
	local := func(share func(time.Duration, string, int) float64) playedResult {
		rw := &rateWorld{rates: pl.rates, bounds: quotaBounds, admitted: map[string][]time.Time{}}
		lb := &localBuckets{buckets: map[string]*rateBucket{}, share: share}
		for _, rq := range pl.requests {
			if lb.take(rq.at, rq.customer, rq.vm, pl.rates[rq.customer]) {
				rw.admitted[rq.customer] = append(rw.admitted[rq.customer], time.Unix(0, 0).Add(rq.at))
			}
		}
		return pl.result(rw)
	}
	report := func(way string, rs playedResult, messages int) {
		t.Logf("%-18s %5.2f%% of %d requests below the limit admitted, %3.0f%% of its limit for the hot customer, worst window %+.1f, %.0f messages/s",
			way, 100*float64(rs.belowAdmitted)/float64(rs.below), rs.below, 100*rs.hot, rs.worst, float64(messages)/playedLong.Seconds())
	}
	report("equal split", local(func(time.Duration, string, int) float64 { return 1.0 / callers }), 0)
	report("follow the demand", local(demandShares(pl, callers)), 0)
	for _, count := range []int{9, 21, 65} {
		rw := newRateWorld(3, count, pl.rates)
		rw.run(12 * time.Second)
		// Delays between zones.
		rw.delay, rw.messages = 8*time.Millisecond, 0
		for _, rq := range pl.requests {
			rw.after(rq.at, func() { rw.request(rw.vms[rq.vm], rq.customer) })
		}
		rw.run(playedLong + time.Second)
		rs := pl.result(rw)
		report(fmt.Sprintf("leases, %d VMs", count), rs, rw.messages)
		assert.Assert(t, rs.worst <= 0, "%.1f requests too many in a window", rs.worst)
		assert.Assert(t, float64(rs.belowAdmitted) >= 0.99*float64(rs.below), "%d of %d requests below the limit admitted", rs.belowAdmitted, rs.below)
		assert.Assert(t, rs.hot >= 0.95, "the hot customer got %.2f of its limit", rs.hot)
	}
}
