package contract

import "sync/atomic"

const (
	// token is one extra send in the fixed-point count of a Budget.
	token = 10000
	// budgetBurst is the most tokens that a budget keeps.
	budgetBurst = 50 * token
	// budgetStart lets a new route hedge before it has earned anything.
	budgetStart = 2 * token
)

// Budget bounds extra sends to a share of the primary ones. Its methods may be
// called by any number of goroutines. Make one with NewBudget.
type Budget struct {
	// tokens is never negative.
	tokens atomic.Int64
}

// NewBudget returns a budget with its starting tokens.
func NewBudget() *Budget {
	bg := &Budget{}
	bg.tokens.Store(budgetStart)
	return bg
}

// Earn adds share tokens for each of the primary sends.
func (bg *Budget) Earn(sends int, share float64) {
	earned := int64(float64(sends) * share * token)
	if bg.tokens.Add(earned) > budgetBurst {
		bg.tokens.Store(budgetBurst)
	}
}

// TrySpend takes one token if there is one.
func (bg *Budget) TrySpend() bool {
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
