package platform

import (
	"slices"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/container/rcu"
)

// maxUnreadable is the number of distinct unreadable entries that are kept and
// reported; more are only counted.
const maxUnreadable = 64

// UnreadableEntry is an entry of the platform that can't be used.
type UnreadableEntry struct {
	// Problem names the entry and says why it can't be used.
	Problem   string    `json:"problem"`
	FirstSeen time.Time `json:"first_seen"`
}

// Unreadable collects the entries of the platform that can't be used, each once.
// Its methods may be called by any number of goroutines. Make one with
// NewUnreadable.
type Unreadable struct {
	// OnNew is called for each entry that is kept; it may be nil. It is set before
	// the first call of Record.
	OnNew func(entry UnreadableEntry)
	// Total counts all calls of Record.
	Total atomic.Int64

	entries *rcu.Value[[]UnreadableEntry]
}

// NewUnreadable returns a collection without entries.
func NewUnreadable() *Unreadable {
	return &Unreadable{entries: rcu.New([]UnreadableEntry{})}
}

// Entries returns the entries in the order in which they were seen.
func (ur *Unreadable) Entries() []UnreadableEntry {
	return *ur.entries.Load()
}

// Record adds an entry, unless it is known or there are too many.
func (ur *Unreadable) Record(now time.Time, problem string) {
	ur.Total.Add(1)
	entry := UnreadableEntry{Problem: problem, FirstSeen: now}
	added := false
	ur.entries.Update(func(old []UnreadableEntry) []UnreadableEntry {
		known := func(other UnreadableEntry) bool { return other.Problem == problem }
		added = len(old) < maxUnreadable && !slices.ContainsFunc(old, known)
		if !added {
			return old
		}
		return append(slices.Clone(old), entry)
	})
	if added && ur.OnNew != nil {
		ur.OnNew(entry)
	}
}
