package contract

import (
	"sync/atomic"
	"time"
)

const (
	// token is one extra send in the fixed-point count of a Budget.
	token = 10000
	// budgetBurst is the most tokens that a budget keeps.
	budgetBurst = 50 * token
	// budgetStart lets a new route hedge before it has earned anything.
	budgetStart = 2 * token
)

// Budget bounds extra sends to a share of the primary ones and a small rate. Its
// methods may be called by any number of goroutines. Make one with NewBudget.
type Budget struct {
	// PerSecond is the number of tokens that are earned in any case. It does
	// not change.
	PerSecond int64
	// tokens is never negative.
	tokens atomic.Int64
	// paidAt is the time up to which PerSecond was paid out, in Unix
	// nanoseconds.
	paidAt atomic.Int64
}

// NewBudget returns a budget with its starting tokens.
func NewBudget(perSecond int64) *Budget {
	bg := &Budget{PerSecond: perSecond}
	bg.tokens.Store(max(budgetStart, perSecond*token))
	return bg
}

// pay adds the tokens of the time since the last payment.
func (bg *Budget) pay(now time.Time) {
	paid := bg.paidAt.Load()
	elapsed := min(now.UnixNano()-paid, int64(time.Second))
	earned := elapsed * bg.PerSecond / int64(time.Second/token)
	if earned <= 0 || !bg.paidAt.CompareAndSwap(paid, now.UnixNano()) {
		return
	}
	bg.add(earned)
}

func (bg *Budget) add(earned int64) {
	if bg.tokens.Add(earned) > budgetBurst {
		bg.tokens.Store(budgetBurst)
	}
}

// Earn adds share tokens for each of the primary sends.
func (bg *Budget) Earn(sends int, share float64) {
	bg.add(int64(float64(sends) * share * token))
}

// TrySpend takes one token if there is one.
func (bg *Budget) TrySpend(now time.Time) bool {
	bg.pay(now)
	for {
		have := bg.tokens.Load()
		if have < token {
			return false
		}
		if bg.tokens.CompareAndSwap(have, have-token) {
			return true
		}
	}
}

// Tokens returns how many extra sends the budget allows now.
func (bg *Budget) Tokens() float64 {
	return float64(bg.tokens.Load()) / token
}
