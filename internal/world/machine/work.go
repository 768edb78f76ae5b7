package machine

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// A slowness is stored as the upper bits of its floating-point number, without those of
	// 1: a logarithm to base 2, linear within each octave, that costs no computation.
	// slownessUnit is one octave.
	slownessShift = 42
	slownessUnit  = 1 << 10
	slownessOne   = 1023 << 10
	// slownessWeight is the weight of an answer, in percent. Four answers in a row show a
	// server that became ten times slower as five times slower.
	slownessWeight = 25
	// maxSlowness bounds the slowness and its inverse, so that no estimate takes a server
	// out for good.
	maxSlowness = 32
	// slownessHalfLife is the time in which the slowness of an unused server is halved on
	// the logarithmic scale, so that it is tried again.
	slownessHalfLife = 2 * time.Second
	// othersWeight is the weight of a report in the usual load by others, in percent.
	othersWeight = 20
	// othersUnit is one request in the fixed-point usual load by others.
	othersUnit = 1000
	// reportLife is the age, in multiples of the time that one request takes, at which a
	// report counts no more.
	reportLife = 2
	// stallFactor is the multiple of the expected time after which the parts in flight
	// show that the server stalls: one request in 100 takes five times as long.
	stallFactor = 3
	// maxStall bounds the wait that is expected from a stall, also if the clock jumps.
	maxStall = time.Second
)

// Work is the expected work of a server as one process sees it. Its methods may be called
// by any number of goroutines.
type Work struct {
	// costNanos is the expected server time, at usual speed, of this process's parts in
	// flight, and parts their number.
	costNanos atomic.Int64
	parts     atomic.Int64
	// sentMicros is the sum of the times at which they were sent, in Unix microseconds.
	sentMicros atomic.Int64
	// slowness is the logarithm of the ratio of the actual to the expected server time; 0 is
	// the usual speed.
	slowness   atomic.Int64
	slownessAt atomic.Int64
	// raisedAt is when the slowness last rose, in Unix nanoseconds. Parts sent before
	// were delayed by the same pause.
	raisedAt atomic.Int64
	// others is the usual number of requests of other processes, in 1/othersUnit.
	others atomic.Int64
	// reportedOthers is that number at the time of the last report.
	reportedOthers atomic.Int64
	// meanCost is the smoothed cost of the parts sent.
	meanCost atomic.Int64
}

// Start counts a part that is sent.
func (wk *Work) Start(now time.Time, cost time.Duration) {
	if cost == 0 {
		return
	}
	wk.costNanos.Add(int64(cost))
	wk.sentMicros.Add(now.UnixMicro())
	wk.parts.Add(1)
	mean := wk.meanCost.Load()
	if mean == 0 {
		mean = int64(cost)
	}
	wk.meanCost.Store(mean + (int64(cost)-mean)/8)
}

// End counts the end of a part.
func (wk *Work) End(sentAt time.Time, cost time.Duration) {
	if cost == 0 {
		return
	}
	wk.parts.Add(-1)
	wk.sentMicros.Add(-sentAt.UnixMicro())
	wk.costNanos.Add(-int64(cost))
}

// RecordReport records the load that the server reported, this process's own parts
// included.
func (wk *Work) RecordReport(load int64) {
	others := max(load-wk.parts.Load(), 0) * othersUnit
	wk.reportedOthers.Store(others)
	usual := wk.others.Load()
	wk.others.Store(usual + (others-usual)*othersWeight/100)
}

// Slowness returns how many times longer the server takes than one of usual speed.
func (wk *Work) Slowness(now time.Time) float64 {
	return math.Float64frombits(uint64(wk.recentSlowness(now)+slownessOne) << slownessShift)
}

// recentSlowness returns the logarithm of the slowness, which fades while the server is
// unused.
func (wk *Work) recentSlowness(now time.Time) int64 {
	value := wk.slowness.Load()
	if idle := time.Duration(now.UnixNano() - wk.slownessAt.Load()); idle > slownessHalfLife {
		value /= 1 << min(idle/slownessHalfLife, maxHalvings)
	}
	return value
}

// ObserveSpeed records that a part of which a cost was expected was in its slot for a time
// between least and most, without the network. If the expected time lies between them, it
// tells nothing: otherwise a server with a queue would seem faster, and get more.
func (wk *Work) ObserveSpeed(now, sentAt time.Time, least, most, cost time.Duration) {
	if cost <= 0 || most <= 0 {
		return
	}
	have := wk.slowness.Load()
	old := wk.recentSlowness(now)
	sample := min(max(old, slownessOf(least, cost)), slownessOf(most, cost))
	switch {
	case sample == old && least < most:
		return
	case sample > old+slownessUnit && sentAt.UnixNano() < wk.raisedAt.Load():
		return
	case sample > old+slownessUnit:
		wk.raisedAt.Store(now.UnixNano())
	}
	wk.slowness.CompareAndSwap(have, old+(sample-old)*slownessWeight/100)
	wk.slownessAt.Store(now.UnixNano())
}

