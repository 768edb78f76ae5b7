package forward

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// Budgets holds the retry and hedge budget of each service. Make one with
// NewBudgets.
type Budgets struct {
	// share is this process's share of the budget of all entry VMs.
	share atomic.Pointer[contract.RetryBudget]
	// services maps service names to *contract.ServiceBudget.
	services sync.Map
	// counts holds the numbers of entry VMs that shared the budget in the last window,
	// oldest first. Only SetShare uses it.
	counts []vmCount
	// startedAt is when this process began to count requests.
	startedAt time.Time
}

// NewBudgets returns the budgets of this process, with its share of the total
// budget for a number of entry VMs, this one included.
func NewBudgets(now time.Time, total contract.RetryBudget, entryVMs int) *Budgets {
	bg := &Budgets{startedAt: now}
	bg.SetShare(now, total, entryVMs)
	return bg
}

// vmCount is a number of entry VMs and when it was last counted.
type vmCount struct {
	entryVMs int
	at       time.Time
}

// SetShare recomputes this process's share of the total budget for a number of entry VMs,
// this one included. The share of an entry VM that is lost falls to the others after a
// window: until then, its last sends count as well. SetShare is called by one goroutine.
func (bg *Budgets) SetShare(now time.Time, total contract.RetryBudget, entryVMs int) {
	bg.counts = slices.DeleteFunc(bg.counts, func(vc vmCount) bool { return vc.entryVMs == entryVMs || now.Sub(vc.at) > total.Window })
	bg.counts = append(bg.counts, vmCount{entryVMs, now})
	most := slices.MaxFunc(bg.counts, func(a, b vmCount) int { return cmp.Compare(a.entryVMs, b.entryVMs) })
	share := total.Share(most.entryVMs)
	bg.share.Store(&share)
}

// ForService returns the budget of a service, and creates it on first use.
func (bg *Budgets) ForService(service string) *contract.ServiceBudget {
	if value, ok := bg.services.Load(service); ok {
		return value.(*contract.ServiceBudget)
	}
	value, _ := bg.services.LoadOrStore(service, contract.NewServiceBudget(bg.startedAt, &bg.share))
	return value.(*contract.ServiceBudget)
}

// InUse reports whether the service had requests within the last budget window.
func (bg *Budgets) InUse(now time.Time, service string) bool {
	value, ok := bg.services.Load(service)
	return ok && value.(*contract.ServiceBudget).HasRecentRequests(now)
}

// DeniedCount returns the number of hedges and retries that the budgets denied.
func (bg *Budgets) DeniedCount() int64 {
	denied := int64(0)
	bg.services.Range(func(_, value any) bool {
		denied += value.(*contract.ServiceBudget).Denied.Load()
		return true
	})
	return denied
}

// asRefusal returns the *contract.Refusal in the chain of err, nil if there is
// none.
func asRefusal(err error) *contract.Refusal {
	if refusal := (*contract.Refusal)(nil); errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
