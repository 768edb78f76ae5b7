package view

import (
	"errors"
	"fmt"
)

// revisionBits is the number of the low bits of a version that hold the revision. At
// 1,000 changes a second they last for 34 years.
const revisionBits = 40

const (
	maxRevision = 1<<revisionBits - 1
	maxEra      = 1<<(63-revisionBits) - 1
)

// ErrVersionRange is returned for an era or a revision that no version can hold.
var ErrVersionRange = errors.New("era or revision is out of range")

// MakeVersion returns the version of a change at a revision in an era of the platform's
// store. The era rises when the store comes back from an older copy, whose revisions are
// given out again: so versions are ordered by the era first. A store that tells no era is
// in era 0, in which a version is the revision.
func MakeVersion(era, revision int64) (int64, error) {
	if era < 0 || era > maxEra || revision < 0 || revision > maxRevision {
		return 0, fmt.Errorf("era %d, revision %d: %w", era, revision, ErrVersionRange)
	}
	return eraStart(era) + revision, nil
}

// eraStart returns the lowest version of an era.
func eraStart(era int64) int64 {
	return era << revisionBits
}

// EraOf returns the era of a version.
func EraOf(version int64) int64 {
	return version >> revisionBits
}

// RevisionOf returns the revision of a version in its era.
func RevisionOf(version int64) int64 {
	return version & maxRevision
}

// FormatVersion returns a version as text.
func FormatVersion(version int64) string {
	if EraOf(version) == 0 {
		return fmt.Sprintf("revision %d", version)
	}
	return fmt.Sprintf("revision %d of era %d", RevisionOf(version), EraOf(version))
}
