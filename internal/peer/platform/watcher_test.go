package platform

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/view"
)

// deafStore has one object a prefix. Its watches hear nothing unless told, as
// those of a platform that drops its history.
type deafStore struct {
	lock    sync.Mutex
	version int64
	// compacted holds the prefixes whose next watch is told that its history is
	// gone.
	compacted map[string]bool
	lists     map[string]int
	fails     bool
}

func (ds *deafStore) List(_ context.Context, prefix string) ([]view.Object, int64, error) {
	ds.lock.Lock()
	defer ds.lock.Unlock()
	if ds.fails {
		return nil, 0, ErrBudget
	}
	ds.lists[prefix]++
	return []view.Object{{Key: prefix + "main", Version: ds.version}}, ds.version, nil
}

func (ds *deafStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	for range int(wait / time.Millisecond) {
		ds.lock.Lock()
		compacted, fails := ds.compacted[prefix], ds.fails
		delete(ds.compacted, prefix)
		ds.lock.Unlock()
		if fails {
			return nil, 0, ErrBudget
		}
		if compacted {
			return nil, 0, ErrCompacted
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	return nil, from, nil
}

func (ds *deafStore) set(change func()) {
	ds.lock.Lock()
	defer ds.lock.Unlock()
	change()
}

// heardVersions is a Target that keeps the versions by key.
type heardVersions struct {
	lock     sync.Mutex
	versions map[string]int64
}

func (hv *heardVersions) Apply(_ time.Time, objects []view.Object) {
	hv.lock.Lock()
	defer hv.lock.Unlock()
	for _, ob := range objects {
		hv.versions[ob.Key] = ob.Version
	}
}

func (hv *heardVersions) Known(string, int64) []string { return nil }

func (hv *heardVersions) Confirm(time.Time) {}

func (hv *heardVersions) of(key string) int64 {
	hv.lock.Lock()
	defer hv.lock.Unlock()
	return hv.versions[key]
}

func watchDeaf(t *testing.T, do func(ds *deafStore, hv *heardVersions, wt *Watcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ds := &deafStore{version: 1, compacted: map[string]bool{}, lists: map[string]int{}}
		hv := &heardVersions{versions: map[string]int64{}}
		pace := Pace{Wait: func(string) time.Duration { return time.Hour }}
		wt := NewWatcher(ds, []string{"config/", "servers/"}, hv, pace, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		over := make(chan struct{})
		go func() {
			wt.Run(ctx)
			close(over)
		}()
		time.Sleep(100 * time.Millisecond)
		do(ds, hv, wt)
		cancel()
		<-over
	})
}

// TestCompactionOfOnePrefixRefreshesAll has a change that no watch is told of.
func TestCompactionOfOnePrefixRefreshesAll(t *testing.T) {
	watchDeaf(t, func(ds *deafStore, hv *heardVersions, _ *Watcher) {
		assert.Equal(t, hv.of("config/main"), int64(1))
		ds.set(func() { ds.version, ds.compacted["servers/"] = 5, true })
		time.Sleep(time.Second)
		assert.Equal(t, hv.of("servers/main"), int64(5))
		assert.Equal(t, hv.of("config/main"), int64(5))
	})
}

func TestInactiveWatcherMakesNoCalls(t *testing.T) {
	watchDeaf(t, func(ds *deafStore, hv *heardVersions, wt *Watcher) {
		assert.Assert(t, wt.IsCurrent())
		wt.SetActive(false)
		time.Sleep(time.Second)
		assert.Assert(t, !wt.IsCurrent())
		lists := 0
		ds.set(func() { ds.version, lists = 7, ds.lists["config/"] })
		time.Sleep(time.Minute)
		ds.set(func() { assert.Equal(t, ds.lists["config/"], lists) })
		assert.Equal(t, hv.of("config/main"), int64(1))
		wt.SetActive(true)
		time.Sleep(time.Second)
		assert.Equal(t, hv.of("config/main"), int64(7))
		assert.Assert(t, wt.IsCurrent())
	})
}

func TestFailedCallsShowUntilOneIsAnswered(t *testing.T) {
	watchDeaf(t, func(ds *deafStore, _ *heardVersions, wt *Watcher) {
		ds.set(func() { ds.fails = true })
		time.Sleep(time.Second)
		assert.Assert(t, wt.FailedWithin(time.Now(), 5*time.Second))
		assert.Assert(t, !wt.IsCurrent())
		ds.set(func() { ds.fails = false })
		time.Sleep(10 * time.Second)
		assert.Assert(t, !wt.FailedWithin(time.Now(), 5*time.Second))
	})
}
