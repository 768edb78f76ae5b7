package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/bootclock"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/world/view"
)

const (
	// watchWait is how long a watch waits for a change. It must be well below
	// view.ConfirmationTTL, since the view is confirmed by the answers.
	watchWait = time.Second
	// slowWatchWait is the wait while the platform answers later than
	// slowCallTime after the wait, so that two successive watches stay below
	// view.ConfirmationTTL.
	slowWatchWait = 300 * time.Millisecond
	slowCallTime  = 300 * time.Millisecond
	// firstBackoff and maxBackoff limit the wait after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// wakeDelay is the mean random delay that spreads the calls of many
	// processes when the platform answers again.
	wakeDelay = 200 * time.Millisecond
	// vmListInterval is the mean time between two reads of the VM list.
	vmListInterval = 2 * time.Second
	// maxLeadFailures bounds the wait for the lead prefix, so that a platform which can't
	// answer for one kind of object does not keep a process from starting.
	maxLeadFailures = 3
)

// Target receives the objects and confirmations of a Watcher.
type Target interface {
	// Apply applies objects to the target, and returns how many changed it.
	Apply(now time.Time, origin view.Origin, objects []view.Object) (changed int64)
	// KeysOlderThan returns the keys under a prefix whose objects are older than a
	// version. An object that a list at that version lacks was deleted.
	KeysOlderThan(prefix string, version int64) []string
	// Confirm records that all prefixes matched the platform's objects at asOf.
	Confirm(asOf time.Time)
}

// StaleLister is implemented by a Reader that can also list what its platform
// answers at a lower cost from a copy, which may be seconds old.
type StaleLister interface {
	// ListStale is like Reader.List.
	ListStale(ctx context.Context, prefix string) ([]view.Object, int64, error)
}

// WatchPacing determines how often a Watcher calls the platform.
type WatchPacing struct {
	// MaxWait returns how long a watch of a prefix waits for a change. A watch may
	// miss changes when the platform drops its history; this limits how long
	// they go unnoticed.
	MaxWait func(prefix string) time.Duration
	// Pause is the time between an answer and the next watch, so that changes in
	// quick succession arrive in one answer.
	Pause time.Duration
	// ListOverdue is whether a watch that is overdue is given up and the prefix listed, over
	// another connection.
	ListOverdue bool
	// MaxSilence is how long the platform may be silent without an outage in which the records
	// of servers that run expire; 0 if that does not matter.
	MaxSilence time.Duration
	// KeepsHistory reports whether a watch of a prefix that brought no change is followed
	// by one from the same version, so that a change that the watch missed is found by the
	// next one, or its loss noticed; nil if none is.
	KeepsHistory func(prefix string) bool
	// FirstPause, if it is not 0, replaces the pause after the first list, which is
	// then read by ListStale. The time lets many processes that start at once learn
	// from each other which of them need to watch.
	FirstPause time.Duration
	// Lead, if it is not empty, is a prefix that is listed before the others when the
	// watcher starts. After maxLeadFailures failed lists the others no longer wait.
	Lead string
}

// Defaults returns pacing with waits short enough that the answers keep the
// view confirmed.
func (WatchPacing) Defaults() WatchPacing {
	return WatchPacing{MaxWait: func(string) time.Duration { return watchWait }}
}

// errOverdue is the end of a watch that was given up.
var errOverdue = errors.New("watch is overdue")

