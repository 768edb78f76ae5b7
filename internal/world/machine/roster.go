package machine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rosterInterval is the time between two calls for the roster while VMs are silent,
	// rosterPoll that of a VM which is not listed.
	rosterInterval = time.Second
	rosterPoll     = 3 * time.Second
	// rosterStale is the age of the last answered call, and silentStale the silence of
	// another VM, from which on a VM must expect that it was removed from the roster.
	rosterStale = 3 * time.Second
	silentStale = 7 * time.Second
	// pollStale is that age for a VM that reads the roster every rosterPoll.
	pollStale = rosterPoll + 2*rosterInterval
	// removeAfter is the least silence after which a VM is removed from the roster. The
	// more of the VMs are silent, the longer the others wait, up to removeSpread more, so
	// that of two sides of a partition the larger one stays listed. Each owner waits
	// removeTurn longer than the one before it.
	removeAfter  = 5 * time.Second
	removeSpread = 4 * time.Second
	removeTurn   = time.Second
	// rosterSettle is the time after which a VM that is no longer listed grants nothing
	// any more: it has read the roster, or could not for rosterStale.
	rosterSettle = rosterStale
	// rosterReadAfter is the time from the start in which a VM finds its peers by the
	// settings, rosterCreateAfter the one after which the first owner creates the roster.
	rosterReadAfter   = 2 * time.Second
	rosterCreateAfter = 7 * time.Second
	// listAfter is how long a VM is heard before it is listed. If a partition began before
	// it was heard, that has been noticed then, and the other side does not count it.
	listAfter = PeerTimeout + 2*HeartbeatInterval
	// durableAfter is longer than the age of copies from which the platform comes back, and
	// contactStale how long VMs that removed others may be without it in that time. VMs
	// that do not hear all listed ones go by a restored roster after confirmAfter.
	durableAfter = 15 * time.Second
	contactStale = 5 * time.Second
	confirmAfter = 10 * time.Second
	// minFound is the part of the peers in the settings that who creates the roster must
	// have found. The others read that they are not listed.
	minFound = 0.5
	// aloneAfter is the time from the start after which VMs that found none of the listed
	// ones grant a part of the rates.
	aloneAfter = 8 * time.Second
	// maxRateOwners is the number of owners in three zones.
	maxRateOwners = 3 * ratesPerZone
)

// RosterVM is one entry VM of a roster.
type RosterVM struct {
	Name         string `json:"name"`
	EntryAddress string `json:"entry_address"`
}

// Roster lists the entry VMs that may grant shared rates. The platform keeps it, so that
// VMs that do not hear each other agree on who may grant, and find each other after a
// restart.
type Roster struct {
	// Revision is that of the platform's object, in its era; if IsMissing is set, there was
	// none up to then.
	Revision  int64 `json:"revision"`
	IsMissing bool  `json:"is_missing"`
	// WrittenAt is the revision at which the VMs were written, without its era.
	WrittenAt int64 `json:"written_at"`
	// IsRestored is set if the platform came back from an older copy since they were
	// written: a later roster may be lost.
	IsRestored bool `json:"is_restored"`
	// VMs are ordered by name.
	VMs []RosterVM `json:"entry_vms"`
	// Removed are VMs that others removed since they were silent, the last ones at the
	// end. While they live, so did those others then.
	Removed []string `json:"removed"`
}

// Has reports whether a VM is listed.
func (ro Roster) Has(name string) bool {
	return slices.ContainsFunc(ro.VMs, func(vm RosterVM) bool { return vm.Name == name })
}

// RosterCall is a call to the platform: it reads the roster, or replaces the one with the
// revision of Roster.
type RosterCall struct {
	Writes bool
	Roster Roster
}

// SilentVM is a VM that may grant and is not heard.
type SilentVM struct {
	Name string
	// Since is when its last heartbeat was sent.
	Since time.Time
}

