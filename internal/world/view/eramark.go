package view

import (
	"slices"
	"strings"
)

// prefixMarks is followed by the prefix that a mark is about.
const prefixMarks = "eras/"

// NewEraMark returns the mark that a list of a prefix, read in an era, was complete. An
// object of an earlier era that the list lacks is not in the store any more: a mark
// replaces all of them, and none is accepted after it. Marks are passed on between entry
// VMs like the platform's objects, so that one that was cut off does not bring back what
// the store has lost. There is none for era 0.
func NewEraMark(prefix string, era int64) (mark Object, ok bool) {
	return Object{Key: prefixMarks + prefix, Version: eraStart(era)}, era > 0
}

// HasAge reports whether the time since the object was first seen matters to peers.
func (ob Object) HasAge() bool {
	return ob.Deleted || ob.isEraMark()
}

// isEraMark reports whether an object is a mark.
func (ob Object) isEraMark() bool {
	return strings.HasPrefix(ob.Key, prefixMarks)
}

// marksLast orders marks behind the other objects, so that what a list holds is known
// before the rest is dropped.
func marksLast(objects []Object) []Object {
	if !slices.ContainsFunc(objects, Object.isEraMark) {
		return objects
	}
	ordered := slices.Clone(objects)
	slices.SortStableFunc(ordered, func(a, b Object) int {
		switch {
		case a.isEraMark() == b.isEraMark():
			return 0
		case a.isEraMark():
			return 1
		}
		return -1
	})
	return ordered
}

// markOf returns the version of the mark that covers a key; 0 if there is none.
func (cp *Copy) markOf(key string) int64 {
	if EraOf(cp.Version) == 0 {
		return 0
	}
	kind, _, _ := strings.Cut(key, "/")
	mark, _ := cp.Objects.Get(prefixMarks + kind + "/")
	return mark.Version
}

// withoutMarked returns the copy without the objects that a mark replaces, and those of
// them that were not deleted.
func (cp Copy) withoutMarked(mark Object) (Copy, []Object) {
	prefix := strings.TrimPrefix(mark.Key, prefixMarks)
	var dropped []Object
	for key, ob := range cp.Objects.All() {
		if !strings.HasPrefix(key, prefix) || ob.Version >= mark.Version {
			continue
		}
		cp = cp.without(ob)
		if !ob.Deleted {
			dropped = append(dropped, ob)
		}
	}
	return cp.withTrail(), dropped
}

// without returns the copy without an object that it has.
func (cp Copy) without(ob Object) Copy {
	cp.Objects = cp.Objects.Without(ob.Key)
	cp.Digest ^= objectHash(ob)
	return cp
}

// PullStart returns the version after which this copy may lack objects that a peer has,
// if it lacks none up to a version: while some of its objects are of an earlier era, all
// of the newest one.
func (cp *Copy) PullStart(version int64) int64 {
	start := eraStart(EraOf(cp.Version))
	if start == 0 {
		return version
	}
	for _, ob := range cp.Objects.All() {
		if !ob.Deleted && ob.Version < start && !ob.isEraMark() && !ob.isKept() && ob.Key != KeyRoster {
			return min(version, start-1)
		}
	}
	return version
}
