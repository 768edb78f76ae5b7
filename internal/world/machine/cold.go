package machine

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// SharedRates hands out tokens of rates that all entry VMs share. Its methods may be
// called by any number of goroutines.
type SharedRates interface {
	// TryTake takes a token of a rate and reports whether there was one.
	TryTake(now time.Time, key contract.RateKey, rate contract.SharedRate) bool
	// MayTake reports whether there is a token, without taking it. It counts as demand.
	MayTake(now time.Time, key contract.RateKey, rate contract.SharedRate) bool
	// Return gives a token back that was not used.
	Return(now time.Time, key contract.RateKey)
}

// ColdLimit limits the requests to cold servers of services that have a limit. A nil
// ColdLimit limits nothing.
type ColdLimit struct {
	Rates SharedRates
	// Bounds returns the tolerance in force.
	Bounds func() contract.WarmUpBounds
	// Withheld counts the sends for which there was no token.
	Withheld atomic.Int64
}

// Limits reports whether requests to a server need a token now.
func (cl *ColdLimit) Limits(now time.Time, sv *Server) bool {
	return cl != nil && sv.State.WarmUpRate() > 0 && sv.State.IsCold(now)
}

// MaySend reports whether a request may be sent to a server now.
func (cl *ColdLimit) MaySend(now time.Time, sv *Server) bool {
	return !cl.Limits(now, sv) || cl.Rates.MayTake(now, sv.rateKey(), cl.Bounds().SharedRate(sv.State.WarmUpRate()))
}

// TrySend takes the token for a request to a server, if it needs one, and reports whether
// the request may be sent.
func (cl *ColdLimit) TrySend(now time.Time, sv *Server) bool {
	if !cl.Limits(now, sv) || cl.Rates.TryTake(now, sv.rateKey(), cl.Bounds().SharedRate(sv.State.WarmUpRate())) {
		return true
	}
	cl.Withheld.Add(1)
	return false
}

// Return gives back the token for a request that was not sent.
func (cl *ColdLimit) Return(now time.Time, sv *Server) {
	if cl.Limits(now, sv) {
		cl.Rates.Return(now, sv.rateKey())
	}
}

// rateKey returns the key of the server's rate while it is cold. A restarted server has
// another one.
func (sv *Server) rateKey() contract.RateKey {
	return contract.RateKey{Kind: contract.RateOfColdServer, Name: sv.Name + "/" + strconv.FormatInt(sv.StartedMs(), 10)}
}

// RecordCold records that the server said it stays cold until a time. The later end wins;
// the zero time says that the server is not cold.
func (st *ServerState) RecordCold(until time.Time) {
	if until.IsZero() {
		st.ColdUntil.Store(0)
		return
	}
	for {
		have := st.ColdUntil.Load()
		if ticks(until) <= have || st.ColdUntil.CompareAndSwap(have, ticks(until)) {
			return
		}
	}
}

// WarmUpRate returns the number of requests a second that the server bears while it is
// cold; 0 sets no limit.
func (st *ServerState) WarmUpRate() float64 {
	return math.Float64frombits(st.warmUpRate.Load())
}

// SetWarmUpRate sets the rate of WarmUpRate.
func (st *ServerState) SetWarmUpRate(perSecond float64) {
	st.warmUpRate.Store(math.Float64bits(perSecond))
}

// IsCold reports whether the server is cold, so that it bears few requests.
func (st *ServerState) IsCold(now time.Time) bool {
	return ticks(now) < st.ColdUntil.Load()
}

// ColdEnd returns until when the server is cold; the zero time if it is not.
func (st *ServerState) ColdEnd() time.Time {
	return timeOfTicks(st.ColdUntil.Load())
}