// Watcher lists and watches prefixes of the platform's objects, to keep a target
// up to date. Make one with NewWatcher.
type Watcher struct {
	Store    Reader
	Prefixes []string
	Target   Target
	Pacing   WatchPacing
	Log      *zap.Logger
	// SinceBoot reads a clock that counts suspensions and never jumps. NewWatcher sets it.
	SinceBoot func() time.Duration
	// OnCall is called before a call for a prefix is sent that the platform answers from
	// its newest state. The function that it returns is called when the answer has been
	// applied, unless the platform is known to have had a newer state before the call.
	// Both may be nil.
	OnCall func(prefix string) (answered func(version int64))
	// Answers records how the calls end.
	Answers *LastAnswer

	// calls is set while the watcher is active.
	calls atomic.Bool

	lock sync.Mutex
	// failedSince holds when the first call for each prefix failed since the last answer.
	failedSince map[string]time.Time
	// confirmedAt is when the last answered call for each prefix was sent.
	confirmedAt map[string]time.Time
	// newest is the highest version in an answer for each prefix.
	newest map[string]int64
	// slow holds whether the last watch of a prefix was answered late.
	slow map[string]bool
	// recovered is closed when a call is answered after a failure; it is nil if
	// no call has failed since the last answer.
	recovered chan struct{}
	// refresh signals the goroutine of a prefix to list it again.
	refresh map[string]chan struct{}
	// active is closed while the watcher is active; it is replaced by an open
	// channel when the watcher becomes inactive.
	active chan struct{}
	// listed holds the eras in which prefixes were listed since the watcher last became
	// active.
	listed map[string]int64
	// failedAt is when a call last failed; zero if calls for all prefixes were answered since.
	failedAt time.Time
	progress progress
	overlap  overlap
	// leadListed is closed when the lead prefix was listed or failed too often.
	leadListed chan struct{}
	// eras is the store's, or one of its own for a store that tells no era.
	eras *Eras
}

// NewWatcher returns an active watcher.
func NewWatcher(store Reader, prefixes []string, target Target, pacing WatchPacing, log *zap.Logger) *Watcher {
	wt := &Watcher{
		Store: store, Prefixes: prefixes, Target: target, Pacing: pacing, Log: log,
		confirmedAt: map[string]time.Time{}, newest: map[string]int64{}, slow: map[string]bool{}, refresh: map[string]chan struct{}{},
		active: make(chan struct{}), listed: map[string]int64{}, leadListed: make(chan struct{}), eras: &Eras{},
		Answers: &LastAnswer{}, failedSince: map[string]time.Time{},
		SinceBoot: bootclock.Now, progress: progress{due: map[string]time.Duration{}}, overlap: overlap{from: map[string][]versionAt{}},
	}
	if source, ok := store.(EraSource); ok {
		wt.eras = source.Eras()
	}
	close(wt.active)
	wt.calls.Store(true)
	for _, prefix := range prefixes {
		wt.refresh[prefix] = make(chan struct{}, 1)
	}
	return wt
}

// SetActive makes the watcher active or inactive. An inactive watcher makes no
// calls; when it becomes active again it lists all prefixes first.
func (wt *Watcher) SetActive(active bool) {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	if active == wt.isActive() {
		return
	}
	wt.calls.Store(active)
	if active {
		wt.progress.begin(wt.SinceBoot())
		close(wt.active)
		return
	}
	wt.progress.Active = false
	wt.active = make(chan struct{})
	wt.listed = map[string]int64{}
	for _, prefix := range wt.Prefixes {
		wt.Refresh(prefix)
	}
}

// isActive reports whether the watcher is active. The caller holds the lock.
func (wt *Watcher) isActive() bool {
	select {
	case <-wt.active:
		return true
	default:
		return false
	}
}

// waitActive waits until the watcher is active, and reports whether it was
// inactive before.
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

// IsCurrent reports whether the watcher is active, all prefixes were listed in the store's
// newest era, and no call has failed since the last answer for its prefix.
func (wt *Watcher) IsCurrent() bool {
	era, _ := wt.eras.Newest()
	wt.lock.Lock()
	defer wt.lock.Unlock()
	if !wt.isActive() || wt.recovered != nil || len(wt.failedSince) > 0 {
		return false
	}
	return !slices.ContainsFunc(wt.Prefixes, func(prefix string) bool {
		listed, ok := wt.listed[prefix]
		return !ok || listed != era
	})
}

// FailedWithin reports whether a call failed within a span before now, unless calls for all
// prefixes were answered since.
func (wt *Watcher) FailedWithin(now time.Time, span time.Duration) bool {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	return now.Sub(wt.failedAt) <= span
}

// Refresh cancels the current watch of a prefix and lists the prefix again. It
// does not block.
func (wt *Watcher) Refresh(prefix string) {
	select {
	case wt.refresh[prefix] <- struct{}{}:
	default:
	}
}

// Run watches all prefixes until the context is done.
func (wt *Watcher) Run(ctx context.Context) {
	wt.lock.Lock()
	if wt.isActive() {
		wt.progress.begin(wt.SinceBoot())
	}
	wt.lock.Unlock()
	var watches sync.WaitGroup
	for _, prefix := range wt.Prefixes {
		watches.Go(func() { wt.runPrefix(ctx, prefix) })
	}
	watches.Wait()
}

