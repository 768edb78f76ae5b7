package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/contract"
)

func crashOf(server string, generation int) contract.Crash {
	return contract.Crash{CrashKey: contract.CrashKey{Server: server}, Service: "s", Generation: generation}
}

// gossip sends one heartbeat from each cluster to each other one, the reply included.
func gossip(now time.Time, all []*Cluster) {
	for _, from := range all {
		for _, to := range all {
			if from != to {
				from.mergeQuarantines(now, to.HandleHeartbeat(now, from.Heartbeat(now, to.Self.Zone)).Quarantines)
			}
		}
	}
}

// TestBlockEndsWhileVMsRun guards against entry VMs that tell each other of a crash as if
// it had just happened, so that a request stays blocked for as long as two of them run.
func TestBlockEndsWhileVMsRun(t *testing.T) {
	const fingerprint = 7
	_, all := newClusters(3)
	start := time.Now()
	for generation := 1; generation <= 3; generation++ {
		all[0].Quarantine.RecordCrash(start, fingerprint, crashOf(fmt.Sprint("i-", generation), generation))
	}
	gossip(start, all)
	now := start
	for ; now.Before(start.Add(contract.CrashRetention)); now = now.Add(time.Second) {
		for _, cr := range all {
			assert.Assert(t, cr.Quarantine.IsBlocked(now, fingerprint), "after %s", now.Sub(start))
		}
		gossip(now.Add(100*time.Millisecond), all)
	}
	for _, cr := range all {
		assert.Assert(t, !cr.Quarantine.IsBlocked(now, fingerprint))
		cr.Quarantine.RemoveOld(now)
		assert.Equal(t, len(cr.Quarantine.Crashes()), 0, "nothing is kept of what is over")
	}
}

// TestVMsAgreeOnCrashes guards against entry VMs that keep only their own crashes of a
// request, and against answers that other VMs do not hear of.
func TestVMsAgreeOnCrashes(t *testing.T) {
	const fingerprint = 7
	_, all := newClusters(3)
	now := time.Now()
	for at, cr := range all {
		generation := cr.Quarantine.NextGeneration(now, fingerprint, "s")
		cr.Quarantine.RecordCrash(now, fingerprint, crashOf(fmt.Sprint("i-", at), generation))
		gossip(now, all)
	}
	for _, cr := range all {
		assert.Equal(t, len(cr.Quarantine.Crashes()[fingerprint]), 3)
		assert.Equal(t, cr.Quarantine.Generation(now, fingerprint), 3)
	}
	all[1].Quarantine.MarkAnswered(now, fingerprint, "s")
	gossip(now, all)
	for _, cr := range all {
		assert.Equal(t, cr.Quarantine.Generation(now, fingerprint), 0)
	}
}

// TestQuarantinesInHeartbeatAreBounded fills a quarantine with requests that ran on servers
// when they were lost, beside one that crashed several.
func TestQuarantinesInHeartbeatAreBounded(t *testing.T) {
	_, all := newClusters(2)
	now := time.Now()
	for generation := 1; generation <= 3; generation++ {
		all[0].Quarantine.RecordCrash(now, 1, crashOf(fmt.Sprint("i-", generation), generation))
	}
	for at := range 5_000 {
		all[0].Quarantine.RecordCrash(now, rand.Uint64(), crashOf(fmt.Sprint("i-", at), 1))
	}
	assert.Assert(t, len(all[0].Quarantine.Crashes()) <= 512)
	hb := all[0].Heartbeat(now, "")
	assert.Assert(t, len(hb.Quarantines) <= maxQuarantines)
	gossip(now, all)
	assert.Assert(t, all[1].Quarantine.Generation(now, 1) == 3)
	later := now.Add(weakEvidenceTTL)
	assert.Equal(t, len(all[0].Heartbeat(later, "").Quarantines), 1, "only the request that crashed several")
}

// BenchmarkQuarantinesInHeartbeat encodes and merges the crashes of a full quarantine.
func BenchmarkQuarantinesInHeartbeat(b *testing.B) {
	_, all := newClusters(2)
	now := time.Now()
	for at := range 512 {
		all[0].Quarantine.RecordCrash(now, uint64(at), crashOf(fmt.Sprint("i-", at), 1+at%3))
	}
	bytes := 0
	for b.Loop() {
		messages := encodeQuarantines(now, all[0].Quarantine.Crashes())
		all[1].mergeQuarantines(now, messages)
		bytes = proto.Size(&entrypb.Heartbeat{Quarantines: messages})
	}
	b.ReportMetric(float64(bytes), "bytes")
}
