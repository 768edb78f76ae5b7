// Package zone describes failure domains and the network delays between them.
package zone

import (
	"sort"
	"time"
)

// Zone is the failure domain of this process, with its delays to other zones.
type Zone struct {
	// Name is not empty.
	Name string
	// Delays holds the one-way delay to other zones, by name. Zones that are
	// not listed have the delay DefaultDelay.
	Delays map[string]time.Duration
	// DefaultDelay is the one-way delay to zones that are not listed; 0 means
	// defaultDelay.
	DefaultDelay time.Duration
}

const defaultDelay = 20 * time.Millisecond

// Delay returns the one-way delay to a zone, 0 for the zone itself.
func (zn Zone) Delay(to string) time.Duration {
	if to == zn.Name {
		return 0
	}
	if delay, ok := zn.Delays[to]; ok {
		return delay
	}
	if zn.DefaultDelay > 0 {
		return zn.DefaultDelay
	}
	return defaultDelay
}

// SortNearest sorts items by the delay to their zone, then by name.
func SortNearest[T any](zn Zone, items []T, zoneOf, nameOf func(T) string) {
	sort.SliceStable(items, func(i, j int) bool {
		di, dj := zn.Delay(zoneOf(items[i])), zn.Delay(zoneOf(items[j]))
		if di != dj {
			return di < dj
		}
		return nameOf(items[i]) < nameOf(items[j])
	})
}
