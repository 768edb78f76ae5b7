package platform

import (
	"math"
	"time"

	"daisystage.example/daisystage/internal/world/view"
)

const (
	// nextAnswerPercent and firstAnswerPercent are the parts of the time within which a
	// change must take effect after which a watcher counts as unanswered: since the last
	// answer, and since it became active if there was none. What remains is for a successor.
	nextAnswerPercent  = 50
	firstAnswerPercent = 23
	// minNextAnswer and minFirstAnswer are the least of these times. Watches are answered
	// every second or so while nothing changes.
	minNextAnswer  = 1300 * time.Millisecond
	minFirstAnswer = 600 * time.Millisecond
	// maxLate bounds the lateness that is allowed for.
	maxLate = 2 * time.Second
	// overdueAfter is how long after its wait a watch may be unanswered.
	overdueAfter = 250 * time.Millisecond
)

// Progress tells how far the answers of the platform reach that a Watcher has got. Its times
// are readings of Watcher.SinceBoot; 0 is never.
type Progress struct {
	// Active is whether the watcher makes calls, and From since when it may be answered.
	Active bool
	From   time.Duration
	// AsOf is the latest time at which an answer held all changes of its prefix. It is set
	// after they have been applied.
	AsOf time.Duration
	// Late is how much later than it could the platform gave its last answers.
	Late time.Duration
	// DueAt is when the first of the open calls could be answered at the earliest.
	DueAt time.Duration
}

// ConfirmedAsOf returns the latest time as of which the platform is known to have told all
// changes: an open watch would have brought one if the platform has answered another call
// since, unless it is overdue itself.
func (pg Progress) ConfirmedAsOf() time.Duration {
	if pg.DueAt == 0 {
		return pg.AsOf
	}
	return min(pg.AsOf, pg.overdueAt(pg.DueAt))
}

// overdueAt returns when a call is overdue that could be answered from a time on.
func (pg Progress) overdueAt(due time.Duration) time.Duration {
	return due + overdueAfter + 2*min(pg.Late, maxLate)
}

// IsUnanswered reports whether the platform has not answered for so long that another
// process is to watch, if a change must take effect within a time.
func (pg Progress) IsUnanswered(now, within time.Duration) bool {
	if !pg.Active {
		return false
	}
	limit := max(within*firstAnswerPercent/100, minFirstAnswer)
	if pg.AsOf >= pg.From {
		limit = max(within*nextAnswerPercent/100, minNextAnswer)
	}
	return now-max(pg.AsOf, pg.From) > limit+2*min(pg.Late, maxLate)
}

// progress keeps a Progress. The lock of its Watcher guards it.
type progress struct {
	Progress
	// due holds when the open call for each prefix could be answered at the earliest.
	due map[string]time.Duration
	// awayUntil is when the platform last answered after it had been silent for longer than
	// WatchPacing.MaxSilence; 0 if it never was.
	awayUntil time.Duration
}

// begin records that the watcher became active.
func (pr *progress) begin(now time.Duration) {
	pr.Active, pr.From, pr.Late = true, now, 0
}

// snapshot returns the Progress.
func (pr *progress) snapshot() Progress {
	pg := pr.Progress
	for _, at := range pr.due {
		if pg.DueAt == 0 || at < pg.DueAt {
			pg.DueAt = at
		}
	}
	return pg
}

// markSent records a call that waits for a change, and returns the time.
func (wt *Watcher) markSent(prefix string, wait time.Duration) time.Duration {
	now := wt.SinceBoot()
	wt.lock.Lock()
	defer wt.lock.Unlock()
	wt.progress.due[prefix] = now + wait
	return now
}

// markUnanswered records that a call ended, and told nothing about the newest state.
func (wt *Watcher) markUnanswered(prefix string) {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	delete(wt.progress.due, prefix)
}

// markReceived records that a call was answered and its changes were applied. A watch holds
// them as of its answer, but not after its wait: an answer may lie in a socket while the VM
// is frozen.
func (wt *Watcher) markReceived(prefix string, sentAt, wait time.Duration, hasChanges bool) {
	now := wt.SinceBoot()
	wt.lock.Lock()
	defer wt.lock.Unlock()
	pr := &wt.progress
	delete(pr.due, prefix)
	pr.AsOf = max(pr.AsOf, min(now, sentAt+wait))
	if !hasChanges {
		pr.Late = max(now-sentAt-wait, 0)
	}
}

// promptAfter is how long after it was sent a watch may be answered with changes that happened
// before. One that waited longer, but not to the end, is answered as soon as a change happens.
const promptAfter = 100 * time.Millisecond

// listedSince returns the earliest time at which the changes may have happened that a list of a
// prefix shows. Since watches may miss changes, it is when the version was answered from which
// the last one continued. It is now if the platform was silent for long meanwhile, and the zero
// time if this process did not call it before. It is called before markReceived.
func (wt *Watcher) listedSince(now time.Time, prefix string) time.Time {
	return wt.changedSince(now, prefix, 0)
}

// watchedSince is the same for a watch that was sent at sentAt and brought objects.
func (wt *Watcher) watchedSince(now time.Time, prefix string, objects []view.Object, sentAt, wait time.Duration) time.Time {
	oldest := int64(math.MaxInt64)
	for _, ob := range objects {
		oldest = min(oldest, ob.Version)
	}
	if took := wt.SinceBoot() - sentAt; took > promptAfter && took < wait {
		return now
	}
	return wt.changedSince(now, prefix, oldest)
}

// changedSince returns the time of the last answer for a prefix at a lower version than the
// given one, or of the first that is known.
func (wt *Watcher) changedSince(now time.Time, prefix string, version int64) time.Time {
	sinceBoot := wt.SinceBoot()
	wt.lock.Lock()
	defer wt.lock.Unlock()
	pr := &wt.progress
	if wt.Pacing.MaxSilence > 0 && sinceBoot-max(pr.AsOf, pr.From) > wt.Pacing.MaxSilence {
		pr.awayUntil = sinceBoot
	}
	known := wt.overlap.lastBefore(prefix, version)
	switch {
	case pr.awayUntil > 0 && known <= pr.awayUntil:
		return now
	case known == 0 || known < pr.From:
		return time.Time{}
	}
	return now.Add(known - sinceBoot)
}

// Progress returns how far the answers of the platform reach.
func (wt *Watcher) Progress() Progress {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	return wt.progress.snapshot()
}

// Due returns when the first and the last of the open calls for other prefixes could be
// answered at the earliest; 0 if there is none.
func (wt *Watcher) Due(prefix string) (first, last time.Duration) {
	wt.lock.Lock()
	defer wt.lock.Unlock()
	for other, at := range wt.progress.due {
		if other == prefix {
			continue
		}
		last = max(last, at)
		if first == 0 || at < first {
			first = at
		}
	}
	return first, last
}