// silentSince returns when the first of the silent VMs was last heard.
func silentSince(silent []SilentVM) time.Time {
	return slices.MinFunc(silent, func(a, b SilentVM) int { return a.Since.Compare(b.Since) }).Since
}

// RosterKeeper holds what one process knows of the roster and decides when to call the
// platform for it: hardly ever while all VMs hear each other. It is used by one goroutine.
type RosterKeeper struct {
	Self RosterVM
	// StartedAt is when the process started. IsFirst is set if no VM has served callers
	// before: none can be lost that this process never heard.
	StartedAt time.Time
	IsFirst   bool
	// IsRestorable is set if the platform may come back from an older copy.
	IsRestorable bool

	roster Roster
	// knownAt is since when there is a roster.
	knownAt time.Time
	// readAt is when the last answered call was sent, calledAt the last call; zero if
	// there was none.
	readAt, calledAt time.Time
	// failed is set if the last call was not answered.
	failed bool
	// listedAt is since when each listed VM can be heard if it lives, removedAt when VMs
	// were found to be no longer listed.
	listedAt, removedAt map[string]time.Time
	// restoredAt is when the roster was first found to be restored, recheckFrom when the
	// platform was found to be; zero once the roster was read after that. contactAt is when
	// the platform was last known to answer this process or a peer.
	restoredAt, recheckFrom, contactAt time.Time
	// learnedAt is when the roster was last taken over from a peer.
	learnedAt time.Time
	// removedLast is when a VM was last found to be no longer listed.
	removedLast time.Time
	// mustRead is set until the next answer if the process stood still, wasSilent until
	// the next one after others were silent. isInformed is set once the process knows the
	// roster, or that there is none: from the platform or a peer.
	mustRead, wasSilent, isInformed bool
}

// Roster returns the roster as last read.
func (rk *RosterKeeper) Roster() Roster {
	return rk.roster
}

// IsKnown reports whether a roster was read that lists any VM.
func (rk *RosterKeeper) IsKnown() bool {
	return rk != nil && len(rk.roster.VMs) > 0
}

// lists reports whether the roster lists a VM.
func (rk *RosterKeeper) lists(name string) bool {
	return rk != nil && rk.roster.Has(name)
}

// Excludes reports whether the roster does not list a VM.
func (rk *RosterKeeper) Excludes(name string) bool {
	return rk.IsKnown() && !rk.roster.Has(name)
}

// excludedSince reports whether the roster, read after the last heartbeat of a VM, does not
// list it. What a peer has read may be older, but tells of VMs that were removed.
func (rk *RosterKeeper) excludedSince(vm EntryVM) bool {
	isRemoved := rk.Excludes(vm.Name) && slices.Contains(rk.roster.Removed, vm.Name) && rk.learnedAt.After(vm.LastHeartbeat)
	return isRemoved || rk.Excludes(vm.Name) && rk.readAt.After(vm.LastHeartbeat)
}

// isSettled reports whether the roster has been known for so long that VMs which it did not
// list at first grant nothing any more.
func (rk *RosterKeeper) isSettled(now time.Time) bool {
	return rk.IsKnown() && now.Sub(rk.knownAt) >= rosterSettle
}

// Resumed is called after the process stood still for so long that it may have been removed.
func (rk *RosterKeeper) Resumed() {
	rk.mustRead = true
}

// StoreRestored is called when the platform came back from an older copy, which may lack the
// roster or hold an earlier one.
func (rk *RosterKeeper) StoreRestored(now time.Time) {
	rk.recheckFrom = now
}

// Contacted records that the platform answered this process or a peer at a time.
func (rk *RosterKeeper) Contacted(at time.Time) {
	if at.After(rk.contactAt) {
		rk.contactAt = at
	}
}

