package entryvm_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/standin/site"
)

// BenchmarkQueryLoopback measures a request over 30 shards on loopback, servers
// and entry VMs in one process, the servers without work.
func BenchmarkQueryLoopback(b *testing.B) {
	plan := site.Gaisma()
	plan.Work, plan.ConnectCost = 0, 0
	st, end, err := site.Start(b.Context(), time.Now(), plan, site.NewLoopback(), zap.NewNop())
	assert.NilError(b, err)
	defer end()
	client, _ := st.Caller()
	hg := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	at := 0
	b.ReportAllocs()
	for b.Loop() {
		at++
		startedAt := time.Now()
		body := fmt.Sprintf(`{"text":"lesson %d"}`, at)
		rs, err := client.Query(b.Context(), plan.Team, "find", uuid.Must(uuid.NewV7()), []byte(body), 0)
		assert.NilError(b, err)
		assert.Equal(b, string(rs.Outcome()), "whole")
		assert.NilError(b, hg.RecordValue(time.Since(startedAt).Microseconds()))
	}
	b.ReportMetric(float64(hg.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(hg.ValueAtQuantile(99))/1000, "p99-ms")
}