func (wt *Watcher) runPrefix(ctx context.Context, prefix string) {
	from := int64(-1)
	backoff := firstBackoff
	isFirst := wt.Pacing.FirstPause > 0
	endLead := wt.waitForLead(ctx, prefix)
	failures := 0
	for ctx.Err() == nil {
		if wt.waitActive(ctx) {
			from, backoff = -1, firstBackoff
			// The list that follows answers any request for one.
			select {
			case <-wt.refresh[prefix]:
			default:
			}
			continue
		}
		next, refreshed, err := wt.stepUnlessRefreshed(ctx, prefix, from, isFirst)
		if refreshed {
			from = -1
			if wt.isRestored(prefix) {
				// All entry VMs that watch see a restore at about the same time.
				sleep(ctx, jitter(wakeDelay))
			}
			continue
		}
		if err == nil {
			endLead()
			pause := wt.Pacing.Pause
			if from < 0 && isFirst {
				pause = max(pause, wt.Pacing.FirstPause)
			}
			from, backoff, isFirst = next, firstBackoff, false
			wt.markAnswered()
			sleep(ctx, pause)
			continue
		}
		isFirst = false
		if errors.Is(err, errOverdue) {
			from = -1
			events.WatchFailed.Log(wt.Log, zap.String("prefix", prefix), zap.Error(err))
			continue
		}
		if errors.Is(err, ErrCompacted) {
			from = -1
			wt.markCompacted()
			if !wt.isRestored(prefix) {
				wt.refreshOthers(prefix)
			}
			events.WatchFailed.Log(wt.Log, zap.String("prefix", prefix), zap.Error(err))
			continue
		}
		if failures++; failures == maxLeadFailures {
			endLead()
		}
		recovered := wt.markFailed()
		if ctx.Err() == nil {
			events.WatchFailed.Log(wt.Log, zap.String("prefix", prefix), zap.Error(err))
		}
		sleepOrWake(ctx, jitter(backoff), recovered)
		backoff = min(backoff*2, maxBackoff)
	}
}

// waitForLead waits until the lead prefix was listed. For the lead prefix itself it
// returns at once, with the function that ends the wait of the others.
func (wt *Watcher) waitForLead(ctx context.Context, prefix string) (end func()) {
	switch wt.Pacing.Lead {
	case "":
	case prefix:
		return sync.OnceFunc(func() { close(wt.leadListed) })
	default:
		select {
		case <-wt.leadListed:
		case <-ctx.Done():
		}
	}
	return func() {}
}

// isRestored reports whether the prefix was listed in an earlier era of the store only.
func (wt *Watcher) isRestored(prefix string) bool {
	era, _ := wt.eras.Newest()
	wt.lock.Lock()
	defer wt.lock.Unlock()
	listed, ok := wt.listed[prefix]
	return ok && listed < era
}

