package platform

import "time"

const (
	// watchOverlap is how long ago the version was answered from which a watch continues
	// after one that brought no change. It is longer than the time for which watches may
	// learn of no change, a second, and a watch.
	watchOverlap = 4 * time.Second
	// After maxLosses answers of ErrCompacted within lossWindow watches do not overlap for
	// overlapPause, so that a platform that keeps its history for a shorter time is not
	// listed again and again.
	maxLosses    = 6
	lossWindow   = 30 * time.Second
	overlapPause = time.Minute
)

// versionAt is a version that the platform answered, and when.
type versionAt struct {
	version int64
	at      time.Duration
}

// overlap holds from which versions the next watches continue. The lock of its Watcher guards
// it.
type overlap struct {
	// from holds the versions of the answers for a prefix since the last one with a change,
	// in their order; the next watch continues from the first.
	from map[string][]versionAt
	// losses are the times of the last answers of ErrCompacted, at most maxLosses.
	losses []time.Duration
	// until is until when watches do not overlap.
	until time.Duration
}

// next returns the version from which the next watch of a prefix continues. A watch may be
// answered without a change that lies before the version in its answer; the next one then
// brings it, or ErrCompacted.
func (ol *overlap) next(prefix string, answered versionAt, hasChanges bool) int64 {
	versions := append(ol.from[prefix], answered)
	if hasChanges || answered.at < ol.until {
		versions = versions[len(versions)-1:]
	}
	for len(versions) > 1 && answered.at-versions[1].at >= watchOverlap {
		versions = versions[1:]
	}
	ol.from[prefix] = versions
	return versions[0].version
}

// lastBefore returns the time of the last answer for a prefix at a lower version than the given
// one, or of the first that is kept; 0 if none is.
func (ol *overlap) lastBefore(prefix string, version int64) time.Duration {
	versions := ol.from[prefix]
	for at := len(versions) - 1; at > 0; at-- {
		if versions[at].version < version {
			return versions[at].at
		}
	}
	if len(versions) == 0 {
		return 0
	}
	return versions[0].at
}

// compacted records an answer of ErrCompacted.
func (ol *overlap) compacted(now time.Duration) {
	ol.losses = append(ol.losses, now)
	if len(ol.losses) < maxLosses {
		return
	}
	if now-ol.losses[0] <= lossWindow {
		ol.until = now + overlapPause
	}
	ol.losses = ol.losses[1:]
}
