package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/world/view"
)

const (
	// watchWait is how long a watch waits for a change. It is well below
	// view.ConfirmedFor, since each answer confirms the view.
	watchWait = time.Second
	// slowWatchWait is the wait while the platform takes longer than slowCall,
	// so that two watches in a row stay below view.ConfirmedFor.
	slowWatchWait = 300 * time.Millisecond
	slowCall      = 300 * time.Millisecond
	// firstBackoff and longestBackoff bound the wait after a failed call.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 2 * time.Second
	// wakeSpread keeps the calls of many processes apart when the platform is
	// back.
	wakeSpread = 200 * time.Millisecond
	// vmListEvery is the time between two readings of the VM list.
	vmListEvery = 2 * time.Second
)

// Target takes in what a Watcher hears.
type Target interface {
	// Apply takes objects in.
	Apply(now time.Time, objects []view.Object)
	// Known returns the keys under a prefix of the objects that are older than
	// a version; a list as of that version has them, or they are gone.
	Known(prefix string, version int64) []string
	// Confirm says that all prefixes are as of a time.
	Confirm(asOf time.Time)
}

// Pace says how often a Watcher calls.
type Pace struct {
	// Wait returns how long a watch of a prefix waits for a change. A watch may
	// miss changes when the platform drops its history, so that this bounds how
	// long they go unheard.
	Wait func(prefix string) time.Duration
	// Pause is the time between an answer and the next watch, so that changes
	// that come close together are heard of in one answer.
	Pause time.Duration
}

// Defaults returns the pace at which each answer confirms the view.
func (Pace) Defaults() Pace {
	return Pace{Wait: func(string) time.Duration { return watchWait }}
}

// Watcher keeps a target up to date with the platform. Make one with NewWatcher.
type Watcher struct {
	Store    Reader
	Prefixes []string
	Target   Target
	Pace     Pace
	Log      *zap.Logger

	lock sync.Mutex
	// heard is when the newest answered call for each prefix was made.
	heard map[string]time.Time
	// slow holds the prefixes whose last watch was answered late.
	slow map[string]bool
	// back is not nil while a prefix waits after a failure.
	back chan struct{}
	// refresh tells the watch of a prefix to list it anew.
	refresh map[string]chan struct{}
	// active is closed while the watcher calls; it is replaced when it stops.
	active chan struct{}
	// listed holds the prefixes that were listed since the watcher began to
	// call.
	listed map[string]bool
	// failedAt is when a call last failed.
	failedAt time.Time
}

// NewWatcher returns a watcher that is ready to run.
func NewWatcher(store Reader, prefixes []string, target Target, pace Pace, log *zap.Logger) *Watcher {
	wt := &Watcher{
		Store: store, Prefixes: prefixes, Target: target, Pace: pace, Log: log,
		heard: map[string]time.Time{}, slow: map[string]bool{}, refresh: map[string]chan struct{}{},
		active: make(chan struct{}), listed: map[string]bool{},
	}
	close(wt.active)
	for _, prefix := range prefixes {
		wt.refresh[prefix] = make(chan struct{}, 1)
	}
	return wt
}

// SetActive makes the watcher call, or stop calling; it begins by listing all.
func (wt *Watcher) SetActive(active bool) {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	if active == wt.isActive() {
		return
	}
	if active {
		close(wt.active)
		return
	}
	wt.active = make(chan struct{})
	wt.listed = map[string]bool{}
	for _, prefix := range wt.Prefixes {
		wt.Refresh(prefix)
	}
}

// isActive reports whether the watcher calls. The lock is held.
func (wt *Watcher) isActive() bool {
	select {
	case <-wt.active:
		return true
	default:
		return false
	}
}

// waitActive waits until the watcher may call, and reports whether it had to.
func (wt *Watcher) waitActive(ctx context.Context) bool {
	wt.lock.Lock()
	active, waited := wt.active, !wt.isActive()
	wt.lock.Unlock()
	select {
	case <-active:
	case <-ctx.Done():
	}
	return waited
}

