// Package snapshot describes the versions of an index and chooses the one that
// a query is answered from.
package snapshot

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Shard is one part of a snapshot.
type Shard struct {
	Name string `json:"name"`
	// Replicas names the servers that hold the shard.
	Replicas []string `json:"replicas"`
}

// Manifest lists the shards of one snapshot. It is never changed once
// published, but for its replicas.
type Manifest struct {
	Collection string `json:"collection"`
	// ID rises in string order with the age of the snapshots.
	ID string `json:"id"`
	// Shards is the denominator of coverage; names are unique.
	Shards []Shard `json:"shards"`
}

// Collection is all known snapshots of one index.
type Collection struct {
	Name string
	// Manifests is ordered by ID, newest first.
	Manifests []*Manifest
}

// ErrNoSnapshot says that a collection has no snapshot.
var ErrNoSnapshot = errors.New("no snapshot")

// Validate checks the manifest.
func (mf *Manifest) Validate() error {
	if mf.Collection == "" || mf.ID == "" {
		return errors.New("manifest without collection or id")
	}
	if len(mf.Shards) == 0 {
		return fmt.Errorf("manifest %s/%s without shards", mf.Collection, mf.ID)
	}
	seen := make(map[string]bool, len(mf.Shards))
	for _, sh := range mf.Shards {
		if sh.Name == "" || seen[sh.Name] {
			return fmt.Errorf("manifest %s/%s: shard name %q is empty or stands twice", mf.Collection, mf.ID, sh.Name)
		}
		seen[sh.Name] = true
	}
	return nil
}

// With returns a copy of the collection that has the manifest, in place of one
// of the same ID.
func (cl *Collection) With(mf *Manifest) *Collection {
	next := cl.Without(mf.ID)
	next.Manifests = append(next.Manifests, mf)
	slices.SortFunc(next.Manifests, func(a, b *Manifest) int { return strings.Compare(b.ID, a.ID) })
	return next
}

// Without returns a copy of the collection that lacks the snapshot.
func (cl *Collection) Without(id string) *Collection {
	next := &Collection{Name: cl.Name}
	for _, mf := range cl.Manifests {
		if mf.ID != id {
			next.Manifests = append(next.Manifests, mf)
		}
	}
	return next
}

// Pin chooses the newest snapshot for which each shard has an eligible replica,
// else the newest of those that cover most. Snapshots for which skip reports
// true are passed over; eligible is asked for a server and a snapshot.
func (cl *Collection) Pin(skip func(id string) bool, eligible func(server, id string) bool) (*Manifest, error) {
	var best *Manifest
	var bestCovered float64
	for _, mf := range cl.Manifests {
		if skip(mf.ID) {
			continue
		}
		covered := float64(mf.covered(eligible)) / float64(len(mf.Shards))
		if covered == 1 {
			return mf, nil
		}
		if best == nil || covered > bestCovered {
			best, bestCovered = mf, covered
		}
	}
	if best == nil {
		return nil, fmt.Errorf("collection %s: %w", cl.Name, ErrNoSnapshot)
	}
	return best, nil
}

func (mf *Manifest) covered(eligible func(server, id string) bool) int {
	covered := 0
	for _, sh := range mf.Shards {
		if slices.ContainsFunc(sh.Replicas, func(server string) bool { return eligible(server, mf.ID) }) {
			covered++
		}
	}
	return covered
}
