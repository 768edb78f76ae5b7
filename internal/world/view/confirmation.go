package view

import (
	"sync/atomic"
	"time"
)

// ConfirmationTTL is how long a view stays confirmed after the platform's state
// was last received.
const ConfirmationTTL = 5 * time.Second

// Confirmation records when a view was last known to match the platform's state.
// Its methods may be called by any number of goroutines.
type Confirmation struct {
	// asOf is the latest time at which the view matched the platform's state, in
	// Unix nanoseconds. It never decreases.
	asOf atomic.Int64
	// frozenUntil is until when the platform is assumed to accept no changes,
	// because peers, some of them in another zone, agree that it does not answer.
	// It is in Unix nanoseconds.
	frozenUntil atomic.Int64
}

// Confirm records that the view matched the platform's state at asOf. For an
// answer of the platform, asOf is when the request was sent.
func (cf *Confirmation) Confirm(asOf time.Time) {
	for {
		have := cf.asOf.Load()
		if asOf.UnixNano() <= have || cf.asOf.CompareAndSwap(have, asOf.UnixNano()) {
			return
		}
	}
}

// FreezeUntil records that the platform accepts no changes until a time.
func (cf *Confirmation) FreezeUntil(until time.Time) {
	cf.frozenUntil.Store(until.UnixNano())
}

// AsOf returns the latest time at which the view matched the platform's state, or
// the zero time if there was none.
func (cf *Confirmation) AsOf() time.Time {
	nanos := cf.asOf.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// IsConfirmedByPlatform reports whether the view matched the platform's state
// within the last ConfirmationTTL.
func (cf *Confirmation) IsConfirmedByPlatform(now time.Time) bool {
	return now.UnixNano()-cf.asOf.Load() <= int64(ConfirmationTTL)
}

// IsConfirmed reports whether the view is current: it matched the platform's state
// within the last ConfirmationTTL, or the platform accepts no changes.
func (cf *Confirmation) IsConfirmed(now time.Time) bool {
	return cf.IsConfirmedByPlatform(now) || now.UnixNano() < cf.frozenUntil.Load()
}
