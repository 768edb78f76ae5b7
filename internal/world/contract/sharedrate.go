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

// WarmUpBounds is the tolerance with which the limits of cold servers hold: in any
// second a server gets no more requests than rate x Overage + Slack.
type WarmUpBounds struct {
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}
