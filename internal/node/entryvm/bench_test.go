package entryvm_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/standin/site"
)

// startSiteWithIdleServers starts a site on loopback whose servers answer without
// doing any work.
func startSiteWithIdleServers(b *testing.B) *site.Site {
	b.Helper()
	plan := site.GaismaPlan()
	plan.MeanPartTime, plan.ConnectDelay = 0, 0
	st, end, err := site.Start(b.Context(), time.Now(), plan, site.NewLoopbackTransport(), zap.NewNop())
	assert.NilError(b, err)
	b.Cleanup(end)
	return st
}

// BenchmarkQueryLoopback measures a request over 30 shards on loopback. Servers
// and entry VMs run in one process, and the servers do no work.
func BenchmarkQueryLoopback(b *testing.B) {
	st := startSiteWithIdleServers(b)
	client, _ := st.Caller()
	hg := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	at := 0
	b.ReportAllocs()
	for b.Loop() {
		at++
		startedAt := time.Now()
		body := fmt.Sprintf(`{"text":"lesson %d"}`, at)
		rs, err := client.Query(b.Context(), st.Plan.Team, "find", uuid.Must(uuid.NewV7()), []byte(body), 0)
		assert.NilError(b, err)
		assert.Equal(b, string(rs.Outcome()), "whole")
		assert.NilError(b, hg.RecordValue(time.Since(startedAt).Microseconds()))
	}
	b.ReportMetric(float64(hg.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(hg.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkDump measures a dump of a process while it answers requests.
func BenchmarkDump(b *testing.B) {
	st := startSiteWithIdleServers(b)
	client, _ := st.Caller()
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for at := 0; ; at++ {
			select {
			case <-stop:
				return
			default:
			}
			body := fmt.Sprintf(`{"text":"lesson %d"}`, at)
			_, _ = client.Query(b.Context(), st.Plan.Team, "find", uuid.Must(uuid.NewV7()), []byte(body), 0)
		}
	})
	bytes := 0
	for b.Loop() {
		text, err := json.Marshal(st.EntryVM(0).State(time.Now()))
		assert.NilError(b, err)
		bytes = len(text)
	}
	b.ReportMetric(float64(bytes), "B/dump")
	close(stop)
	load.Wait()
}
