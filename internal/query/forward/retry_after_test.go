package forward

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

// playOutage lets callers arrive every 5 ms from the beginning of an outage on.
// Each waits as it is told, up to a third of the time that it has left, as long as
// it has retries. It returns the shares of the callers that were served and that
// returned in vain, and the most that came in one slot of 50 ms after the outage.
func playOutage(length, deadline time.Duration, retries int, retryAfter func(now time.Time, id string) time.Duration) (served, inVain float64, busiest int) {
	start := time.Unix(1_000_000, 0)
	over := start.Add(length)
	callers := 0
	slots := map[time.Duration]int{}
	for arrival := start; arrival.Before(over); arrival = arrival.Add(5 * time.Millisecond) {
		callers++
		at, id := arrival, fmt.Sprintf("call-%d", callers)
		for range retries {
			left := deadline - at.Sub(arrival)
			at = at.Add(min(retryAfter(at, id), left/3))
			if !at.Before(over) {
				break
			}
			inVain++
		}
		if !at.Before(over) {
			served++
			slots[at.Sub(over)/(50*time.Millisecond)]++
		}
	}
	for _, count := range slots {
		busiest = max(busiest, count)
	}
	return served / float64(callers), inVain / float64(callers), busiest
}

// TestRetryAfterOutages compares with a fixed delay, which sends callers back again
// and again while nothing can be served, and all at once at the end.
func TestRetryAfterOutages(t *testing.T) {
	for _, length := range []time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second} {
		for _, retries := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d retries", length, retries), func(t *testing.T) {
				fixed := func(time.Time, string) time.Duration { return minRetryAfter }
				servedBefore, inVainBefore, _ := playOutage(length, 4*time.Second, retries, fixed)
				var og outage
				served, inVain, busiest := playOutage(length, 4*time.Second, retries, func(now time.Time, id string) time.Duration {
					return og.retryAfter(now, id, minRetryAfter)
				})
				t.Logf("served %.2f and %.2f, returned in vain %.2f and %.2f, at most %d in 50 ms", servedBefore, served, inVainBefore, inVain, busiest)
				assert.Assert(t, served >= servedBefore)
				assert.Assert(t, inVain <= inVainBefore)
				if length >= time.Second {
					assert.Assert(t, served > 1.5*servedBefore)
				}
			})
		}
	}
}

func TestRetryAfter(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var og outage
	assert.Assert(t, og.retryAfter(now, "a", minRetryAfter) < 2*minRetryAfter)
	late := og.retryAfter(now.Add(time.Minute), "a", minRetryAfter)
	assert.Assert(t, late >= maxRetryAfter && late < 2*maxRetryAfter)
	og.end()
	assert.Assert(t, og.retryAfter(now.Add(2*time.Minute), "a", minRetryAfter) < 2*minRetryAfter, "a new outage")
	assert.Equal(t, RetryAfter(&contract.Refusal{}), minRetryAfter)
	assert.Equal(t, RetryAfter(&contract.Refusal{RetryAfter: time.Second}), time.Second)
}

// TestRetryAfterOverload refuses calls among others that are answered: the delay grows
// with the overload, and starts anew with the next one.
func TestRetryAfterOverload(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var ov overload
	first := ov.retryAfter(now, "a")
	assert.Assert(t, first >= minRetryAfterOverload && first < 2*minRetryAfterOverload, "%s", first)
	for after := time.Duration(0); after < 5*time.Second; after += overloadGap {
		ov.retryAfter(now.Add(after), "a")
	}
	late := ov.retryAfter(now.Add(5*time.Second), "a")
	assert.Assert(t, late >= maxRetryAfter, "%s", late)
	next := ov.retryAfter(now.Add(5*time.Second+overloadGap+time.Millisecond), "a")
	assert.Equal(t, next, first)
}
