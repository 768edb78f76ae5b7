package forward

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/view"
)

// TestRouteThatOldConfigurationLacksIsNotDenied guards against a caller that is told that there
// is no such route, by a VM whose configuration may be older than the route.
func TestRouteThatOldConfigurationLacksIsNotDenied(t *testing.T) {
	const applyWithin = 3 * time.Second
	const never = view.NeverConfirmed
	tests := []struct {
		name string
		// age is that of the configuration's own confirmation, all that of the confirmation of
		// all objects.
		age, all time.Duration
		code     contract.Code
	}{
		{"confirmed now", 0, never, contract.CodeNoRoute},
		{"confirmed 2.9 s ago", 2900 * time.Millisecond, never, contract.CodeNoRoute},
		{"confirmed 3 s ago", applyWithin, applyWithin, contract.CodeStaleRoutes},
		{"confirmed an hour ago", time.Hour, never, contract.CodeStaleRoutes},
		{"never confirmed", never, never, contract.CodeStaleRoutes},
		{"all confirmed now", applyWithin, 0, contract.CodeNoRoute},
		{"all confirmed 3 s ago", never, applyWithin, contract.CodeStaleRoutes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sv, ro := newService(t, &fakeEngine{})
			sv.KeyBounds = func() view.KeyBounds { return view.KeyBounds{ApplyWithin: applyWithin} }
			if tt.age < view.NeverConfirmed {
				sv.Freshness.ConfirmByStore(bootTime-tt.age, 1, 1)
			}
			now := time.Now()
			sv.ConfirmedAt = func() time.Time { return now.Add(-tt.all) }
			_, err := sv.Run(t.Context(), now, newCall("/added/1", time.Second))
			refusal := (*contract.Refusal)(nil)
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Code, tt.code)
			assert.Equal(t, refusal.Outcome == contract.NotRun, tt.code == contract.CodeStaleRoutes)
			assert.Equal(t, refusal.RetryAfter > 0, tt.code == contract.CodeStaleRoutes)
			assert.Equal(t, ro.all[0].Code, tt.code)
		})
	}
}

// TestBodyTime guards against a body that holds memory for longer than anybody waits, or is
// given up before.
func TestBodyTime(t *testing.T) {
	tests := []struct {
		name, path              string
		timeout, deadline, want time.Duration
	}{
		{"timeout of the route", "/save/1", 15 * time.Second, 0, 15 * time.Second},
		{"deadline of the caller", "/save/1", 15 * time.Second, 12 * time.Second, 12 * time.Second},
		{"longer deadline", "/save/1", 2 * time.Second, time.Hour, 2 * time.Second},
		{"hours", "/save/1", time.Hour, time.Hour, time.Minute},
		{"no route", "/other", time.Hour, 0, 10 * time.Second},
		{"no route, deadline", "/other", time.Hour, time.Second, time.Second},
	}
	for _, tt := range tests {
		sv, _ := newService(t, &fakeEngine{})
		sv.Fleets.Load().Table.Match("plans.example", "/save/1").Timeout = tt.timeout
		cl := newCall(tt.path, tt.deadline)
		assert.Equal(t, sv.BodyTime(&cl), tt.want, tt.name)
	}
	sv, _ := newService(t, &fakeEngine{})
	sv.Fleets.Update(func(view.Fleet) view.Fleet { return view.Fleet{} })
	cl := newCall("/save/1", 0)
	assert.Equal(t, sv.BodyTime(&cl), 10*time.Second, "no configuration")
}
