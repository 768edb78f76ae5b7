package quota

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestReadAll(t *testing.T) {
	errBroken := errors.New("broken")
	long := strings.Repeat("x", 3*maxRead)
	tests := []struct {
		name, text  string
		size, limit int64
		pool        int64
		end         error
		err         error
	}{
		{name: "unknown size", text: long, size: -1, limit: 1 << 20, pool: 4 << 20},
		{name: "known size", text: long, size: int64(len(long)), limit: 1 << 20, pool: int64(len(long))},
		{name: "empty", size: 0, limit: 10},
		{name: "empty of unknown size", size: -1, limit: 10, pool: 100},
		{name: "as long as the limit", text: "0123456789", size: -1, limit: 10, pool: 100},
		{name: "longer than the limit", text: "0123456789a", size: -1, limit: 10, pool: 100, err: ErrTooLarge},
		{name: "announced as too long", text: "0123456789a", size: 11, limit: 10, pool: 100, err: ErrTooLarge},
		{name: "ends early", text: "01234", size: 10, limit: 100, pool: 100, err: io.ErrUnexpectedEOF},
		{name: "cut off", text: "01234", size: -1, limit: 100, pool: 200, end: io.ErrUnexpectedEOF, err: io.ErrUnexpectedEOF},
		{name: "cut off at a boundary", text: strings.Repeat("x", firstRead), size: -1, limit: 1 << 20, pool: 1 << 20, end: io.ErrUnexpectedEOF, err: io.ErrUnexpectedEOF},
		{name: "broken", text: "01234", size: -1, limit: 100, pool: 200, end: errBroken, err: errBroken},
		{name: "no memory left", text: long, size: -1, limit: 1 << 20, pool: 100 << 10, err: ErrExhausted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pool := NewPool(tt.pool)
			lease, end := pool.Lease()
			from := io.Reader(strings.NewReader(tt.text))
			if tt.end != nil {
				from = io.MultiReader(from, iotest.ErrReader(tt.end))
			}
			message, err := ReadAll(from, tt.size, tt.limit, lease)
			if tt.err != nil {
				assert.ErrorIs(t, err, tt.err)
			} else {
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(message, []byte(tt.text)))
				assert.Assert(t, pool.Left() <= tt.pool-int64(len(tt.text)), "the bytes are reserved")
			}
			end()
			assert.Equal(t, pool.Left(), tt.pool)
			assert.Assert(t, !lease.Reserve(1), "an ended lease reserves nothing")
		})
	}
}

// TestPoolIsNeverOverdrawn reserves and ends leases at once in many goroutines.
func TestPoolIsNeverOverdrawn(t *testing.T) {
	const size = 1000
	pool := NewPool(size)
	var held sync.WaitGroup
	for seed := range uint64(8) {
		held.Go(func() {
			rd := rand.New(rand.NewPCG(seed, 1))
			for range 2000 {
				lease, end := pool.Lease()
				var late sync.WaitGroup
				late.Go(func() {
					for range 3 {
						lease.Reserve(rd.Int64N(200))
					}
				})
				end()
				late.Wait()
			}
		})
	}
	held.Wait()
	assert.Equal(t, pool.Left(), int64(size))
	var none *Lease
	assert.Assert(t, none.Reserve(1<<40))
}

// TestLeaseReturnsParts guards against bytes that are returned twice, or lost, when a
// lease gives parts back and ends.
func TestLeaseReturnsParts(t *testing.T) {
	pool := NewPool(100)
	lease := &Lease{}
	pool.Init(lease)
	assert.Assert(t, lease.ReserveLeaving(60, 40))
	assert.Assert(t, !lease.ReserveLeaving(1, 40))
	assert.Assert(t, lease.Reserve(10))
	lease.Return(30)
	assert.Equal(t, lease.Held(), int64(40))
	assert.Equal(t, pool.Left(), int64(60))
	lease.End()
	lease.Return(40)
	lease.End()
	assert.Equal(t, lease.Held(), int64(0))
	assert.Equal(t, pool.Left(), int64(100))
}
