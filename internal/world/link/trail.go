package link

import "sync/atomic"

// Trail lists the connections on which an attempt of one request was rejected. On these,
// a late copy of the rejection can't be told from the answer to a later attempt of the
// same request. The zero value is empty; its methods may be called concurrently.
type Trail struct {
	newest atomic.Pointer[trailEntry]
}

type trailEntry struct {
	link *Link
	// older does not change.
	older *trailEntry
}

// Add adds a connection.
func (tr *Trail) Add(ln *Link) {
	entry := &trailEntry{link: ln}
	for {
		entry.older = tr.newest.Load()
		if tr.newest.CompareAndSwap(entry.older, entry) {
			return
		}
	}
}

// Has reports whether a connection was added.
func (tr *Trail) Has(ln *Link) bool {
	for entry := tr.newest.Load(); entry != nil; entry = entry.older {
		if entry.link == ln {
			return true
		}
	}
	return false
}