// slownessOf returns the fixed-point logarithm of the ratio of two times, within limits.
func slownessOf(took, cost time.Duration) int64 {
	ratio := min(max(float64(took)/float64(cost), 1.0/maxSlowness), maxSlowness)
	return int64(math.Float64bits(ratio)>>slownessShift) - slownessOne
}

// othersAt returns the expected number of requests of other processes. A report is replaced
// by the usual number as the requests that it counted end, so that processes that got a
// report of an idle server don't all choose it for long.
func (wk *Work) othersAt(age, residence time.Duration) float64 {
	usual := float64(wk.others.Load()) / othersUnit
	reported := float64(wk.reportedOthers.Load()) / othersUnit
	left := 1 - float64(max(age, 0))/(reportLife*float64(residence))
	if residence <= 0 || left <= 0 {
		return usual
	}
	return usual + (reported-usual)*left
}

// QueueAhead returns how long one more part is expected to wait for a slot, and the
// slowness of the server.
func (sv *Server) QueueAhead(now time.Time) (wait time.Duration, slowness float64) {
	wk := &sv.State.Work
	// The slowness contains the average of what the machine reports.
	slowness = wk.Slowness(now) * sv.State.Slowdown(now)
	parts := wk.parts.Load()
	perPart := float64(wk.meanCost.Load()) * slowness
	others := wk.othersAt(time.Duration(now.UnixNano()-sv.State.ReportedAt.Load()), time.Duration(perPart))
	if parts == 0 && others == 0 {
		return 0, slowness
	}
	count, ahead, stalled := others, others*perPart, 0.0
	if parts > 0 {
		own := float64(wk.costNanos.Load()) * slowness
		count, ahead = count+float64(parts), ahead+own
		elapsed := max(float64(now.UnixMicro()*parts-wk.sentMicros.Load())*1e3, 0)
		stalled = min((elapsed-stallFactor*own)/float64(parts), float64(maxStall))
	}
	// The load varies as that of independent requests. This approximates the mean of a
	// normal distribution above 0.
	free := count + 1 - float64(sv.Slots)
	queued := (free + math.Sqrt(free*free+0.64*count)) / 2
	wait = time.Duration(max(queued*ahead/count/float64(sv.Slots), stalled))
	return wait, slowness
}

// ExpectedCompletion returns when a part that takes a cost at usual speed is expected to be
// answered, without the network.
func (sv *Server) ExpectedCompletion(now time.Time, cost time.Duration) time.Duration {
	wait, slowness := sv.QueueAhead(now)
	run := time.Duration(float64(cost) * slowness)
	return wait + run + sv.failurePenalty(now, run)
}

// TimeInSlot returns the least time for which a request was in a slot, of the time of its
// answer. It is less if the server reports along with the answer that requests wait.
func (sv *Server) TimeInSlot(now time.Time, took time.Duration) time.Duration {
	st := sv.State
	load := st.InFlight.Load()
	if now.UnixNano()-st.ReportedAt.Load() < int64(maxQueueReportAge) {
		load = max(load, st.ReportedLoad.Load())
	}
	waiting := max(load+1-int64(sv.Slots), 0)
	return took * time.Duration(sv.Slots) / time.Duration(int64(sv.Slots)+waiting)
}

// ExpectedWork returns the expected work that is left in the server for each slot.
func (sv *Server) ExpectedWork(now time.Time) time.Duration {
	wk := &sv.State.Work
	perPart := float64(wk.meanCost.Load())
	others := wk.othersAt(time.Duration(now.UnixNano()-sv.State.ReportedAt.Load()), time.Duration(perPart))
	return time.Duration((others*perPart + float64(wk.costNanos.Load())) / float64(sv.Slots))
}

// ExpectedLoad returns the expected number of requests at the server.
func (sv *Server) ExpectedLoad(now time.Time) float64 {
	wk := &sv.State.Work
	residence := time.Duration(float64(wk.meanCost.Load()) * wk.Slowness(now))
	return float64(wk.parts.Load()) + wk.othersAt(time.Duration(now.UnixNano()-sv.State.ReportedAt.Load()), residence)
}

// IsUsuallyFull reports whether one more part usually finds no free slot.
func (sv *Server) IsUsuallyFull() bool {
	wk := &sv.State.Work
	return wk.others.Load()+(wk.parts.Load()+1)*othersUnit > int64(sv.Slots)*othersUnit
}
