package contract

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Listing is a configuration as its author lists it: in the author's order, without
// defaults for entries and before values out of range are replaced.
type Listing struct {
	Routes    []*ForwardRoute
	Services  []Service
	Customers []KeyedCustomer
	// Limits has the defaults where the author sets none.
	Limits CallerLimits
}

const (
	// maxSensibleAttempts is the number of servers from which more attempts at a request
	// that must not run twice help little: it is sent again only if it certainly did not
	// run, and its time-out passes meanwhile.
	maxSensibleAttempts = 3
	// minHeaderBytes is also the least that `serve` accepts. The headers that each
	// request needs, with a key, take several hundred bytes.
	minHeaderBytes = 1 << 10
	// minBodyBytes is a body of a few fields.
	minBodyBytes = 1 << 10
	// coverageMargin is the rounding error of a share of shards.
	coverageMargin = 1e-9
)

// Review returns what is wrong with a listing: all that NewTable refuses, in the same
// words, and what can't work or is probably not meant. entryVMs is the number of entry
// VMs; 0 if it is not known. It does not change the listing.
func (ls Listing) Review(entryVMs int) []Finding {
	var rv review
	rv.routes(ls.Routes)
	rv.shadows(ls.Routes)
	rv.services(ls.Services, entryVMs)
	rv.references(ls.Routes, ls.Services)
	rv.customers(ls.Customers)
	rv.keys(ls.Customers)
	rv.limits(ls.Limits)
	return rv.findings
}

// review collects findings.
type review struct {
	findings []Finding
}

func (rv *review) add(severity Severity, code FindingCode, place Place, format string, values ...any) {
	rv.findings = append(rv.findings, Finding{severity, code, place, fmt.Sprintf(format, values...)})
}

func (rv *review) errorf(code FindingCode, place Place, format string, values ...any) {
	rv.add(SeverityError, code, place, format, values...)
}

func (rv *review) warnf(code FindingCode, place Place, format string, values ...any) {
	rv.add(SeverityWarning, code, place, format, values...)
}

func (rv *review) faults(fs faults, list ListKind, index int) {
	for _, ft := range fs {
		rv.errorf(FindingInvalid, Place{list, index, ft.field, noItem}, "%s", ft.message)
	}
}

// routes checks each route by itself.
func (rv *review) routes(routes []*ForwardRoute) {
	first := map[string]int{}
	for i, fr := range routes {
		rv.faults(fr.faults(), ListRoutes, i)
		rv.duplicate(first, ListRoutes, i, fr.Name)
		rv.split(i, fr)
		rv.shards(i, fr)
		rv.times(i, fr)
		rv.attempts(i, fr)
	}
}

// duplicate checks that a name occurs once in a list. first holds the positions of the
// names that were seen.
func (rv *review) duplicate(first map[string]int, list ListKind, index int, name string) {
	if name == "" {
		return
	}
	if other, ok := first[name]; ok {
		rv.errorf(FindingDuplicate, Place{list, index, FieldName, noItem}, "name %q is already that of position %d of the list", name, other)
		return
	}
	first[name] = index
}

// split checks the weights of a route that are not negative.
func (rv *review) split(index int, fr *ForwardRoute) {
	seen := map[string]bool{}
	for i, ws := range fr.Services {
		if ws.Weight == 0 {
			rv.warnf(FindingZeroWeight, Place{ListRoutes, index, FieldWeight, i}, "route %s: service %s has weight 0 and gets no requests", fr.Name, ws.Service)
		}
		if seen[ws.Service] {
			rv.warnf(FindingRepeated, Place{ListRoutes, index, FieldServices, i}, "route %s: service %s is listed twice", fr.Name, ws.Service)
		}
		seen[ws.Service] = true
	}
}

// shards checks the shards of a route.
func (rv *review) shards(index int, fr *ForwardRoute) {
	if len(fr.Shards) == 0 {
		if fr.MinCoverage > 0 {
			rv.warnf(FindingIgnored, Place{ListRoutes, index, FieldMinCoverage, noItem}, "route %s: a minimum coverage has no effect without shards", fr.Name)
		}
		return
	}
	seen := map[string]bool{}
	for i, shard := range fr.Shards {
		if seen[shard] {
			rv.warnf(FindingRepeated, Place{ListRoutes, index, FieldShards, i}, "route %s: shard %s is listed twice", fr.Name, shard)
		}
		seen[shard] = true
	}
	if fr.TopK == 0 {
		rv.warnf(FindingContradiction, Place{ListRoutes, index, FieldTopK, noItem}, "route %s: answers that are merged from shards have at most 0 records", fr.Name)
	}
}

