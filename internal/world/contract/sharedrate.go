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
}

// TokenTTL is how long after it was taken a token may be used for a send.
const TokenTTL = 100 * time.Millisecond

const (
	// leaseSeconds is how long a token may be held by an entry VM before it is taken, and
	// grantSeconds the time between two grants to it, in which the bucket fills.
	leaseSeconds = 0.5
	grantSeconds = 0.25
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