// Learned takes over a newer roster that a peer has read. It tells who may not grant, but
// gives no right: only the platform's answer to a call of this process does.
func (rk *RosterKeeper) Learned(now time.Time, roster Roster) {
	if roster.IsRestored || roster.Revision <= rk.roster.Revision {
		return
	}
	readAt, failed, mustRead := rk.readAt, rk.failed, rk.mustRead
	rk.Answered(now, roster)
	rk.readAt, rk.failed, rk.mustRead, rk.learnedAt = readAt, failed, mustRead, now
}

// Failed records that a call was not answered.
func (rk *RosterKeeper) Failed() {
	rk.failed = true
}

// Answered takes over the roster from the answer to a call that was sent at sentAt.
func (rk *RosterKeeper) Answered(sentAt time.Time, roster Roster) {
	roster = rk.unlessLost(roster)
	switch {
	case !roster.IsRestored:
		rk.restoredAt = time.Time{}
	case rk.restoredAt.IsZero():
		rk.restoredAt = sentAt
	}
	rk.recheckFrom = time.Time{}
	listed, removed := map[string]time.Time{}, map[string]time.Time{}
	for _, vm := range roster.VMs {
		at, ok := rk.listedAt[vm.Name]
		switch {
		case ok:
		case !rk.IsKnown() && sentAt.Sub(rk.StartedAt) < removeAfter:
			// The process looked for its peers since its start.
			at = rk.StartedAt
		default:
			at = sentAt
		}
		listed[vm.Name] = at
	}
	for name, at := range rk.removedAt {
		if sentAt.Sub(at) < rosterSettle {
			removed[name] = at
		}
	}
	for _, vm := range rk.roster.VMs {
		if !roster.Has(vm.Name) {
			removed[vm.Name] = sentAt
			rk.removedLast = sentAt
		}
	}
	if !rk.IsKnown() {
		rk.knownAt = sentAt
	}
	rk.roster, rk.readAt, rk.failed, rk.mustRead, rk.isInformed = roster, sentAt, false, false, true
	rk.listedAt, rk.removedAt = listed, removed
}

// unlessLost returns a roster that was read, with the VMs of the known one if the platform
// has lost that in a restore.
func (rk *RosterKeeper) unlessLost(read Roster) Roster {
	if read.IsMissing && rk.IsKnown() || read.IsRestored && read.WrittenAt < rk.roster.WrittenAt {
		read.VMs, read.Removed, read.WrittenAt, read.IsRestored = rk.roster.VMs, rk.roster.Removed, rk.roster.WrittenAt, true
	}
	return read
}

// mayConfirm reports whether a restored roster may be written again. If the process hears all
// listed VMs, no others have replaced it before the restore. Otherwise it waits until those
// have done so, or grant nothing since they do not reach the platform.
func (rk *RosterKeeper) mayConfirm(now time.Time, rp *RatePlacement) bool {
	return rk.roster.Has(rk.Self.Name) && len(rp.Silent) == 0 || now.Sub(rk.restoredAt) >= confirmAfter
}

// unsettled returns the VMs that were removed so recently that they may still grant.
func (rk *RosterKeeper) unsettled(now time.Time) []string {
	var names []string
	for name, at := range rk.removedAt {
		if now.Sub(at) < rosterSettle && !rk.roster.Has(name) {
			names = append(names, name)
		}
	}
	return names
}

// isDurable reports whether the platform can't have come back from a copy in which VMs are
// still listed that were removed since: it answered after the copies became newer than that,
// or a moment ago.
func (rk *RosterKeeper) isDurable(now time.Time) bool {
	if !rk.IsRestorable || rk.removedLast.IsZero() {
		return true
	}
	answeredAt := rk.readAt
	if rk.contactAt.After(answeredAt) {
		answeredAt = rk.contactAt
	}
	return answeredAt.Sub(rk.removedLast) >= durableAfter || now.Sub(answeredAt) <= contactStale
}

