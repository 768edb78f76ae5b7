// Package rcu publishes immutable values that many goroutines read without
// locks, by read-copy-update.
package rcu

import (
	"sync"
	"sync/atomic"
)

// Value holds the current version of an immutable value. Make one with New.
type Value[T any] struct {
	// current is never nil; what it points to is never changed in place.
	current atomic.Pointer[T]
	// writers serializes the updates; readers never take it.
	writers sync.Mutex
}

// New returns a value that holds first.
func New[T any](first T) *Value[T] {
	vl := &Value[T]{}
	vl.current.Store(&first)
	return vl
}

// Load returns the current version, which stays valid and unchanged after later
// updates.
func (vl *Value[T]) Load() *T {
	return vl.current.Load()
}

// Update publishes and returns the version that change computes from the current
// one. Updates run one at a time. change must not modify anything that its
// argument refers to.
func (vl *Value[T]) Update(change func(T) T) *T {
	vl.writers.Lock()
	defer vl.writers.Unlock()
	next := change(*vl.current.Load())
	vl.current.Store(&next)
	return &next
}
