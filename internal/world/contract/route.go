package contract

import (
	"time"

	"daisystage.example/daisystage/internal/world/link"
)

// Class is the urgency of a route.
type Class string

// The classes.
const (
	Urgent   Class = "urgent"
	Ordinary Class = "ordinary"
)

// Scope says which shards a request goes to.
type Scope string

// The scopes.
const (
	// ScopeAll sends a part to each shard.
	ScopeAll Scope = "all"
	// ScopeOne sends the request to the shard of its key.
	ScopeOne Scope = "one"
)

// Canary says how long the other shards wait for the first one.
type Canary string

// The canaries.
const (
	// CanaryStrict waits for the first shard's answer.
	CanaryStrict Canary = "strict"
	// CanaryBrief waits for it no longer than a part usually takes.
	CanaryBrief Canary = "brief"
	// CanaryOff does not wait.
	CanaryOff Canary = "off"
)

// Unconfirmed says what a route does while its settings may be out of date.
type Unconfirmed string

// The choices for a process that is cut off.
const (
	UnconfirmedRefuse      Unconfirmed = "refuse"
	UnconfirmedServeMarked Unconfirmed = "serve_marked"
)

const (
	longestDeadline = time.Minute
	largestShare    = 1.0
	// retriesPerSecond are allowed to a route whatever its traffic: a part
	// that is not retried is missing from the answer.
	retriesPerSecond = 20
)

// Route is the setting under teams/<team>/routes/<route>.
type Route struct {
	Class      Class  `toml:"class"`
	Collection string `toml:"collection"`
	// Deadline is positive and at most a minute.
	Deadline Duration `toml:"deadline"`
	// ReplyMargin is kept free before the deadline for the answer's way back;
	// it is less than Deadline.
	ReplyMargin Duration `toml:"reply_margin"`
	Shards      Scope    `toml:"shards"`
	// ShardKey names the field of the query that picks the shard of a request
	// with scope "one"; empty takes the request id.
	ShardKey string `toml:"shard_key"`
	// Idempotent requests may run more than once. Others have scope "one".
	Idempotent bool `toml:"idempotent"`
	// MinCoverage is in [0, 1]; an answer below it is refused.
	MinCoverage float64 `toml:"min_coverage"`
	// HedgeQuantile is 0.9, 0.95 or 0.99.
	HedgeQuantile float64 `toml:"hedge_quantile"`
	// HedgeShare is in [0, 1]: hedges for each primary send.
	HedgeShare float64 `toml:"hedge_share"`
	// RetryShare is in [0, 1]: retries for each primary send.
	RetryShare float64 `toml:"retry_share"`
	// Canary says whether a request that was not seen before goes to one shard
	// first, so that one that crashes servers does not crash all of them.
	Canary          Canary      `toml:"canary"`
	WhenUnconfirmed Unconfirmed `toml:"when_unconfirmed"`
}

// Defaults returns a route with every field that has a default.
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

// Validate returns the first field that is out of its range, as a FieldError.
func (rt Route) Validate() error {
	checks := []struct {
		ok       bool
		key      string
		accepted string
	}{
		{rt.Class == Urgent || rt.Class == Ordinary, "class", `"urgent" or "ordinary"`},
		{rt.Collection != "", "collection", "the name of a collection"},
		{rt.Deadline.Duration > 0 && rt.Deadline.Duration <= longestDeadline, "deadline", "more than 0s and at most 1m"},
		{
			rt.ReplyMargin.Duration >= 0 && rt.ReplyMargin.Duration < rt.Deadline.Duration,
			"reply_margin", "at least 0s and less than the deadline",
		},
		{rt.Shards == ScopeAll || rt.Shards == ScopeOne, "shards", `"all" or "one"`},
		{rt.Idempotent || rt.Shards == ScopeOne, "idempotent", `true, or false with shards = "one"`},
		{inUnit(rt.MinCoverage), "min_coverage", "0 to 1"},
		{isQuantile(rt.HedgeQuantile), "hedge_quantile", "0.9, 0.95 or 0.99"},
		{inUnit(rt.HedgeShare), "hedge_share", "0 to 1"},
		{inUnit(rt.RetryShare), "retry_share", "0 to 1"},
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

func inUnit(share float64) bool {
	return share >= 0 && share <= largestShare
}

func isQuantile(quantile float64) bool {
	return quantile == 0.9 || quantile == 0.95 || quantile == 0.99
}

// Limits is the setting under teams/<team>/limits.
type Limits struct {
	// Weight is the team's share of a contended queue, 1 to 100.
	Weight int `toml:"weight"`
	// MaxInFlight is the most requests of the team that one entry VM runs at
	// once, 1 to 100000.
	MaxInFlight int `toml:"max_in_flight"`
	// MaxQueued is the most requests of the team that wait, 0 to 100000.
	MaxQueued int `toml:"max_queued"`
}

// Defaults returns the limits of a team that has none of its own.
func (Limits) Defaults() Limits {
	return Limits{Weight: 10, MaxInFlight: 1000, MaxQueued: 200}
}

// Validate returns the first field that is out of its range, as a FieldError.
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

// RouteState is what one process keeps of a route across versions of its
// setting.
type RouteState struct {
	Hedges  *Budget
	Retries *Budget
	// Latency is of the parts of the route's requests.
	Latency *link.Latency
}

// NewRouteState returns the state of a route that is new to the process.
func NewRouteState() *RouteState {
	return &RouteState{Hedges: NewBudget(0), Retries: NewBudget(retriesPerSecond), Latency: link.NewLatency()}
}