// IsCurrent reports whether all prefixes are listed and watched.
func (wt *Watcher) IsCurrent() bool {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	return wt.isActive() && wt.back == nil && len(wt.listed) == len(wt.Prefixes)
}

// FailedWithin reports whether a call failed a short while ago, and none was
// answered since.
func (wt *Watcher) FailedWithin(now time.Time, span time.Duration) bool {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	return now.Sub(wt.failedAt) <= span
}

// Refresh lists a prefix anew, in place of the watch that waits. It does not
// block.
func (wt *Watcher) Refresh(prefix string) {
	select {
	case wt.refresh[prefix] <- struct{}{}:
	default:
	}
}

// ViewTarget is the Target of a published view.
type ViewTarget struct {
	Views        *rcu.Value[view.View]
	Confirmation *view.Confirmation
	Log          *zap.Logger
}

// Apply is of Target.
func (vt ViewTarget) Apply(_ time.Time, objects []view.Object) {
	Apply(vt.Views, vt.Log, objects)
}

// Current is of entry.Replica.
func (vt ViewTarget) Current() *view.Copy {
	return &vt.Views.Load().Copy
}

// Known is of Target.
func (vt ViewTarget) Known(prefix string, version int64) []string {
	var keys []string
	for key, ob := range vt.Views.Load().Objects.All() {
		if strings.HasPrefix(key, prefix) && !ob.Deleted && ob.Version < version {
			keys = append(keys, key)
		}
	}
	return keys
}

// Confirm is of Target.
func (vt ViewTarget) Confirm(asOf time.Time) {
	vt.Confirmation.Heard(asOf)
}

// Apply takes objects into the published view and logs those that it refuses.
func Apply(views *rcu.Value[view.View], log *zap.Logger, objects []view.Object) {
	if len(objects) == 0 {
		return
	}
	views.Update(func(vw view.View) view.View {
		for _, ob := range objects {
			next, err := vw.Apply(ob)
			if err != nil {
				logRefused(log, ob, err)
			}
			vw = next
		}
		return vw
	})
}

func logRefused(log *zap.Logger, ob view.Object, err error) {
	if errors.Is(err, view.ErrOlder) {
		events.OlderObject.Log(log, zap.String("key", ob.Key), zap.Int64("version", ob.Version), zap.Error(err))
		return
	}
	events.BadObject.Log(log, zap.String("key", ob.Key), zap.Int64("version", ob.Version), zap.Error(err))
}

// Run watches all prefixes until the context ends.
func (wt *Watcher) Run(ctx context.Context) {
	var watches sync.WaitGroup
	for _, prefix := range wt.Prefixes {
		watches.Go(func() { wt.runPrefix(ctx, prefix) })
	}
	watches.Wait()
}

func (wt *Watcher) runPrefix(ctx context.Context, prefix string) {
	from := int64(-1)
	backoff := firstBackoff
	for ctx.Err() == nil {
		if wt.waitActive(ctx) {
			from, backoff = -1, firstBackoff
			continue
		}
		next, refreshed, err := wt.stepOrRefresh(ctx, prefix, from)
		if refreshed {
			from = -1
			continue
		}
		if err == nil {
			from, backoff = next, firstBackoff
			wt.answered()
			sleep(ctx, wt.Pace.Pause)
			continue
		}
		if errors.Is(err, ErrCompacted) {
			from = -1
			wt.refreshOthers(prefix)
			events.WatchFailed.Log(wt.Log, zap.String("prefix", prefix), zap.Error(err))
			continue
		}
		back := wt.failed()
		if ctx.Err() == nil {
			events.WatchFailed.Log(wt.Log, zap.String("prefix", prefix), zap.Error(err))
		}
		wait(ctx, jitter(backoff), back)
		backoff = min(backoff*2, longestBackoff)
	}
}

