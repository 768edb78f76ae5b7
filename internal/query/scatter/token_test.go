package scatter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// tokens is a machine.SharedRates with a number of tokens for each key.
type tokens struct {
	lock sync.Mutex
	left map[contract.RateKey]int
}

func (tk *tokens) MayTake(_ time.Time, key contract.RateKey, _ contract.SharedRate) bool {
	tk.lock.Lock()
	defer tk.lock.Unlock()
	return tk.left[key] > 0
}

func (tk *tokens) TryTake(_ time.Time, key contract.RateKey, _ contract.SharedRate) bool {
	tk.lock.Lock()
	defer tk.lock.Unlock()
	if tk.left[key] == 0 {
		return false
	}
	tk.left[key]--
	return true
}

func (tk *tokens) Return(_ time.Time, key contract.RateKey) {
	tk.lock.Lock()
	defer tk.lock.Unlock()
	tk.left[key]++
}

// add adds a token for the server in a zone of each of the first shards.
func (tk *tokens) add(shards, zone int) {
	for index := range shards {
		tk.Return(time.Time{}, contract.RateKey{Kind: contract.RateOfColdServer, Name: fmt.Sprintf("sv-%02d-%d/0", index, zone)})
	}
}

// total returns the number of tokens that are left.
func (tk *tokens) total() int {
	total := 0
	for _, count := range tk.left {
		total += count
	}
	return total
}

func newTokens(shards, zone int) *tokens {
	tk := &tokens{left: map[contract.RateKey]int{}}
	tk.add(shards, zone)
	return tk
}

// makeCold makes the servers of a job cold that are in one of the zones.
func makeCold(jb *Job[string], zones ...string) {
	for _, sh := range jb.Shards {
		for _, sv := range sh.Replicas {
			for _, zone := range zones {
				if sv.Zone == zone {
					sv.State.SetWarmUpRate(5)
					sv.State.RecordCold(time.Now().Add(time.Hour))
				}
			}
		}
	}
}

