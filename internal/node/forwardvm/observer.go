package forwardvm

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/query/forward"
	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// failedLogRate, in lines per second, and failedLogBurst bound the log lines
	// of each event about a request that was not answered in full.
	failedLogRate  = 20
	failedLogBurst = 50
	// wholeLogRate bounds the log lines about whole answers, per second and in a
	// burst.
	wholeLogRate = 1
)

// rateLimitedEvent is an event whose log lines are rate-limited.
type rateLimitedEvent struct {
	event   events.Event
	limiter *rate.Limiter
	// suppressed counts the lines left out since the last logged line.
	suppressed atomic.Int64
}

func newRateLimitedEvent(event events.Event, perSecond float64, burst int) *rateLimitedEvent {
	return &rateLimitedEvent{event: event, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// log writes the event, unless its rate is exceeded.
func (rl *rateLimitedEvent) log(now time.Time, log *zap.Logger, fields ...zap.Field) {
	if !rl.limiter.AllowN(now, 1) {
		rl.suppressed.Add(1)
		return
	}
	rl.event.Log(log, append(fields, zap.Int64("left_out", rl.suppressed.Swap(0)))...)
}

// callMetrics holds the metrics of the calls with the same labels.
type callMetrics struct {
	latency tally.Histogram
	sends   tally.Counter
	hedges  tally.Counter
	retries tally.Counter
	missing tally.Counter
	// expected and actual sum up the work, in microseconds.
	expected tally.Counter
	actual   tally.Counter
	heldBack tally.Counter
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// observer logs finished calls, within rate limits, and records their metrics.
type observer struct {
	log   *zap.Logger
	scope tally.Scope
	// context adds the state of the configuration and the store to lines.
	context *logContext

	partial, refused, unknown, whole *rateLimitedEvent
	// calls maps each callLabels to its *callMetrics.
	calls sync.Map
}

// callLabels holds the label values of the call metrics.
type callLabels struct {
	route   string
	outcome contract.Outcome
	code    contract.Code
}

func newObserver(log *zap.Logger, scope tally.Scope, context *logContext) *observer {
	return &observer{
		log: log, scope: scope, context: context,
		partial: newRateLimitedEvent(events.AnswerPartial, failedLogRate, failedLogBurst),
		refused: newRateLimitedEvent(events.AnswerRefused, failedLogRate, failedLogBurst),
		unknown: newRateLimitedEvent(events.AnswerUnknown, failedLogRate, failedLogBurst),
		whole:   newRateLimitedEvent(events.AnswerWhole, wholeLogRate, wholeLogRate),
	}
}

// CallFinished implements forward.Observer.
func (ob *observer) CallFinished(now time.Time, rc *forward.CallRecord) {
	ob.recordMetrics(rc)
	rl := ob.partial
	switch rc.Outcome {
	case contract.Whole:
		rl = ob.whole
	case contract.Unknown:
		rl = ob.unknown
	case contract.NotRun, contract.Invalid:
		rl = ob.refused
	}
	if !rl.limiter.AllowN(now, 1) {
		rl.suppressed.Add(1)
		return
	}
	fields := []zap.Field{
		zap.String("request_id", rc.ID), zap.String("route", rc.Route), zap.String("customer", rc.Customer), zap.Int64("table_version", rc.TableVersion),
		zap.Duration("table_age", rc.Age), zap.Duration("took", rc.Took),
		zap.Duration("round_trip", rc.RoundTrip),
		zap.String("outcome", string(rc.Outcome)), zap.String("code", string(rc.Code)), zap.String("reason", rc.Reason),
		zap.Int("answered", rc.Coverage.Answered), zap.Int("total", rc.Coverage.Total),
		zap.Int("hedges", rc.Hedges), zap.Int("retries", rc.Retries), zap.String("missed", formatFailedAttempts(rc)),
		zap.Bool("held_back", rc.HeldBack), zap.Duration("expected_work", rc.ExpectedWork), zap.Duration("actual_work", rc.ActualWork),
		zap.Int64("left_out", rl.suppressed.Swap(0)),
	}
	rl.event.Log(ob.log, append(fields, ob.context.requestFields(now, rc)...)...)
}

// formatFailedAttempts returns the failed attempts as shard/server:cause, and
// for each shard that was not retried the reason as shard:reason, separated by
// spaces.
func formatFailedAttempts(rc *forward.CallRecord) string {
	var failed []string
	for _, pt := range rc.Parts {
		for _, fa := range pt.FailedAttempts {
			failed = append(failed, pt.Shard+"/"+fa.Server+":"+string(fa.Cause))
		}
		if pt.NoRetryReason != "" {
			failed = append(failed, pt.Shard+":"+string(pt.NoRetryReason))
		}
	}
	return strings.Join(failed, " ")
}

func (ob *observer) recordMetrics(rc *forward.CallRecord) {
	cm := ob.metricsFor(callLabels{rc.Route, rc.Outcome, rc.Code})
	cm.latency.RecordDuration(rc.Took)
	cm.sends.Inc(int64(rc.Sends))
	cm.hedges.Inc(int64(rc.Hedges))
	cm.retries.Inc(int64(rc.Retries))
	cm.missing.Inc(int64(len(rc.Coverage.Missing)))
	cm.expected.Inc(rc.ExpectedWork.Microseconds())
	cm.actual.Inc(rc.ActualWork.Microseconds())
	if rc.HeldBack {
		cm.heldBack.Inc(1)
	}
}

// metricsFor returns the metrics with the given labels, created on first use.
func (ob *observer) metricsFor(labels callLabels) *callMetrics {
	if value, ok := ob.calls.Load(labels); ok {
		return value.(*callMetrics)
	}
	scope := ob.scope.Tagged(map[string]string{"route": labels.route, "outcome": string(labels.outcome), "code": string(labels.code)})
	value, _ := ob.calls.LoadOrStore(labels, &callMetrics{
		latency: scope.Histogram("forward_seconds", latencyBuckets),
		sends:   scope.Counter("forward_parts_sent"),
		hedges:  scope.Counter("forward_parts_hedged"),
		retries: scope.Counter("forward_parts_retried"),
		missing: scope.Counter("forward_parts_missing"),

		expected: scope.Counter("forward_expected_work_microseconds"),
		actual:   scope.Counter("forward_actual_work_microseconds"),
		heldBack: scope.Counter("forward_held_back"),
	})
	return value.(*callMetrics)
}
