package contract

import (
	"time"

	"daisystage.example/daisystage/internal/world/link"
)

// Class is the priority class of a route.
type Class string

// The classes.
const (
	Urgent   Class = "urgent"
	Ordinary Class = "ordinary"
)

// Scope selects the shards to which a request is sent.
type Scope string

// The scopes.
const (
	// ScopeAll sends a part to each shard.
	ScopeAll Scope = "all"
	// ScopeOne sends the request to the shard of its key.
	ScopeOne Scope = "one"
)

// Canary is how long a request that was not seen before waits for the answer of a
// first shard before it is sent to the others.
type Canary string

// The canary modes.
const (
	// CanaryStrict waits for the first shard's answer.
	CanaryStrict Canary = "strict"
	// CanaryBrief waits for it no longer than the usual latency of a part.
	CanaryBrief Canary = "brief"
	// CanaryOff does not wait.
	CanaryOff Canary = "off"
)

// Unconfirmed is the behavior of a route while its settings are not confirmed and
// may be out of date.
type Unconfirmed string

// The behaviors.
const (
	// UnconfirmedRefuse refuses requests.
	UnconfirmedRefuse Unconfirmed = "refuse"
	// UnconfirmedServeMarked answers requests and notes in their receipts when
	// the settings were last confirmed.
	UnconfirmedServeMarked Unconfirmed = "serve_marked"
)

const (
	maxDeadline = time.Minute
	maxShare    = 1.0
	// minRetriesPerSecond is the rate of retries that a route may make whatever
	// its traffic, since a part that is not retried is missing from the answer.
	minRetriesPerSecond = 20
)

// Route is the setting under teams/<team>/routes/<route>.
type Route struct {
	Class      Class  `toml:"class"`
	Collection string `toml:"collection"`
	// Deadline is positive and at most a minute.
	Deadline Duration `toml:"deadline"`
	// ReplyMargin is the time reserved before the deadline to return the answer;
	// it is less than Deadline.
	ReplyMargin Duration `toml:"reply_margin"`
	Shards      Scope    `toml:"shards"`
	// ShardKey names the field of the query that selects the shard of a request
	// with scope "one"; if it is empty, the request id selects it.
	ShardKey string `toml:"shard_key"`
	// Idempotent is set if requests may run more than once. Otherwise the scope
	// is "one".
	Idempotent bool `toml:"idempotent"`
	// MinCoverage is in [0, 1]; an answer with lower coverage is refused.
	MinCoverage float64 `toml:"min_coverage"`
	// HedgeQuantile is 0.9, 0.95 or 0.99.
	HedgeQuantile float64 `toml:"hedge_quantile"`
	// HedgeShare is the number of hedges allowed for each primary send, in
	// [0, 1].
	HedgeShare float64 `toml:"hedge_share"`
	// RetryShare is the number of retries allowed for each primary send, in
	// [0, 1].
	RetryShare float64 `toml:"retry_share"`
	// Canary controls whether a request that was not seen before is sent to one
	// shard first, so that a request that crashes servers does not crash the
	// servers of all shards.
	Canary          Canary      `toml:"canary"`
	WhenUnconfirmed Unconfirmed `toml:"when_unconfirmed"`
}

// Defaults returns a route with the default values of its fields.
func (Route) Defaults() Route {
	return Route{
		Class:           Ordinary,
		Deadline:        Milliseconds(1000),
		ReplyMargin:     Milliseconds(10),
		Shards:          ScopeAll,
		Idempotent:      true,
		HedgeQuantile:   0.99,
		HedgeShare:      0.02,
		RetryShare:      0.1,
		Canary:          CanaryStrict,
		WhenUnconfirmed: UnconfirmedRefuse,
	}
}

// Validate returns a FieldError for the first field that is out of range.
func (rt Route) Validate() error {
	checks := []struct {
		ok       bool
		key      string
		accepted string
	}{
		{rt.Class == Urgent || rt.Class == Ordinary, "class", `"urgent" or "ordinary"`},
		{rt.Collection != "", "collection", "the name of a collection"},
		{rt.Deadline.Duration > 0 && rt.Deadline.Duration <= maxDeadline, "deadline", "more than 0s and at most 1m"},
		{
			rt.ReplyMargin.Duration >= 0 && rt.ReplyMargin.Duration < rt.Deadline.Duration,
			"reply_margin", "at least 0s and less than the deadline",
		},
		{rt.Shards == ScopeAll || rt.Shards == ScopeOne, "shards", `"all" or "one"`},
		{rt.Idempotent || rt.Shards == ScopeOne, "idempotent", `true, or false with shards = "one"`},
		{isShare(rt.MinCoverage), "min_coverage", "0 to 1"},
		{isQuantile(rt.HedgeQuantile), "hedge_quantile", "0.9, 0.95 or 0.99"},
		{isShare(rt.HedgeShare), "hedge_share", "0 to 1"},
		{isShare(rt.RetryShare), "retry_share", "0 to 1"},
		{
			rt.Canary == CanaryStrict || rt.Canary == CanaryBrief || rt.Canary == CanaryOff,
			"canary", `"strict", "brief" or "off"`,
		},
		{
			rt.WhenUnconfirmed == UnconfirmedRefuse || rt.WhenUnconfirmed == UnconfirmedServeMarked,
			"when_unconfirmed", `"refuse" or "serve_marked"`,
		},
		{
			rt.Idempotent || rt.WhenUnconfirmed == UnconfirmedRefuse,
			"when_unconfirmed", `"refuse" for a route that is not idempotent`,
		},
	}
	for _, ch := range checks {
		if !ch.ok {
			return &FieldError{Key: ch.key, Accepted: ch.accepted}
		}
	}
	return nil
}

func isShare(share float64) bool {
	return share >= 0 && share <= maxShare
}

func isQuantile(quantile float64) bool {
	return quantile == 0.9 || quantile == 0.95 || quantile == 0.99
}

// Limits is the setting under teams/<team>/limits.
type Limits struct {
	// Weight is the team's share of a contended queue, 1 to 100.
	Weight int `toml:"weight"`
	// MaxInFlight is the maximum number of the team's requests that one entry VM
	// runs at once, 1 to 100000.
	MaxInFlight int `toml:"max_in_flight"`
	// MaxQueued is the maximum number of the team's requests of one class that
	// wait in the queue of one entry VM, 0 to 100000.
	MaxQueued int `toml:"max_queued"`
}

// Defaults returns the limits of a team without a setting.
func (Limits) Defaults() Limits {
	return Limits{Weight: 10, MaxInFlight: 1000, MaxQueued: 200}
}

// Validate returns a FieldError for the first field that is out of range.
func (lm Limits) Validate() error {
	switch {
	case lm.Weight < 1 || lm.Weight > 100:
		return &FieldError{Key: "weight", Accepted: "1 to 100"}
	case lm.MaxInFlight < 1 || lm.MaxInFlight > 100000:
		return &FieldError{Key: "max_in_flight", Accepted: "1 to 100000"}
	case lm.MaxQueued < 0 || lm.MaxQueued > 100000:
		return &FieldError{Key: "max_queued", Accepted: "0 to 100000"}
	}
	return nil
}

// RouteState is the state of a route in one process. It outlives changes of the
// route's setting.
type RouteState struct {
	Hedges  *Budget
	Retries *Budget
	// Latency measures the latency of the parts of the route's requests.
	Latency *link.Latency
}

// NewRouteState returns the initial state of a route.
func NewRouteState() *RouteState {
	return &RouteState{Hedges: NewBudget(0), Retries: NewBudget(minRetriesPerSecond), Latency: link.NewLatency()}
}
