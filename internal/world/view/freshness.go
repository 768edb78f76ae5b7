package view

import (
	"math"
	"sync/atomic"
	"time"
)

// NeverConfirmed is the age of a configuration that the store never confirmed.
const NeverConfirmed = time.Duration(math.MaxInt64)

// Freshness records as of when the configuration in force is known to have been the
// newest one in the store. Its times are readings of a clock that counts suspensions and
// never jumps, as time since the VM was booted. The zero value was never confirmed.
//
// A configuration must be in force before it is confirmed, and a reader must read the
// confirmation before the configuration in force. Then the configuration that it reads is
// at least as new as the confirmed one.
//
// Its methods may be called by any number of goroutines.
type Freshness struct {
	// confirmed and relayed are one more than the latest confirmation from any source,
	// and from a peer, in nanoseconds since the boot; 0 if there was none. They never
	// decrease.
	confirmed, relayed atomic.Int64
}

// ConfirmByStore records that the store answered a call of this VM that was sent at
// sentAt, and that all it told is in force. answered is the store's version in the answer,
// known the highest version of a configuration that this VM knew when it sent the call: an
// answer from before that is the one of a store that lags behind.
func (fr *Freshness) ConfirmByStore(sentAt time.Duration, answered, known int64) {
	if answered >= known {
		raise(&fr.confirmed, sentAt)
	}
}

// ConfirmByPeer records that a peer replied to a call of this VM that was sent at sentAt:
// its configuration has the version theirs and was confirmed for an age before the reply.
// own is the version in force here, read after the reply. Only the age tells how recent
// the confirmation is, so that a copy never renews it: the reply was made after sentAt.
func (fr *Freshness) ConfirmByPeer(sentAt time.Duration, own, theirs int64, age time.Duration) {
	if theirs < 1 || own < theirs || age < 0 || age > sentAt {
		return
	}
	raise(&fr.confirmed, sentAt-age)
	raise(&fr.relayed, sentAt-age)
}

// raise raises a confirmation to a time, unless it is later.
func raise(confirmed *atomic.Int64, asOf time.Duration) {
	for {
		have := confirmed.Load()
		if int64(asOf) < have || confirmed.CompareAndSwap(have, int64(asOf)+1) {
			return
		}
	}
}

// AsOf is a confirmation read from a Freshness.
type AsOf int64

// AsOf returns the latest confirmation.
func (fr *Freshness) AsOf() AsOf {
	return AsOf(fr.confirmed.Load())
}

// Relayed returns the latest confirmation by a peer.
func (fr *Freshness) Relayed() AsOf {
	return AsOf(fr.relayed.Load())
}

// Age returns the age of the confirmation; NeverConfirmed if there is none.
func (ao AsOf) Age(now time.Duration) time.Duration {
	if ao == 0 {
		return NeverConfirmed
	}
	return max(now-time.Duration(ao-1), 0)
}

const (
	// refuseKeysPercent is the age of the configuration, in percent of RevokeWithin, up to
	// which keys are accepted. Up to 60 percent, refused requests count as lost to their
	// callers. The rest is for requests in flight: sent data that is not acknowledged
	// within 0.6 s breaks its connection.
	refuseKeysPercent = 70
	// unknownPercent is the age of the configuration, in percent of ApplyWithin, up to
	// which an unknown key or route is refused as unknown. Callers use one from ApplyWithin
	// after its configuration was acknowledged on, so that a younger configuration has it;
	// the rest is for the drift of clocks.
	unknownPercent = 98
)

// KeyBounds are the times within which a change of customers' keys and of routes must take
// effect.
type KeyBounds struct {
	// ApplyWithin is the time after which callers use added keys and routes.
	ApplyWithin time.Duration
	// RevokeWithin is the time after which no request with a withdrawn key may run; 0 if
	// keys are accepted whatever the age of the configuration.
	RevokeWithin time.Duration
}

// MayAccept reports whether keys may be accepted by a configuration of an age.
func (kb KeyBounds) MayAccept(age time.Duration) bool {
	return kb.RevokeWithin == 0 || age <= kb.RevokeWithin*refuseKeysPercent/100
}

// IsUnknown reports whether a key or route that a configuration of an age lacks is certainly
// unknown.
func (kb KeyBounds) IsUnknown(age time.Duration) bool {
	return age <= kb.ApplyWithin*unknownPercent/100
}
