// Package zone describes failure domains and the delays between them.
package zone

import (
	"sort"
	"time"
)

// Zone is one failure domain as seen from a process in it.
type Zone struct {
	// Name is not empty.
	Name string
	// Delays holds the one-way delay to other zones; one that is not listed
	// counts as Else away.
	Delays map[string]time.Duration
	// Else is the delay to zones that are not listed; 0 takes unknownDelay.
	Else time.Duration
}

const unknownDelay = 20 * time.Millisecond

// Delay returns the one-way delay to another zone, zero for the own one.
func (zn Zone) Delay(to string) time.Duration {
	if to == zn.Name {
		return 0
	}
	if delay, ok := zn.Delays[to]; ok {
		return delay
	}
	if zn.Else > 0 {
		return zn.Else
	}
	return unknownDelay
}

// SortNearest orders items by the delay to their zone, then by name.
func SortNearest[T any](zn Zone, items []T, zoneOf, nameOf func(T) string) {
	sort.SliceStable(items, func(i, j int) bool {
		di, dj := zn.Delay(zoneOf(items[i])), zn.Delay(zoneOf(items[j]))
		if di != dj {
			return di < dj
		}
		return nameOf(items[i]) < nameOf(items[j])
	})
}
