package platform

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/view"
)

var errNoAnswer = errors.New("no answer")

// claimStore is a Store that holds one object. While down is set, its calls fail.
type claimStore struct {
	Store
	down  atomic.Bool
	calls atomic.Int64
	value atomic.Pointer[view.Object]
}

func (cs *claimStore) Get(context.Context, string) (view.Object, error) {
	cs.calls.Add(1)
	if cs.down.Load() {
		return view.Object{}, errNoAnswer
	}
	if ob := cs.value.Load(); ob != nil {
		return *ob, nil
	}
	return view.Object{}, ErrNotFound
}

func (cs *claimStore) Put(_ context.Context, key, value string, ifVersion int64) (int64, error) {
	cs.calls.Add(1)
	if cs.down.Load() {
		return 0, errNoAnswer
	}
	cs.value.Store(&view.Object{Key: key, Value: value, Version: ifVersion + 1})
	return ifVersion + 1, nil
}

// newID returns a request id made at a time. uuid.NewV7 never goes back in time, so
// that its use here would disturb tests on virtual time.
func newID(at time.Time) uuid.UUID {
	id := uuid.New()
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id
}

// TestStopEndsClaims stops the process while the platform does not answer and a
// claim without a deadline waits. The claim ends at once, without further calls.
func TestStopEndsClaims(t *testing.T) {
	st := &claimStore{}
	st.down.Store(true)
	cs, stop := NewClaims(st, "vm")
	done := make(chan error, 1)
	go func() { done <- cs.Claim(context.Background(), time.Now(), newID(time.Now()), "first") }()
	for st.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	select {
	case err := <-done:
		refusal := (*contract.Refusal)(nil)
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Outcome, contract.Unknown)
	case <-time.After(5 * time.Second):
		t.Fatalf("the claim has not ended; %d calls", st.calls.Load())
	}
	<-stopped
	assert.Assert(t, st.calls.Load() < 20, "%d calls", st.calls.Load())
}

// TestUnwrittenClaimIsNotTakenForWritten makes the encoding of a bucket fail after
// the change was applied in memory. The retry must not find the change there and
// report success.
func TestUnwrittenClaimIsNotTakenForWritten(t *testing.T) {
	st := &claimStore{}
	cs, stop := NewClaims(st, "vm")
	defer stop()
	id := newID(time.Now())
	assert.NilError(t, cs.Claim(t.Context(), time.Now(), id, "first"))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := cs.Settle(ctx, id, "first", contract.ClaimRan, json.RawMessage("{"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !json.Valid([]byte("{")))
	var stored contract.ClaimBucket
	assert.NilError(t, json.Unmarshal([]byte(st.value.Load().Value), &stored))
	assert.Equal(t, stored.Claims[id.String()].State, contract.ClaimOpen)
}
