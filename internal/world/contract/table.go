package contract

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is the share of the requests relative to the other services; it is
	// not negative.
	Weight float64 `json:"weight"`
}

// ForwardRoute defines where requests with a given host and path prefix are
// forwarded. Exactly one of Services and Shards is not empty.
type ForwardRoute struct {
	// Name is unique in its table.
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent is set if requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Services receive the requests in proportion to their weights, at least one
	// of which is positive.
	Services []WeightedService `json:"services,omitempty"`
	// Shards names the services that each supply one part of the answer; names
	// are unique.
	Shards []string `json:"shards,omitempty"`
	// TopK is the maximum number of records in an answer that is merged from
	// shards.
	TopK int `json:"top_k,omitempty"`
	// MinCoverage is the least share of shards that an answer must include, in
	// [0, 1].
	MinCoverage float64 `json:"min_coverage,omitempty"`
	// Timeout is the longest time that a caller waits for the answer; positive.
	Timeout time.Duration `json:"timeout_ns"`
	// Goal is the latency goal of an answer; 0 if there is none.
	Goal time.Duration `json:"goal_ns"`
	// Priority is the priority of the route; 0 is the highest.
	Priority int `json:"priority"`
	// Open is set if requests need no key although the table has customers.
	Open bool `json:"open,omitempty"`
	// MaxAttempts is the maximum number of servers of one service to which a
	// request is sent; at least 1.
	MaxAttempts int `json:"max_attempts"`
	// Unusable tells why no request can be sent by the route; empty for those in the
	// Routes of a table.
	Unusable string `json:"unusable,omitempty"`
}

// Validate checks the name, host, prefix, targets, timeout and minimum coverage of
// the route.
func (fr *ForwardRoute) Validate() error {
	return fr.faults().first()
}

// faults returns all that makes the route unusable.
func (fr *ForwardRoute) faults() faults {
	var fs faults
	fs.addIf(fr.Name == "", FieldName, "route without name or host")
	fs.addIf(fr.Name != "" && fr.Host == "", FieldHost, "route without name or host")
	fs.addIf(!fr.hasPrefix(), FieldPrefix,
		"route %s: prefix %q does not begin and end with a slash", fr.Name, fr.Prefix)
	fs.addIf((len(fr.Services) == 0) == (len(fr.Shards) == 0), "", "route %s: names no service, or services and shards", fr.Name)
	fs.addIf(fr.Timeout <= 0, FieldTimeout, "route %s: timeout %s is not positive", fr.Name, fr.Timeout)
	fs.addIf(fr.TopK < 0 || fr.TopK > maxTopK, FieldTopK, "route %s: %d records are not in 0 to %d", fr.Name, fr.TopK, maxTopK)
	fs.addIf(len(fr.Services) > 0 && !hasPositiveWeight(fr.Services), FieldServices,
		"route %s: a weight is negative, or none is positive", fr.Name)
	fs.addIf(fr.MinCoverage < 0 || fr.MinCoverage > maxShare, FieldMinCoverage,
		"route %s: minimum coverage %g is not in 0 to 1", fr.Name, fr.MinCoverage)
	fs.addIf(len(fr.Shards) > 0 && !fr.Idempotent, FieldShards, "route %s: shards are gathered for idempotent requests only", fr.Name)
	return fs
}

// hasPrefix reports whether the prefix begins and ends with a slash.
func (fr *ForwardRoute) hasPrefix() bool {
	return strings.HasPrefix(fr.Prefix, "/") && strings.HasSuffix(fr.Prefix, "/")
}

// hasPositiveWeight reports whether a service has a positive weight, and none a
// negative one.
func hasPositiveWeight(services []WeightedService) bool {
	positive := false
	for _, ws := range services {
		if ws.Weight < 0 {
			return false
		}
		positive = positive || ws.Weight > 0
	}
	return positive
}

const (
	// maxTopK bounds the records of a merged answer, which are kept in memory.
	maxTopK = 1 << 20
	// maxConnectionLimit bounds the connections to one server, for each of which a
	// pool has room.
	maxConnectionLimit = 1 << 14
)

// Service is a set of equivalent servers.
type Service struct {
	Name string `json:"name"`
	// ConnectionLimit is the number of connections that each server accepts
	// from all entry VMs together; at least 1.
	ConnectionLimit int `json:"connection_limit"`
	// HealthPath is the path of the health check.
	HealthPath string `json:"health_path"`
	// WarmUp is how long a server is cold after its start, and WarmUpRate the requests a
	// second that a cold server bears; 0 sets no limit.
	WarmUp     time.Duration `json:"warm_up_ns,omitempty"`
	WarmUpRate float64       `json:"warm_up_rate,omitempty"`
}

// faults returns all that makes the service unusable.
func (se *Service) faults() faults {
	var fs faults
	fs.addIf(se.ConnectionLimit < 0, FieldConnectionLimit, "service %s: connection limit %d is negative", se.Name, se.ConnectionLimit)
	return fs
}

// CallerLimits limits the requests and connections of callers.
type CallerLimits struct {
	// HeaderBytes and BodyBytes are positive.
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"`
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration `json:"idle_timeout_ns"`
}

