// Package ring implements a lock-free ring buffer of the most recent values of a
// stream.
package ring

import "sync/atomic"

// Ring holds the newest values put into it. Its methods may be called
// concurrently and do not block. Make one with New.
type Ring[T any] struct {
	// next is the total number of values put.
	next atomic.Uint64
	// slots has a fixed length of at least 1.
	slots []atomic.Pointer[T]
}

// New returns a ring that holds up to size values, at least 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make([]atomic.Pointer[T], max(size, 1))}
}

// Put adds a value. If the ring is full, it replaces the oldest one.
func (rg *Ring[T]) Put(value *T) {
	at := rg.next.Add(1) - 1
	rg.slots[at%uint64(len(rg.slots))].Store(value)
}

// Recent returns up to limit values, newest first.
func (rg *Ring[T]) Recent(limit int) []*T {
	next := rg.next.Load()
	kept := min(next, uint64(len(rg.slots)), uint64(max(limit, 0)))
	values := make([]*T, 0, kept)
	for back := uint64(1); back <= kept; back++ {
		if vl := rg.slots[(next-back)%uint64(len(rg.slots))].Load(); vl != nil {
			values = append(values, vl)
		}
	}
	return values
}
