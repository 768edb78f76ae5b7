package machine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

// fixedRates is a SharedRates with a number of tokens for each key.
type fixedRates map[contract.RateKey]int

func (fr fixedRates) MayTake(_ time.Time, key contract.RateKey, _ contract.SharedRate) bool {
	return fr[key] > 0
}

func (fr fixedRates) TryTake(_ time.Time, key contract.RateKey, _ contract.SharedRate) bool {
	fr[key]--
	return fr[key] >= 0
}

func (fr fixedRates) Return(_ time.Time, key contract.RateKey) { fr[key]++ }

// TestColdLimit guards against servers that are limited although they are warm or their
// service has no limit, against a start that uses the tokens of the one before, and against
// any limit where none is configured.
func TestColdLimit(t *testing.T) {
	key := contract.RateKey{Kind: contract.RateOfColdServer, Name: "a/1000000000"}
	tests := []struct {
		name     string
		disabled bool
		rate     float64
		coldFor  time.Duration
		tokens   int
		want     bool
	}{
		{"warm", false, 5, 0, 0, true},
		{"was cold", false, 5, -time.Second, 0, true},
		{"no limit of the service", false, 0, time.Minute, 0, true},
		{"no limits in force", true, 5, time.Minute, 0, true},
		{"cold, without a token", false, 5, time.Minute, 0, false},
		{"cold, with a token", false, 5, time.Minute, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rates := fixedRates{key: tt.tokens}
			cl := &ColdLimit{Rates: rates, Bounds: func() contract.WarmUpBounds { return contract.WarmUpBounds{Overage: 1.5, Slack: 5} }}
			if tt.disabled {
				cl = nil
			}
			sv := newServer("a")
			sv.StartedAt = now
			sv.State.SetWarmUpRate(tt.rate)
			sv.State.RecordCold(now.Add(tt.coldFor))
			assert.Equal(t, cl.MaySend(now, sv), tt.want)
			assert.Equal(t, cl.TrySend(now, sv), tt.want)
			if !cl.Limits(now, sv) {
				assert.Equal(t, rates[key], tt.tokens, "no token is used")
				return
			}
			sv.StartedAt = now.Add(time.Second)
			assert.Assert(t, !cl.MaySend(now, sv), "another start has its own tokens")
			sv.StartedAt = now
			if tt.want {
				assert.Assert(t, !cl.TrySend(now, sv))
				rates[key] = 0
				cl.Return(now, sv)
				assert.Assert(t, cl.TrySend(now, sv), "a token that was returned")
			}
		})
	}
}

// TestRecordCold guards against a warm-up that an earlier answer shortens, and one that
// does not end when the server says so.
func TestRecordCold(t *testing.T) {
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	tests := []struct {
		name    string
		reports []time.Time
		// coldUntil is the second from which the server is warm.
		coldUntil int
	}{
		{"nothing reported", nil, 0},
		{"once", []time.Time{at(5)}, 5},
		{"an earlier end after a later one", []time.Time{at(5), at(3)}, 5},
		{"a later end", []time.Time{at(3), at(5)}, 5},
		{"ended", []time.Time{at(5), {}}, 0},
		{"cold again", []time.Time{at(5), {}, at(3)}, 3},
	}
	for _, tt := range tests {
		st := &ServerState{}
		for _, until := range tt.reports {
			st.RecordCold(until)
		}
		assert.Equal(t, st.IsCold(at(tt.coldUntil)), false, tt.name)
		assert.Equal(t, st.IsCold(at(tt.coldUntil).Add(-1)), tt.coldUntil > 0, tt.name)
	}
}
