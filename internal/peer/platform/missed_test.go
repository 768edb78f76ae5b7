package platform

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisystage.example/daisystage/internal/world/view"
)

// watchSilentStore runs a watcher while do changes the store, and some seconds longer. It
// returns what the target lacks then, and the store.
func watchSilentStore(t *testing.T, do func(ss *silentStore)) (problem string, ss *silentStore) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ss = newSilentStore()
		target := &copyTarget{}
		counts := map[string]*atomic.Int64{view.PrefixTokens: {}, view.PrefixServers: {}}
		pacing := WatchPacing{Pause: 150 * time.Millisecond, MaxWait: func(prefix string) time.Duration {
			return time.Second + time.Duration(counts[prefix].Add(1)*int64(len(prefix))*370%1000)*time.Millisecond
		}}
		_, stop := startWatcher(t, ss, target, pacing)
		time.Sleep(2 * time.Second)
		do(ss)
		ss.setSilent(false)
		time.Sleep(9 * time.Second)
		target.lock.Lock()
		for key, ob := range ss.objects {
			if have, _ := target.vw.Objects.Get(key); have != ob && !strings.HasPrefix(key, "other/") {
				problem = fmt.Sprintf("%s: have %+v, the store %+v", key, have, ob)
			}
		}
		target.lock.Unlock()
		stop()
	})
	return problem, ss
}

// TestChangeMissedByWatchIsFound guards against a change that stays unknown until the next one
// of its kind, since a watch was answered without it.
func TestChangeMissedByWatchIsFound(t *testing.T) {
	for _, tt := range []struct {
		name  string
		drops bool
	}{{"the history is kept", false}, {"the history is dropped then", true}} {
		t.Run(tt.name, func(t *testing.T) {
			for round := range 20 {
				problem, ss := watchSilentStore(t, func(ss *silentStore) {
					time.Sleep(time.Duration(round) * 100 * time.Millisecond)
					ss.setSilent(true)
					ss.write("tokens/a")
					ss.write("servers/a")
					time.Sleep(time.Second)
					if tt.drops {
						ss.drop()
					}
				})
				assert.Equal(t, problem, "", "round %d", round)
				assert.Assert(t, ss.lists <= 4, "%d lists", ss.lists)
			}
		})
	}
}

// TestAnyMissedChangesAreFound is the same for generated orders of changes, silences of a
// second at most, and up to two losses of the history.
func TestAnyMissedChangesAreFound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			kind  int
			key   string
			pause time.Duration
		}
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				kind: rapid.IntRange(0, 3).Draw(rt, "kind"), key: rapid.SampledFrom([]string{"servers/a", "servers/b", "tokens/a", "other/a"}).Draw(rt, "key"),
				pause: time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond,
			}
		}), 1, 25).Draw(rt, "steps")
		problem, _ := watchSilentStore(t, func(ss *silentStore) {
			for _, st := range steps {
				if st.kind < 2 {
					ss.write(st.key)
					time.Sleep(st.pause)
					continue
				}
				ss.setSilent(true)
				ss.write(st.key)
				time.Sleep(st.pause)
				if st.kind == 3 && ss.drops < 2 {
					ss.drop()
				}
				ss.setSilent(false)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// TestShortHistoryIsListedSeldom guards against a list for each watch of a store that keeps
// its history for shorter than watches reach back.
func TestShortHistoryIsListedSeldom(t *testing.T) {
	_, ss := watchSilentStore(t, func(ss *silentStore) {
		for range 600 {
			ss.write("other/a")
			ss.lock.Lock()
			ss.oldest = ss.revision - 25
			ss.lock.Unlock()
			time.Sleep(100 * time.Millisecond)
		}
	})
	assert.Assert(t, ss.lists <= 20, "%d lists in a minute", ss.lists)
}

// TestWatchesOfBusyKindDoNotRepeat guards against watches that are answered at once with
// changes that are known.
func TestWatchesOfBusyKindDoNotRepeat(t *testing.T) {
	_, ss := watchSilentStore(t, func(ss *silentStore) {
		for range 20 {
			ss.write("servers/a")
			time.Sleep(3 * time.Second)
		}
	})
	assert.Assert(t, ss.calls <= 140, "%d calls in 71 s", ss.calls)
	assert.Equal(t, ss.lists, 2)
}
