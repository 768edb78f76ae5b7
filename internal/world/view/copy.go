package view

import (
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"daisystage.example/daisystage/internal/container/cowmap"
)

// trailLength is the number of recent changes whose digests a copy keeps.
const trailLength = 32

// VersionDigest is the digest that a copy had at a version.
type VersionDigest struct {
	Version int64
	Digest  uint64
}

// Copy is an immutable copy of a set of the platform's objects. Entry VMs compare
// copies by digest and exchange objects that differ. The zero value is an empty
// copy, ready to use.
type Copy struct {
	// Version is the highest version (MakeVersion) of any object in the copy.
	Version int64
	// Digest is the XOR of the hashes of all objects' keys and versions, so that
	// it does not depend on the order of the changes.
	Digest uint64
	// Changes counts the objects applied.
	Changes int64
	// Trail is a ring of the most recent digests. With it, a peer that lags behind
	// can be told from one whose objects differ.
	Trail [trailLength]VersionDigest
	// Objects holds all objects by key, including records of deletions.
	Objects cowmap.Map[Object]
}

// ErrOlderVersion is returned for an object that is older than the one in
// force.
var ErrOlderVersion = errors.New("older than the version in force")

// HadDigest reports whether this copy had a digest at a version. It returns
// false if that was more than trailLength changes ago.
func (cp *Copy) HadDigest(version int64, digest uint64) bool {
	return slices.Contains(cp.Trail[:], VersionDigest{Version: version, Digest: digest})
}

// With returns the copy with an object applied, and whether that changed it. An
// object that is older than the one in the copy, or than the mark of its prefix, results
// in ErrOlderVersion. Of an object and a deletion with the same version, the deletion wins.
func (cp Copy) With(ob Object) (Copy, bool, error) {
	have, known := cp.Objects.Get(ob.Key)
	if known && ob.Version == have.Version && (have.Deleted || !ob.Deleted) {
		return cp, false, nil
	}
	if limit := max(have.Version, cp.markOf(ob.Key)); ob.Version < limit {
		return cp, false, &OlderError{Key: ob.Key, Version: ob.Version, Have: limit}
	}
	cp.Objects = cp.Objects.With(ob.Key, ob)
	cp.Version = max(cp.Version, ob.Version)
	cp.Digest ^= objectHash(ob)
	if known {
		cp.Digest ^= objectHash(have)
	}
	return cp.withTrail(), true, nil
}

// withTrail returns the copy with a change of its digest recorded.
func (cp Copy) withTrail() Copy {
	cp.Trail[cp.Changes%trailLength] = VersionDigest{Version: cp.Version, Digest: cp.Digest}
	cp.Changes++
	return cp
}

// Newer returns those of the given objects that With would apply. It reuses the
// slice.
func (cp *Copy) Newer(objects []Object) []Object {
	return slices.DeleteFunc(objects, func(ob Object) bool {
		have, ok := cp.Objects.Get(ob.Key)
		return ob.Version < cp.markOf(ob.Key) || ok && (ob.Version < have.Version || ob.Version == have.Version && (have.Deleted || !ob.Deleted))
	})
}

// KeysOlderThan returns the keys under a prefix whose objects are older than a version and
// of its era. Of those, one that a list at that version lacks was deleted; objects of
// earlier eras are replaced by a mark.
func (cp *Copy) KeysOlderThan(prefix string, version int64) []string {
	var keys []string
	start := eraStart(EraOf(version))
	for key, ob := range cp.Objects.All() {
		if strings.HasPrefix(key, prefix) && !ob.Deleted && ob.Version < version && ob.Version >= start {
			keys = append(keys, key)
		}
	}
	return keys
}

// Digests returns the hashes of the objects that are newer than a version.
func (cp *Copy) Digests(version int64) []uint64 {
	var digests []uint64
	for _, ob := range cp.Objects.All() {
		if ob.Version > version {
			digests = append(digests, objectHash(ob))
		}
	}
	return digests
}

// NewerThan returns the objects that are newer than a version, except those
// whose hash is in except.
func (cp *Copy) NewerThan(version int64, except []uint64) []Object {
	known := make(map[uint64]bool, len(except))
	for _, digest := range except {
		known[digest] = true
	}
	var objects []Object
	for _, ob := range cp.Objects.All() {
		if ob.Version > version && (len(except) == 0 || !known[objectHash(ob)]) {
			objects = append(objects, ob)
		}
	}
	return objects
}

// objectHash hashes the key, the version and whether the object is deleted. The
// value is left out, since a version has only one value.
func objectHash(ob Object) uint64 {
	var buffer [9]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(ob.Version))
	if ob.Deleted {
		buffer[8] = 1
	}
	dg := xxhash.New()
	_, _ = dg.WriteString(ob.Key)
	_, _ = dg.Write(buffer[:])
	return dg.Sum64()
}
