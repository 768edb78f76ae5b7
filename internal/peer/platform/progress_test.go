package platform

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/view"
)

func TestProgress(t *testing.T) {
	const within, start, second = 3 * time.Second, time.Hour, time.Second
	for _, tt := range []struct {
		name         string
		pg           Progress
		age          time.Duration
		isUnanswered bool
	}{
		{"inactive", Progress{AsOf: start - 9*second}, 9 * second, false},
		{"answered a second ago", Progress{Active: true, From: start - 9*second, AsOf: start - second}, second, false},
		{"unanswered for long", Progress{Active: true, From: start - 9*second, AsOf: start - 8*second/5}, 8 * second / 5, true},
		{"usually late", Progress{Active: true, From: start - 9*second, AsOf: start - 8*second/5, Late: second / 2}, 8 * second / 5, false},
		{"late without end", Progress{Active: true, From: start - 99*second, AsOf: start - 6*second, Late: 50 * second}, 6 * second, true},
		{"just began", Progress{Active: true, From: start - second/2, AsOf: start - 9*second}, 9 * second, false},
		{"began and got no answer", Progress{Active: true, From: start - 3*second/4, AsOf: start - 9*second}, 9 * second, true},
		{"only others are answered", Progress{Active: true, From: start - 9*second, AsOf: start, DueAt: start - 2*second}, 1750 * time.Millisecond, false},
		{"a watch may still be answered", Progress{Active: true, From: start - 9*second, AsOf: start, DueAt: start - second/10}, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, start-tt.pg.ConfirmedAsOf(), tt.age)
			assert.Equal(t, tt.pg.IsUnanswered(start, within), tt.isUnanswered)
		})
	}
}

// TestHungWatchRenewsNothing guards against a watcher that counts as confirmed while its calls
// hang, and when the VM thaws after a freeze.
func TestHungWatchRenewsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ss := newSilentStore()
		pacing := WatchPacing{MaxWait: func(string) time.Duration { return time.Second }}
		wt := NewWatcher(ss, watched, &copyTarget{}, pacing, zap.NewNop())
		var frozen atomic.Int64
		clock := sinceStart()
		wt.SinceBoot = func() time.Duration { return clock() + time.Duration(frozen.Load()) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			wt.Run(ctx)
			close(done)
		}()
		age := func() time.Duration { return wt.SinceBoot() - wt.Progress().ConfirmedAsOf() }
		for range 20 {
			time.Sleep(170 * time.Millisecond)
			assert.Assert(t, age() <= 1100*time.Millisecond, "%s", age())
			assert.Assert(t, !wt.Progress().IsUnanswered(wt.SinceBoot(), 3*time.Second))
		}
		ss.hangFor("", 1700*time.Millisecond)
		time.Sleep(1600 * time.Millisecond)
		assert.Assert(t, age() >= 1300*time.Millisecond, "%s", age())
		assert.Assert(t, wt.Progress().IsUnanswered(wt.SinceBoot(), 3*time.Second))
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(t, !wt.Progress().IsUnanswered(wt.SinceBoot(), 3*time.Second))
		frozen.Store(int64(10 * time.Second))
		assert.Assert(t, age() >= 10*time.Second, "%s", age())
		assert.Assert(t, wt.Progress().IsUnanswered(wt.SinceBoot(), 3*time.Second))
		cancel()
		<-done
	})
}

// TestOverdueWatchIsListed guards against a change that stays unknown since the connection of
// one watch is gone without notice, while the platform answers others.
func TestOverdueWatchIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ss, target := newSilentStore(), &copyTarget{}
		pacing := WatchPacing{MaxWait: func(string) time.Duration { return time.Second }, Pause: 100 * time.Millisecond, ListOverdue: true}
		wt, stop := startWatcher(t, ss, target, pacing)
		time.Sleep(500 * time.Millisecond)
		ss.hangFor(view.PrefixTokens, time.Minute)
		ss.write("tokens/a")
		time.Sleep(time.Second)
		target.lock.Lock()
		have, _ := target.vw.Objects.Get("tokens/a")
		target.lock.Unlock()
		assert.Equal(t, have, ss.objects["tokens/a"])
		assert.Assert(t, !wt.Progress().IsUnanswered(wt.SinceBoot(), 3*time.Second))
		assert.Assert(t, ss.lists <= 4, "%d lists", ss.lists)
		stop()
	})
}
