package contract

import (
	"sync/atomic"
	"time"
)

const (
	// tokenUnit is one token in fixed point; a token allows one extra send.
	tokenUnit = 10000
	// maxTokens is the most tokens that a budget accumulates.
	maxTokens = 50 * tokenUnit
	// initialTokens lets a new route hedge before it has earned tokens.
	initialTokens = 2 * tokenUnit
)

// Budget is a token bucket that limits extra sends, such as hedges and retries, to
// a share of the primary sends plus a constant rate. Its methods may be called by
// any number of goroutines. Make one with NewBudget.
type Budget struct {
	// PerSecond is the number of tokens added each second, whatever the traffic.
	// It does not change.
	PerSecond int64
	// tokens is in units of 1/tokenUnit and never negative.
	tokens atomic.Int64
	// accruedAt is the time up to which the tokens of PerSecond were added, in
	// Unix nanoseconds.
	accruedAt atomic.Int64
}

// NewBudget returns a budget that gains perSecond tokens a second. It starts with
// the tokens of one second, and with no fewer than initialTokens.
func NewBudget(perSecond int64) *Budget {
	bg := &Budget{PerSecond: perSecond}
	bg.tokens.Store(max(initialTokens, perSecond*tokenUnit))
	return bg
}

// accrue adds the tokens of PerSecond for the time since the last call, at most
// for one second.
func (bg *Budget) accrue(now time.Time) {
	last := bg.accruedAt.Load()
	elapsed := min(now.UnixNano()-last, int64(time.Second))
	earned := elapsed * bg.PerSecond / int64(time.Second/tokenUnit)
	if earned <= 0 || !bg.accruedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	bg.add(earned)
}

func (bg *Budget) add(earned int64) {
	for {
		have := bg.tokens.Load()
		if bg.tokens.CompareAndSwap(have, min(have+earned, maxTokens)) {
			return
		}
	}
}

// Earn adds share tokens for each of the primary sends.
func (bg *Budget) Earn(sends int, share float64) {
	bg.add(int64(float64(sends) * share * tokenUnit))
}

// TrySpend takes one token and reports whether there was one.
func (bg *Budget) TrySpend(now time.Time) bool {
	bg.accrue(now)
	for {
		have := bg.tokens.Load()
		if have < tokenUnit {
			return false
		}
		if bg.tokens.CompareAndSwap(have, have-tokenUnit) {
			return true
		}
	}
}

// Tokens returns the number of tokens left.
func (bg *Budget) Tokens() float64 {
	return float64(bg.tokens.Load()) / tokenUnit
}
