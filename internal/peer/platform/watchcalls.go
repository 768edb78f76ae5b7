package platform

import (
	"context"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/world/view"
)

// IsActive reports whether the watcher calls the platform: it is active, whether or not
// its calls are answered. It takes no lock.
func (wt *Watcher) IsActive() bool {
	return wt.calls.Load()
}

// callList calls Store.List and records how the call ended.
func (wt *Watcher) callList(ctx context.Context, prefix string) ([]view.Object, int64, error) {
	objects, version, err := wt.Store.List(ctx, prefix)
	wt.recordCall(ctx, prefix, err)
	return objects, version, err
}

// callListStale calls StaleLister.ListStale and records how the call ended.
func (wt *Watcher) callListStale(ctx context.Context, store StaleLister, prefix string) ([]view.Object, int64, error) {
	objects, version, err := store.ListStale(ctx, prefix)
	wt.recordCall(ctx, prefix, err)
	return objects, version, err
}

// callWatch calls Store.Watch and records how the call ended. It logs the first of successive
// watches of a prefix that are answered late.
func (wt *Watcher) callWatch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	sentAt := time.Now()
	objects, version, err := wt.Store.Watch(ctx, prefix, from, wait)
	wt.recordCall(ctx, prefix, err)
	took := time.Since(sentAt)
	if err == nil && took > wait+slowCallTime && !wt.isSlow(prefix) {
		events.WatchLate.Log(wt.Log, zap.String("prefix", prefix), zap.Duration("took", took), zap.Duration("wait", wait), zap.Int("objects", len(objects)))
	}
	return objects, version, err
}

// recordCall records how a call ended, unless this process gave it up.
func (wt *Watcher) recordCall(ctx context.Context, prefix string, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	now := time.Now()
	wt.Answers.Record(now, prefix, err)
	if err == nil {
		return
	}
	wt.lock.Lock()
	defer wt.lock.Unlock()
	if _, ok := wt.failedSince[prefix]; !ok {
		wt.failedSince[prefix] = now
	}
}

// applyFrom applies objects of an answer to the target. It logs the first answer for a prefix
// after a failure, with the time since the first failure and the number of objects that it
// changed.
func (wt *Watcher) applyFrom(prefix string, origin view.Origin, objects []view.Object) {
	now := time.Now()
	changed := wt.Target.Apply(now, origin, objects)
	wt.lock.Lock()
	since, failed := wt.failedSince[prefix]
	delete(wt.failedSince, prefix)
	wt.lock.Unlock()
	if failed {
		events.WatchResumed.Log(wt.Log, zap.String("prefix", prefix), zap.Duration("away", now.Sub(since)),
			zap.String("source", string(origin.Source)), zap.Int64("changed", changed))
	}
}
