package contract

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// costWeight is the weight of one answer in a mean cost, as a divisor, once that
	// many answers were seen. Before, all answers have the same weight.
	costWeight = 32
	// costOutlier bounds one answer to this multiple of the mean: one request in 100 takes
	// five times as long, and a pause of a server is no work.
	costOutlier = 6
	// costTTL is the time without answers after which a cost is forgotten.
	costTTL = 10 * time.Minute
	// routeWeight is the number of answers of a service that count as much as the mean of
	// the route. An entry VM sees few answers of each of many services.
	routeWeight = 16
	// maxCostServices bounds the number of services of a route whose costs are kept.
	maxCostServices = 4096
)

// Cost estimates the server time of a kind of requests on a server of usual speed, as a
// decaying mean and mean deviation. Its methods may be called by any number of
// goroutines. Of two concurrent updates, one may be lost.
type Cost struct {
	// meanNanos is 0 if unknown.
	meanNanos      atomic.Int64
	deviationNanos atomic.Int64
	// count is the number of answers, up to costWeight.
	count atomic.Int64
	// at is when an answer was last recorded, in Unix nanoseconds.
	at atomic.Int64
}

// Record adds the server time of one answer.
func (co *Cost) Record(now time.Time, took time.Duration) {
	count := co.count.Load()
	mean := co.meanNanos.Load()
	if mean == 0 || co.IsForgotten(now) {
		count, mean = 0, int64(took)
	}
	sample := max(int64(took), 1)
	if count > 0 {
		sample = min(sample, costOutlier*mean)
	}
	weight := min(count+1, costWeight)
	deviation := co.deviationNanos.Load()
	if count == 0 {
		deviation = 0
	}
	co.meanNanos.Store(max(mean+(sample-mean)/weight, 1))
	co.deviationNanos.Store(deviation + (max(sample-mean, mean-sample)-deviation)/weight)
	co.count.Store(weight)
	co.at.Store(now.UnixNano())
}

// Mean returns the expected server time; 0 if it is unknown.
func (co *Cost) Mean() time.Duration { return time.Duration(co.meanNanos.Load()) }

// Deviation returns the mean deviation from Mean.
func (co *Cost) Deviation() time.Duration { return time.Duration(co.deviationNanos.Load()) }

// IsForgotten reports whether no answer was recorded for costTTL.
func (co *Cost) IsForgotten(now time.Time) bool {
	return now.UnixNano()-co.at.Load() > int64(costTTL)
}

// RouteCosts holds the cost of the requests of one route, as a whole and for each
// service. The zero value is ready for use.
type RouteCosts struct {
	all Cost
	// services maps names of services to *Cost.
	services sync.Map
	count    atomic.Int64
}

// Record adds the server time of one answer of a service.
func (rc *RouteCosts) Record(now time.Time, service string, took time.Duration) {
	rc.all.Record(now, took)
	value, ok := rc.services.Load(service)
	if !ok {
		if rc.count.Load() >= maxCostServices {
			return
		}
		var loaded bool
		if value, loaded = rc.services.LoadOrStore(service, &Cost{}); !loaded {
			rc.count.Add(1)
		}
	}
	value.(*Cost).Record(now, took)
}

// Expected returns the expected server time of a request to a service, at a server of usual
// speed; 0 if it is unknown. Services with few answers count as the others of the route.
func (rc *RouteCosts) Expected(service string) time.Duration {
	mean := rc.all.Mean()
	value, ok := rc.services.Load(service)
	if !ok {
		return mean
	}
	co := value.(*Cost)
	count := co.count.Load()
	return (co.Mean()*time.Duration(count) + mean*routeWeight) / time.Duration(count+routeWeight)
}

// All returns the cost of all requests of the route.
func (rc *RouteCosts) All() *Cost { return &rc.all }

// Forget removes the costs of services without recent answers.
func (rc *RouteCosts) Forget(now time.Time) {
	rc.services.Range(func(name, value any) bool {
		if value.(*Cost).IsForgotten(now) && rc.services.CompareAndDelete(name, value) {
			rc.count.Add(-1)
		}
		return true
	})
}