// Defaults returns the limits that apply until a configuration is received.
func (CallerLimits) Defaults() CallerLimits {
	return CallerLimits{HeaderBytes: 64 << 10, BodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
}

// Table is the routing configuration: routes, services and limits under one
// version. It is immutable. Make one with NewTable.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   CallerLimits
	// Routes is sorted by name.
	Routes []*ForwardRoute
	// Customers is sorted by name; SetCustomers sets it.
	Customers []*Customer
	// Unusable holds the listed routes that can't be used, in their order; setUnusable sets
	// it.
	Unusable []*ForwardRoute
	// HidesRoutes is set if the host or the prefix of one of them is not known.
	HidesRoutes bool
	// UnusableCustomers counts the listed customers that were left out, AmbiguousKeys the
	// keys that are held by several customers.
	UnusableCustomers, AmbiguousKeys int
	customers                        customers
	// hosts holds the routes of each host in lower case, longest prefix first.
	hosts map[string][]*ForwardRoute
}

// NewTable returns a table, or an error if a route is invalid. It takes ownership
// of routes.
func NewTable(version int64, routes []*ForwardRoute, services []Service, limits CallerLimits) (*Table, error) {
	tb := &Table{Version: version, Services: map[string]Service{}, Limits: limits, Routes: routes, hosts: map[string][]*ForwardRoute{}}
	for _, se := range services {
		if err := se.faults().first(); err != nil {
			return nil, err
		}
		se.ConnectionLimit = min(max(se.ConnectionLimit, 1), maxConnectionLimit)
		tb.Services[se.Name] = se
	}
	for _, fr := range routes {
		fr.Shards = withoutRepeats(fr.Shards)
		if err := fr.Validate(); err != nil {
			return nil, err
		}
		host := strings.ToLower(fr.Host)
		tb.hosts[host] = append(tb.hosts[host], fr)
	}
	slices.SortFunc(tb.Routes, func(a, b *ForwardRoute) int { return cmp.Compare(a.Name, b.Name) })
	tb.sortHosts()
	return tb, nil
}

// sortHosts orders the routes of each host by their prefixes, the longest first.
func (tb *Table) sortHosts() {
	for _, ordered := range tb.hosts {
		slices.SortStableFunc(ordered, func(a, b *ForwardRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Table returns a table of all that can be used of a listing, under a version, or an error
// if none of its routes can. It takes ownership of the routes.
func (ls Listing) Table(version int64) (*Table, error) {
	var usable, unusable []*ForwardRoute
	for _, fr := range ls.Routes {
		if err := fr.Validate(); err != nil && fr.Unusable == "" {
			fr.Unusable = err.Error()
		}
		if fr.Unusable == "" {
			usable = append(usable, fr)
		} else {
			unusable = append(unusable, fr)
		}
	}
	if len(usable) == 0 && len(unusable) > 0 {
		return nil, errors.New(unusable[0].Unusable)
	}
	services := slices.Clone(ls.Services)
	for i := range services {
		services[i].ConnectionLimit = max(services[i].ConnectionLimit, 0)
	}
	tb, err := NewTable(version, usable, services, ls.Limits)
	if err != nil {
		return nil, err
	}
	tb.setUnusable(unusable)
	tb.SetCustomers(ls.Customers)
	return tb, nil
}

// setUnusable adds routes that can't be used, so that no other route takes their requests.
func (tb *Table) setUnusable(routes []*ForwardRoute) {
	tb.Unusable = routes
	for _, fr := range routes {
		if fr.Host == "" || !fr.hasPrefix() {
			tb.HidesRoutes = true
			continue
		}
		host := strings.ToLower(fr.Host)
		tb.hosts[host] = append(tb.hosts[host], fr)
	}
	tb.sortHosts()
}

// UnusableError returns an error that names a route that can't be used; nil if all can.
func (tb *Table) UnusableError() error {
	if len(tb.Unusable) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %d of %d, the first: %s", errUnusableRoutes, len(tb.Unusable), len(tb.Unusable)+len(tb.Routes), tb.Unusable[0].Unusable)
}

var errUnusableRoutes = errors.New("routes can't be used")

// withoutRepeats returns names without those that occurred before.
func withoutRepeats(names []string) []string {
	seen := make(map[string]bool, len(names))
	return slices.DeleteFunc(names, func(name string) bool {
		repeated := seen[name]
		seen[name] = true
		return repeated
	})
}

// Match returns the route of the host with the longest prefix of the path, which may be
// unusable, or nil if there is none. host may include a port. The path is compared as it was sent: an encoded
// slash delimits nothing.
func (tb *Table) Match(host, path string) *ForwardRoute {
	// The colons of an IPv6 address stand inside brackets.
	if at := strings.LastIndexByte(host, ':'); at > strings.LastIndexByte(host, ']') {
		host = host[:at]
	}
	for _, fr := range tb.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, fr.Prefix) {
			return fr
		}
	}
	return nil
}

// Targets returns the sorted names of the services that may receive requests.
func (tb *Table) Targets() []string {
	named := map[string]bool{}
	for _, fr := range tb.Routes {
		for _, shard := range fr.Shards {
			named[shard] = true
		}
		for _, ws := range fr.Services {
			named[ws.Service] = named[ws.Service] || ws.Weight > 0
		}
	}
	return slices.Sorted(maps.Keys(named))
}
