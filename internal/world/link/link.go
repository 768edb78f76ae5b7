// Package link describes connections to a peer and decides which of them have
// gone silent.
package link

import (
	"sync/atomic"
	"time"
)

const (
	// silentFactor is the number of 99th percentiles that a request may wait
	// for its first byte before its link is suspect.
	silentFactor = 3
	// MinSilence bounds the wait from below while latencies are short.
	MinSilence = 40 * time.Millisecond
	// IdleLimit is the time after which an unused link is closed.
	IdleLimit = 30 * time.Second
)

// Link is the state of one open connection to one peer.
type Link struct {
	// OpenedAt is when the connection was made. It does not change.
	OpenedAt time.Time
	// LastRead is when a byte last arrived, in Unix nanoseconds.
	LastRead atomic.Int64
	// LastWrite is when a byte was last sent, in Unix nanoseconds.
	LastWrite atomic.Int64
	// Written counts the bytes sent since the connection was made.
	Written atomic.Int64
}

// IsSilent reports whether no byte came since a request was sent.
func (ln *Link) IsSilent(sentAt time.Time) bool {
	return ln.LastRead.Load() <= sentAt.UnixNano()
}

// Expired reports whether the link was unused for so long that it may have
// been forgotten on the way.
func (ln *Link) Expired(now time.Time) bool {
	last := max(ln.LastRead.Load(), ln.LastWrite.Load(), ln.OpenedAt.UnixNano())
	return now.UnixNano()-last > int64(IdleLimit)
}

// SilentAfter returns how long a request may wait for its first byte.
func SilentAfter(p99 time.Duration) time.Duration {
	return max(silentFactor*p99, MinSilence)
}
