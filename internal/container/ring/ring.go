// Package ring keeps the most recent values of a stream in bounded memory.
package ring

import "sync/atomic"

// Ring keeps the newest values put into it. All methods may be called by any
// number of goroutines; none of them blocks. Make one with New.
type Ring[T any] struct {
	// next counts the values ever put.
	next atomic.Uint64
	// slots has a fixed length of at least 1.
	slots []atomic.Pointer[T]
}

// New returns a ring that keeps up to size values, at least 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make([]atomic.Pointer[T], max(size, 1))}
}

// Put adds a value in place of the oldest one.
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