// TestPartsToColdServers has servers that are cold. It guards against attempts without a
// token, of first sends, hedges and retries, and against parts that are given up although
// another server, or soon a token, is there.
func TestPartsToColdServers(t *testing.T) {
	zones := []string{"zone-0", "zone-1", "zone-2"}
	tests := []struct {
		name string
		cold []string
		// tokens are there at the start for servers of a zone, and more after 15 ms; left
		// are those that were not used.
		tokens, more, zone, left int
		// single is set for a request to one service, which returns no partial answer.
		single bool
		// fails lets each first attempt fail unsent, slow take so long that it is hedged.
		fails, slow bool
		shards      int
		answered    int
		sends       int
		cause       contract.Cause
	}{
		{name: "one zone, no token", cold: zones[:1], shards: 10, answered: 10, sends: 10},
		{name: "two zones, a retry without a token", cold: zones[:2], fails: true, shards: 1, answered: 0, sends: 1, cause: contract.CauseShed},
		{name: "two zones, a hedge without a token", cold: zones[:2], slow: true, shards: 10, answered: 10, sends: 10},
		{name: "two zones, hedges with tokens", cold: zones[1:], slow: true, tokens: 10, zone: 1, shards: 10, answered: 10, sends: 20},
		{name: "one zone, hedges in the other", cold: zones[:1], slow: true, shards: 10, answered: 10, sends: 20},
		{name: "all cold, tokens for all", cold: zones, tokens: 10, shards: 10, answered: 10, sends: 10},
		{name: "all cold, no token", cold: zones, shards: 10, cause: contract.CauseNoRoom},
		{name: "all cold, too few tokens", cold: zones, tokens: 8, left: 8, shards: 10, cause: contract.CauseNoRoom},
		{name: "all cold, a token for all but one", cold: zones, tokens: 9, shards: 10, answered: 9, sends: 9},
		{name: "all cold, tokens soon", cold: zones, more: 10, shards: 10, answered: 10, sends: 10},
		{name: "single, all cold, no token", cold: zones, single: true, shards: 1, cause: contract.CauseNoRoom},
		{name: "single, all cold, a token", cold: zones, tokens: 1, single: true, shards: 1, answered: 1, sends: 1},
		{name: "single, all cold, a token soon", cold: zones, more: 1, single: true, shards: 1, answered: 1, sends: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := &fakeServers{sends: map[string][]string{}, respond: func(_ *machine.Server, _ string, attempt int) (time.Duration, error) {
					switch {
					case tt.fails:
						return time.Millisecond, &contract.PartError{Cause: contract.CauseShed, NotRun: true}
					case tt.slow && attempt == 1:
						return 80 * time.Millisecond, nil
					}
					return 8 * time.Millisecond, nil
				}}
				tk := newTokens(tt.tokens, tt.zone)
				en := newRoomEngine(fs)
				en.Cold = &machine.ColdLimit{Rates: tk, Bounds: func() contract.WarmUpBounds { return contract.WarmUpBounds{} }}
				startedAt := time.Now()
				settings := newJobSettings()
				settings.RetrySameServer = false
				jb := newJob(startedAt, tt.shards, settings, &limitedBudget{left: 100})
				if !tt.single {
					jb.PartialAfter = startedAt.Add(86 * time.Millisecond)
				}
				makeCold(jb, tt.cold...)
				time.AfterFunc(15*time.Millisecond, func() { tk.add(tt.more, tt.zone) })
				rs := en.Run(t.Context(), jb)
				assert.Equal(t, rs.Answered(), tt.answered)
				sends := 0
				for _, names := range fs.sends {
					sends += len(names)
				}
				assert.Equal(t, sends, tt.sends)
				assert.Equal(t, tk.total(), tt.left)
				assert.Equal(t, rs.Parts[0].Record.Cause, tt.cause)
				assert.Assert(t, time.Since(startedAt) <= 86*time.Millisecond)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestUnsentAttemptReturnsToken guards against tokens that are lost with attempts that did
// not reach a server, and against tokens of those that did being used twice.
func TestUnsentAttemptReturnsToken(t *testing.T) {
	tests := []struct {
		cause  contract.Cause
		notRun bool
		left   int
	}{
		{contract.CauseDialFailed, true, 1},
		{contract.CauseNoLink, true, 1},
		{contract.CauseWithheld, true, 1},
		{contract.CauseShed, true, 0},
		{contract.CauseDraining, true, 0},
		{contract.CauseServerError, false, 0},
		{contract.CauseLinkBroken, false, 0},
		{"", false, 0},
	}
	for _, tt := range tests {
		t.Run(string(tt.cause), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := &fakeServers{sends: map[string][]string{}, respond: func(*machine.Server, string, int) (time.Duration, error) {
					if tt.cause == "" {
						return time.Millisecond, nil
					}
					return time.Millisecond, &contract.PartError{Cause: tt.cause, NotRun: tt.notRun}
				}}
				tk := newTokens(1, 0)
				en := newRoomEngine(fs)
				en.Cold = &machine.ColdLimit{Rates: tk, Bounds: func() contract.WarmUpBounds { return contract.WarmUpBounds{} }}
				settings := newJobSettings()
				settings.MaxAttempts, settings.RetrySameServer = 1, false
				jb := newJob(time.Now(), 1, settings, &limitedBudget{left: 0})
				jb.Shards[0].Replicas = jb.Shards[0].Replicas[:1]
				makeCold(jb, "zone-0")
				en.Run(t.Context(), jb)
				assert.Equal(t, tk.total(), tt.left)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestTokenIsUsedSoon guards against requests that waited for a connection and are then all
// sent at once with tokens from before.
func TestTokenIsUsedSoon(t *testing.T) {
	now := time.Now()
	assert.Assert(t, !HoldsToken(context.Background(), now))
	ctx := withToken(context.Background(), now)
	assert.Assert(t, HoldsToken(ctx, now.Add(contract.TokenTTL)))
	assert.Assert(t, !HoldsToken(ctx, now.Add(contract.TokenTTL+1)))
}
