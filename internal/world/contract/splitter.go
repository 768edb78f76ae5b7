package contract

import (
	"math"
	"sync/atomic"
)

// The fractional parts of the multiples of inverseGoldenRatio are evenly
// distributed over [0, 1) for any length of the sequence.
const inverseGoldenRatio = 0.6180339887498949

// Splitter distributes requests over weighted services. Its methods may be called
// by any number of goroutines.
type Splitter struct {
	next atomic.Uint64
}

// Pick returns the service for the next request. In any long sequence of requests,
// each service gets a share in proportion to its weight.
func (sp *Splitter) Pick(services []WeightedService) string {
	if len(services) == 1 {
		return services[0].Service
	}
	total := 0.0
	for _, ws := range services {
		total += ws.Weight
	}
	_, point := math.Modf(float64(sp.next.Add(1)) * inverseGoldenRatio)
	return pickAt(services, point*total)
}

// pickAt returns the service at a point of the sum of the weights.
func pickAt(services []WeightedService, point float64) string {
	// The subtractions round, so that the point may lie beyond the last weight.
	last := ""
	for _, ws := range services {
		if ws.Weight > 0 {
			last = ws.Service
		}
		if point < ws.Weight {
			return ws.Service
		}
		point -= ws.Weight
	}
	return last
}
