package contract

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newRoute(name, host, prefix string) *ForwardRoute {
	return &ForwardRoute{
		Name: name, Host: host, Prefix: prefix, Idempotent: true, Timeout: time.Second, MaxAttempts: 2,
		Services: []WeightedService{{Service: "plans", Weight: 1}},
	}
}

func TestMatchReturnsLongestPrefix(t *testing.T) {
	tb, err := NewTable(3, []*ForwardRoute{
		newRoute("root", "a.example", "/"),
		newRoute("find", "a.example", "/find/"),
		newRoute("deep", "a.example", "/find/deep/"),
		newRoute("other", "b.example", "/x/"),
	}, nil, CallerLimits{}.Defaults())
	assert.NilError(t, err)
	tests := []struct{ host, path, want string }{
		{"a.example", "/find/1", "find"},
		{"a.example", "/find/deep/1", "deep"},
		{"a.example:8226", "/find/deep", "find"},
		{"A.Example", "/other", "root"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/find/1", ""},
		{"c.example", "/find/1", ""},
		{"", "/find/1", ""},
	}
	for _, tt := range tests {
		got := ""
		if fr := tb.Match(tt.host, tt.path); fr != nil {
			got = fr.Name
		}
		assert.Equal(t, got, tt.want, "%s%s", tt.host, tt.path)
	}
}

func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	tests := []struct {
		name   string
		change func(fr *ForwardRoute)
	}{
		{"no host", func(fr *ForwardRoute) { fr.Host = "" }},
		{"prefix without slash", func(fr *ForwardRoute) { fr.Prefix = "/find" }},
		{"no service", func(fr *ForwardRoute) { fr.Services = nil }},
		{"service and shards", func(fr *ForwardRoute) { fr.Shards = []string{"s"} }},
		{"no timeout", func(fr *ForwardRoute) { fr.Timeout = 0 }},
		{"coverage above one", func(fr *ForwardRoute) { fr.MinCoverage = 1.5 }},
		{"shards but not idempotent", func(fr *ForwardRoute) { fr.Services, fr.Shards, fr.Idempotent = nil, []string{"s"}, false }},
	}
	for _, tt := range tests {
		fr := newRoute("find", "a.example", "/find/")
		tt.change(fr)
		_, err := NewTable(1, []*ForwardRoute{fr}, nil, CallerLimits{}.Defaults())
		assert.Assert(t, err != nil, tt.name)
	}
}
