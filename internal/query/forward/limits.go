package forward

import (
	"context"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// Limits holds customers to their rates, which all entry VMs share.
type Limits struct {
	Share *contract.RateShare
	// Now reads the clock of Share, which counts the time for which the VM is suspended.
	Now func() time.Time
	// Await waits for a token that the owner of the rate may have, and reports whether
	// it took one; it may be nil.
	Await func(ctx context.Context, key contract.RateKey, rate contract.SharedRate) bool
	// OnRefused is called for each refusal; it may be nil.
	OnRefused func(now time.Time, customer *contract.Customer)
}

// limitKey returns the key of a customer's rate.
func limitKey(customer *contract.Customer) contract.RateKey {
	return contract.RateKey{Kind: contract.RateOfCustomer, Name: customer.Name}
}

// takeFromLimit counts a request of a customer, and returns a refusal if the customer's
// limit has no room for it. The customer may be nil. It waits for a round trip if only the
// owner of the rate knows.
func (sv *Service) takeFromLimit(ctx context.Context, customer *contract.Customer) *contract.Refusal {
	if customer == nil || sv.Limits == nil || customer.Limit.IsUnlimited() {
		return nil
	}
	lm, key := sv.Limits, limitKey(customer)
	if lm.Share.TryTake(lm.Now(), key, customer.Limit) {
		return nil
	}
	if lm.Await != nil && lm.Await(ctx, key, customer.Limit) {
		return nil
	}
	now := lm.Now()
	rf := contract.NewRefusal(contract.NotRun, contract.CodeOverLimit, "the customer sent more than its limit of %g a second with a burst of %g",
		customer.Limit.PerSecond, customer.Limit.Burst)
	rf.RetryAfter = lm.Share.RetryAfter(now, key)
	if lm.OnRefused != nil {
		lm.OnRefused(now, customer)
	}
	return rf
}

// returnToLimit gives the token of a request back that takeFromLimit counted and that did
// not run. The customer may be nil.
func (sv *Service) returnToLimit(customer *contract.Customer) {
	if customer == nil || sv.Limits == nil || customer.Limit.IsUnlimited() {
		return
	}
	sv.Limits.Share.Return(sv.Limits.Now(), limitKey(customer))
}
