package platform

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/view"
)

// failingStore is a silentStore that may refuse the calls for one prefix, or not answer its
// lists.
type failingStore struct {
	*silentStore
	fails, hangs atomic.Bool
}

var errRefused = errors.New("refused")

func (fs *failingStore) refuse(prefix string) error {
	if fs.fails.Load() && strings.HasPrefix(prefix, view.PrefixTokens) {
		time.Sleep(time.Millisecond)
		return errRefused
	}
	return nil
}

func (fs *failingStore) List(ctx context.Context, prefix string) ([]view.Object, int64, error) {
	if err := fs.refuse(prefix); err != nil {
		return nil, 0, err
	}
	if fs.hangs.Load() && strings.HasPrefix(prefix, view.PrefixTokens) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return fs.silentStore.List(ctx, prefix)
}

func (fs *failingStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	if err := fs.refuse(prefix); err != nil {
		return nil, 0, err
	}
	return fs.silentStore.Watch(ctx, prefix, from, wait)
}

// TestFailingPrefixConfirmsNothing guards against a VM that confirms all objects, and counts as
// reaching the store, while the calls for one kind fail and those for others are answered.
func TestFailingPrefixConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := &failingStore{silentStore: newSilentStore()}
		pacing := WatchPacing{MaxWait: func(string) time.Duration { return time.Second }, ListOverdue: true}
		wt, stop := startWatcher(t, fs, &copyTarget{}, pacing)
		time.Sleep(3 * time.Second)
		assert.Assert(t, wt.IsCurrent())
		fs.fails.Store(true)
		fs.drop()
		time.Sleep(2 * time.Second)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, !wt.IsCurrent())
			assert.Assert(t, wt.FailedWithin(time.Now(), 5*time.Second))
		}
		fs.fails.Store(false)
		time.Sleep(3 * time.Second)
		assert.Assert(t, wt.IsCurrent())
		assert.Assert(t, !wt.FailedWithin(time.Now(), 5*time.Second))
		stop()
	})
}

// TestUnansweredPrefixConfirmsNothing is the same while the calls for one kind are not answered,
// also that which follows an overdue watch.
func TestUnansweredPrefixConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := &failingStore{silentStore: newSilentStore()}
		pacing := WatchPacing{MaxWait: func(string) time.Duration { return time.Second }, ListOverdue: true}
		wt, stop := startWatcher(t, fs, &copyTarget{}, pacing)
		time.Sleep(3 * time.Second)
		assert.Assert(t, wt.IsCurrent())
		fs.hangFor(view.PrefixTokens, time.Minute)
		fs.hangs.Store(true)
		time.Sleep(2 * time.Second)
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, !wt.IsCurrent())
		}
		stop()
	})
}
