package machine

import "time"

// clockOrigin is the origin of the times that this package keeps as numbers although they
// must not jump with the time of day. It lies so far in the past that they are positive.
var clockOrigin = time.Now().Add(-100 * 365 * 24 * time.Hour)

// ticks returns the time since clockOrigin in nanoseconds, by the monotonic clock if now
// has a reading of it.
func ticks(now time.Time) int64 {
	return int64(now.Sub(clockOrigin))
}

// timeOfTicks returns the time of a number of ticks, the zero time for 0.
func timeOfTicks(count int64) time.Time {
	if count == 0 {
		return time.Time{}
	}
	return clockOrigin.Add(time.Duration(count))
}
