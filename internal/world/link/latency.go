package link

import (
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisystage.example/daisystage/internal/container/rcu"
)

const (
	sampleCount = 2048
	// minSamples is the number of samples below which no quantile is given.
	minSamples = 20

	longestLatency = int64(10 * time.Minute / time.Microsecond)
	significant    = 2
)

// Quantiles are the latencies of recent requests. All are zero while there are
// too few of them.
type Quantiles struct {
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
}

// Latency collects the latencies of requests of one kind. Recording takes no
// lock; the quantiles are as of the last Publish. Make one with NewLatency.
type Latency struct {
	// next counts the samples ever recorded.
	next atomic.Uint64
	// samples is nil until the first Record, so that unused routes cost little.
	samples atomic.Pointer[samples]
	// published is what next was at the last Publish. Only Publish uses it.
	published uint64
	current   *rcu.Value[Quantiles]
}

// samples holds the newest latencies, in microseconds plus 1; 0 is none.
type samples [sampleCount]atomic.Int64

// NewLatency returns an empty collection.
func NewLatency() *Latency {
	return &Latency{current: rcu.New(Quantiles{})}
}

// Record adds one sample in place of the oldest.
func (lt *Latency) Record(took time.Duration) {
	kept := lt.samples.Load()
	if kept == nil {
		lt.samples.CompareAndSwap(nil, &samples{})
		kept = lt.samples.Load()
	}
	at := lt.next.Add(1) - 1
	kept[at%sampleCount].Store(took.Microseconds() + 1)
}

// Recent returns the quantiles as last published.
func (lt *Latency) Recent() Quantiles {
	return *lt.current.Load()
}

// Publish computes the quantiles of the newest samples, if there are new ones.
// It is called by one goroutine at a time.
func (lt *Latency) Publish() {
	next := lt.next.Load()
	kept := lt.samples.Load()
	if next == lt.published || kept == nil {
		return
	}
	lt.published = next
	hg := hdrhistogram.New(1, longestLatency, significant)
	for i := range kept {
		if micros := kept[i].Load(); micros > 0 {
			_ = hg.RecordValue(min(micros, longestLatency))
		}
	}
	if hg.TotalCount() < minSamples {
		return
	}
	at := func(q float64) time.Duration {
		return time.Duration(hg.ValueAtQuantile(q)) * time.Microsecond
	}
	lt.current.Update(func(Quantiles) Quantiles {
		return Quantiles{Count: int(hg.TotalCount()), P50: at(50), P90: at(90), P95: at(95), P99: at(99)}
	})
}
