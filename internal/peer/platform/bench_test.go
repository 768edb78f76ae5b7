package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/platform"
	standin "daisystage.example/daisystage/internal/standin/platform"
	"daisystage.example/daisystage/internal/world/contract"
)

// TestClaimWriteRate checks that batching keeps the platform's writes below
// maxWrites per second at several claim rates, with three entry VMs and calls of
// 3 ms. The platform handles only several hundred writes per second.
func TestClaimWriteRate(t *testing.T) {
	const vms, seconds, maxWrites = 3, 5, 300
	for _, rate := range []int{10, 50, 100} {
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewFaultyStore(standin.NewStore())
			store.SetFaults(standin.Faults{SlowMS: 3})
			var writers []*platform.Claims
			for i := range vms {
				cs, end := platform.NewClaims(store, fmt.Sprintf("entry-%d", i))
				defer end()
				writers = append(writers, cs)
			}
			var claims sync.WaitGroup
			for i := range rate * seconds {
				claims.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					assert.Check(t, writers[i%vms].Claim(ctx, time.Now(), uuid.Must(uuid.NewV7()), uuid.NewString()))
				})
				time.Sleep(time.Second / time.Duration(rate))
			}
			claims.Wait()
			writes := float64(store.Writes.Load()) / seconds
			t.Logf("%d claims/s: %.2f writes a claim, %.0f writes/s", rate, writes/float64(rate), writes)
			assert.Assert(t, writes < maxWrites)
		})
	}
}

func BenchmarkReceipt(b *testing.B) {
	for _, shards := range []int{30, 150, 750} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			rc := &contract.Receipt{RequestID: uuid.NewString(), EntryVM: "entry-00", Zone: "riga-1", Outcome: contract.Partial}
			for i := range shards {
				rc.Parts = append(rc.Parts, contract.PartRecord{
					Shard: fmt.Sprintf("shard-%03d", i), Server: "svc00-riga-1", Attempts: 1, Took: 5 * time.Millisecond,
				})
			}
			store := standin.NewStore()
			rw := platform.NewReceiptWriter(store, "entry-00", zap.NewNop())
			text, err := json.Marshal(rc)
			assert.NilError(b, err)
			for b.Loop() {
				rw.Enqueue(rc)
				rw.Flush(b.Context())
			}
			b.ReportMetric(float64(len(text)), "B/receipt")
		})
	}
}
