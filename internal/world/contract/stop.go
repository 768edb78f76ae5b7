package contract

import "time"

const (
	// openTakeTime is how long after the start of a stop any request is taken. Callers
	// that learned of the VM just before still send meanwhile.
	openTakeTime = 2750 * time.Millisecond
	// giveUpMargin is the time before the end of a stop at which the requests still
	// running are given up, so that each of them gets a final answer.
	giveUpMargin = 400 * time.Millisecond
)

// StopPlan decides which requests a stopping process still takes.
type StopPlan struct {
	// OpenUntil is until when any request is taken. It is before GiveUpAt.
	OpenUntil time.Time
	// GiveUpAt is when the requests still running are given up.
	GiveUpAt time.Time
}

// NewStopPlan returns the plan of a stop that begins now and ends within a time.
func NewStopPlan(now time.Time, within time.Duration) StopPlan {
	return StopPlan{
		OpenUntil: now.Add(min(openTakeTime, within/2)),
		GiveUpAt:  now.Add(max(within-giveUpMargin, within*3/4)),
	}
}

// MayTake reports whether a request may be taken whose outcome is known by a deadline at
// the latest. Late in a stop, only requests that end before the process are.
func (sp StopPlan) MayTake(now, deadline time.Time) bool {
	return now.Before(sp.OpenUntil) || deadline.Before(sp.GiveUpAt)
}