// mayGrant reports whether a process that hears some VMs and does not hear others may grant.
func (rk *RosterKeeper) mayGrant(now time.Time, heard []string, silent []SilentVM) bool {
	isExcluded := rk.Excludes(rk.Self.Name)
	switch {
	case rk.mustRead, !rk.isInformed && !rk.IsFirst:
		// Others may grant that this process has not heard of.
		return false
	case isExcluded && !slices.ContainsFunc(heard, rk.roster.Has):
		// Others like this one may have heard the listed ones leave, too.
		return false
	case !rk.isDurable(now):
		return false
	case len(silent) == 0:
		return true
	case isExcluded, rk.roster.IsRestored:
		return false
	}
	stale := rosterStale
	if !rk.IsKnown() {
		stale = pollStale
	}
	return now.Sub(silentSince(silent)) <= silentStale || now.Sub(rk.readAt) <= stale
}

// isAlone reports whether the process found none of the VMs that may grant, although the
// platform answers, nor one that those have removed: they lived then.
func (rk *RosterKeeper) isAlone(now time.Time, heardListed bool, heard []string) bool {
	isRemoved := func(name string) bool { return slices.Contains(rk.roster.Removed, name) }
	return !heardListed && !rk.roster.Has(rk.Self.Name) && !rk.mustRead && !slices.ContainsFunc(heard, isRemoved) &&
		now.Sub(rk.StartedAt) >= aloneAfter && now.Sub(rk.readAt) <= pollStale
}

// Next returns the call to make now; false if there is none. lasting are the addresses of
// those in the placement.
func (rk *RosterKeeper) Next(now time.Time, rp *RatePlacement, lasting []RosterVM) (RosterCall, bool) {
	rank := rk.rankOf(rp)
	if rank < 0 || now.Sub(rk.calledAt) < rosterInterval || now.Sub(rk.StartedAt) < rosterReadAfter {
		return RosterCall{}, false
	}
	isSilent, isNew := len(rp.Silent) > 0, rk.readAt.IsZero() && !rk.IsFirst
	rk.wasSilent = rk.wasSilent || isSilent
	mustCheck := !rk.recheckFrom.IsZero() && now.Sub(rk.recheckFrom) >= time.Duration(rank)*removeTurn
	mustCheck = mustCheck || !rk.isDurable(now.Add(rosterInterval))
	if rank > 0 && !isSilent && !isNew && !rk.mustRead && !rk.wasSilent && !mustCheck && !rk.roster.IsRestored {
		return RosterCall{}, false
	}
	hasRead := !rk.readAt.IsZero() && !rk.failed && !rk.mustRead && rk.recheckFrom.IsZero()
	if hasRead && (!rk.roster.IsRestored || rk.mayConfirm(now, rp)) {
		wanted := rk.wanted(now, rank, rp, lasting)
		if !slices.Equal(wanted, rk.roster.VMs) || rk.roster.IsRestored && rk.roster.Has(rk.Self.Name) && now.Sub(rk.restoredAt) >= time.Duration(rank)*removeTurn {
			rk.calledAt = now
			return RosterCall{Writes: true, Roster: rk.withVMs(wanted, rp)}, true
		}
	}
	isDue := false
	switch {
	case isSilent && !rk.roster.Has(rk.Self.Name):
		isDue = now.Sub(rk.readAt) >= rosterPoll
	case isSilent, isNew, rk.wasSilent:
		isDue = true
		rk.wasSilent = isSilent
	case rk.readAt.IsZero():
		isDue = now.Sub(rk.StartedAt) >= rosterCreateAfter
	}
	if !isDue && !rk.failed && !rk.mustRead && !mustCheck {
		return RosterCall{}, false
	}
	rk.calledAt = now
	return RosterCall{}, true
}

