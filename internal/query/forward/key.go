package forward

import (
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/view"
)

// keysAndFleet returns the confirmation of the configuration and the fleet, in the order
// in which they must be read.
func (sv *Service) keysAndFleet() (view.AsOf, *view.Fleet) {
	asOf := view.AsOf(0)
	if sv.Freshness != nil {
		asOf = sv.Freshness.AsOf()
	}
	return asOf, sv.Fleets.Load()
}

// checksKeys reports whether the keys of requests are checked with a table and kept from
// servers.
func (sv *Service) checksKeys(tb *contract.Table) bool {
	return tb.HasCustomers() || sv.UsesCustomers != nil && sv.UsesCustomers()
}

// checkKey finds the customer of a request in a table, and returns a refusal if the
// request needs a key and has none that is valid, or has one that was withdrawn.
func (sv *Service) checkKey(rn *run, tb *contract.Table) *contract.Refusal {
	hasKey := rn.call.Key != (contract.KeyFingerprint{})
	switch {
	case rn.route.Open || !sv.checksKeys(tb):
		return nil
	case !hasKey && !tb.HasCustomers():
		return nil
	case !hasKey:
		return contract.NewRefusal(contract.Invalid, contract.CodeUnknownKey, "the request has no well-formed key")
	}
	age, bounds := rn.keysAsOf.Age(sv.SinceBoot()), sv.KeyBounds()
	if rf := staleKeys(age, bounds); rf != nil {
		return rf
	}
	rn.customer = tb.CustomerOf(rn.call.Key)
	switch {
	case rn.customer != nil:
		rn.record.Customer = rn.customer.Name
		return nil
	case !bounds.IsUnknown(age):
		return newStaleKeys(age, "the configuration may be too old to know the key")
	}
	return contract.NewRefusal(contract.Invalid, contract.CodeUnknownKey, "no customer has the key of the request")
}

// staleKeys returns a refusal if keys must not be accepted by a configuration of an age.
func staleKeys(age time.Duration, bounds view.KeyBounds) *contract.Refusal {
	if bounds.MayAccept(age) {
		return nil
	}
	return newStaleKeys(age, "the configuration may be too old to know that the key was withdrawn")
}

func newStaleKeys(age time.Duration, reason string) *contract.Refusal {
	if age == view.NeverConfirmed {
		return contract.NewRefusal(contract.NotRun, contract.CodeStaleKeys, "%s: the store never confirmed it", reason)
	}
	return contract.NewRefusal(contract.NotRun, contract.CodeStaleKeys, "%s: the store confirmed it %s ago", reason, age)
}

// recheckKey checks a request that was planned before with the table that is now in
// force. It returns a refusal if the request may no longer be sent. The run is shared by
// attempts and not changed.
func (sv *Service) recheckKey(rn *run) *contract.Refusal {
	asOf, fl := sv.keysAndFleet()
	tb := fl.Table
	if rn.customer == nil {
		if tb != rn.fleet.Table && tb.HasCustomers() && !rn.fleet.Table.HasCustomers() {
			// The request was planned without regard to keys.
			return contract.NewRefusal(contract.NotRun, contract.CodeStaleKeys, "the configuration got customers before the request was sent")
		}
		return nil
	}
	if cu := tb.CustomerOf(rn.call.Key); cu == nil || cu.Name != rn.customer.Name {
		return contract.NewRefusal(contract.NotRun, contract.CodeUnknownKey, "the key was withdrawn before the request was sent")
	}
	return staleKeys(asOf.Age(sv.SinceBoot()), sv.KeyBounds())
}

// maySend reports whether an attempt at a request may be sent at this moment.
func (sv *Service) maySend(rn *run) bool {
	return sv.recheckKey(rn) == nil
}
