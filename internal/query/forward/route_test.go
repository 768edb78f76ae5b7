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
	tests := []struct {
		name string
		age  time.Duration
		code contract.Code
	}{
		{"confirmed now", 0, contract.CodeNoRoute},
		{"confirmed 2.9 s ago", 2900 * time.Millisecond, contract.CodeNoRoute},
		{"confirmed 3 s ago", applyWithin, contract.CodeStaleRoutes},
		{"confirmed an hour ago", time.Hour, contract.CodeStaleRoutes},
		{"never confirmed", view.NeverConfirmed, contract.CodeStaleRoutes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sv, ro := newService(t, &fakeEngine{})
			sv.KeyBounds = func() view.KeyBounds { return view.KeyBounds{ApplyWithin: applyWithin} }
			if tt.age < view.NeverConfirmed {
				sv.Freshness.ConfirmByStore(bootTime-tt.age, 1, 1)
			}
			_, err := sv.Run(t.Context(), time.Now(), newCall("/added/1", time.Second))
			refusal := (*contract.Refusal)(nil)
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Code, tt.code)
			assert.Equal(t, refusal.Outcome == contract.NotRun, tt.code == contract.CodeStaleRoutes)
			assert.Equal(t, refusal.RetryAfter > 0, tt.code == contract.CodeStaleRoutes)
			assert.Equal(t, ro.all[0].Code, tt.code)
		})
	}
}