// stepUnlessRefreshed runs step. If a refresh of the prefix is requested during
// a watch, or the store was restored since the watch's version, it cancels the watch and
// reports refreshed.
func (wt *Watcher) stepUnlessRefreshed(ctx context.Context, prefix string, from int64, isFirst bool) (next int64, refreshed bool, err error) {
	if stale, ok := wt.Store.(StaleLister); ok && isFirst && from < 0 {
		next, err = wt.listStale(ctx, stale, prefix)
		return next, false, err
	}
	if from < 0 {
		next, err = wt.step(ctx, prefix, from)
		return next, false, err
	}
	era, risen := wt.eras.Newest()
	if view.EraOf(from) < era {
		return 0, true, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	refreshRequested := make(chan bool, 1)
	go func() {
		select {
		case <-risen:
			cancel()
			refreshRequested <- true
		case <-wt.refresh[prefix]:
			cancel()
			refreshRequested <- true
		case <-done:
			refreshRequested <- false
		}
	}()
	next, err = wt.step(ctx, prefix, from)
	close(done)
	return next, <-refreshRequested, err
}

// refreshOthers lists all other prefixes again. When the platform drops its
// history, their watches may miss changes without an error.
func (wt *Watcher) refreshOthers(except string) {
	for _, prefix := range wt.Prefixes {
		if prefix != except {
			wt.Refresh(prefix)
		}
	}
}

// markFailed records a failed call, and returns a channel that is closed when a
// call for any prefix is answered.
func (wt *Watcher) markFailed() <-chan struct{} {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	wt.failedAt = time.Now()
	if wt.recovered == nil {
		wt.recovered = make(chan struct{})
	}
	return wt.recovered
}

// markAnswered records an answered call, and wakes the prefixes that wait after
// a failure.
func (wt *Watcher) markAnswered() {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	if len(wt.failedSince) == 0 {
		wt.failedAt = time.Time{}
	}
	if wt.recovered != nil {
		close(wt.recovered)
		wt.recovered = nil
	}
}

// markCompacted records that the platform dropped its history.
func (wt *Watcher) markCompacted() {
	now := wt.SinceBoot()
	wt.lock.Lock()
	defer wt.lock.Unlock()
	wt.overlap.compacted(now)
}

// listStale applies a list that may be old. It confirms nothing and takes nothing
// for deleted; the watch that follows brings what has changed since.
func (wt *Watcher) listStale(ctx context.Context, store StaleLister, prefix string) (int64, error) {
	objects, version, err := wt.callListStale(ctx, store, prefix)
	if err != nil {
		return 0, err
	}
	if !wt.eras.Observe(view.EraOf(version)) {
		return 0, fmt.Errorf("list %s: %w", prefix, ErrOldEra)
	}
	wt.applyFrom(prefix, view.Origin{Source: view.SourceStaleList}, objects)
	wt.lock.Lock()
	defer wt.lock.Unlock()
	wt.progress.From = wt.SinceBoot() + wt.Pacing.FirstPause
	// A short watch confirms the list soon.
	wt.slow[prefix] = true
	return version, nil
}

// step lists the prefix if from is negative, else it watches once. It returns
// the version from which the next watch continues.
func (wt *Watcher) step(ctx context.Context, prefix string, from int64) (int64, error) {
	if from < 0 {
		return wt.list(ctx, prefix)
	}
	return wt.watch(ctx, prefix, from)
}

// list lists the prefix, and returns the version from which a watch continues.
func (wt *Watcher) list(ctx context.Context, prefix string) (int64, error) {
	startedAt, answered := time.Now(), wt.beginCall(prefix)
	sentAt := wt.markSent(prefix, 0)
	objects, version, err := wt.callList(ctx, prefix)
	if err != nil {
		wt.markUnanswered(prefix)
		return 0, err
	}
	era := view.EraOf(version)
	if !wt.eras.Observe(era) {
		wt.markUnanswered(prefix)
		return 0, fmt.Errorf("list %s: %w", prefix, ErrOldEra)
	}
	objects = append(objects, wt.deletionsOf(prefix, objects, version)...)
	if mark, ok := view.NewEraMark(prefix, era); ok {
		objects = append(objects, mark)
	}
	wt.applyFrom(prefix, view.Origin{Source: view.SourceList, Since: wt.listedSince(time.Now(), prefix)}, objects)
	wt.confirm(prefix, startedAt, era)
	if version < wt.newestOf(prefix, version) {
		// An answer from before a known state tells nothing about the newest.
		wt.markUnanswered(prefix)
	} else {
		wt.markReceived(prefix, sentAt, 0, false)
	}
	answered(version)
	return wt.continueFrom(prefix, version, true), nil
}

// watch watches the prefix once, and returns the version from which the next watch
// continues.
func (wt *Watcher) watch(ctx context.Context, prefix string, from int64) (int64, error) {
	startedAt, answered := time.Now(), wt.beginCall(prefix)
	wait := wt.Pacing.MaxWait(prefix)
	if wt.isSlow(prefix) {
		wait = min(wait, slowWatchWait)
	}
	sentAt := wt.markSent(prefix, wait)
	limited, cancel := ctx, func() {}
	if wt.Pacing.ListOverdue {
		limited, cancel = context.WithTimeout(ctx, wt.Progress().overdueAt(wait))
	}
	defer cancel()
	objects, next, err := wt.callWatch(limited, prefix, from, wait)
	if err != nil {
		wt.markUnanswered(prefix)
		if ctx.Err() == nil && limited.Err() != nil {
			wt.recordCall(ctx, prefix, err)
			return 0, errOverdue
		}
		return 0, err
	}
	wt.setSlow(prefix, time.Since(startedAt) > wait+slowCallTime)
	if era := view.EraOf(next); era != view.EraOf(from) {
		// The watch may have missed changes since the restore.
		wt.eras.Observe(era)
		wt.markUnanswered(prefix)
		return -1, nil
	}
	if known := wt.newestOf(prefix, from); next < known {
		events.StaleStore.Log(wt.Log, zap.String("prefix", prefix), zap.Int64("version", next), zap.Int64("known", known))
		wt.markUnanswered(prefix)
		return from, nil
	}
	wt.applyFrom(prefix, view.Origin{Source: view.SourceWatch, Since: wt.watchedSince(time.Now(), prefix, objects, sentAt, wait)}, objects)
	wt.confirm(prefix, startedAt, view.EraOf(next))
	wt.markReceived(prefix, sentAt, wait, len(objects) > 0)
	answered(next)
	overlapped := wt.continueFrom(prefix, next, len(objects) > 0)
	if len(objects) == 0 && wt.Pacing.KeepsHistory != nil && wt.Pacing.KeepsHistory(prefix) && time.Since(startedAt) >= wait {
		return from, nil
	}
	return overlapped, nil
}

// newestOf returns the highest version that is known for a prefix, one of them given.
func (wt *Watcher) newestOf(prefix string, known int64) int64 {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	return max(wt.newest[prefix], known)
}

// continueFrom returns the version from which the next watch of a prefix continues after an
// answer.
func (wt *Watcher) continueFrom(prefix string, version int64, hasChanges bool) int64 {
	answered := versionAt{version, wt.SinceBoot()}
	wt.lock.Lock()
	defer wt.lock.Unlock()
	return wt.overlap.next(prefix, answered, hasChanges)
}

// beginCall returns a function to call with the version of the answer to a call that is
// now sent, when it has been applied.
func (wt *Watcher) beginCall(prefix string) func(version int64) {
	var done func(version int64)
	if wt.OnCall != nil {
		done = wt.OnCall(prefix)
	}
	return func(version int64) {
		wt.lock.Lock()
		isStale := version < wt.newest[prefix]
		wt.newest[prefix] = max(wt.newest[prefix], version)
		wt.lock.Unlock()
		if done != nil && !isStale {
			done(version)
		}
	}
}

// deletionsOf returns a deletion for each known object that a list at a version
// lacks.
func (wt *Watcher) deletionsOf(prefix string, listed []view.Object, version int64) []view.Object {
	present := make(map[string]bool, len(listed))
	for _, ob := range listed {
		present[ob.Key] = true
	}
	var deletions []view.Object
	for _, key := range wt.Target.KeysOlderThan(prefix, version) {
		if !present[key] {
			deletions = append(deletions, view.Object{Key: key, Version: version, Deleted: true})
		}
	}
	return deletions
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

// confirm records that the prefix matched the platform's objects at asOf, in an era. The
// target is confirmed as of the oldest of its prefixes.
func (wt *Watcher) confirm(prefix string, asOf time.Time, era int64) {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	wt.confirmedAt[prefix] = asOf
	wt.listed[prefix] = era
	oldest := asOf
	for _, name := range wt.Prefixes {
		at, ok := wt.confirmedAt[name]
		if !ok {
			return
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	wt.Target.Confirm(oldest)
}

// WatchVMs reads the VM list periodically until the context is done, and passes
// it to handle.
func WatchVMs(ctx context.Context, store Store, handle func(now time.Time, vms []VM)) {
	for ctx.Err() == nil {
		vms, err := store.VMs(ctx)
		if err == nil {
			handle(time.Now(), vms)
		}
		sleep(ctx, jitter(vmListInterval))
	}
}

// jitter returns a random duration between 0.5 and 1.5 times the given one.
func jitter(about time.Duration) time.Duration {
	return about/2 + rand.N(about)
}

func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	sleepOrWake(ctx, duration, nil)
}

// sleepOrWake sleeps for a duration. If wake is closed before that, it returns
// after a random delay around wakeDelay.
func sleepOrWake(ctx context.Context, duration time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
		sleep(ctx, jitter(wakeDelay))
	case <-ctx.Done():
	}
}
