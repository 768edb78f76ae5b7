package machine

import (
	"math"
	"time"
)

const (
	// usualPercent is the figure of a machine on which work takes as long as usual.
	usualPercent = 100
	// percentUnit is one percent in the fixed-point average.
	percentUnit = 1000
	// percentWeight is the weight of a report in the average, in percent. It is that of a
	// fall in the smoothed latency, so that both average over as many answers.
	percentWeight = fallWeight
	// slowdownDecay is the time in which a machine's deviation from its average falls to
	// 1/e. Reports older than maxSlowdownAge say nothing more.
	slowdownDecay  = 400 * time.Millisecond
	maxSlowdownAge = 4 * slowdownDecay
	// minSlowdown and maxSlowdown bound the factor, so that one odd figure of a server
	// neither attracts all requests nor excludes it.
	minSlowdown = 0.25
	maxSlowdown = 16
)

// RecordPercent records how long work takes on the server's machine now, in percent of
// the usual. It ignores 0, which is no report.
func (st *ServerState) RecordPercent(now time.Time, percent int) {
	if percent <= 0 {
		return
	}
	average := st.averagePercent()
	// Of two concurrent updates, one may be lost.
	st.AveragePercent.Store(average + (int64(percent)*percentUnit-average)*percentWeight/100)
	st.ReportedPercent.Store(int64(percent))
	st.PercentAt.Store(ticks(now))
}

func (st *ServerState) averagePercent() int64 {
	if average := st.AveragePercent.Load(); average != 0 {
		return average
	}
	return usualPercent * percentUnit
}

// Slowdown returns the factor by which work is expected to take longer on the server now
// than on average. It is 1 for a server that reports nothing. The deviation from the
// average decays with the age of the report. It is related to the average, not to the
// usual time, because the smoothed latency contains the average already.
func (st *ServerState) Slowdown(now time.Time) float64 {
	percent := st.ReportedPercent.Load()
	if percent == 0 {
		return 1
	}
	age := max(time.Duration(ticks(now)-st.PercentAt.Load()), 0)
	if age >= maxSlowdownAge {
		return 1
	}
	deviation := float64(percent*percentUnit)/float64(st.averagePercent()) - 1
	factor := 1 + deviation*math.Exp(-float64(age)/float64(slowdownDecay))
	return min(max(factor, minSlowdown), maxSlowdown)
}

// slowedDown returns a duration multiplied by the slowdown. It is exact for a server
// that reports none.
func (st *ServerState) slowedDown(now time.Time, usual time.Duration) time.Duration {
	if factor := st.Slowdown(now); factor != 1 {
		return time.Duration(float64(usual) * factor)
	}
	return usual
}
