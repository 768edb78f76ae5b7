package forward

import (
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// unknownKeyPercent is the age of the configuration, in percent of ApplyWithin, up to
// which an unknown key is refused as unknown. Callers use a key from ApplyWithin after its
// configuration was acknowledged on, so that a younger configuration has it; the rest is
// for the drift of clocks.
const unknownKeyPercent = 90

// checkKey finds the customer of a request in a table, and returns a refusal if the
// request needs a key and has none that is valid.
func (sv *Service) checkKey(rn *run, tb *contract.Table) *contract.Refusal {
	if !tb.HasCustomers() || rn.route.Open {
		return nil
	}
	if rn.call.Key == (contract.KeyFingerprint{}) {
		return contract.NewRefusal(contract.Invalid, contract.CodeUnknownKey, "the request has no well-formed key")
	}
	rn.customer = tb.CustomerOf(rn.call.Key)
	if rn.customer == nil {
		return sv.unknownKey(rn.record.Age)
	}
	return nil
}

// unknownKey returns the refusal of a request whose key the configuration lacks. Unless
// the configuration was confirmed recently, it may lack the key because it is out of date.
func (sv *Service) unknownKey(age time.Duration) *contract.Refusal {
	if sv.ApplyWithin != nil && age > sv.ApplyWithin()*unknownKeyPercent/100 {
		return contract.NewRefusal(contract.NotRun, contract.CodeStaleKeys,
			"the key is unknown, but the configuration was last confirmed %s ago", age)
	}
	return contract.NewRefusal(contract.Invalid, contract.CodeUnknownKey, "no customer has the key of the request")
}

// recheckKey checks a request that was planned before with the table that is now in
// force. It returns a refusal if the request may no longer be sent. The run is shared by
// attempts and not changed.
func (sv *Service) recheckKey(rn *run) *contract.Refusal {
	tb := sv.Fleets.Load().Table
	if tb == nil || tb == rn.fleet.Table {
		return nil
	}
	switch {
	case rn.customer != nil && tb.HasCustomers():
		if cu := tb.CustomerOf(rn.call.Key); cu == nil || cu.Name != rn.customer.Name {
			return contract.NewRefusal(contract.NotRun, contract.CodeUnknownKey, "the key was withdrawn before the request was sent")
		}
	case rn.customer == nil && tb.HasCustomers() && !rn.fleet.Table.HasCustomers():
		// The request was planned without regard to keys.
		return contract.NewRefusal(contract.NotRun, contract.CodeStaleKeys, "the configuration got customers before the request was sent")
	}
	return nil
}

// maySend reports whether an attempt at a request may be sent at this moment.
func (sv *Service) maySend(rn *run) bool {
	return sv.recheckKey(rn) == nil
}
