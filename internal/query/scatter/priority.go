package scatter

import (
	"slices"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// reserveDivisor is the part of a server's slots that is kept for more urgent requests.
const reserveDivisor = 4

// isHeldBack counts the request as arrived, and reports whether it is refused in favor of
// more urgent ones: by the share that is held back at the services that it can't do without.
func (ga *gather[R, H, S, M, A]) isHeldBack(now time.Time) bool {
	ga.startedAt = now
	var shares []float64
	for i := range ga.job.Shards {
		cn := ga.job.Shards[i].Contention
		if cn == nil {
			return false
		}
		share, keepsReserve := cn.Arrive(now, ga.job.Settings.Priority)
		ga.parts[i].keepsReserve = keepsReserve
		if share > 0 || shares != nil {
			shares = append(shares, share)
		}
	}
	// Services at which nothing is held back are left out at the front.
	slices.Sort(shares)
	at := ga.needed - 1 - (len(ga.parts) - len(shares))
	return at >= 0 && contract.IsHeld(shares[at])
}

// finishContention counts the request in the contention for its services.
func (ga *gather[R, H, S, M, A]) finishContention(now time.Time) {
	served := ga.answered >= ga.needed && ga.isInTime(now)
	for i := range ga.parts {
		pt := &ga.parts[i]
		if cn := pt.shard.Contention; cn != nil {
			cn.Finish(now, ga.job.Settings.Priority, served, !served && (pt.Record.Cause == contract.CauseNoRoom || isBusy(now, pt.shard.Replicas)))
		}
	}
}

// isInTime reports whether an answer now keeps the latency goal.
func (ga *gather[R, H, S, M, A]) isInTime(now time.Time) bool {
	if !ga.job.PartialAfter.IsZero() {
		return !now.After(ga.job.PartialAfter.Add(startCheckInterval))
	}
	return ga.job.Settings.Goal == 0 || now.Sub(ga.startedAt) <= ga.job.Settings.Goal
}

// lacksReserve reports whether a server has no slot free beyond those that are kept for more
// urgent requests.
func (ga *gather[R, H, S, M, A]) lacksReserve(now time.Time, sv *machine.Server) bool {
	return sv.ExpectedLoad(now)+1 > float64(sv.Slots-sv.Slots/reserveDivisor)
}

// isBusy reports whether all servers that accept work usually have no free slot.
func isBusy(now time.Time, servers []*machine.Server) bool {
	for _, sv := range servers {
		if sv.AcceptsWork(now) && !sv.IsUsuallyFull() {
			return false
		}
	}
	return true
}
