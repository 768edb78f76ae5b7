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
	// failedPerSecond and failedBurst bound the log lines of each event that
	// tells of a request which did not go as usual.
	failedPerSecond = 20
	failedBurst     = 50
	// usualPerSecond bounds the log lines of whole answers.
	usualPerSecond = 1
)

// bounded logs one event within a rate and counts what it leaves out.
type bounded struct {
	event   events.Event
	limiter *rate.Limiter
	leftOut atomic.Int64
}

func newBounded(event events.Event, perSecond float64, burst int) *bounded {
	return &bounded{event: event, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// outcomeMetrics are the metrics of one route and outcome.
type outcomeMetrics struct {
	latency tally.Histogram
	sends   tally.Counter
	hedges  tally.Counter
	retries tally.Counter
	missing tally.Counter
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// observer logs and counts calls.
type observer struct {
	log   *zap.Logger
	scope tally.Scope

	partial, refused, unknown, whole *bounded
	// outcomes maps outcomeKey to *outcomeMetrics.
	outcomes sync.Map
}

type outcomeKey struct {
	route   string
	outcome contract.Outcome
	code    contract.Code
}

func newObserver(log *zap.Logger, scope tally.Scope) *observer {
	return &observer{
		log: log, scope: scope,
		partial: newBounded(events.AnswerPartial, failedPerSecond, failedBurst),
		refused: newBounded(events.AnswerRefused, failedPerSecond, failedBurst),
		unknown: newBounded(events.AnswerUnknown, failedPerSecond, failedBurst),
		whole:   newBounded(events.AnswerWhole, usualPerSecond, usualPerSecond),
	}
}

// Forwarded is of forward.Observer.
func (ob *observer) Forwarded(now time.Time, rc *forward.Record) {
	ob.count(rc)
	bd := ob.partial
	switch rc.Outcome {
	case contract.Whole:
		bd = ob.whole
	case contract.Unknown:
		bd = ob.unknown
	case contract.NotRun, contract.Invalid:
		bd = ob.refused
	}
	if !bd.limiter.AllowN(now, 1) {
		bd.leftOut.Add(1)
		return
	}
	bd.event.Log(ob.log,
		zap.String("request_id", rc.ID), zap.String("route", rc.Route), zap.Int64("table_version", rc.TableVersion),
		zap.Duration("table_age", rc.Age), zap.Duration("took", rc.Took),
		zap.String("outcome", string(rc.Outcome)), zap.String("code", string(rc.Code)), zap.String("reason", rc.Reason),
		zap.Int("answered", rc.Coverage.Answered), zap.Int("total", rc.Coverage.Total),
		zap.Int("hedges", rc.Hedges), zap.Int("retries", rc.Retries), zap.String("missed", missedOf(rc)),
		zap.Int64("left_out", bd.leftOut.Swap(0)),
	)
}

// missedOf lists the attempts that gave no answer as shard/server:cause, and
// why a shard was not asked again.
func missedOf(rc *forward.Record) string {
	var missed []string
	for _, pt := range rc.Parts {
		for _, ms := range pt.Misses {
			missed = append(missed, pt.Shard+"/"+ms.Server+":"+string(ms.Cause))
		}
		if pt.Why != "" {
			missed = append(missed, pt.Shard+":"+string(pt.Why))
		}
	}
	return strings.Join(missed, " ")
}

func (ob *observer) count(rc *forward.Record) {
	om := ob.metricsOf(outcomeKey{rc.Route, rc.Outcome, rc.Code})
	om.latency.RecordDuration(rc.Took)
	om.sends.Inc(int64(rc.Sends))
	om.hedges.Inc(int64(rc.Hedges))
	om.retries.Inc(int64(rc.Retries))
	om.missing.Inc(int64(len(rc.Coverage.Missing)))
}

func (ob *observer) metricsOf(key outcomeKey) *outcomeMetrics {
	if value, ok := ob.outcomes.Load(key); ok {
		return value.(*outcomeMetrics)
	}
	scope := ob.scope.Tagged(map[string]string{"route": key.route, "outcome": string(key.outcome), "code": string(key.code)})
	value, _ := ob.outcomes.LoadOrStore(key, &outcomeMetrics{
		latency: scope.Histogram("forward_seconds", latencyBuckets),
		sends:   scope.Counter("forward_parts_sent"),
		hedges:  scope.Counter("forward_parts_hedged"),
		retries: scope.Counter("forward_parts_retried"),
		missing: scope.Counter("forward_parts_missing"),
	})
	return value.(*outcomeMetrics)
}
