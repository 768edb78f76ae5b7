package contract

import "time"

// SharedRate is a rate that all entry VMs together may use: a token bucket with a
// rate and a size.
type SharedRate struct {
	// PerSecond and Burst are not negative.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
}

// IsUnlimited reports whether the rate sets no limit.
func (sr SharedRate) IsUnlimited() bool {
	return sr.PerSecond <= 0
}

// RateKind is the kind of thing that a shared rate is about.
type RateKind uint32

// The kinds. Their values are part of the protocol between entry VMs.
const (
	// RateOfCustomer limits the requests of a customer.
	RateOfCustomer RateKind = 1
	// RateOfColdServer limits the requests to a server that warms up.
	RateOfColdServer RateKind = 2
)

// RateKey identifies a shared rate.
type RateKey struct {
	Kind RateKind
	// Name is that of the customer, or of the server with the start of its process.
	Name string
}

// QuotaBounds is the tolerance with which customers' limits hold: in any window no more
// requests run than (rate x window + burst) x (1 + Overage) + Slack.
type QuotaBounds struct {
	Window  time.Duration `json:"window_ns"`
	Overage float64       `json:"overage"`
	Slack   float64       `json:"slack"`
	// isSpent is set if the rates leave no tolerance.
	isSpent bool
}

// TokenTTL is how long after it was taken a token may be used for a send.
const TokenTTL = 100 * time.Millisecond

const (
	// grantSeconds is the time between two grants to an entry VM, in which the bucket fills.
	grantSeconds = float64(RateInterval) / float64(time.Second)
	// leaseSeconds is how long a token may be held by an entry VM before it is taken.
	leaseSeconds = float64(RateLease) / float64(time.Second)
	// warmUpReservePercent is the part of the slack of cold servers that is not granted. It
	// covers sends without a lease, and what a server gets before it is known to be cold.
	warmUpReservePercent = 50
)

// WarmUpBounds is the tolerance with which the limits of cold servers hold: in any
// second a server gets no more requests than rate x Overage + Slack.
type WarmUpBounds struct {
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

// SharedRate returns the shared rate with which a server that bears perSecond requests
// keeps within the bounds. A second sees tokens that were granted within it, those that
// were held or taken before it, and the burst.
func (wb WarmUpBounds) SharedRate(perSecond float64) SharedRate {
	overage := wb.Overage
	if overage <= 0 {
		overage = 1
	}
	rate := min(perSecond*overage/(1+leaseSeconds+TokenTTL.Seconds()+grantSeconds), perSecond)
	return SharedRate{PerSecond: rate, Burst: max(rate*grantSeconds+wb.Slack*(100-warmUpReservePercent)/100, 1)}
}

const (
	// RateLease is how long granted tokens may be spent, counted from the time at which
	// the request for them was sent. It is a tenth of the usual window, so that tokens
	// granted before a window and spent in it fit into the usual overage.
	RateLease = 500 * time.Millisecond
	// RateInterval is the time between two requests for the tokens of a key: two fit
	// into a lease, so that one lost message does not end it.
	RateInterval = 250 * time.Millisecond
	// RateSettle is how long an owner waits after a change that another VM may see later:
	// for the leases of the previous owner, and for news of the change, which takes up
	// to three rounds of heartbeats less the time that it took to come here.
	RateSettle = 2 * time.Second
	// usableAdvances and usableRate are the shares of the tolerance beyond that of the
	// leases which advances use, and which owners grant beside the rate: a customer near its
	// limit is rather served within the tolerance than refused below the limit. The rest is
	// for requests that wait between their admission and their first send.
	usableAdvances = 0.5
	usableRate     = 0.2
	// minAdvances is the least number of tokens in a window for which a VM spends
	// advances: fewer VMs spend them if there is less for each. One token can be spent
	// at once, and half a token returns in a window.
	minAdvances = 1.5
	// advanceBurst is the part of a VM's advances that it may spend at once; the rest
	// refills in a window. As the bucket of a new process is empty, the advances in a
	// window are bounded whatever the number of restarts.
	advanceBurst = 0.6
)

// leaseRate returns the part of the rate that can be granted in leases. A token may be
// spent until RateLease after the grant, so a window contains the tokens of a longer time,
// which must fit into the overage.
func (qb QuotaBounds) leaseRate(rate SharedRate) float64 {
	window := qb.Window.Seconds()
	return rate.PerSecond * min(1, window*(1+qb.Overage)/(window+RateLease.Seconds()))
}

// grantRate returns the tokens a second that an owner grants.
func (qb QuotaBounds) grantRate(rate SharedRate) float64 {
	return qb.leaseRate(rate) + usableRate*qb.tolerance(rate)/(qb.Window+RateLease).Seconds()
}

// Allowed returns the number of requests that may run in any window.
func (qb QuotaBounds) Allowed(rate SharedRate) float64 {
	return (rate.PerSecond*qb.Window.Seconds()+rate.Burst)*(1+qb.Overage) + qb.Slack
}

// tolerance returns the number of requests in a window beyond those of leases and the
// burst.
func (qb QuotaBounds) tolerance(rate SharedRate) float64 {
	if qb.isSpent {
		return 0
	}
	leased := qb.leaseRate(rate)*(qb.Window+RateLease).Seconds() + max(rate.Burst, 1)
	return max(0, qb.Allowed(rate)-leased)
}

// advances returns the number of tokens that all VMs together may spend in a window
// without a lease.
func (qb QuotaBounds) advances(rate SharedRate) float64 {
	return usableAdvances * qb.tolerance(rate)
}

// RateBounds holds the tolerances of all kinds of shared rates.
type RateBounds struct {
	Customers QuotaBounds
}

// coldBounds is the tolerance with which the rates of cold servers hold. Their own
// tolerance is spent already: WarmUpBounds.SharedRate leaves room for the tokens of a lease.
var coldBounds = QuotaBounds{Window: time.Second, Overage: RateLease.Seconds(), isSpent: true}

// of returns the tolerance of a kind.
func (rb RateBounds) of(kind RateKind) QuotaBounds {
	if kind == RateOfColdServer {
		return coldBounds
	}
	return rb.Customers
}

// RateDemand is what a VM used and needs of one shared rate.
type RateDemand struct {
	Key RateKey
	// Rate is the rate in force at the sender, and Version that of the configuration
	// which sets it; 0 if the configuration does not.
	Rate    SharedRate
	Version int64
	// Wanted is the number of tokens that the sender needs until its next request.
	Wanted int64
	// Returned and Advanced count the tokens of leases that were not used and the
	// tokens spent without a lease, since the sender started. As totals, they have the
	// same effect if a message is lost, doubled or late.
	Returned int64
	Advanced int64
	// AdvancedKnown is the part of Advanced that an owner has confirmed.
	AdvancedKnown int64
}

// RateGrant is the answer to one demand.
type RateGrant struct {
	Tokens int64
	// Wait is the time between two tokens for the sender if it needs more than it got;
	// 0 if it got what it wanted.
	Wait time.Duration
	// Owner names the owner as known to the receiver of the demand, if it is another.
	Owner string
	// Pending is set if the receiver is the owner, but may not grant yet.
	Pending bool
}
