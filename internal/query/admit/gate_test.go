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

// TestDemandDecidesWhoIsHeldToTheShare guards against a flood that takes the capacity
// from other teams, and against delays of a team whose requests overlap by chance: of
// two teams with the same parts in flight, only the one with a queue has to wait.
func TestDemandDecidesWhoIsHeldToTheShare(t *testing.T) {
	const capacity, parts = 96, 30
	tests := []struct {
		name string
		// held is the mean number of parts in flight in the last second, queued the
		// number of waiting requests.
		held, queued int64
		// others is whether another team is active.
		others bool
		// want is whether a second request is admitted, wantLater whether it is after a
		// second without any demand.
		want, wantLater bool
	}{
		{"an idle team", 0, 0, true, true, true},
		{"below the share", 25, 0, true, true, true},
		{"above the share", 60, 0, true, false, true},
		{"a queue", 16, 20, true, false, true},
		{"a long queue", 16, 1000, true, false, true},
		{"a long queue of the only team", 16, 1000, false, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gt, end := New()
			defer end()
			now := time.Unix(1_000_000, 0)
			gt.SetCapacity(now, capacity)
			tm := gt.teamFor(now, "gaisma")
			if tt.others {
				gt.teamFor(now, "flood")
			}
			pass := func(held, queued int64) {
				for range 5 {
					now = now.Add(demandWindow / 5)
					tm.heldNanos.Add(held * int64(demandWindow/5))
					tm.queuedParts.Store(queued * parts)
					gt.SetCapacity(now, capacity)
				}
			}
			pass(tt.held, tt.queued)
			tk, err := gt.Acquire(t.Context(), now, newRequest(now, parts))
			assert.NilError(t, err)
			second := &Ticket{gate: gt, team: tm, class: contract.Urgent, parts: parts, maxInFlight: 1000}
			assert.Equal(t, gt.mayAdmit(second), tt.want)
			pass(0, 0)
			assert.Equal(t, gt.mayAdmit(second), tt.wantLater)
			tk.Release(now, true)
		})
	}
}

// TestEndedPartsAreDemand guards against parts that are not counted as demand: those
// that answer one by one, and those that end with their request.
func TestEndedPartsAreDemand(t *testing.T) {
	gt, end := New()
	defer end()
	now := time.Unix(1_000_000, 0)
	gt.SetCapacity(now, 100)
	tk, err := gt.Acquire(t.Context(), now, newRequest(now, 30))
	assert.NilError(t, err)
	for range 10 {
		tk.ReleasePart(now.Add(demandWindow / 2))
	}
	now = now.Add(demandWindow)
	tk.Release(now, true)
	gt.SetCapacity(now, 100)
	assert.Equal(t, tk.team.demand.Load(), int64(10/2+20)*demandUnit)
}
