package contract

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newListing returns a listing without findings.
func newListing() Listing {
	find := newRoute("find", "a.example", "/find/")
	find.Services, find.Shards, find.TopK, find.MinCoverage = nil, []string{"s1", "s2"}, 10, 0.5
	find.Goal = 500 * time.Millisecond
	save := newRoute("save", "a.example", "/save/")
	save.Idempotent = false
	return Listing{
		Routes: []*ForwardRoute{find, save, newRoute("root", "a.example", "/")},
		Services: []Service{
			{Name: "plans", ConnectionLimit: 20}, {Name: "s1", ConnectionLimit: 20}, {Name: "s2", ConnectionLimit: 20},
		},
		Customers: []KeyedCustomer{
			{Customer: Customer{Name: "ada", Limit: SharedRate{PerSecond: 5, Burst: 2}}, Keys: []string{"secret-1", "secret-2"}},
			{Customer: Customer{Name: "bob"}, Keys: []string{"secret-3"}},
		},
		Limits: CallerLimits{}.Defaults(),
	}
}

// TestReview guards against a wrong entry that is not found, and against one that is
// found at another place or along with others.
func TestReview(t *testing.T) {
	const errorHere, warningHere = SeverityError, SeverityWarning
	tests := []struct {
		name     string
		change   func(ls *Listing)
		severity Severity
		code     FindingCode
		place    Place
	}{
		{"route name twice", func(ls *Listing) { ls.Routes[1].Name = "find" }, errorHere, FindingDuplicate, Place{ListRoutes, 1, FieldName, -1}},
		{"service name twice", func(ls *Listing) { ls.Services = append(ls.Services, ls.Services[1]) }, errorHere, FindingDuplicate, Place{ListServices, 3, FieldName, -1}},
		{"customer name twice", func(ls *Listing) { ls.Customers[1].Name = "ada" }, errorHere, FindingDuplicate, Place{ListCustomers, 1, FieldName, -1}},
		{"same host and prefix", func(ls *Listing) { ls.Routes[2].Prefix, ls.Routes[2].Host = "/find/", "A.EXAMPLE" }, errorHere, FindingShadowed, Place{ListRoutes, 2, FieldPrefix, -1}},
		{"host with port", func(ls *Listing) { ls.Routes[1].Host = "a.example:80" }, errorHere, FindingNeverMatches, Place{ListRoutes, 1, FieldHost, -1}},
		{"host with pattern", func(ls *Listing) { ls.Routes[1].Host = "*.example" }, errorHere, FindingNeverMatches, Place{ListRoutes, 1, FieldHost, -1}},
		{"service without route", func(ls *Listing) { ls.Services = append(ls.Services, Service{Name: "old", ConnectionLimit: 20}) }, warningHere, FindingUnused, Place{ListServices, 3, "", -1}},
		{"service without name", func(ls *Listing) { ls.Services = append(ls.Services, Service{ConnectionLimit: 20}) }, errorHere, FindingBadName, Place{ListServices, 3, FieldName, -1}},
		{"service that is not listed", func(ls *Listing) { ls.Routes[1].Services[0].Service = "plan" }, errorHere, FindingUnlisted, Place{ListRoutes, 1, FieldServices, 0}},
		{"shard that is not listed", func(ls *Listing) { ls.Routes[0].Shards = []string{"s1", "s2", "s3"} }, errorHere, FindingUnlisted, Place{ListRoutes, 0, FieldShards, 2}},
		{"shard twice", func(ls *Listing) { ls.Routes[0].Shards = []string{"s1", "s2", "s1"} }, warningHere, FindingRepeated, Place{ListRoutes, 0, FieldShards, 2}},
		{"weight 0", func(ls *Listing) { ls.Routes[1].Services = []WeightedService{{"plans", 1}, {"s1", 0}} }, warningHere, FindingZeroWeight, Place{ListRoutes, 1, FieldWeight, 1}},
		{"service twice in a split", func(ls *Listing) { ls.Routes[1].Services = []WeightedService{{"plans", 1}, {"plans", 2}} }, warningHere, FindingRepeated, Place{ListRoutes, 1, FieldServices, 1}},
		{"customer without key", func(ls *Listing) { ls.Customers[1].Keys = nil }, warningHere, FindingNoKey, Place{ListCustomers, 1, "", -1}},
		{"key of two customers", func(ls *Listing) { ls.Customers[1].Keys = []string{"secret-3", "secret-2"} }, errorHere, FindingSharedKey, Place{ListCustomers, 1, FieldKeys, 1}},
		{"key twice", func(ls *Listing) { ls.Customers[0].Keys = []string{"secret-1", "secret-1"} }, warningHere, FindingRepeated, Place{ListCustomers, 0, FieldKeys, 1}},
		{"empty key", func(ls *Listing) { ls.Customers[0].Keys = []string{"secret-1", ""} }, warningHere, FindingUnusableKey, Place{ListCustomers, 0, FieldKeys, 1}},
		{"customer name with blank", func(ls *Listing) { ls.Customers[1].Name = " bob" }, errorHere, FindingBadName, Place{ListCustomers, 1, FieldName, -1}},
		{"burst without rate", func(ls *Listing) { ls.Customers[0].Limit.PerSecond = 0 }, warningHere, FindingContradiction, Place{ListCustomers, 0, FieldBurst, -1}},
		{"burst below one", func(ls *Listing) { ls.Customers[0].Limit.Burst = 0.5 }, warningHere, FindingContradiction, Place{ListCustomers, 0, FieldBurst, -1}},
		{"rate negative", func(ls *Listing) { ls.Customers[0].Limit.PerSecond = -1 }, errorHere, FindingBadRate, Place{ListCustomers, 0, FieldRate, -1}},
		{"burst negative", func(ls *Listing) { ls.Customers[0].Limit.Burst = -1 }, errorHere, FindingBadRate, Place{ListCustomers, 0, FieldBurst, -1}},
		{"timeout shorter than goal", func(ls *Listing) { ls.Routes[0].Timeout = 499 * time.Millisecond }, errorHere, FindingContradiction, Place{ListRoutes, 0, FieldTimeout, -1}},
		{"goal negative", func(ls *Listing) { ls.Routes[0].Goal = -1 }, warningHere, FindingIgnored, Place{ListRoutes, 0, FieldGoal, -1}},
		{"coverage above one", func(ls *Listing) { ls.Routes[0].MinCoverage = 1.01 }, errorHere, FindingInvalid, Place{ListRoutes, 0, FieldMinCoverage, -1}},
		{"coverage without shards", func(ls *Listing) { ls.Routes[1].MinCoverage = 0.5 }, warningHere, FindingIgnored, Place{ListRoutes, 1, FieldMinCoverage, -1}},
		{"no records", func(ls *Listing) { ls.Routes[0].TopK = 0 }, warningHere, FindingContradiction, Place{ListRoutes, 0, FieldTopK, -1}},
		{"many attempts", func(ls *Listing) { ls.Routes[1].MaxAttempts = 4 }, warningHere, FindingAttempts, Place{ListRoutes, 1, FieldMaxAttempts, -1}},
		{"attempts negative", func(ls *Listing) { ls.Routes[0].MaxAttempts = -1 }, warningHere, FindingIgnored, Place{ListRoutes, 0, FieldMaxAttempts, -1}},
		{"fewer connections than entry VMs", func(ls *Listing) { ls.Services[2].ConnectionLimit = 19 }, warningHere, FindingContradiction, Place{ListServices, 2, FieldConnectionLimit, -1}},
		{"too many connections", func(ls *Listing) { ls.Services[2].ConnectionLimit = maxConnectionLimit + 1 }, warningHere, FindingIgnored, Place{ListServices, 2, FieldConnectionLimit, -1}},
		{"connections negative", func(ls *Listing) { ls.Services[2].ConnectionLimit = -1 }, errorHere, FindingInvalid, Place{ListServices, 2, FieldConnectionLimit, -1}},
		{"warm-up negative", func(ls *Listing) { ls.Services[2].WarmUp = -1 }, errorHere, FindingIgnored, Place{ListServices, 2, FieldWarmUp, -1}},
		{"rate of cold servers negative", func(ls *Listing) { ls.Services[2].WarmUpRate = -1 }, errorHere, FindingIgnored, Place{ListServices, 2, FieldWarmUpRate, -1}},
		{"no header bytes", func(ls *Listing) { ls.Limits.HeaderBytes = 0 }, errorHere, FindingIgnored, Place{ListLimits, 0, FieldHeaderBytes, -1}},
		{"few header bytes", func(ls *Listing) { ls.Limits.HeaderBytes = minHeaderBytes - 1 }, warningHere, FindingSmallLimit, Place{ListLimits, 0, FieldHeaderBytes, -1}},
		{"body bytes negative", func(ls *Listing) { ls.Limits.BodyBytes = -5 }, errorHere, FindingIgnored, Place{ListLimits, 0, FieldBodyBytes, -1}},
		{"few body bytes", func(ls *Listing) { ls.Limits.BodyBytes = 1 }, warningHere, FindingSmallLimit, Place{ListLimits, 0, FieldBodyBytes, -1}},
		{"no header timeout", func(ls *Listing) { ls.Limits.HeaderTimeout = 0 }, errorHere, FindingIgnored, Place{ListLimits, 0, FieldHeaderTimeout, -1}},
		{"no idle timeout", func(ls *Listing) { ls.Limits.IdleTimeout = 0 }, errorHere, FindingIgnored, Place{ListLimits, 0, FieldIdleTimeout, -1}},
	}
	assert.Equal(t, len(newListing().Review(20)), 0, "%v", newListing().Review(20))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ls := newListing()
			tt.change(&ls)
			findings := ls.Review(20)
			assert.Equal(t, len(findings), 1, "%v", findings)
			got := findings[0]
			assert.Equal(t, got.Severity, tt.severity)
			assert.Equal(t, got.Code, tt.code)
			assert.Equal(t, got.Place, tt.place)
			assert.Assert(t, !strings.Contains(got.Message, "secret-"), "%s", got.Message)
		})
	}
}

