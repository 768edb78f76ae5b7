// Package link describes the connections to peers, detects those that no longer
// deliver data, and measures request latencies.
package link

import (
	"sync/atomic"
	"time"
)

const (
	// firstByteFactor times the 99th percentile of latency is how long a request
	// waits for its first byte before its connection is suspected to be broken.
	firstByteFactor = 3
	// MinFirstByteTimeout is the lower bound of that wait, for short latencies.
	MinFirstByteTimeout = 40 * time.Millisecond
	// IdleTimeout is how long a connection may be unused before it is closed.
	IdleTimeout = 30 * time.Second
)

// Link is the state of one open connection to one peer.
type Link struct {
	// OpenedAt is when the connection was opened. It does not change.
	OpenedAt time.Time
	// LastRead is when data was last received, in Unix nanoseconds.
	LastRead atomic.Int64
	// LastWrite is when data was last sent, in Unix nanoseconds.
	LastWrite atomic.Int64
	// Written is the number of bytes sent since the connection was opened.
	Written atomic.Int64
}

// IsSilent reports whether nothing was received since sentAt, when a request
// was sent.
func (ln *Link) IsSilent(sentAt time.Time) bool {
	return ln.LastRead.Load() <= sentAt.UnixNano()
}

// Expired reports whether the connection was unused for longer than
// IdleTimeout, so that a NAT or firewall on the path may have dropped its
// state.
func (ln *Link) Expired(now time.Time) bool {
	last := max(ln.LastRead.Load(), ln.LastWrite.Load(), ln.OpenedAt.UnixNano())
	return now.UnixNano()-last > int64(IdleTimeout)
}

// FirstByteTimeout returns how long a request waits for its first byte before
// its connection is suspected to be broken, from the 99th percentile of latency.
func FirstByteTimeout(p99 time.Duration) time.Duration {
	return max(firstByteFactor*p99, MinFirstByteTimeout)
}