// times compares the timeout and the goal of a route.
func (rv *review) times(index int, fr *ForwardRoute) {
	place := Place{ListRoutes, index, FieldGoal, noItem}
	switch {
	case fr.Goal < 0:
		rv.warnf(FindingIgnored, place, "route %s: goal %s is negative and counts as none", fr.Name, fr.Goal)
	case fr.Timeout > 0 && fr.Timeout < fr.Goal:
		place.Field = FieldTimeout
		rv.errorf(FindingContradiction, place, "route %s: timeout %s is shorter than the latency goal %s", fr.Name, fr.Timeout, fr.Goal)
	}
}

func (rv *review) attempts(index int, fr *ForwardRoute) {
	place := Place{ListRoutes, index, FieldMaxAttempts, noItem}
	switch {
	case fr.MaxAttempts < 0:
		rv.warnf(FindingIgnored, place, "route %s: %d attempts count as 1", fr.Name, fr.MaxAttempts)
	case !fr.Idempotent && fr.MaxAttempts > maxSensibleAttempts:
		rv.warnf(FindingAttempts, place, "route %s: %d attempts at requests that must not run twice; more than %d help little", fr.Name, fr.MaxAttempts, maxSensibleAttempts)
	}
}

// shadows finds routes that no request reaches.
func (rv *review) shadows(routes []*ForwardRoute) {
	type target struct{ host, prefix string }
	first := map[target]int{}
	for i, fr := range routes {
		if fr.Host == "" {
			continue
		}
		if !canBeHost(fr.Host) {
			rv.errorf(FindingNeverMatches, Place{ListRoutes, i, FieldHost, noItem},
				"route %s: no request has host %q: it is compared without the port, and as a whole", fr.Name, fr.Host)
		}
		tg := target{strings.ToLower(fr.Host), fr.Prefix}
		if other, ok := first[tg]; ok {
			rv.errorf(FindingShadowed, Place{ListRoutes, i, FieldPrefix, noItem},
				"route %s gets no requests: route %s at position %d has the same host and prefix and is matched first", fr.Name, routes[other].Name, other)
			continue
		}
		first[tg] = i
	}
}

// canBeHost reports whether Match may find a route by a host. It removes the port of a
// request's host and knows no patterns.
func canBeHost(host string) bool {
	return strings.LastIndexByte(host, ':') <= strings.LastIndexByte(host, ']') && !strings.ContainsAny(host, " \t\r\n/*?#@")
}

// services checks each service by itself.
func (rv *review) services(services []Service, entryVMs int) {
	first := map[string]int{}
	for i, se := range services {
		rv.faults(se.faults(), ListServices, i)
		rv.duplicate(first, ListServices, i, se.Name)
		if se.Name == "" {
			rv.errorf(FindingBadName, Place{ListServices, i, FieldName, noItem}, "service without name")
		}
		place := Place{ListServices, i, FieldConnectionLimit, noItem}
		effective := min(max(se.ConnectionLimit, 1), maxConnectionLimit)
		switch {
		case se.ConnectionLimit >= 0 && effective < entryVMs:
			rv.warnf(FindingContradiction, place,
				"service %s: each server accepts %d connections, fewer than the %d entry VMs, each of which opens at least one", se.Name, effective, entryVMs)
		case se.ConnectionLimit > maxConnectionLimit:
			rv.warnf(FindingIgnored, place, "service %s: connection limit %d counts as %d", se.Name, se.ConnectionLimit, effective)
		}
		rv.warmUp(i, se)
	}
}

func (rv *review) warmUp(index int, se Service) {
	if se.WarmUp < 0 {
		rv.errorf(FindingIgnored, Place{ListServices, index, FieldWarmUp, noItem}, "service %s: warm-up %s is negative", se.Name, se.WarmUp)
	}
	if se.WarmUpRate < 0 {
		rv.errorf(FindingIgnored, Place{ListServices, index, FieldWarmUpRate, noItem},
			"service %s: rate %g of cold servers is negative and counts as no limit", se.Name, se.WarmUpRate)
	}
}

// references compares the services that routes name with those that are listed.
func (rv *review) references(routes []*ForwardRoute, services []Service) {
	listed, used := map[string]bool{}, map[string]bool{}
	for _, se := range services {
		listed[se.Name] = true
	}
	for i, fr := range routes {
		for at, ws := range fr.Services {
			used[ws.Service] = true
			if !listed[ws.Service] {
				rv.errorf(FindingUnlisted, Place{ListRoutes, i, FieldServices, at}, "route %s: service %q is not listed", fr.Name, ws.Service)
			}
		}
		for at, shard := range fr.Shards {
			used[shard] = true
			if !listed[shard] {
				rv.errorf(FindingUnlisted, Place{ListRoutes, i, FieldShards, at}, "route %s: shard %q is not a listed service", fr.Name, shard)
			}
		}
		rv.coverage(i, fr, listed)
	}
	for i, se := range services {
		if se.Name != "" && !used[se.Name] {
			rv.warnf(FindingUnused, Place{ListServices, i, "", noItem}, "service %s is used by no route", se.Name)
		}
	}
}

