// Package cowmap implements an immutable map by copy-on-write. A changed copy
// shares most of its memory with the original, so that a large published map can
// be changed often.
package cowmap

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is a power of two, so that the modulo in bucketIndex is cheap.
const bucketCount = 512

type buckets[V any] [bucketCount]map[string]V

// Map is an immutable map from strings. The zero value is empty and ready.
type Map[V any] struct {
	// buckets is nil until the first key is set. Neither it nor its maps change
	// once they are reachable from a published Map.
	buckets *buckets[V]
	size    int
}

func bucketIndex(key string) uint64 {
	return xxhash.Sum64String(key) % bucketCount
}

// Len returns the number of keys.
func (mp Map[V]) Len() int {
	return mp.size
}

// Get returns the value of a key and whether the key is present.
func (mp Map[V]) Get(key string) (V, bool) {
	if mp.buckets == nil {
		var none V
		return none, false
	}
	value, ok := mp.buckets[bucketIndex(key)][key]
	return value, ok
}

// With returns a copy in which key has value.
func (mp Map[V]) With(key string, value V) Map[V] {
	at, changed := mp.copyBucket(key)
	if _, had := changed.buckets[at][key]; !had {
		changed.size++
	}
	changed.buckets[at][key] = value
	return changed
}

// Without returns a copy without key.
func (mp Map[V]) Without(key string) Map[V] {
	if _, had := mp.Get(key); !had {
		return mp
	}
	at, changed := mp.copyBucket(key)
	delete(changed.buckets[at], key)
	changed.size--
	return changed
}

// All iterates over the keys and values in no particular order.
func (mp Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if mp.buckets == nil {
			return
		}
		for _, bucket := range mp.buckets {
			for key, value := range bucket {
				if !yield(key, value) {
					return
				}
			}
		}
	}
}

// copyBucket returns a copy in which the bucket of key is cloned and may be
// changed, and the index of that bucket.
func (mp Map[V]) copyBucket(key string) (uint64, Map[V]) {
	at := bucketIndex(key)
	next := &buckets[V]{}
	if mp.buckets != nil {
		*next = *mp.buckets
	}
	next[at] = maps.Clone(next[at])
	if next[at] == nil {
		next[at] = map[string]V{}
	}
	return at, Map[V]{buckets: next, size: mp.size}
}
