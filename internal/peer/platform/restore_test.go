package platform

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisystage.example/daisystage/internal/world/view"
)

// TestMain fixes the seed of rapid, so that a run of CI is repeatable; -rapid.seed tries others.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("20261207"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// restoredStore is a Reader of a store that may come back from an older copy.
type restoredStore struct {
	eras Eras

	lock          sync.Mutex
	era, revision int64
	objects       map[string]view.Object
	// copies holds the objects at each revision of the era.
	copies map[int64]map[string]view.Object
	// changed is closed and replaced with each change and each restore.
	changed chan struct{}
	// delay is how long answers take after the store read its objects.
	delay time.Duration
	// forgets is set if watches of revisions that the store does not have wait for them,
	// as those of a store that does not notice.
	forgets bool
	lists   map[string]int
}

func newRestoredStore() *restoredStore {
	return &restoredStore{
		revision: 10, objects: map[string]view.Object{}, copies: map[int64]map[string]view.Object{10: {}},
		changed: make(chan struct{}), lists: map[string]int{},
	}
}

func (rs *restoredStore) Eras() *Eras { return &rs.eras }

// write replaces the value of an object; an empty one deletes it.
func (rs *restoredStore) write(key, value string) {
	rs.lock.Lock()
	defer rs.lock.Unlock()
	rs.revision++
	rs.objects = maps.Clone(rs.objects)
	version, _ := view.MakeVersion(rs.era, rs.revision)
	rs.objects[key] = view.Object{Key: key, Version: version, Value: value, Deleted: value == ""}
	rs.copies[rs.revision] = rs.objects
	close(rs.changed)
	rs.changed = make(chan struct{})
}

// restore brings the store back to some revisions before.
func (rs *restoredStore) restore(back int64) {
	rs.lock.Lock()
	defer rs.lock.Unlock()
	rs.era++
	rs.revision = max(rs.revision-back, 10)
	for rs.copies[rs.revision] == nil {
		rs.revision++
	}
	old := rs.copies[rs.revision]
	rs.objects = map[string]view.Object{}
	for key, ob := range old {
		if !ob.Deleted {
			ob.Version, _ = view.MakeVersion(rs.era, view.RevisionOf(ob.Version))
			rs.objects[key] = ob
		}
	}
	rs.copies = map[int64]map[string]view.Object{rs.revision: rs.objects}
	close(rs.changed)
	rs.changed = make(chan struct{})
}