// coverage checks that the listed shards of a route suffice for its minimum coverage.
func (rv *review) coverage(index int, fr *ForwardRoute, listed map[string]bool) {
	shards := withoutRepeats(slices.Clone(fr.Shards))
	if len(shards) == 0 || fr.MinCoverage > maxShare {
		return
	}
	known := 0
	for _, shard := range shards {
		if listed[shard] {
			known++
		}
	}
	needed := int(math.Ceil(fr.MinCoverage*float64(len(shards)) - coverageMargin))
	if known < needed {
		rv.errorf(FindingContradiction, Place{ListRoutes, index, FieldMinCoverage, noItem},
			"route %s: a minimum coverage of %g needs %d of %d shards, and only %d are listed services", fr.Name, fr.MinCoverage, needed, len(shards), known)
	}
}

// customers checks the name and the rate of each customer.
func (rv *review) customers(customers []KeyedCustomer) {
	first := map[string]int{}
	for i, kc := range customers {
		if !isHeaderValue(kc.Name) {
			rv.errorf(FindingBadName, Place{ListCustomers, i, FieldName, noItem},
				"the customer is left out: its name is empty, has control characters, or blanks at its ends")
		}
		rv.duplicate(first, ListCustomers, i, kc.Name)
		rv.rate(i, kc)
	}
}

func (rv *review) rate(index int, kc KeyedCustomer) {
	rate, burst := Place{ListCustomers, index, FieldRate, noItem}, Place{ListCustomers, index, FieldBurst, noItem}
	switch {
	case kc.Limit.PerSecond < 0:
		rv.errorf(FindingBadRate, rate, "customer %s: rate %g is negative and counts as no limit", kc.Name, kc.Limit.PerSecond)
	case kc.Limit.Burst < 0:
		rv.errorf(FindingBadRate, burst, "customer %s: burst %g is negative", kc.Name, kc.Limit.Burst)
	case kc.Limit.IsUnlimited() && kc.Limit.Burst > 0:
		rv.warnf(FindingContradiction, burst, "customer %s: a burst has no effect without a rate", kc.Name)
	case !kc.Limit.IsUnlimited() && kc.Limit.Burst < 1:
		rv.warnf(FindingContradiction, burst, "customer %s: burst %g has no room for one request, although there is a rate", kc.Name, kc.Limit.Burst)
	}
}

// keys checks the keys of the customers. Its messages refer to them by position.
func (rv *review) keys(customers []KeyedCustomer) {
	type held struct{ customer, key int }
	first := map[string]held{}
	for i, kc := range customers {
		usable := 0
		for at, key := range kc.Keys {
			place := Place{ListCustomers, i, FieldKeys, at}
			other, seen := first[key]
			switch {
			case key == "":
				rv.warnf(FindingUnusableKey, place, "customer %s: the key is empty and is left out", kc.Name)
				continue
			case !seen:
				first[key] = held{i, at}
			case customers[other.customer].Name == kc.Name:
				rv.warnf(FindingRepeated, place, "customer %s: the key is listed twice", kc.Name)
			default:
				rv.errorf(FindingSharedKey, place, "customer %s: the key is also key %d of customer %s at position %d; it is valid for neither",
					kc.Name, other.key, customers[other.customer].Name, other.customer)
			}
			usable++
		}
		if usable == 0 {
			rv.warnf(FindingNoKey, Place{ListCustomers, i, "", noItem}, "customer %s has no key", kc.Name)
		}
	}
}

// limits checks the limits for callers.
func (rv *review) limits(cl CallerLimits) {
	defaults := CallerLimits{}.Defaults()
	place := func(field Field) Place { return Place{ListLimits, 0, field, noItem} }
	rv.size(place(FieldHeaderBytes), int64(cl.HeaderBytes), minHeaderBytes, int64(defaults.HeaderBytes))
	rv.size(place(FieldBodyBytes), cl.BodyBytes, minBodyBytes, defaults.BodyBytes)
	if cl.HeaderTimeout <= 0 {
		rv.errorf(FindingIgnored, place(FieldHeaderTimeout), "%s is not positive; %s applies", cl.HeaderTimeout, defaults.HeaderTimeout)
	}
	if cl.IdleTimeout <= 0 {
		rv.errorf(FindingIgnored, place(FieldIdleTimeout), "%s is not positive; %s applies", cl.IdleTimeout, defaults.IdleTimeout)
	}
}

func (rv *review) size(place Place, value, least, standard int64) {
	switch {
	case value <= 0:
		rv.errorf(FindingIgnored, place, "%d bytes are not positive; %d apply", value, standard)
	case value < least:
		rv.warnf(FindingSmallLimit, place, "%d bytes are fewer than ordinary requests need (%d)", value, least)
	}
}