// TestReviewOfShardsBelowCoverage guards against a minimum coverage that the listed shards
// can't reach, and against rounding errors of one that they reach exactly.
func TestReviewOfShardsBelowCoverage(t *testing.T) {
	tests := []struct {
		listed, shards int
		coverage       float64
		isError        bool
	}{
		{2, 3, 2.0 / 3, false},
		{2, 3, 0.67, true},
		{2, 3, 0, false},
		// The product is 14.000000000000002.
		{14, 25, 0.56, false},
		{13, 25, 0.56, true},
		{20, 20, 1, false},
	}
	for _, tt := range tests {
		ls := newListing()
		ls.Routes[0].Shards, ls.Routes[0].MinCoverage = nil, tt.coverage
		for i := range tt.shards {
			name := fmt.Sprintf("shard-%d", i)
			ls.Routes[0].Shards = append(ls.Routes[0].Shards, name)
			if i < tt.listed {
				ls.Services = append(ls.Services, Service{Name: name, ConnectionLimit: 20})
			}
		}
		isCoverage := func(fi Finding) bool { return fi.Place.Field == FieldMinCoverage }
		assert.Equal(t, slices.ContainsFunc(ls.Review(0), isCoverage), tt.isError, "%v", tt)
	}
}

// TestReviewChangesNothing guards against a review after which the listing is another one.
func TestReviewChangesNothing(t *testing.T) {
	ls := newListing()
	ls.Routes[0].Shards = []string{"s1", "s2", "s1", "s1"}
	ls.Review(20)
	assert.DeepEqual(t, ls.Routes[0].Shards, []string{"s1", "s2", "s1", "s1"})
}

