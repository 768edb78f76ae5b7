package backend

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
)

var errRefused = errors.New("connection refused")

func newTestPool(share int64) *pool {
	dial := func(context.Context, string, string) (net.Conn, error) { return nil, errRefused }
	pl := newPool(dial, &machine.Server{Name: "i-1", ConnectionLimit: 8, State: &machine.ServerState{}})
	pl.share.Store(share)
	return pl
}

func TestInvalidateNeverMovesBack(t *testing.T) {
	pl := newTestPool(2)
	now := time.Unix(1_000_000, 0)
	pl.invalidate(now)
	pl.invalidate(now.Add(-time.Second))
	assert.Equal(t, pl.invalidBefore.Load(), now.UnixNano())
	assert.Equal(t, pl.invalidations.Load(), int64(1))
}

// TestWaitEndsWithPool closes the pool of a server that is no longer known while a
// request waits for a connection. Its wait must not last until its deadline.
func TestWaitEndsWithPool(t *testing.T) {
	pl := newTestPool(1)
	assert.Assert(t, pl.tryReserveSlot(1))
	done := make(chan error, 1)
	go func() {
		_, err := pl.acquire(context.Background(), anyConn)
		done <- err
	}()
	time.Sleep(10 * time.Millisecond)
	pl.close()
	select {
	case err := <-done:
		failure := (*contract.PartError)(nil)
		assert.Assert(t, errors.As(err, &failure))
		assert.Assert(t, failure.NotRun)
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits")
	}
}

// TestCheckForLimitKeepsToShare checks whether a server accepts connections while
// other requests hold the whole share.
func TestCheckForLimitKeepsToShare(t *testing.T) {
	pl := newTestPool(2)
	assert.Assert(t, pl.tryReserveSlot(2) && pl.tryReserveSlot(2))
	assert.Assert(t, pl.acceptsConnections(t.Context(), time.Now()))
	assert.Equal(t, pl.open.Load(), int64(2))
	pl.open.Store(0)
	assert.Assert(t, !pl.acceptsConnections(t.Context(), time.Now()), "it refuses connections")
	assert.Equal(t, pl.open.Load(), int64(0))
}

// TestOnlyIdleConnectionIsReplaced guards against a request that waits for good, or uses a
// connection that does not suit it, if no other connection may be opened.
func TestOnlyIdleConnectionIsReplaced(t *testing.T) {
	pl := newTestPool(1)
	pl.dial = func(context.Context, string, string) (net.Conn, error) {
		near, _ := net.Pipe()
		return near, nil
	}
	trail := &link.Trail{}
	suits := func(cn *conn) bool { return cn.suits(scatter.AttemptLimits{Trail: trail}) }
	first, err := pl.acquire(t.Context(), suits)
	assert.NilError(t, err)
	pl.release(time.Now(), first)
	again, err := pl.acquire(t.Context(), suits)
	assert.NilError(t, err)
	assert.Equal(t, again, first)
	trail.Add(&first.Link)
	pl.release(time.Now(), first)
	second, err := pl.acquire(t.Context(), suits)
	assert.NilError(t, err)
	assert.Assert(t, second != first)
	assert.Equal(t, pl.open.Load(), int64(1))
	// The request that waits gets a connection of its own when the other one is released.
	trail.Add(&second.Link)
	go func() {
		time.Sleep(10 * time.Millisecond)
		pl.release(time.Now(), second)
	}()
	third, err := pl.acquire(t.Context(), suits)
	assert.NilError(t, err)
	assert.Assert(t, third != second)
	assert.Equal(t, pl.open.Load(), int64(1))
}

// TestUnnamedAnswersMakeConnectionsUnsuitable tells which requests may follow an answer that
// does not name its request.
func TestUnnamedAnswersMakeConnectionsUnsuitable(t *testing.T) {
	cn := &conn{}
	assert.Assert(t, cn.suits(scatter.AttemptLimits{}))
	cn.unnamed = true
	assert.Assert(t, !cn.suits(scatter.AttemptLimits{}))
	assert.Assert(t, cn.suits(scatter.AttemptLimits{Idempotent: true}))
}
