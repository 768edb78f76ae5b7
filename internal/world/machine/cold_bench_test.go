package machine

import (
	"testing"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// BenchmarkMaySend measures the check of one candidate: of a warm server, and of a cold one
// without the cost of the shared rate.
func BenchmarkMaySend(b *testing.B) {
	cl := &ColdLimit{Rates: fixedRates{}, Bounds: func() contract.WarmUpBounds { return contract.WarmUpBounds{Overage: 1.5, Slack: 5} }}
	for _, cold := range []bool{false, true} {
		name := "warm"
		sv := newServer("i-95c8e3d536")
		sv.State.SetWarmUpRate(8)
		if cold {
			name = "cold"
			sv.State.RecordCold(time.Now().Add(time.Hour))
		}
		b.Run(name, func(b *testing.B) {
			at := time.Now()
			for b.Loop() {
				_ = sv.AcceptsWork(at) && cl.MaySend(at, sv)
			}
		})
	}
}