// TestReviewSaysWhatNewTableSays guards against a listing that NewTable refuses and Review
// passes, or describes in other words.
func TestReviewSaysWhatNewTableSays(t *testing.T) {
	tests := []struct {
		name   string
		change func(ls *Listing)
	}{
		{"no name", func(ls *Listing) { ls.Routes[0].Name = "" }},
		{"no host", func(ls *Listing) { ls.Routes[0].Host = "" }},
		{"prefix without slash", func(ls *Listing) { ls.Routes[0].Prefix = "/find" }},
		{"no service", func(ls *Listing) { ls.Routes[1].Services = nil }},
		{"service and shards", func(ls *Listing) { ls.Routes[0].Services = ls.Routes[1].Services }},
		{"no timeout", func(ls *Listing) { ls.Routes[0].Timeout = 0 }},
		{"records negative", func(ls *Listing) { ls.Routes[0].TopK = -1 }},
		{"too many records", func(ls *Listing) { ls.Routes[0].TopK = maxTopK + 1 }},
		{"weights 0", func(ls *Listing) { ls.Routes[1].Services[0].Weight = 0 }},
		{"weight negative", func(ls *Listing) { ls.Routes[1].Services = []WeightedService{{"plans", 1}, {"s1", -1}} }},
		{"coverage above one", func(ls *Listing) { ls.Routes[0].MinCoverage = 1.5 }},
		{"coverage negative", func(ls *Listing) { ls.Routes[0].MinCoverage = -0.5 }},
		{"shards but not idempotent", func(ls *Listing) { ls.Routes[0].Idempotent = false }},
		{"connection limit negative", func(ls *Listing) { ls.Services[1].ConnectionLimit = -1 }},
		{"several", func(ls *Listing) { ls.Routes[2].Timeout, ls.Routes[2].Prefix, ls.Routes[1].Host = -1, "x", "" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ls := newListing()
			tt.change(&ls)
			findings := ls.Review(0)
			_, err := NewTable(1, ls.Routes, ls.Services, ls.Limits)
			assert.Assert(t, err != nil)
			isSame := func(fi Finding) bool { return fi.Severity == SeverityError && fi.Message == err.Error() }
			assert.Assert(t, slices.ContainsFunc(findings, isSame), "%v: %v", err, findings)
		})
	}
}
