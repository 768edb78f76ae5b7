package platform

import (
	"slices"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/world/view"
)

// maxUnreadable is the number of distinct unreadable entries that are kept and
// reported; more are only counted.
const maxUnreadable = 64

// UnreadableEntry is an entry of the platform that can't be used.
type UnreadableEntry struct {
	// Problem names the entry and says why it can't be used.
	Problem   string    `json:"problem"`
	FirstSeen time.Time `json:"first_seen"`
	// Object is the entry, without its value; its key and version are unset if they can't
	// be read. Origin is where it came from.
	Object view.Object `json:"-"`
	Origin view.Origin `json:"-"`
	// TableVersion is the version of a configuration; 0 for others, and if it can't be read.
	TableVersion int64 `json:"table_version,omitempty"`
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

// Record adds an entry, unless it is known or there are too many. Entries with the same
// problem are one, unless they are configurations with different versions.
func (ur *Unreadable) Record(now time.Time, entry UnreadableEntry) {
	ur.Total.Add(1)
	entry.FirstSeen, entry.Object.Value = now, ""
	added := false
	ur.entries.Update(func(old []UnreadableEntry) []UnreadableEntry {
		known := func(other UnreadableEntry) bool {
			return other.Problem == entry.Problem && other.TableVersion == entry.TableVersion
		}
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
