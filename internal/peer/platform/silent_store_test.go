package platform

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/world/view"
)

// silentStore is a Reader of a store that may tell waiting watches nothing about changes, and
// drop its history.
type silentStore struct {
	lock     sync.Mutex
	revision int64
	objects  map[string]view.Object
	// silent is set while watches learn of no change, oldest is the first revision from
	// which changes are kept, and drops counts how often older ones were dropped.
	silent bool
	oldest int64
	drops  int
	// changed is closed and replaced with each change that watches learn of, and each drop.
	changed chan struct{}
	// hungUntil is until when watches of the prefixes that begin with hung get no answer.
	hung      string
	hungUntil time.Time
	// calls and lists count the calls, and the lists among them.
	calls, lists int
}

func newSilentStore() *silentStore {
	ss := &silentStore{revision: 1, objects: map[string]view.Object{}, changed: make(chan struct{})}
	ss.write("servers/a")
	ss.write("tokens/a")
	return ss
}

func (ss *silentStore) write(key string) {
	ss.lock.Lock()
	defer ss.lock.Unlock()
	ss.revision++
	ss.objects[key] = view.Object{Key: key, Version: ss.revision, Value: fmt.Sprintf(`{"author":"%d"}`, ss.revision)}
	if !ss.silent {
		ss.wake()
	}
}

// wake wakes the waiting watches. The caller holds the lock.
func (ss *silentStore) wake() {
	close(ss.changed)
	ss.changed = make(chan struct{})
}

func (ss *silentStore) setSilent(silent bool) {
	ss.lock.Lock()
	defer ss.lock.Unlock()
	ss.silent = silent
}

func (ss *silentStore) hangFor(prefix string, span time.Duration) {
	ss.lock.Lock()
	defer ss.lock.Unlock()
	ss.hung, ss.hungUntil = prefix, time.Now().Add(span)
}

// drop drops the history and cuts the waiting watches.
func (ss *silentStore) drop() {
	ss.lock.Lock()
	defer ss.lock.Unlock()
	ss.oldest = ss.revision
	ss.drops++
	ss.wake()
}

func (ss *silentStore) List(_ context.Context, prefix string) ([]view.Object, int64, error) {
	time.Sleep(time.Millisecond)
	ss.lock.Lock()
	defer ss.lock.Unlock()
	ss.calls++
	ss.lists++
	return ss.newerThan(prefix, 0), ss.revision, nil
}

// newerThan returns the objects that changed after a revision. The caller holds the lock.
func (ss *silentStore) newerThan(prefix string, from int64) []view.Object {
	var objects []view.Object
	for key, ob := range ss.objects {
		if strings.HasPrefix(key, prefix) && ob.Version > from {
			objects = append(objects, ob)
		}
	}
	return objects
}

var errCut = errors.New("the watch was cut")

func (ss *silentStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	time.Sleep(time.Millisecond)
	over := time.After(wait)
	ss.lock.Lock()
	ss.calls++
	drops := ss.drops
	ss.lock.Unlock()
	for waiting := true; ; {
		ss.lock.Lock()
		revision, changed, events := ss.revision, ss.changed, ss.newerThan(prefix, from)
		if ss.silent {
			events = nil
		}
		isCut, isGone, hang := ss.drops != drops, from < ss.oldest, time.Until(ss.hungUntil)
		isHung := hang > 0 && strings.HasPrefix(prefix, ss.hung)
		ss.lock.Unlock()
		if isHung {
			select {
			case <-time.After(hang):
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
			continue
		}
		switch {
		case isCut:
			return nil, 0, errCut
		case isGone:
			return nil, 0, ErrCompacted
		case len(events) > 0 || !waiting:
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// sinceStart returns a clock that counts the time of the test.
func sinceStart() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Hour + time.Since(start) }
}

// startWatcher starts a watcher of a store in a bubble of synctest. The returned function ends
// it.
func startWatcher(t *testing.T, store Reader, target Target, pacing WatchPacing) (wt *Watcher, stop func()) {
	t.Helper()
	wt = NewWatcher(store, watched, target, pacing, zap.NewNop())
	wt.SinceBoot = sinceStart()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		wt.Run(ctx)
		close(done)
	}()
	return wt, func() {
		cancel()
		<-done
	}
}
