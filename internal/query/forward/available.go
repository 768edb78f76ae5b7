package forward

import (
	"slices"
	"time"

	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// refuseUnavailable returns a refusal if so many shards have no server that
// accepts work that the minimum coverage can't be reached, and nil otherwise. It
// answers loads in which servers leave or ask for no requests: no part is sent
// whose work would be lost.
func refuseUnavailable(now time.Time, shards []scatter.Shard, minCoverage float64) *contract.Refusal {
	needed := scatter.NeededParts(minCoverage, len(shards))
	available := 0
	var later []time.Time
	for i := range shards {
		at, ok := availableAt(now, shards[i].Replicas)
		switch {
		case ok && !at.After(now):
			available++
		case ok:
			later = append(later, at)
		}
	}
	if available >= needed {
		return nil
	}
	rf := contract.NewRefusal(contract.NotRun, contract.CodeNoServer,
		"%d of %d services have a server that accepts requests, %d are needed", available, len(shards), needed)
	if missing := needed - available; len(later) >= missing {
		slices.SortFunc(later, time.Time.Compare)
		rf.RetryAfter = later[missing-1].Sub(now)
	}
	return rf
}

// notTaken returns the refusal of a job that no server took, or that was not started
// for lack of room. It tells the caller to wait for servers that asked for no requests
// meanwhile.
func (sv *Service) notTaken(rn *run, jb *scatter.Job[Attempt], rs *scatter.Result[Answer], reason string) *contract.Refusal {
	if rf := sv.recheckKey(rn); rf != nil {
		return rf
	}
	if rs.HeldBack {
		return contract.NewRefusal(contract.NotRun, contract.CodeOverloaded, "held back in favor of more urgent requests")
	}
	switch rs.Parts[0].Record.Cause {
	case contract.CauseQuarantined:
		return quarantineRefusal()
	case contract.CauseNoRoom:
		return contract.NewRefusal(contract.NotRun, contract.CodeOverloaded, "too few shards have a server with room")
	}
	rf := contract.NewRefusal(contract.NotRun, contract.CodeNoServer, "%s", reason)
	if unavailable := refuseUnavailable(time.Now(), jb.Shards, rn.route.MinCoverage); unavailable != nil {
		rf.RetryAfter = unavailable.RetryAfter
	}
	return rf
}

// availableAt returns the earliest time at which one of the servers accepts work,
// and false if all are leaving.
func availableAt(now time.Time, servers []*machine.Server) (time.Time, bool) {
	var earliest time.Time
	found := false
	for _, sv := range servers {
		at, ok := sv.AcceptsWorkAt(now)
		if ok && (!found || at.Before(earliest)) {
			earliest, found = at, true
		}
	}
	return earliest, found
}
