package entry

import (
	"math"
	"time"

	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/contract"
)

// maxRate bounds the numbers in messages, so that sums stay finite.
const maxRate = 1e12

// finite returns a number between 0 and maxRate.
func finite(number float64) float64 {
	if !(number > 0) {
		return 0
	}
	return min(number, maxRate)
}

func encodeKey(key contract.RateKey) *entrypb.RateKey {
	return &entrypb.RateKey{Kind: uint32(key.Kind), Name: key.Name}
}

func decodeKey(key *entrypb.RateKey) contract.RateKey {
	return contract.RateKey{Kind: contract.RateKind(key.GetKind()), Name: key.GetName()}
}

func encodeDemand(demand *contract.RateDemand) *entrypb.RateDemand {
	return &entrypb.RateDemand{
		Key: encodeKey(demand.Key), PerSecond: demand.Rate.PerSecond, Burst: demand.Rate.Burst, Version: demand.Version,
		Wanted: uint32(min(demand.Wanted, math.MaxUint32)), Returned: uint64(demand.Returned), Advanced: uint64(demand.Advanced),
		AdvancedKnown: uint64(demand.AdvancedKnown),
	}
}

func decodeDemand(demand *entrypb.RateDemand) contract.RateDemand {
	count := func(number uint64) int64 { return int64(min(number, uint64(maxRate))) }
	return contract.RateDemand{
		Key: decodeKey(demand.GetKey()), Rate: contract.SharedRate{PerSecond: finite(demand.GetPerSecond()), Burst: finite(demand.GetBurst())},
		Version: demand.GetVersion(), Wanted: int64(demand.GetWanted()), Returned: count(demand.GetReturned()),
		Advanced: count(demand.GetAdvanced()), AdvancedKnown: count(demand.GetAdvancedKnown()),
	}
}

func encodeGrant(grant *contract.RateGrant) *entrypb.RateGrant {
	return &entrypb.RateGrant{
		Tokens: uint32(min(grant.Tokens, math.MaxUint32)), WaitMs: uint32((grant.Wait + time.Millisecond - 1) / time.Millisecond),
		Owner: grant.Owner, Pending: grant.Pending,
	}
}

func decodeGrant(grant *entrypb.RateGrant) contract.RateGrant {
	return contract.RateGrant{
		Tokens: int64(grant.GetTokens()), Wait: time.Duration(grant.GetWaitMs()) * time.Millisecond,
		Owner: grant.GetOwner(), Pending: grant.GetPending(),
	}
}

func encodeClaim(claim contract.RateClaim) *entrypb.RateClaim {
	return &entrypb.RateClaim{Key: encodeKey(claim.Key), PerSecond: claim.Rate.PerSecond, Burst: claim.Rate.Burst, Version: claim.Version}
}

func decodeClaim(claim *entrypb.RateClaim) contract.RateClaim {
	return contract.RateClaim{
		Key: decodeKey(claim.GetKey()), Rate: contract.SharedRate{PerSecond: finite(claim.GetPerSecond()), Burst: finite(claim.GetBurst())},
		Version: claim.GetVersion(),
	}
}

func encodeHandover(handover contract.RateHandover) *entrypb.RateHandover {
	return &entrypb.RateHandover{
		Done: handover.Done, Level: handover.Level, Leased: handover.Leased, Part: handover.Part, Owner: handover.Owner,
	}
}

func decodeHandover(handover *entrypb.RateHandover) contract.RateHandover {
	level := handover.GetLevel()
	if level >= 0 {
		level = finite(level)
	} else {
		level = -finite(-level)
	}
	return contract.RateHandover{
		Done: handover.GetDone(), Level: level, Leased: finite(handover.GetLeased()), Part: min(finite(handover.GetPart()), 1),
		Owner: handover.GetOwner(),
	}
}
