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

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is not negative.
	Weight float64 `json:"weight"`
}

// ForwardRoute says where requests of one host and path go. Exactly one of
// Services and Shards is not empty.
type ForwardRoute struct {
	// Name is unique in its table.
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Services share the requests by weight; one of the weights is positive.
	Services []WeightedService `json:"services,omitempty"`
	// Shards names the services that each hold one part of the answer; names
	// are unique.
	Shards []string `json:"shards,omitempty"`
	// TopK is the number of records in a gathered answer.
	TopK int `json:"top_k,omitempty"`
	// MinCoverage is in [0, 1].
	MinCoverage float64 `json:"min_coverage,omitempty"`
	// Timeout is the longest time that a caller is kept waiting; positive.
	Timeout time.Duration `json:"timeout_ns"`
	// Goal is the time within which an answer is worth most; 0 if none.
	Goal time.Duration `json:"goal_ns"`
	// Priority is the rank of the route, 0 the highest.
	Priority int `json:"priority"`
	// MaxAttempts is the most servers of one service on which a request may
	// run; at least 1.
	MaxAttempts int `json:"max_attempts"`
}

// Validate checks the route.
func (fr *ForwardRoute) Validate() error {
	switch {
	case fr.Name == "" || fr.Host == "":
		return errors.New("route without name or host")
	case !strings.HasPrefix(fr.Prefix, "/") || !strings.HasSuffix(fr.Prefix, "/"):
		return fmt.Errorf("route %s: prefix %q does not begin and end with a slash", fr.Name, fr.Prefix)
	case (len(fr.Services) == 0) == (len(fr.Shards) == 0):
		return fmt.Errorf("route %s: names no service, or services and shards", fr.Name)
	case fr.Timeout <= 0:
		return fmt.Errorf("route %s: timeout %s is not positive", fr.Name, fr.Timeout)
	case fr.MinCoverage < 0 || fr.MinCoverage > largestShare:
		return fmt.Errorf("route %s: minimum coverage %g is not in 0 to 1", fr.Name, fr.MinCoverage)
	case len(fr.Shards) > 0 && !fr.Idempotent:
		return fmt.Errorf("route %s: shards are gathered for idempotent requests only", fr.Name)
	}
	return nil
}

// Service is a set of servers that answer alike.
type Service struct {
	Name string `json:"name"`
	// ConnectionLimit is the number of connections that each server accepts
	// from all entry VMs together; at least 1.
	ConnectionLimit int `json:"connection_limit"`
	// HealthPath is what a health check asks for.
	HealthPath string `json:"health_path"`
}

// CallerLimits bound what callers send.
type CallerLimits struct {
	// HeaderBytes and BodyBytes are positive.
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"`
	// IdleTimeout is how long a connection may stay unused.
	IdleTimeout time.Duration `json:"idle_timeout_ns"`
}

// Defaults returns the limits that hold before any are known.
func (CallerLimits) Defaults() CallerLimits {
	return CallerLimits{HeaderBytes: 64 << 10, BodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
}

// Table is a configuration as one versioned whole. It is not changed once
// made. Make one with NewTable.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   CallerLimits
	// Routes is ordered by name.
	Routes []*ForwardRoute
	// hosts holds the routes of each host, those with long prefixes first.
	hosts map[string][]*ForwardRoute
}

// NewTable returns a table of valid routes.
func NewTable(version int64, routes []*ForwardRoute, services []Service, limits CallerLimits) (*Table, error) {
	tb := &Table{Version: version, Services: map[string]Service{}, Limits: limits, Routes: routes, hosts: map[string][]*ForwardRoute{}}
	for _, se := range services {
		tb.Services[se.Name] = se
	}
	for _, fr := range routes {
		if err := fr.Validate(); err != nil {
			return nil, err
		}
		host := strings.ToLower(fr.Host)
		tb.hosts[host] = append(tb.hosts[host], fr)
	}
	slices.SortFunc(tb.Routes, func(a, b *ForwardRoute) int { return cmp.Compare(a.Name, b.Name) })
	for _, ordered := range tb.hosts {
		slices.SortStableFunc(ordered, func(a, b *ForwardRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return tb, nil
}

// Match returns the route of a host with the longest prefix of a path, nil if
// there is none. host may have a port.
func (tb *Table) Match(host, path string) *ForwardRoute {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, fr := range tb.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, fr.Prefix) {
			return fr
		}
	}
	return nil
}

// Targets returns the names of the services that requests may go to.
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
