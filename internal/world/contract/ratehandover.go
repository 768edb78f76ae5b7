package contract

import (
	"slices"
	"time"
)

// RateClaim asks the former owner of a key for its bucket.
type RateClaim struct {
	Key     RateKey
	Rate    SharedRate
	Version int64
}

// RateHandover is the answer to a claim.
type RateHandover struct {
	// Done is set if the sender of the claim is the owner now.
	Done bool
	// Level is the number of tokens in the bucket, Leased that in leases which may not
	// have ended, and Part the part of the rate that was granted.
	Level, Leased, Part float64
	// Owner names the owner as known to the receiver, if the claim must go there.
	Owner string
}

// PreviousOwner returns the VM that owned a key before this process, which may hold its
// bucket; empty if there is none or this process has a bucket.
func (ro *RateOwner) PreviousOwner(key RateKey) string {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	if len(ro.places) == 0 || ro.keys[key] != nil {
		return ""
	}
	for _, place := range slices.Backward(ro.places) {
		if owner := key.OwnerAmong(place.owners); owner != ro.self {
			return owner
		}
	}
	// This process has owned the key for as long as it knows. Before its start, the
	// owner was the next VM.
	return key.OwnerAmong(slices.DeleteFunc(slices.Clone(ro.owners()), func(vm string) bool { return vm == ro.self }))
}

// HandOver answers the claim of a VM that became the owner of a key. After it, this process
// grants no tokens of the key.
func (ro *RateOwner) HandOver(now time.Time, claimer string, claim RateClaim) RateHandover {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	if !ro.isCurrent(now) {
		return RateHandover{}
	}
	if handed, ok := ro.handed[claim.Key]; ok && handed.owner != claimer {
		return RateHandover{Owner: handed.owner}
	}
	others := slices.DeleteFunc(slices.Clone(ro.owners()), func(vm string) bool { return vm == claimer })
	if claim.Key.OwnerAmong(append(slices.Clone(others), claimer)) != claimer {
		return RateHandover{Owner: claim.Key.OwnerAmong(others)}
	}
	owned := ro.bucketFor(now, claimer, claim)
	if owned == nil {
		owner := claim.Key.OwnerAmong(others)
		switch {
		case owner != ro.self:
			return RateHandover{Owner: owner}
		case ro.isReady && len(ro.placesBefore(claimer)) == 0:
			// The claimer has owned the key for as long as this process knows: it was
			// restarted or stood still, and what it granted before is not known. No
			// other VM grants, so that it may go on with an empty bucket.
			return RateHandover{Done: true, Part: ro.part}
		}
		return RateHandover{}
	}
	ro.fill(now, claim.Key, owned)
	delete(ro.keys, claim.Key)
	ro.handed[claim.Key] = handedRate{claimer, now}
	return RateHandover{Done: true, Level: owned.level, Leased: owned.outstanding(now), Part: owned.part}
}

// bucketFor returns the bucket that a claim is about, nil if this process has none: it was
// not the owner before the claimer, or may not grant yet.
func (ro *RateOwner) bucketFor(now time.Time, claimer string, claim RateClaim) *ownedRate {
	if owned := ro.keys[claim.Key]; owned != nil {
		return owned
	}
	places := ro.placesBefore(claimer)
	if count := len(ro.places); count > 1 && !slices.Contains(ro.owners(), ro.self) && now.Sub(ro.places[count-1].at) < releasedFor {
		// A VM that is leaving is no owner any more, and was one until the last change.
		places = ro.places[:count-1]
	}
	return ro.bucketOf(now, claim.Key, claim.Rate, places)
}

// placesBefore returns the sets of owners before a VM last became one of them.
func (ro *RateOwner) placesBefore(claimer string) []ownerPlace {
	places := ro.places
	for len(places) > 0 && slices.Contains(places[len(places)-1].owners, claimer) {
		places = places[:len(places)-1]
	}
	return places
}

// Accept takes over a bucket that was claimed.
func (ro *RateOwner) Accept(now time.Time, claim RateClaim, handover RateHandover) {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	if !handover.Done || ro.keys[claim.Key] != nil || !ro.isCurrent(now) {
		return
	}
	part := ro.part
	if !ro.isReady {
		// This process does not know its own part yet.
		part = handover.Part
	}
	owned := &ownedRate{
		rate: claim.Rate, version: claim.Version, level: handover.Level, filledAt: now, usedAt: now,
		part: part, senders: map[string]*rateSender{},
	}
	owned.advance(now)
	owned.grants[owned.step%(leaseSteps+1)] = handover.Leased
	ro.keys[claim.Key] = owned
	delete(ro.handed, claim.Key)
}