// stepOrRefresh is step, unless the prefix is to be listed anew meanwhile.
func (wt *Watcher) stepOrRefresh(ctx context.Context, prefix string, from int64) (next int64, refreshed bool, err error) {
	if from < 0 {
		next, err = wt.step(ctx, prefix, from)
		return next, false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	over := make(chan struct{})
	asked := make(chan bool, 1)
	go func() {
		select {
		case <-wt.refresh[prefix]:
			cancel()
			asked <- true
		case <-over:
			asked <- false
		}
	}()
	next, err = wt.step(ctx, prefix, from)
	close(over)
	return next, <-asked, err
}

// refreshOthers lists all other prefixes anew: their watches may have missed
// what a dropped history held, without being told.
func (wt *Watcher) refreshOthers(but string) {
	for _, prefix := range wt.Prefixes {
		if prefix != but {
			wt.Refresh(prefix)
		}
	}
}

// failed returns a channel that is closed when a prefix is answered again.
func (wt *Watcher) failed() <-chan struct{} {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	wt.failedAt = time.Now()
	if wt.back == nil {
		wt.back = make(chan struct{})
	}
	return wt.back
}

// answered wakes the prefixes that wait after a failure: the platform is back.
func (wt *Watcher) answered() {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	wt.failedAt = time.Time{}
	if wt.back != nil {
		close(wt.back)
		wt.back = nil
	}
}

// step lists the prefix if from is negative, else it watches once.
func (wt *Watcher) step(ctx context.Context, prefix string, from int64) (int64, error) {
	startedAt := time.Now()
	if from < 0 {
		objects, version, err := wt.Store.List(ctx, prefix)
		if err != nil {
			return 0, err
		}
		wt.Target.Apply(time.Now(), append(objects, wt.absent(prefix, objects, version)...))
		wt.confirm(prefix, startedAt)
		return version, nil
	}
	wait := wt.Pace.Wait(prefix)
	if wt.isSlow(prefix) {
		wait = min(wait, slowWatchWait)
	}
	objects, next, err := wt.Store.Watch(ctx, prefix, from, wait)
	if err != nil {
		return 0, err
	}
	wt.setSlow(prefix, time.Since(startedAt) > wait+slowCall)
	if next < from {
		events.StaleStore.Log(wt.Log, zap.String("prefix", prefix), zap.Int64("version", next), zap.Int64("known", from))
		return from, nil
	}
	wt.Target.Apply(time.Now(), objects)
	wt.confirm(prefix, startedAt)
	return next, nil
}

// absent returns deletions for known objects that a list lacks.
func (wt *Watcher) absent(prefix string, listed []view.Object, version int64) []view.Object {
	present := make(map[string]bool, len(listed))
	for _, ob := range listed {
		present[ob.Key] = true
	}
	var gone []view.Object
	for _, key := range wt.Target.Known(prefix, version) {
		if !present[key] {
			gone = append(gone, view.Object{Key: key, Version: version, Deleted: true})
		}
	}
	return gone
}

func (wt *Watcher) isSlow(prefix string) bool {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	return wt.slow[prefix]
}

func (wt *Watcher) setSlow(prefix string, slow bool) {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	wt.slow[prefix] = slow
}

// confirm records that the prefix is as of a time; the view is as of the
// oldest of its prefixes.
func (wt *Watcher) confirm(prefix string, asOf time.Time) {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	wt.heard[prefix] = asOf
	wt.listed[prefix] = true
	oldest := asOf
	for _, name := range wt.Prefixes {
		at, ok := wt.heard[name]
		if !ok {
			return
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	wt.Target.Confirm(oldest)
}

// WatchVMs reads the VM list until the context ends and hands it to take.
func WatchVMs(ctx context.Context, store Store, take func(now time.Time, vms []VM)) {
	for ctx.Err() == nil {
		vms, err := store.VMs(ctx)
		if err == nil {
			take(time.Now(), vms)
		}
		sleep(ctx, jitter(vmListEvery))
	}
}

// jitter returns a random duration around the given one.
func jitter(about time.Duration) time.Duration {
	return about/2 + rand.N(about)
}

func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	wait(ctx, duration, nil)
}

// wait sleeps until the duration is over or wake is closed, then for a moment
// that differs between processes.
func wait(ctx context.Context, duration time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
		sleep(ctx, jitter(wakeSpread))
	case <-ctx.Done():
	}
}
