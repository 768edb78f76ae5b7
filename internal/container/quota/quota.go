// Package quota bounds the memory that the messages in flight of a process occupy
// together.
package quota

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// ErrExhausted is returned for a message for which no memory is left.
var ErrExhausted = errors.New("no memory is left for messages")

// ErrTooLarge is returned for a message that is longer than its own limit.
var ErrTooLarge = errors.New("message is too large")

// Pool is a number of bytes that all messages share. Its methods may be called by
// any number of goroutines. The zero value has no bytes.
type Pool struct {
	// left is never negative.
	left atomic.Int64
}

// NewPool returns a pool of a number of bytes.
func NewPool(size int64) *Pool {
	pl := &Pool{}
	pl.left.Store(size)
	return pl
}

// Left returns the number of bytes that are not reserved.
func (pl *Pool) Left() int64 {
	return pl.left.Load()
}

// Lease returns a lease without bytes, and a function that returns all its bytes
// and ends it.
func (pl *Pool) Lease() (*Lease, func()) {
	ls := &Lease{}
	pl.Init(ls)
	return ls, ls.End
}

// Init makes a lease without bytes of ls, which must be new. It spares the allocation
// of Lease. The lease is ended with End.
func (pl *Pool) Init(ls *Lease) {
	ls.pool = pl
}

func (pl *Pool) reserve(count, rest int64) bool {
	for {
		left := pl.left.Load()
		if left < count+rest {
			return false
		}
		if pl.left.CompareAndSwap(left, left-count) {
			return true
		}
	}
}

// ended is the count of a lease that has ended. It stays negative whatever is
// added while reservations fail.
const ended = -1 << 62

// Lease holds the bytes that one request with all its messages reserved. A nil
// lease reserves without limit.
type Lease struct {
	pool *Pool
	held atomic.Int64
}

// Reserve reserves bytes and reports whether they were left.
func (ls *Lease) Reserve(count int64) bool {
	return ls.ReserveLeaving(count, 0)
}

// ReserveLeaving reserves bytes if at least rest bytes are left in the pool after that,
// and reports whether it did.
func (ls *Lease) ReserveLeaving(count, rest int64) bool {
	if ls == nil {
		return true
	}
	if !ls.pool.reserve(count, rest) {
		return false
	}
	if ls.held.Add(count) >= 0 {
		return true
	}
	// The lease ended before the reservation was recorded.
	ls.pool.left.Add(count)
	return false
}

// Return gives back a part of the reserved bytes.
func (ls *Lease) Return(count int64) {
	// A lease that has ended gave back all of its bytes.
	if ls != nil && ls.held.Add(-count) >= 0 {
		ls.pool.left.Add(count)
	}
}

// Held returns the number of reserved bytes; 0 after the end.
func (ls *Lease) Held() int64 {
	return max(ls.held.Load(), 0)
}

// End returns all bytes and ends the lease.
func (ls *Lease) End() {
	if held := ls.held.Swap(ended); held > 0 {
		ls.pool.left.Add(held)
	}
}

// firstRead and maxRead bound the step in which ReadAll grows its buffer, in
// bytes: a message holds memory only as its bytes arrive.
const (
	firstRead = 4 << 10
	maxRead   = 256 << 10
)

// ReadAll reads a message to its end. size is its announced length, negative if
// unknown, and limit the most bytes that it may have. The bytes are reserved in
// the lease.
func ReadAll(from io.Reader, size, limit int64, ls *Lease) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	var message []byte
	for step := int64(firstRead); ; step = min(2*step, maxRead) {
		want := step
		if size >= 0 {
			want = min(step, size-int64(len(message)))
		}
		// One byte beyond the limit shows that the message is too large.
		want = min(want, limit+1-int64(len(message)))
		if want == 0 && size >= 0 {
			return message, nil
		}
		if !ls.Reserve(want) {
			return nil, ErrExhausted
		}
		start := len(message)
		message = append(message, make([]byte, want)...)
		count, err := fill(from, message[start:])
		message = message[:start+count]
		switch {
		case int64(len(message)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && size < 0:
			return message, nil
		case errors.Is(err, io.EOF) && int64(len(message)) < size:
			return nil, fmt.Errorf("read message: %w", io.ErrUnexpectedEOF)
		case err != nil && !errors.Is(err, io.EOF):
			return nil, fmt.Errorf("read message: %w", err)
		}
	}
}

// fill reads until the buffer is full or reading fails. Unlike io.ReadFull it
// returns the reader's own error, since a message that is cut off must not look like
// one that ends.
func fill(from io.Reader, buffer []byte) (int, error) {
	filled := 0
	for filled < len(buffer) {
		count, err := from.Read(buffer[filled:])
		filled += count
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}
