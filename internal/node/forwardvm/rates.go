package forwardvm

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/bootclock"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/node/metrics"
	"daisystage.example/daisystage/internal/peer/entry"
	"daisystage.example/daisystage/internal/query/forward"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

const (
	// maxShownRates bounds the rates of each kind in a dump.
	maxShownRates = 200
	// maxShownCustomers bounds the customers with a metric of their own. The refusals
	// of the others are counted under otherCustomers.
	maxShownCustomers = 100
	otherCustomers    = "other"
)

// rates connects the shared rates of a process to its peers, its log and its metrics.
type rates struct {
	share  *contract.RateShare
	owner  *contract.RateOwner
	leases *entry.Leases
	log    *zap.Logger
	scope  tally.Scope

	refused *rateLimitedEvent
	// counters maps the names of shown customers to the tally.Counter of their refusals;
	// shown is their number.
	counters sync.Map
	shown    atomic.Int64
}

// RatesState is the dump of the shared rates. Its lists are bounded; the numbers are those
// of all.
type RatesState struct {
	// Place is what is known about the other VMs; nil shortly after the start.
	Place *contract.RatePlace `json:"place"`
	// Roster lists the VMs that may grant, as last read; nil if it was not read.
	Roster      *machine.Roster           `json:"roster"`
	SharesCount int                       `json:"shares_count"`
	Shares      []contract.RateShareState `json:"shares"`
	OwnedCount  int                       `json:"owned_count"`
	Owned       []contract.OwnedRateState `json:"owned"`
}

// rateNow returns the time by a clock that counts the time for which the VM is suspended.
// It can't be compared with time.Now.
func rateNow() time.Time {
	return time.Unix(0, int64(bootclock.Now()))
}

func rateBounds(cg Config) contract.RateBounds {
	return contract.RateBounds{Customers: cg.Quota}
}

// newRates returns the shared rates of a process whose cluster is initialized.
func (ps *Process) newRates(transport entry.LeaseTransport, roster entry.RosterStore) *rates {
	bounds := rateBounds(ps.Config)
	rt := &rates{
		share: contract.NewRateShare(bounds), owner: contract.NewRateOwner(bounds, ps.Config.FirstStart),
		log: ps.Log, scope: ps.Metrics.Scope,
		refused: newRateLimitedEvent(events.OverLimit, failedLogRate, failedLogBurst),
	}
	rt.leases = &entry.Leases{
		Cluster: ps.Cluster, Transport: transport, Share: rt.share, Owner: rt.owner,
		Now: rateNow, StartedAt: rateNow(), IsFirst: ps.Config.FirstStart,
		IsDiscovering: func() bool { return ps.isDiscoveringPeers(time.Now()) }, RosterStore: roster,
	}
	rt.leases.Init()
	return rt
}

// processRates are the shared rates as the choice of servers uses them. The times of
// requests come from another clock than those of the rates.
type processRates struct{ share *contract.RateShare }

// TryTake implements machine.SharedRates.
func (pr processRates) TryTake(_ time.Time, key contract.RateKey, rate contract.SharedRate) bool {
	return pr.share.TryTake(rateNow(), key, rate)
}

// MayTake implements machine.SharedRates.
func (pr processRates) MayTake(_ time.Time, key contract.RateKey, rate contract.SharedRate) bool {
	return pr.share.MayTake(rateNow(), key, rate)
}

// Return implements machine.SharedRates.
func (pr processRates) Return(_ time.Time, key contract.RateKey) {
	pr.share.Return(rateNow(), key)
}

// newColdLimit returns the limit of the requests to cold servers.
func (ps *Process) newColdLimit(fe FrontEnd) *machine.ColdLimit {
	cl := &machine.ColdLimit{Rates: processRates{ps.rates.share}, Bounds: func() contract.WarmUpBounds { return ps.settings.Load().WarmUp }}
	if fe.SharedRates != nil {
		cl.Rates = fe.SharedRates
	}
	return cl
}

// limits returns the limits of customers for forward.Service.
func (rt *rates) limits() *forward.Limits {
	return &forward.Limits{Share: rt.share, Now: rateNow, Await: rt.leases.Await, OnRefused: rt.onRefused}
}

// setBounds puts new tolerances in force.
func (rt *rates) setBounds(cg Config) {
	rt.share.SetBounds(rateBounds(cg))
	rt.owner.SetBounds(rateBounds(cg))
}

// onRefused counts and logs that a request was over the limit of its customer.
func (rt *rates) onRefused(now time.Time, customer *contract.Customer) {
	rt.counterOf(customer.Name).Inc(1)
	rl := rt.refused
	if !rl.limiter.AllowN(time.Now(), 1) {
		rl.suppressed.Add(1)
		return
	}
	state, _ := rt.share.StateOf(now, contract.RateKey{Kind: contract.RateOfCustomer, Name: customer.Name})
	rl.event.Log(rt.log,
		zap.String("customer", customer.Name), zap.Float64("per_second", customer.Limit.PerSecond), zap.Float64("burst", customer.Limit.Burst),
		zap.Int64("tokens", state.Tokens), zap.Duration("lease_left", state.LeaseLeft), zap.String("owner", state.Owner),
		zap.Bool("answered", state.Answered), zap.Duration("answer_age", state.AnswerAge), zap.Duration("token_wait", state.Wait),
		zap.Int64("left_out", rl.suppressed.Swap(0)),
	)
}

// counterOf returns the metric of refusals of a customer.
func (rt *rates) counterOf(customer string) tally.Counter {
	if value, ok := rt.counters.Load(customer); ok {
		return value.(tally.Counter)
	}
	if rt.shown.Load() >= maxShownCustomers && customer != otherCustomers {
		return rt.counterOf(otherCustomers)
	}
	counter := rt.scope.Tagged(map[string]string{"customer": customer}).Counter("forward_over_limit")
	if _, loaded := rt.counters.LoadOrStore(customer, counter); !loaded {
		rt.shown.Add(1)
	}
	return counter
}

func (rt *rates) state() RatesState {
	now := rateNow()
	st := RatesState{Place: rt.leases.Place(), Roster: rt.leases.Roster()}
	st.Shares, st.SharesCount = rt.share.States(now, maxShownRates)
	st.Owned, st.OwnedCount = rt.owner.States(now, maxShownRates)
	return st
}

func (rt *rates) publishGauges(mt *metrics.Metrics) {
	now := rateNow()
	_, shares := rt.share.States(now, 0)
	_, owned := rt.owner.States(now, 0)
	part := 0.0
	if place := rt.leases.Place(); place != nil {
		part = place.Part
	}
	mt.SetGauges(map[string]float64{
		"forward_rates_shared":      float64(shares),
		"forward_rates_owned":       float64(owned),
		"forward_rates_part":        part,
		"forward_rates_refused":     float64(rt.share.Refused.Load()),
		"forward_lease_messages":    float64(rt.leases.Sent.Load()),
		"forward_lease_failures":    float64(rt.leases.Failed.Load()),
		"forward_rates_handed_over": float64(rt.leases.Claimed.Load()),
		"forward_roster_calls":      float64(rt.leases.RosterCalls.Load()),
	})
}
