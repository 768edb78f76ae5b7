package view

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"daisystage.example/daisystage/internal/container/cowmap"
)

// trailLength is the number of versions whose digests a copy remembers.
const trailLength = 32

// Mark is the digest of a copy at a version.
type Mark struct {
	Version int64
	Digest  uint64
}

// Copy is an immutable copy of some of the platform's objects, as entry VMs
// compare and pass them on. The zero value is empty and ready.
type Copy struct {
	// Version is the highest version of any object in the copy.
	Version int64
	// Digest is the xor of a hash of each key and version, so that equal copies
	// have equal digests whatever the order of the changes.
	Digest uint64
	// Changes counts the objects taken in.
	Changes int64
	// Trail holds the digests at the newest versions, in no order, so that a
	// peer that is merely behind can be told from one that differs.
	Trail [trailLength]Mark
	// Objects holds all objects, and the marks of deleted ones.
	Objects cowmap.Map[Object]
}

// ErrOlder says that an object is older than the one in force.
var ErrOlder = errors.New("older than the version in force")

// Had reports whether this copy had a digest at a version; false too when that
// is too long ago.
func (cp *Copy) Had(version int64, digest uint64) bool {
	return slices.Contains(cp.Trail[:], Mark{Version: version, Digest: digest})
}

// With returns the copy with an object taken in, and whether that changed it.
// Older objects give ErrOlder. A deletion wins over an object of its version.
func (cp Copy) With(ob Object) (Copy, bool, error) {
	have, known := cp.Objects.Get(ob.Key)
	if known && ob.Version == have.Version && (have.Deleted || !ob.Deleted) {
		return cp, false, nil
	}
	if known && ob.Version < have.Version {
		return cp, false, fmt.Errorf("object %s at version %d, have %d: %w", ob.Key, ob.Version, have.Version, ErrOlder)
	}
	cp.Objects = cp.Objects.With(ob.Key, ob)
	cp.Version = max(cp.Version, ob.Version)
	cp.Digest ^= objectHash(ob)
	if known {
		cp.Digest ^= objectHash(have)
	}
	cp.Trail[cp.Changes%trailLength] = Mark{Version: cp.Version, Digest: cp.Digest}
	cp.Changes++
	return cp, true, nil
}

// Newer returns the objects among some that are newer than those of the copy.
func (cp *Copy) Newer(objects []Object) []Object {
	return slices.DeleteFunc(objects, func(ob Object) bool {
		have, ok := cp.Objects.Get(ob.Key)
		return ok && (ob.Version < have.Version || ob.Version == have.Version && (have.Deleted || !ob.Deleted))
	})
}

// Digests returns the digests of the objects that are newer than a version.
func (cp *Copy) Digests(version int64) []uint64 {
	var digests []uint64
	for _, ob := range cp.Objects.All() {
		if ob.Version > version {
			digests = append(digests, objectHash(ob))
		}
	}
	return digests
}

// After returns the objects that are newer than a version, but for those with
// one of some digests.
func (cp *Copy) After(version int64, but []uint64) []Object {
	known := make(map[uint64]bool, len(but))
	for _, digest := range but {
		known[digest] = true
	}
	var objects []Object
	for _, ob := range cp.Objects.All() {
		if ob.Version > version && (len(but) == 0 || !known[objectHash(ob)]) {
			objects = append(objects, ob)
		}
	}
	return objects
}

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
