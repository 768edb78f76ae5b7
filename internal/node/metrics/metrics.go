// Package metrics records counts, latencies and gauges of a process and serves
// them to Prometheus.
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"daisystage.example/daisystage/internal/world/contract"
)

// reportInterval is the time between two updates of the exported values.
const reportInterval = time.Second

// Metrics holds all metrics of a process. Create it with New.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	// requests maps each requestLabels to its *requestMetrics.
	requests sync.Map
}

// New returns the metrics of an entry VM and a function that stops the
// reporting.
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
	}, reportInterval)
	mt := &Metrics{Scope: scope, Handler: reporter.HTTPHandler()}
	return mt, func() { _ = closer.Close() }
}

// requestMetrics holds the metrics of the requests with the same labels.
type requestMetrics struct {
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

// requestLabels holds the label values of the request metrics.
type requestLabels struct {
	team    string
	class   contract.Class
	outcome contract.Outcome
	code    contract.Code
}

// RequestFinished implements request.Observer. It records one finished request.
// sends is the number of parts sent to servers, extra the number of those sent
// beyond one per shard.
func (mt *Metrics) RequestFinished(rc *contract.Receipt, class contract.Class, sends, extra int) {
	pt, _ := contract.ParsePath(rc.Setting.Path)
	labels := requestLabels{team: pt.Team, class: class, outcome: rc.Outcome, code: rc.Code}
	if rc.Setting.Hash == "" {
		// Callers choose the team in requests for unknown routes; as a label it
		// would let them create any number of time series.
		labels.team = ""
	}
	rm := mt.metricsFor(labels)
	rm.latency.RecordDuration(rc.AnsweredAt.Sub(rc.ReceivedAt))
	rm.coverage.RecordValue(rc.Coverage.Ratio())
	rm.sends.Inc(int64(sends))
	rm.extra.Inc(int64(extra))
	rm.restarts.Inc(int64(rc.Restarts))
}

// metricsFor returns the metrics with the given labels, created on first use.
func (mt *Metrics) metricsFor(labels requestLabels) *requestMetrics {
	if value, ok := mt.requests.Load(labels); ok {
		return value.(*requestMetrics)
	}
	scope := mt.Scope.Tagged(map[string]string{
		"team": labels.team, "class": string(labels.class), "outcome": string(labels.outcome), "code": string(labels.code),
	})
	value, _ := mt.requests.LoadOrStore(labels, &requestMetrics{
		latency:  scope.Histogram("request_seconds", latencyBuckets),
		coverage: scope.Histogram("coverage", coverageBuckets),
		sends:    scope.Counter("parts_sent"),
		extra:    scope.Counter("parts_extra"),
		restarts: scope.Counter("snapshot_restarts"),
	})
	return value.(*requestMetrics)
}

// SetGauges sets the gauges with the given names.
func (mt *Metrics) SetGauges(values map[string]float64) {
	for name, value := range values {
		mt.Scope.Gauge(name).Update(value)
	}
}