// rankOf returns the position of this process among those that call the platform: the
// owners, and if the roster lists none of them or is restored, the VMs that it lists; -1 if it
// is none of them. Listed VMs are before others.
func (rk *RosterKeeper) rankOf(rp *RatePlacement) int {
	callers := rp.Owners
	// After a restore, others may know of another roster.
	if rk.IsKnown() && (rk.roster.IsRestored || !slices.ContainsFunc(rp.Owners, rk.roster.Has)) {
		callers = slices.Concat(callers, slices.DeleteFunc(slices.Clone(rp.Heard), func(name string) bool {
			return !rk.roster.Has(name) || slices.Contains(rp.Owners, name)
		}))
	}
	if !slices.Contains(callers, rk.Self.Name) {
		return -1
	}
	rank := 0
	for _, caller := range callers {
		isBefore := caller < rk.Self.Name
		if isListed := rk.roster.Has(caller); isListed != rk.roster.Has(rk.Self.Name) {
			isBefore = isListed
		}
		if isBefore {
			rank++
		}
	}
	return rank
}

// maxRemoved bounds the removed VMs in a roster.
const maxRemoved = 32

// withVMs returns the roster to write in place of the known one.
func (rk *RosterKeeper) withVMs(vms []RosterVM, rp *RatePlacement) Roster {
	next := Roster{Revision: rk.roster.Revision, IsMissing: rk.roster.IsMissing, VMs: vms}
	removed := slices.Clone(rk.roster.Removed)
	for _, vm := range rk.roster.VMs {
		isSilent := slices.ContainsFunc(rp.Silent, func(sv SilentVM) bool { return sv.Name == vm.Name })
		if isSilent && !next.Has(vm.Name) {
			removed = append(removed, vm.Name)
		}
	}
	removed = slices.DeleteFunc(removed, next.Has)
	next.Removed = removed[max(len(removed)-maxRemoved, 0):]
	return next
}

// areGone reports whether all listed VMs left, or were not heard for rateMemory.
func (rk *RosterKeeper) areGone(now time.Time, rp *RatePlacement) bool {
	return !slices.ContainsFunc(rk.roster.VMs, func(vm RosterVM) bool {
		if slices.Contains(rp.Left, vm.Name) {
			return false
		}
		at := slices.IndexFunc(rp.Silent, func(sv SilentVM) bool { return sv.Name == vm.Name })
		return at < 0 || now.Sub(rp.Silent[at].Since) < rateMemory
	})
}

// wanted returns the VMs that the roster should list.
func (rk *RosterKeeper) wanted(now time.Time, rank int, rp *RatePlacement, lasting []RosterVM) []RosterVM {
	switch {
	case !rk.IsKnown() && (now.Sub(rk.StartedAt) < rosterCreateAfter || rp.Found < minFound):
		// Most VMs may be unknown to this process.
		return rk.roster.VMs
	case rk.Excludes(rk.Self.Name) && !rk.areGone(now, rp):
		// Those that are listed decide.
		return rk.roster.VMs
	}
	wait := removeAfter + time.Duration((1-rp.Seen)*float64(removeSpread)) + time.Duration(rank)*removeTurn
	var vms []RosterVM
	isWaiting := false
	for _, vm := range rk.roster.VMs {
		at := slices.IndexFunc(rp.Silent, func(sv SilentVM) bool { return sv.Name == vm.Name })
		switch {
		case at >= 0 && now.Sub(rp.Silent[at].Since) >= wait:
		case len(rp.Silent) == 0 && slices.Contains(rp.Surplus, vm.Name), at < 0 && !slices.Contains(rp.Listed, vm.Name):
			// Another VM is to be listed in its place.
		case slices.Contains(rp.Left, vm.Name):
			// The others do not count it any more. If it came back on another side of
			// a partition, it would still have a right.
		default:
			isWaiting = isWaiting || at >= 0
			vms = append(vms, vm)
		}
	}
	for _, owner := range lasting {
		at := slices.IndexFunc(vms, func(vm RosterVM) bool { return vm.Name == owner.Name })
		switch {
		case at >= 0:
			vms[at] = owner
		case !isWaiting:
			// Those that are silent do not count a new owner.
			vms = append(vms, owner)
		}
	}
	slices.SortFunc(vms, func(a, b RosterVM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}
