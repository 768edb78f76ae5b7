package entry

import (
	"time"

	"daisystage.example/daisystage/internal/world/machine"
)

// heardWithin is how long ago a heartbeat may have been sent whose answer counts as recent:
// an interval and the time for the answer.
const heardWithin = machine.HeartbeatInterval + roundTimeout

// HearsPeer reports whether a peer answered a recent heartbeat.
func (cr *Cluster) HearsPeer(now time.Time) bool {
	for _, mb := range *cr.members.Load() {
		if mb.hasAnswered(now) {
			return true
		}
	}
	return false
}

// HearsWatcher reports whether an entry VM that watches the platform on behalf of all
// answered a recent heartbeat, says that it reaches the platform, and has all objects that
// this process has and no others.
func (cr *Cluster) HearsWatcher(now time.Time) bool {
	known := *cr.members.Load()
	for _, vm := range machine.Watchers(now, cr.Members(now)) {
		if mb, ok := known[vm.Name]; ok && mb.hasAnswered(now) && mb.Mismatches == 0 {
			return true
		}
	}
	return false
}

func (mb Member) hasAnswered(now time.Time) bool {
	return now.Sub(mb.AnsweredAt) <= heardWithin
}
