// Package lifecycle tracks the goroutines and clean-up functions of a process,
// and ends them together.
package lifecycle

import (
	"context"
	"sync"
)

// Group is a set of goroutines and clean-up functions that are ended together.
// The zero value is ready for use. Only one goroutine at a time may add to it.
type Group struct {
	// cancel cancels the context of the tasks started by Run; nil before Run.
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	cleanups  []func()
	closeOnce sync.Once
}

// Cleanup adds a function for Close to call. Close calls the functions in
// reverse order.
func (gr *Group) Cleanup(end func()) {
	gr.cleanups = append(gr.cleanups, end)
}

// Go runs a function in a goroutine. Close waits for it to return.
func (gr *Group) Go(do func()) {
	gr.tasks.Go(do)
}

// Run runs each task in a goroutine until Close cancels the context. It may be
// called once.
func (gr *Group) Run(tasks ...func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	gr.cancel = cancel
	for _, task := range tasks {
		gr.tasks.Go(func() { task(ctx) })
	}
}

// Close cancels the context of the tasks, calls the clean-up functions and waits
// for all goroutines. Further calls do nothing.
func (gr *Group) Close() {
	gr.closeOnce.Do(func() {
		if gr.cancel != nil {
			gr.cancel()
		}
		for i := len(gr.cleanups) - 1; i >= 0; i-- {
			gr.cleanups[i]()
		}
		gr.tasks.Wait()
	})
}
