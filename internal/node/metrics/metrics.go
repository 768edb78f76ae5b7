// Package metrics counts and times what the process does, for scraping.
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"daisystage.example/daisystage/internal/world/contract"
)

const reportEvery = time.Second

// Metrics is the root of all metrics of a process. Make one with New.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	// routes maps team, class and outcome to their *routeMetrics.
	routes sync.Map
}

// New returns the metrics and a function that ends the reporting.
func New(entryVM, zone string) (*Metrics, func()) {
	registry := newRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "daisystage",
		Tags:           map[string]string{"entry_vm": entryVM, "zone": zone},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportEvery)
	mt := &Metrics{Scope: scope, Handler: reporter.HTTPHandler()}
	return mt, func() { _ = closer.Close() }
}

// routeMetrics are the metrics of one team, class and outcome.
type routeMetrics struct {
	latency  tally.Histogram
	coverage tally.Histogram
	sends    tally.Counter
	extra    tally.Counter
	restarts tally.Counter
}

var (
	latencyBuckets  = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 24)
	coverageBuckets = tally.ValueBuckets{0, 0.5, 0.8, 0.9, 0.95, 0.99, 1}
)

type routeKey struct {
	team    string
	class   contract.Class
	outcome contract.Outcome
	code    contract.Code
}

// Answered is of request.Observer.
func (mt *Metrics) Answered(rc *contract.Receipt, class contract.Class, sends, extra int) {
	pt, _ := contract.ParsePath(rc.Setting.Path)
	key := routeKey{team: pt.Team, class: class, outcome: rc.Outcome, code: rc.Code}
	if rc.Setting.Hash == "" {
		// Callers choose the names of routes that do not exist.
		key.team = ""
	}
	rm := mt.route(key)
	rm.latency.RecordDuration(rc.AnsweredAt.Sub(rc.ReceivedAt))
	rm.coverage.RecordValue(rc.Coverage.Share())
	rm.sends.Inc(int64(sends))
	rm.extra.Inc(int64(extra))
	rm.restarts.Inc(int64(rc.Restarts))
}

func (mt *Metrics) route(key routeKey) *routeMetrics {
	if value, ok := mt.routes.Load(key); ok {
		return value.(*routeMetrics)
	}
	scope := mt.Scope.Tagged(map[string]string{
		"team": key.team, "class": string(key.class), "outcome": string(key.outcome), "code": string(key.code),
	})
	value, _ := mt.routes.LoadOrStore(key, &routeMetrics{
		latency:  scope.Histogram("request_seconds", latencyBuckets),
		coverage: scope.Histogram("coverage", coverageBuckets),
		sends:    scope.Counter("parts_sent"),
		extra:    scope.Counter("parts_extra"),
		restarts: scope.Counter("snapshot_restarts"),
	})
	return value.(*routeMetrics)
}

// Gauges sets gauges by name.
func (mt *Metrics) Gauges(values map[string]float64) {
	for name, value := range values {
		mt.Scope.Gauge(name).Update(value)
	}
}
