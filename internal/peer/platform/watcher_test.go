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

// fakeReader is a Reader with one object per prefix. Its watches never report
// changes, like those of a platform that drops its history.
type fakeReader struct {
	lock    sync.Mutex
	version int64
	// compacted holds the prefixes whose next watch fails with ErrCompacted.
	compacted map[string]bool
	lists     map[string]int
	fails     bool
}

func (fr *fakeReader) List(_ context.Context, prefix string) ([]view.Object, int64, error) {
	fr.lock.Lock()
	defer fr.lock.Unlock()
	if fr.fails {
		return nil, 0, ErrRateLimited
	}
	fr.lists[prefix]++
	return []view.Object{{Key: prefix + "main", Version: fr.version}}, fr.version, nil
}

func (fr *fakeReader) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	for range int(wait / time.Millisecond) {
		fr.lock.Lock()
		compacted, fails := fr.compacted[prefix], fr.fails
		delete(fr.compacted, prefix)
		fr.lock.Unlock()
		if fails {
			return nil, 0, ErrRateLimited
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

func (fr *fakeReader) set(change func()) {
	fr.lock.Lock()
	defer fr.lock.Unlock()
	change()
}

// recordingTarget is a Target that records the versions by key.
type recordingTarget struct {
	lock     sync.Mutex
	versions map[string]int64
}

func (rt *recordingTarget) Apply(_ time.Time, objects []view.Object) {
	rt.lock.Lock()
	defer rt.lock.Unlock()
	for _, ob := range objects {
		rt.versions[ob.Key] = ob.Version
	}
}

func (rt *recordingTarget) KeysOlderThan(string, int64) []string { return nil }

func (rt *recordingTarget) Confirm(time.Time) {}

func (rt *recordingTarget) version(key string) int64 {
	rt.lock.Lock()
	defer rt.lock.Unlock()
	return rt.versions[key]
}

func runWatcher(t *testing.T, do func(fr *fakeReader, rt *recordingTarget, wt *Watcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fr := &fakeReader{version: 1, compacted: map[string]bool{}, lists: map[string]int{}}
		rt := &recordingTarget{versions: map[string]int64{}}
		pacing := WatchPacing{MaxWait: func(string) time.Duration { return time.Hour }}
		wt := NewWatcher(fr, []string{"config/", "servers/"}, rt, pacing, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			wt.Run(ctx)
			close(done)
		}()
		time.Sleep(100 * time.Millisecond)
		do(fr, rt, wt)
		cancel()
		<-done
	})
}

// TestCompactionOfOnePrefixRelistsAll guards against a missed change: the
// platform drops its history, and of two watches that miss the change only one
// fails with ErrCompacted.
func TestCompactionOfOnePrefixRelistsAll(t *testing.T) {
	runWatcher(t, func(fr *fakeReader, rt *recordingTarget, _ *Watcher) {
		assert.Equal(t, rt.version("config/main"), int64(1))
		fr.set(func() { fr.version, fr.compacted["servers/"] = 5, true })
		time.Sleep(time.Second)
		assert.Equal(t, rt.version("servers/main"), int64(5))
		assert.Equal(t, rt.version("config/main"), int64(5))
	})
}

func TestInactiveWatcherMakesNoCalls(t *testing.T) {
	runWatcher(t, func(fr *fakeReader, rt *recordingTarget, wt *Watcher) {
		assert.Assert(t, wt.IsCurrent())
		wt.SetActive(false)
		time.Sleep(time.Second)
		assert.Assert(t, !wt.IsCurrent())
		lists := 0
		fr.set(func() { fr.version, lists = 7, fr.lists["config/"] })
		time.Sleep(time.Minute)
		fr.set(func() { assert.Equal(t, fr.lists["config/"], lists) })
		assert.Equal(t, rt.version("config/main"), int64(1))
		wt.SetActive(true)
		time.Sleep(time.Second)
		assert.Equal(t, rt.version("config/main"), int64(7))
		assert.Assert(t, wt.IsCurrent())
	})
}

func TestFailedWithinClearsOnAnswer(t *testing.T) {
	runWatcher(t, func(fr *fakeReader, _ *recordingTarget, wt *Watcher) {
		fr.set(func() { fr.fails = true })
		time.Sleep(time.Second)
		assert.Assert(t, wt.FailedWithin(time.Now(), 5*time.Second))
		assert.Assert(t, !wt.IsCurrent())
		fr.set(func() { fr.fails = false })
		time.Sleep(10 * time.Second)
		assert.Assert(t, !wt.FailedWithin(time.Now(), 5*time.Second))
	})
}
