package platform

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
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
	// passedOn holds the versions that OnCall was told last.
	passedOn map[string]int64
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

func (rt *recordingTarget) Apply(_ time.Time, _ view.Origin, objects []view.Object) int64 {
	rt.lock.Lock()
	defer rt.lock.Unlock()
	for _, ob := range objects {
		rt.versions[ob.Key] = ob.Version
	}
	return int64(len(objects))
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
		fr := &fakeReader{version: 1, compacted: map[string]bool{}, lists: map[string]int{}, passedOn: map[string]int64{}}
		rt := &recordingTarget{versions: map[string]int64{}}
		pacing := WatchPacing{MaxWait: func(string) time.Duration { return time.Hour }}
		wt := NewWatcher(fr, []string{"config/", "servers/"}, rt, pacing, zap.NewNop())
		wt.OnCall = func(prefix string) func(int64) {
			return func(version int64) { fr.set(func() { fr.passedOn[prefix] = version }) }
		}
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

// staleReader is a fakeReader that also answers lists from a copy.
type staleReader struct {
	*fakeReader
	stale map[string]int
}

func (sr staleReader) ListStale(_ context.Context, prefix string) ([]view.Object, int64, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	sr.stale[prefix]++
	return []view.Object{{Key: prefix + "main", Version: sr.version - 1}}, sr.version - 1, nil
}

// counts returns a copy of one of the reader's maps of counts.
func (sr staleReader) counts(calls map[string]int) map[string]int {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	return maps.Clone(calls)
}

// TestFirstListIsStaleAndConfirmsNothing starts a watcher as at the first start of
// all processes. It reads a copy at first, watches only after a pause, and is
// confirmed by the watch alone. One that becomes inactive in the pause makes no
// further calls.
func TestFirstListIsStaleAndConfirmsNothing(t *testing.T) {
	for _, staysActive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			sr := staleReader{&fakeReader{version: 7, lists: map[string]int{}, compacted: map[string]bool{}}, map[string]int{}}
			target := &countingTarget{}
			wt := NewWatcher(sr, []string{"a/", "b/"}, target, WatchPacing{
				MaxWait: func(string) time.Duration { return 2 * time.Second }, FirstPause: 1500 * time.Millisecond,
			}, zap.NewNop())
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				wt.Run(ctx)
				close(ended)
			}()
			time.Sleep(time.Second)
			assert.DeepEqual(t, sr.counts(sr.stale), map[string]int{"a/": 1, "b/": 1})
			assert.Assert(t, !wt.IsCurrent())
			assert.Equal(t, target.applied.Load(), int64(2))
			wt.SetActive(staysActive)
			time.Sleep(time.Second)
			assert.Equal(t, wt.IsCurrent(), staysActive, "the first watch is short")
			assert.Equal(t, len(sr.counts(sr.lists)), 0)
			if !staysActive {
				wt.SetActive(true)
				time.Sleep(time.Second)
				assert.DeepEqual(t, sr.counts(sr.lists), map[string]int{"a/": 1, "b/": 1})
			}
			cancel()
			<-ended
		})
	}
}

// countingTarget is a Target that counts the objects applied.
type countingTarget struct{ applied atomic.Int64 }

func (ct *countingTarget) Apply(_ time.Time, _ view.Origin, objects []view.Object) int64 {
	ct.applied.Add(int64(len(objects)))
	return int64(len(objects))
}

func (*countingTarget) KeysOlderThan(string, int64) []string { return nil }

func (*countingTarget) Confirm(time.Time) {}

// TestLeadPrefixIsListedFirst guards against a process that uses servers before it knows
// what forbids their use, and against one that never starts because the platform can't
// answer for that kind of object.
func TestLeadPrefixIsListedFirst(t *testing.T) {
	for _, fails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fr := &leadReader{fakeReader: fakeReader{version: 1, compacted: map[string]bool{}, lists: map[string]int{}}, fails: fails}
			rt := &recordingTarget{versions: map[string]int64{}}
			pacing := WatchPacing{MaxWait: func(string) time.Duration { return time.Hour }, Lead: "lead/"}
			wt := NewWatcher(fr, []string{"config/", "servers/", "lead/"}, rt, pacing, zap.NewNop())
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				wt.Run(ctx)
				close(done)
			}()
			time.Sleep(leadDelay - time.Millisecond)
			assert.Equal(t, rt.version("servers/main"), int64(0))
			assert.Equal(t, rt.version("config/main"), int64(0))
			if fails {
				time.Sleep(maxLeadFailures * (leadDelay + maxBackoff))
			}
			time.Sleep(2 * time.Millisecond)
			assert.Equal(t, rt.version("servers/main"), int64(1))
			assert.Equal(t, rt.version("config/main"), int64(1))
			cancel()
			<-done
		})
	}
}

