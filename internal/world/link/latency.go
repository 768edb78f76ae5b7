package link

import (
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisystage.example/daisystage/internal/container/rcu"
)

const (
	sampleCount = 2048
	// minSamples is the least number of samples for which quantiles are
	// computed.
	minSamples = 20

	// maxLatencyMicros is the longest recorded latency in microseconds; longer
	// samples are recorded as this.
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Quantiles holds the latency quantiles of recent requests. All fields are zero
// until there are minSamples samples.
type Quantiles struct {
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
}

// Latency computes the latency quantiles of one kind of request. Record takes
// no lock; Recent returns the quantiles of the last Publish. Make one with
// NewLatency.
type Latency struct {
	// next counts all samples recorded so far.
	next atomic.Uint64
	// ring is nil until the first Record, so that unused routes take little
	// memory.
	ring atomic.Pointer[sampleRing]
	// publishedCount is the value of next at the last Publish. Only Publish
	// accesses it.
	publishedCount uint64
	quantiles      *rcu.Value[Quantiles]
}

// sampleRing holds the newest latencies, in microseconds plus 1; 0 marks an
// empty slot.
type sampleRing [sampleCount]atomic.Int64

// NewLatency returns a Latency without samples.
func NewLatency() *Latency {
	return &Latency{quantiles: rcu.New(Quantiles{})}
}

// Record adds one sample and overwrites the oldest one if the ring is full.
func (lt *Latency) Record(took time.Duration) {
	ring := lt.ring.Load()
	if ring == nil {
		lt.ring.CompareAndSwap(nil, &sampleRing{})
		ring = lt.ring.Load()
	}
	at := lt.next.Add(1) - 1
	ring[at%sampleCount].Store(took.Microseconds() + 1)
}

// Recent returns the quantiles of the last Publish.
func (lt *Latency) Recent() Quantiles {
	return *lt.quantiles.Load()
}

// Publish recomputes the quantiles if samples were recorded since the last call.
// It must not be called concurrently.
func (lt *Latency) Publish() {
	next := lt.next.Load()
	ring := lt.ring.Load()
	if next == lt.publishedCount || ring == nil {
		return
	}
	lt.publishedCount = next
	hg := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for i := range ring {
		if micros := ring[i].Load(); micros > 0 {
			_ = hg.RecordValue(min(micros, maxLatencyMicros))
		}
	}
	if hg.TotalCount() < minSamples {
		return
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(hg.ValueAtQuantile(q)) * time.Microsecond
	}
	lt.quantiles.Update(func(Quantiles) Quantiles {
		return Quantiles{Count: int(hg.TotalCount()), P50: quantile(50), P90: quantile(90), P95: quantile(95), P99: quantile(99)}
	})
}
