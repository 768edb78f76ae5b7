package admit

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

func newRequest(now time.Time, parts int64) Request {
	return Request{
		Team: "gaisma", Class: contract.Urgent, Deadline: now.Add(time.Minute), Parts: parts,
		Limits: contract.Limits{Weight: 1, MaxInFlight: 1000, MaxQueued: 1000},
	}
}

// TestCanceledWaitersRace cancels requests at the moment in which they are
// admitted, so that their tickets are released while the gate still admits. The
// race detector watches.
func TestCanceledWaitersRace(t *testing.T) {
	gt, end := New()
	defer end()
	gt.SetCapacity(time.Now(), 1)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 200 {
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(20*time.Microsecond, cancel)
				now := time.Now()
				if tk, err := gt.Acquire(ctx, now, newRequest(now, 1)); err == nil {
					tk.ReleasePart(time.Now())
					tk.Release(time.Now(), true)
				}
				cancel()
			}
		})
	}
	all.Wait()
	assert.Equal(t, gt.State().InFlight, int64(0))
}

func TestCallerThatLeftIsNoMissedDeadline(t *testing.T) {
	gt, end := New()
	defer end()
	gt.SetCapacity(time.Now(), 1)
	now := time.Now()
	_, err := gt.Acquire(t.Context(), now, newRequest(now, 1))
	assert.NilError(t, err)
	codeOf := func(ctx context.Context, rq Request) contract.Code {
		_, err := gt.Acquire(ctx, time.Now(), rq)
		refusal := (*contract.Refusal)(nil)
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Outcome, contract.NotRun)
		return refusal.Code
	}
	left, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	assert.Equal(t, codeOf(left, newRequest(now, 1)), contract.CodeCallerGone)
	late := newRequest(now, 1)
	late.Deadline = time.Now().Add(10 * time.Millisecond)
	assert.Equal(t, codeOf(t.Context(), late), contract.CodeDeadlineHopeless)
}

// TestRenewedTicketHoldsAllParts releases the parts of a request, starts it anew
// and releases them again, as a request does that restarts on another snapshot.
func TestRenewedTicketHoldsAllParts(t *testing.T) {
	gt, end := New()
	defer end()
	now := time.Now()
	tk, err := gt.Acquire(t.Context(), now, newRequest(now, 5))
	assert.NilError(t, err)
	for range 4 {
		tk.ReleasePart(now)
	}
	assert.Equal(t, gt.State().InFlight, int64(1))
	tk.Renew()
	assert.Equal(t, gt.State().InFlight, int64(5))
	for range 5 {
		tk.ReleasePart(now)
	}
	tk.Release(now, true)
	assert.Equal(t, gt.State().InFlight, int64(0))
}
