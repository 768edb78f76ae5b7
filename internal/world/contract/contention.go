package contract

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// PriorityLevels is the number of priorities that are told apart; less urgent ones
	// count as the last.
	PriorityLevels = 4
	// shareUnit is 1 in the fixed-point shares of a Contention.
	shareUnit = 1 << 16
	// servedWeight is the weight of one request in the share of requests served, as a
	// divisor.
	servedWeight = 32
	// toleratedMisses is the smoothed share of more urgent requests that may be missed
	// before others are held back for them, as a divisor: a few miss their goal by chance.
	toleratedMisses = 10
	// contentionWindow is the time for which a more urgent request holds back less urgent
	// ones.
	contentionWindow = 5 * time.Second
	// holdDivisor and releaseDivisor set how much one more urgent request that was not
	// served holds back, and how much one that was served releases. In balance, one in
	// (1 + releaseDivisor/holdDivisor) is not served while nearly all others are held.
	holdDivisor    = 10
	releaseDivisor = 250
	// No kind may be served less than a quarter as often as all requests. So at least
	// minAdmitted of the share of all that are served is admitted, and as much as that
	// share while less than starvedShare of it is served, both in percent. Both have a
	// margin, since not all that are admitted are served.
	minAdmitted  = 50
	starvedShare = 40
)

// Contention decides which requests for one service are held back while more urgent ones are
// not served for lack of room. It answers loads above the capacity: the requests with the
// shorter goal find no room while others fill the queues. Its methods may be called by any
// number of goroutines; of two concurrent updates, one may be lost. The zero value is ready
// for use.
type Contention struct {
	levels [PriorityLevels]priorityLevel
	// missed is the smoothed share of all requests that were not served.
	missed atomic.Int64
}

// priorityLevel is the state of the requests of one priority. Shares are in 1/shareUnit.
type priorityLevel struct {
	// missed is the smoothed share of the requests that were not served.
	missed atomic.Int64
	// held is the share that is held back.
	held atomic.Int64
	// seenAt is the time of the last request, in Unix nanoseconds.
	seenAt atomic.Int64
}

func levelOf(priority int) int {
	return min(max(priority, 0), PriorityLevels-1)
}

// Arrive counts a request, and returns the share of such requests that must be held back, in
// [0, 1): 0 unless a more urgent one came lately and was not served. keepsReserve is set if
// those that are not held back must leave the last free slots of servers to more urgent ones.
func (cn *Contention) Arrive(now time.Time, priority int) (held float64, keepsReserve bool) {
	level := levelOf(priority)
	lv := &cn.levels[level]
	lv.seenAt.Store(now.UnixNano())
	if !cn.hasMoreUrgent(now, level) {
		lv.held.Store(0)
		return 0, false
	}
	served := shareUnit - cn.missed.Load()
	admitted := served * minAdmitted / 100
	isStarved := shareUnit-lv.missed.Load() < served*starvedShare/100
	if isStarved {
		admitted = served
	}
	held = float64(min(lv.held.Load(), shareUnit-admitted)) / shareUnit
	return held, held > 0 && !isStarved
}

func (cn *Contention) hasMoreUrgent(now time.Time, level int) bool {
	for i := range level {
		if cn.isRecent(now, i) {
			return true
		}
	}
	return false
}

func (cn *Contention) isRecent(now time.Time, level int) bool {
	return now.UnixNano()-cn.levels[level].seenAt.Load() < int64(contentionWindow)
}

// Finish counts the end of a request, and adapts the share of less urgent ones that is held
// back. busy is set if there was no room for it.
func (cn *Contention) Finish(now time.Time, priority int, served, busy bool) {
	level := levelOf(priority)
	sample := int64(shareUnit)
	if served {
		sample = 0
	}
	smooth(&cn.missed, sample)
	smooth(&cn.levels[level].missed, sample)
	for i := level + 1; i < PriorityLevels; i++ {
		if !cn.isRecent(now, i) {
			continue
		}
		held := &cn.levels[i].held
		have := held.Load()
		switch {
		case served:
			held.Store(max(have-shareUnit/releaseDivisor, 0))
		case busy && cn.levels[level].missed.Load() > shareUnit/toleratedMisses:
			held.Store(have + (shareUnit-have)/holdDivisor)
		}
	}
}

func smooth(share *atomic.Int64, sample int64) {
	have := share.Load()
	share.Store(have + (sample-have)/servedWeight)
}

// IsHeld decides whether a request is held back, of which the services ask for a share.
func IsHeld(share float64) bool {
	return share > 0 && rand.Float64() < share
}
