package forward

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// Budgets holds the budget of each service. Make one with NewBudgets.
type Budgets struct {
	// share is this process's part of the allowance of all entry VMs.
	share atomic.Pointer[contract.Allowance]
	// services maps names to *contract.ServiceBudget.
	services sync.Map
	// startedAt is when this process began to count.
	startedAt time.Time
}

// NewBudgets returns budgets for a process that shares an allowance with a
// number of entry VMs, this one included.
func NewBudgets(now time.Time, whole contract.Allowance, entryVMs int) *Budgets {
	bg := &Budgets{startedAt: now}
	bg.SetShare(whole, entryVMs)
	return bg
}

// SetShare sets the process's part of an allowance.
func (bg *Budgets) SetShare(whole contract.Allowance, entryVMs int) {
	share := whole.Share(entryVMs)
	bg.share.Store(&share)
}

// Of returns the budget of a service.
func (bg *Budgets) Of(service string) *contract.ServiceBudget {
	if value, ok := bg.services.Load(service); ok {
		return value.(*contract.ServiceBudget)
	}
	value, _ := bg.services.LoadOrStore(service, contract.NewServiceBudget(bg.startedAt, &bg.share))
	return value.(*contract.ServiceBudget)
}

// InUse reports whether requests for a service came in the last window.
func (bg *Budgets) InUse(now time.Time, service string) bool {
	value, ok := bg.services.Load(service)
	return ok && value.(*contract.ServiceBudget).IsUsed(now)
}

// Refused counts the extra sends that were not allowed.
func (bg *Budgets) Refused() int64 {
	refused := int64(0)
	bg.services.Range(func(_, value any) bool {
		refused += value.(*contract.ServiceBudget).Refused.Load()
		return true
	})
	return refused
}

func asRefusal(err error) *contract.Refusal {
	if refusal := (*contract.Refusal)(nil); errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