// answer delays an answer, and returns an error if a newer era is known then.
func (rs *restoredStore) answer(ctx context.Context, era int64) error {
	rs.lock.Lock()
	delay := rs.delay
	rs.lock.Unlock()
	select {
	case <-time.After(time.Millisecond + delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if !rs.eras.Observe(era) {
		return ErrOldEra
	}
	return nil
}

func (rs *restoredStore) List(ctx context.Context, prefix string) ([]view.Object, int64, error) {
	rs.lock.Lock()
	rs.lists[prefix]++
	era := rs.era
	version, _ := view.MakeVersion(era, rs.revision)
	var objects []view.Object
	for key, ob := range rs.objects {
		if strings.HasPrefix(key, prefix) && !ob.Deleted {
			objects = append(objects, ob)
		}
	}
	rs.lock.Unlock()
	return objects, version, rs.answer(ctx, era)
}

func (rs *restoredStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	over := time.After(wait)
	for waiting := true; ; {
		rs.lock.Lock()
		era, revision, changed := rs.era, rs.revision, rs.changed
		var events []view.Object
		for key, ob := range rs.objects {
			if strings.HasPrefix(key, prefix) && view.RevisionOf(ob.Version) > view.RevisionOf(from) {
				events = append(events, ob)
			}
		}
		forgets := rs.forgets
		rs.lock.Unlock()
		if revision < view.RevisionOf(from) && !forgets {
			if err := rs.answer(ctx, era); err != nil {
				return nil, 0, err
			}
			return nil, 0, ErrCompacted
		}
		if len(events) > 0 || !waiting {
			next, _ := view.MakeVersion(era, revision)
			return events, next, rs.answer(ctx, era)
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

// copyTarget is a Target that keeps a view.
type copyTarget struct {
	lock sync.Mutex
	vw   view.View
}

func (ct *copyTarget) Apply(_ time.Time, _ view.Origin, objects []view.Object) int64 {
	ct.lock.Lock()
	defer ct.lock.Unlock()
	before := ct.vw.Changes
	ct.vw = ct.vw.ApplyAll(objects, func(view.Object, error) {})
	return ct.vw.Changes - before
}

func (ct *copyTarget) KeysOlderThan(prefix string, version int64) []string {
	ct.lock.Lock()
	defer ct.lock.Unlock()
	return ct.vw.KeysOlderThan(prefix, version)
}

func (ct *copyTarget) Confirm(time.Time) {}

// differences returns how the target differs from the store; empty if it does not.
func (ct *copyTarget) differences(rs *restoredStore) string {
	ct.lock.Lock()
	defer ct.lock.Unlock()
	rs.lock.Lock()
	defer rs.lock.Unlock()
	for key, ob := range rs.objects {
		if have, ok := ct.vw.Objects.Get(key); !ob.Deleted && (!ok || have != ob) {
			return fmt.Sprintf("%s: have %+v, the store %+v", key, have, ob)
		}
	}
	for key, ob := range ct.vw.Objects.All() {
		if have := rs.objects[key]; !ob.Deleted && !strings.HasPrefix(key, "eras/") && have.Value != ob.Value {
			return fmt.Sprintf("%s: have %+v, the store %+v", key, ob, have)
		}
	}
	return ""
}

var watched = []string{view.PrefixTokens, view.PrefixServers}

// watchRestoredStore runs a watcher while do changes the store.
func watchRestoredStore(t *testing.T, do func(rs *restoredStore, wt *Watcher)) (problem string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rs, target := newRestoredStore(), &copyTarget{}
		rs.write("tokens/a", `{"author":"1"}`)
		rs.write("servers/a", "1")
		wt := NewWatcher(rs, watched, target, WatchPacing{}.Defaults(), zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			wt.Run(ctx)
			close(done)
		}()
		time.Sleep(2 * time.Second)
		do(rs, wt)
		rs.lock.Lock()
		rs.delay = 0
		rs.lock.Unlock()
		time.Sleep(10 * time.Second)
		problem = target.differences(rs)
		if !wt.IsCurrent() {
			problem += " the watcher is not current"
		}
		cancel()
		<-done
	})
	return problem
}

// TestWatcherFollowsRestoredStore guards against a watcher that misses changes, or confirms
// nothing, after the store came back from an older copy.
func TestWatcherFollowsRestoredStore(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(rs *restoredStore)
		// lists is the most lists of a prefix beside the first one.
		lists int
	}{
		{"a watch gets ErrCompacted", func(rs *restoredStore) {
			rs.restore(2)
			rs.write("servers/a", "2")
		}, 1},
		{"a revision is given out again", func(rs *restoredStore) {
			rs.restore(1)
			rs.write("servers/a", "2")
		}, 1},
		{"the counter passes the old one at once", func(rs *restoredStore) {
			rs.restore(2)
			for i := range 5 {
				rs.write("servers/a", fmt.Sprint(i))
			}
			rs.write("tokens/a", "")
		}, 1},
		{"nothing is written again", func(rs *restoredStore) { rs.restore(1) }, 1},
		{"two restores between two answers", func(rs *restoredStore) {
			rs.restore(1)
			rs.write("tokens/b", `{"author":"1"}`)
			rs.restore(1)
			rs.write("tokens/c", `{"author":"1"}`)
		}, 1},
		{"the store does not notice watches of lost revisions", func(rs *restoredStore) {
			rs.forgets = true
			rs.restore(2)
			rs.write("servers/a", "2")
		}, 1},
		{"an answer from before comes late", func(rs *restoredStore) {
			rs.lock.Lock()
			rs.delay = 1500 * time.Millisecond
			rs.lock.Unlock()
			rs.write("servers/a", "2")
			time.Sleep(500 * time.Millisecond)
			rs.restore(1)
			rs.lock.Lock()
			rs.delay = 0
			rs.lock.Unlock()
			time.Sleep(5 * time.Second)
		}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			problem := watchRestoredStore(t, func(rs *restoredStore, _ *Watcher) {
				rs.lock.Lock()
				before := maps.Clone(rs.lists)
				rs.lock.Unlock()
				tt.do(rs)
				time.Sleep(10 * time.Second)
				rs.lock.Lock()
				defer rs.lock.Unlock()
				for _, prefix := range watched {
					assert.Assert(t, rs.lists[prefix]-before[prefix] <= tt.lists, "%d lists of %s", rs.lists[prefix]-before[prefix], prefix)
				}
			})
			assert.Equal(t, problem, "")
		})
	}
}

// TestWatcherFollowsAnyRestores is the same for generated orders of changes, restores, slow
// answers and times without watches.
func TestWatcherFollowsAnyRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			kind  int
			key   string
			back  int64
			pause time.Duration
		}
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				kind: rapid.IntRange(0, 6).Draw(rt, "kind"), back: rapid.Int64Range(0, 6).Draw(rt, "back"),
				key:   rapid.SampledFrom([]string{"servers/a", "servers/b", "tokens/a"}).Draw(rt, "key"),
				pause: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond,
			}
		}), 1, 25).Draw(rt, "steps")
		problem := watchRestoredStore(t, func(rs *restoredStore, wt *Watcher) {
			for i, st := range steps {
				switch st.kind {
				case 0, 1:
					rs.write(st.key, fmt.Sprintf(`{"author":"%d"}`, i))
				case 2:
					rs.write(st.key, "")
				case 3:
					rs.restore(st.back)
				case 4:
					rs.lock.Lock()
					rs.delay = st.pause
					rs.lock.Unlock()
				case 5:
					wt.SetActive(false)
				case 6:
					wt.SetActive(true)
				}
				time.Sleep(st.pause)
			}
			wt.SetActive(true)
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
