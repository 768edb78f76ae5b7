package scatter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/zone"
)

// newRoomEngine returns an engine that starts parts with room.
func newRoomEngine(fs *fakeServers) *Engine[LeastExpectedLatency, GoalHedge, StartWithRoom, string, string] {
	return &Engine[LeastExpectedLatency, GoalHedge, StartWithRoom, string, string]{
		Sender: fs, Zone: zone.Zone{Name: "zone-0"}, Quarantine: contract.NewQuarantine(),
	}
}

// fillServers puts parts of other requests on all servers of the first shards, and
// returns a function that ends them.
func fillServers(jb *Job[string], shards int) func() {
	for _, sh := range jb.Shards[:shards] {
		for _, sv := range sh.Replicas {
			sv.State.RecordAnswer(time.Now(), 20*time.Millisecond, 25)
			sv.State.InFlight.Store(20)
		}
	}
	return func() {
		for _, sh := range jb.Shards[:shards] {
			for _, sv := range sh.Replicas {
				sv.State.InFlight.Store(0)
			}
		}
	}
}

// TestPartsWaitForRoom has shards whose servers are full for a while.
func TestPartsWaitForRoom(t *testing.T) {
	tests := []struct {
		name string
		full int
		// freeAfter is when the servers have room again.
		freeAfter time.Duration
		answered  int
		took      time.Duration
		// sends is the number of attempts at a full shard.
		sends int
		cause contract.Cause
	}{
		{"no shard is full", 0, 0, 10, 8 * time.Millisecond, 1, ""},
		{"one within the minimum, for long", 1, time.Second, 9, 86 * time.Millisecond, 0, contract.CauseNoRoom},
		{"one within the minimum, for a moment", 1, 15 * time.Millisecond, 10, 26 * time.Millisecond, 1, ""},
		{"too many, for a moment", 2, 15 * time.Millisecond, 10, 28 * time.Millisecond, 1, ""},
		{"too many, for long", 2, time.Second, 0, 30 * time.Millisecond, 0, contract.CauseNoRoom},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := &fakeServers{sends: map[string][]string{}, respond: func(*machine.Server, string, int) (time.Duration, error) {
					return 8 * time.Millisecond, nil
				}}
				en := newRoomEngine(fs)
				startedAt := time.Now()
				jb := newJob(startedAt, 10, newJobSettings(), &limitedBudget{left: 0})
				jb.PartialAfter = startedAt.Add(86 * time.Millisecond)
				time.AfterFunc(tt.freeAfter, fillServers(jb, tt.full))
				rs := en.Run(t.Context(), jb)
				assert.Equal(t, time.Since(startedAt), tt.took)
				assert.Equal(t, rs.Answered(), tt.answered)
				assert.Equal(t, len(fs.sends["shard-00"]), tt.sends)
				assert.Equal(t, rs.Parts[0].Record.Cause, tt.cause)
				assert.Equal(t, rs.MayHaveRun, tt.answered > 0, "nothing runs in vain")
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestLeavingServerDoesNotHoldRequest has shards whose only servers leave while their
// parts wait for room. The requests must not wait for them.
func TestLeavingServerDoesNotHoldRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := &fakeServers{sends: map[string][]string{}, respond: func(*machine.Server, string, int) (time.Duration, error) {
			return 8 * time.Millisecond, nil
		}}
		en := newRoomEngine(fs)
		startedAt := time.Now()
		jb := newJob(startedAt, 10, newJobSettings(), &limitedBudget{left: 0})
		jb.PartialAfter = startedAt.Add(86 * time.Millisecond)
		fillServers(jb, 1)
		time.AfterFunc(15*time.Millisecond, func() {
			for _, sv := range jb.Shards[0].Replicas {
				sv.State.MarkDeparting()
			}
		})
		rs := en.Run(t.Context(), jb)
		assert.Equal(t, rs.Answered(), 9)
		assert.Equal(t, rs.Parts[0].Record.Cause, contract.CauseNoReplica)
		assert.Assert(t, time.Since(startedAt) < 30*time.Millisecond, "%s", time.Since(startedAt))
	})
}

// TestSlowShardIsUsedWithinLimits has one shard all of whose servers are slower than the
// goal. It must still get parts, up to the servers' limits.
func TestSlowShardIsUsedWithinLimits(t *testing.T) {
	now := time.Now()
	jb := newJob(now, 1, newJobSettings(), &limitedBudget{})
	jb.PartialAfter = now.Add(86 * time.Millisecond)
	en := newRoomEngine(nil)
	ga := newGather(en, jb)
	for _, sv := range jb.Shards[0].Replicas {
		sv.State.RecordAnswer(now, 300*time.Millisecond, 25)
	}
	sent := 0
	for range 20 {
		if sv := ga.chooseForStart(now, &ga.parts[0], false); sv != nil {
			sv.State.InFlight.Add(1)
			sent++
		}
	}
	assert.Equal(t, sent, 6, "three servers with a limit of two")
}

// BenchmarkStart measures the decision which parts of a request may start.
func BenchmarkStart(b *testing.B) {
	for _, shards := range []int{10, 42, 150, 750} {
		for _, full := range []int{0, shards / 10} {
			b.Run(fmt.Sprintf("shards=%d/full=%d", shards, full), func(b *testing.B) {
				now := time.Now()
				jb := newJob(now, shards, newJobSettings(), &limitedBudget{})
				jb.PartialAfter = now.Add(86 * time.Millisecond)
				fillServers(jb, full)
				en := newRoomEngine(nil)
				ga := newGather(en, jb)
				for b.Loop() {
					ga.countStartable(now)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/shard")
			})
		}
	}
}
