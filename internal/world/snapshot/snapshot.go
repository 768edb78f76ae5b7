// Package snapshot describes the versions of an index and selects the one that
// answers a query.
package snapshot

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Shard is one partition of a snapshot.
type Shard struct {
	Name string `json:"name"`
	// Replicas names the servers that hold the shard.
	Replicas []string `json:"replicas"`
}

// Manifest lists the shards of one snapshot. Once it is published, only the
// replicas of its shards change.
type Manifest struct {
	Collection string `json:"collection"`
	// ID sorts as a string: a newer snapshot has a greater ID.
	ID string `json:"id"`
	// Shards holds at least one shard; names are unique. Its length is the
	// denominator of coverage.
	Shards []Shard `json:"shards"`
}

// Collection holds all known snapshots of one index.
type Collection struct {
	Name string
	// Manifests is ordered by ID, newest first.
	Manifests []*Manifest
}

// ErrNoSnapshot is returned when a collection has no usable snapshot.
var ErrNoSnapshot = errors.New("no snapshot")

// Validate returns an error unless the manifest has a collection, an ID and at
// least one shard, and its shard names are unique and not empty.
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
			return fmt.Errorf("manifest %s/%s: shard name %q is empty or repeated", mf.Collection, mf.ID, sh.Name)
		}
		seen[sh.Name] = true
	}
	return nil
}

// With returns a copy of the collection with the manifest added. It replaces a
// manifest with the same ID.
func (cl *Collection) With(mf *Manifest) *Collection {
	next := cl.Without(mf.ID)
	next.Manifests = append(next.Manifests, mf)
	slices.SortFunc(next.Manifests, func(a, b *Manifest) int { return strings.Compare(b.ID, a.ID) })
	return next
}

// Without returns a copy of the collection without the snapshot.
func (cl *Collection) Without(id string) *Collection {
	next := &Collection{Name: cl.Name}
	for _, mf := range cl.Manifests {
		if mf.ID != id {
			next.Manifests = append(next.Manifests, mf)
		}
	}
	return next
}

// Pin returns the newest snapshot in which each shard has an eligible replica.
// If there is none, it returns the snapshot with the highest share of covered
// shards, the newest one on a tie. Snapshots for which skip returns true are
// ignored. eligible reports whether a server can answer for a snapshot. Pin
// returns ErrNoSnapshot if no snapshot is left.
func (cl *Collection) Pin(skip func(id string) bool, eligible func(server, id string) bool) (*Manifest, error) {
	var best *Manifest
	var bestCovered float64
	for _, mf := range cl.Manifests {
		if skip(mf.ID) {
			continue
		}
		covered := float64(mf.coveredShards(eligible)) / float64(len(mf.Shards))
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

// coveredShards counts the shards that have an eligible replica.
func (mf *Manifest) coveredShards(eligible func(server, id string) bool) int {
	covered := 0
	for _, sh := range mf.Shards {
		if slices.ContainsFunc(sh.Replicas, func(server string) bool { return eligible(server, mf.ID) }) {
			covered++
		}
	}
	return covered
}