// leadDelay is the time after which a leadReader answers for its lead prefix.
const leadDelay = time.Second

// leadReader is a fakeReader that answers late, or never, for the prefix "lead/".
type leadReader struct {
	fakeReader
	fails bool
}

func (lr *leadReader) List(ctx context.Context, prefix string) ([]view.Object, int64, error) {
	if prefix == "lead/" {
		time.Sleep(leadDelay)
		if lr.fails {
			return nil, 0, ErrRateLimited
		}
	}
	return lr.fakeReader.List(ctx, prefix)
}

// forgetfulReader is a Reader with one object whose waiting watches miss changes, and
// answer with the version of the platform nevertheless.
type forgetfulReader struct {
	lock sync.Mutex
	// version is that of the platform, changedAt that of the last change of the object.
	version, changedAt int64
}

func (fr *forgetfulReader) List(_ context.Context, prefix string) ([]view.Object, int64, error) {
	fr.lock.Lock()
	defer fr.lock.Unlock()
	return []view.Object{{Key: prefix + "main", Version: fr.changedAt}}, fr.version, nil
}

func (fr *forgetfulReader) Watch(_ context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	fr.lock.Lock()
	version, changedAt := fr.version, fr.changedAt
	fr.lock.Unlock()
	if changedAt > from {
		return []view.Object{{Key: prefix + "main", Version: changedAt}}, version, nil
	}
	time.Sleep(wait)
	fr.lock.Lock()
	defer fr.lock.Unlock()
	return nil, fr.version, nil
}

// TestMissedChangeIsFoundByNextWatch guards against a confirmation of objects that lack a
// change that a waiting watch missed: each answered call must confirm no more than the
// objects that were applied had when it was sent.
func TestMissedChangeIsFoundByNextWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fr := &forgetfulReader{version: 1, changedAt: 1}
		rt := &recordingTarget{versions: map[string]int64{}}
		pacing := WatchPacing{
			MaxWait:      func(string) time.Duration { return 300 * time.Millisecond },
			KeepsHistory: func(string) bool { return true },
		}
		wt := NewWatcher(fr, []string{"config/"}, rt, pacing, zap.NewNop())
		answers := 0
		wt.OnCall = func(prefix string) func(int64) {
			fr.lock.Lock()
			sent := fr.changedAt
			fr.lock.Unlock()
			return func(int64) {
				answers++
				if have := rt.version(prefix + "main"); have < sent {
					t.Errorf("confirms version %d as of a time at which there was version %d", have, sent)
				}
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			wt.Run(ctx)
			close(done)
		}()
		for range 5 {
			time.Sleep(450 * time.Millisecond)
			fr.lock.Lock()
			fr.version += 2
			fr.changedAt = fr.version - 1
			fr.lock.Unlock()
		}
		time.Sleep(time.Second)
		cancel()
		<-done
		assert.Equal(t, rt.version("config/main"), fr.changedAt)
		assert.Assert(t, answers > 5)
	})
}

// TestAnswerOfLaggingStoreIsNotPassedOn guards against a list from a replica of the
// platform that lags behind and counts as its newest state.
func TestAnswerOfLaggingStoreIsNotPassedOn(t *testing.T) {
	runWatcher(t, func(fr *fakeReader, _ *recordingTarget, wt *Watcher) {
		for _, step := range []struct{ version, want int64 }{{7, 7}, {6, 7}, {8, 8}} {
			fr.set(func() { fr.version = step.version })
			wt.Refresh("config/")
			time.Sleep(time.Second)
			fr.set(func() { assert.Equal(t, fr.passedOn["config/"], step.want) })
		}
	})
}
