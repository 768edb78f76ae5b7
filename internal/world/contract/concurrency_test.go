package contract

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlidingCountLosesNothing adds from many goroutines at the beginning of each
// step. The retry budget relies on the count.
func TestSlidingCountLosesNothing(t *testing.T) {
	const goroutines, window = 8, 10 * time.Second
	var sc SlidingCount
	now := time.Unix(1_000_000, 0)
	for range 200_000 {
		now = now.Add(window / stepsPerWindow)
		var start, added sync.WaitGroup
		start.Add(1)
		for range goroutines {
			added.Go(func() {
				start.Wait()
				sc.Add(now, window)
			})
		}
		start.Done()
		added.Wait()
		assert.Equal(t, sc.Sum(now, window, 1), int64(goroutines))
	}
}

// TestBudgetDoesNotRestoreSpentTokens spends and earns at once on a full budget. A
// budget that is full before and after the earning must not forget what was spent
// in between.
func TestBudgetDoesNotRestoreSpentTokens(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for range 200_000 {
		bg := NewBudget(0)
		bg.tokens.Store(maxTokens)
		var both sync.WaitGroup
		both.Go(func() { bg.Earn(1, 0.0001) })
		both.Go(func() { bg.TrySpend(now) })
		both.Wait()
		assert.Assert(t, bg.tokens.Load() <= maxTokens-tokenUnit+1, "%d tokens are left", bg.tokens.Load())
	}
}

// TestSplitterAvoidsServicesWithoutWeight picks among random weights, some of
// which are 0.
func TestSplitterAvoidsServicesWithoutWeight(t *testing.T) {
	rd := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		services := make([]WeightedService, 2+rd.IntN(6))
		weights := map[string]float64{}
		for i := range services {
			services[i] = WeightedService{Service: string(rune('a' + i)), Weight: rd.Float64() * float64(rd.IntN(2))}
			weights[services[i].Service] = services[i].Weight
		}
		services[0].Weight, weights["a"] = 0.1, 0.1
		var sp Splitter
		for range 2000 {
			picked := sp.Pick(services)
			assert.Assert(t, weights[picked] > 0, "%s of %v", picked, services)
		}
	}
	// The sum of these is more than what is left after subtracting each.
	rounding := []WeightedService{{Service: "a", Weight: 0.1}, {Service: "b", Weight: 0.2}, {Service: "c", Weight: 0.3}, {Service: "none"}}
	assert.Equal(t, pickAt(rounding, 0.6000000000000001), "c")
}

func TestMatchHostForms(t *testing.T) {
	routes := []*ForwardRoute{
		{Name: "v6", Host: "[2001:db8::1]", Prefix: "/", Timeout: time.Second, Services: []WeightedService{{Service: "x", Weight: 1}}},
		{Name: "name", Host: "Plans.example", Prefix: "/", Timeout: time.Second, Services: []WeightedService{{Service: "x", Weight: 1}}},
	}
	tb, err := NewTable(1, routes, nil, CallerLimits{})
	assert.NilError(t, err)
	for host, want := range map[string]string{
		"[2001:db8::1]": "v6", "[2001:DB8::1]:8401": "v6", "plans.EXAMPLE": "name", "plans.example:8401": "name", "[2001:db8::2]": "", "": "", ":": "", "[": "",
	} {
		got := ""
		if fr := tb.Match(host, "/x"); fr != nil {
			got = fr.Name
		}
		assert.Equal(t, got, want, host)
	}
}
