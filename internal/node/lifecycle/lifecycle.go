// Package lifecycle ends what a process started: its goroutines, and whatever
// constructors returned a clean-up function for.
package lifecycle

import (
	"context"
	"sync"
)

// Group holds what a process runs. The zero value is empty and ready. Add to it
// from one goroutine at a time.
type Group struct {
	// cancel ends the context of the tasks; nil until Run.
	cancel   context.CancelFunc
	work     sync.WaitGroup
	cleanups []func()
	closed   sync.Once
}

// Cleanup adds a function that Close calls, the last added one first.
func (gr *Group) Cleanup(end func()) {
	gr.cleanups = append(gr.cleanups, end)
}

// Go runs a function whose end Close waits for.
func (gr *Group) Go(do func()) {
	gr.work.Go(do)
}

// Run runs tasks until Close ends their context. It is called once.
func (gr *Group) Run(tasks ...func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	gr.cancel = cancel
	for _, task := range tasks {
		gr.work.Go(func() { task(ctx) })
	}
}

// Close ends everything at once and waits for it.
func (gr *Group) Close() {
	gr.closed.Do(func() {
		if gr.cancel != nil {
			gr.cancel()
		}
		for i := len(gr.cleanups) - 1; i >= 0; i-- {
			gr.cleanups[i]()
		}
		gr.work.Wait()
	})
}
