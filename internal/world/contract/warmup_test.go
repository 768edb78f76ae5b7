package contract

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestColdServersStayWithinBounds simulates an owner that grants the tokens of a cold
// server's rate, and entry VMs that ask for more than there are and use what they got at
// once, as late as they may, or at any time. In no second may the server get more requests
// than its bounds allow. It guards against a rate that is right on average only.
func TestColdServersStayWithinBounds(t *testing.T) {
	bounds := []WarmUpBounds{{Overage: 1.5, Slack: 5}, {Overage: 1.2, Slack: 3}, {Overage: 1, Slack: 0}, {Overage: 3, Slack: 20}}
	latest := time.Duration(leaseSeconds*float64(time.Second)) + TokenTTL
	uses := map[string]func(rd *rand.Rand) time.Duration{
		"at once":       func(*rand.Rand) time.Duration { return 0 },
		"at the latest": func(*rand.Rand) time.Duration { return latest },
		"at any time":   func(rd *rand.Rand) time.Duration { return time.Duration(rd.Int64N(int64(latest))) },
		"at both ends":  func(rd *rand.Rand) time.Duration { return latest * time.Duration(rd.IntN(2)) },
	}
	for use, delay := range uses {
		for _, wb := range bounds {
			for _, perSecond := range []float64{1, 5, 20, 200} {
				rd := rand.New(rand.NewPCG(1, uint64(perSecond)))
				var arrivals []time.Duration
				sr := wb.SharedRate(perSecond)
				assert.Assert(t, sr.PerSecond <= perSecond && sr.PerSecond > perSecond/3, "%v: %v", wb, sr)
				tokens, last := sr.Burst, time.Duration(0)
				// The three VMs ask every grantSeconds, in or out of step.
				for now := time.Duration(0); now < 20*time.Second; now += time.Duration(rd.Int64N(int64(grantSeconds * 1e9))) {
					tokens = min(tokens+sr.PerSecond*(now-last).Seconds(), sr.Burst)
					last = now
					for ; tokens >= 1; tokens-- {
						arrivals = append(arrivals, now+delay(rd))
					}
				}
				limit := int(math.Floor(perSecond*wb.Overage + wb.Slack))
				if wb.Slack == 0 {
					// A bucket holds at least one token, and tokens are whole.
					limit += 2
				}
				most := mostWithin(arrivals, time.Second)
				assert.Assert(t, most <= limit, fmt.Sprintf("%s, %v, %g a second: %d of %d", use, wb, perSecond, most, limit))
				assert.Assert(t, float64(len(arrivals)) > sr.PerSecond*20*0.8, "%s, %v, %g a second: %d arrivals", use, wb, perSecond, len(arrivals))
			}
		}
	}
}

// mostWithin returns the largest number of times within any span.
func mostWithin(times []time.Duration, span time.Duration) int {
	most := 0
	for _, from := range times {
		count := 0
		for _, at := range times {
			if at >= from && at < from+span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
