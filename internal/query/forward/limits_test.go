package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

// TestLimitOfCustomer guards against a request that is refused although the owner has a
// token, that is admitted without one, and against a refusal without a time to return.
func TestLimitOfCustomer(t *testing.T) {
	now := time.Unix(1000, 0)
	limited := &contract.Customer{Name: "a", Limit: contract.SharedRate{PerSecond: 2, Burst: 4}}
	for _, tt := range []struct {
		name     string
		customer *contract.Customer
		hasToken bool
		refused  bool
	}{
		{"no customer", nil, false, false},
		{"no limit", &contract.Customer{Name: "b"}, false, false},
		{"the owner has a token", limited, true, false},
		{"the owner has none", limited, false, true},
	} {
		counted := 0
		sv := &Service{Limits: &Limits{
			Share: contract.NewRateShare(contract.RateBounds{}), Now: func() time.Time { return now },
			Await:     func(context.Context, contract.RateKey, contract.SharedRate) bool { return tt.hasToken },
			OnRefused: func(time.Time, *contract.Customer) { counted++ },
		}}
		rf := sv.takeFromLimit(t.Context(), tt.customer)
		assert.Equal(t, rf != nil, tt.refused, tt.name)
		if rf != nil {
			assert.Equal(t, rf.Outcome, contract.NotRun)
			assert.Equal(t, rf.Code, contract.CodeOverLimit)
			assert.Assert(t, rf.RetryAfter > 0)
			assert.Equal(t, counted, 1)
		}
		sv.returnToLimit(tt.customer)
	}
	assert.Assert(t, (&Service{}).takeFromLimit(t.Context(), limited) == nil)
}
