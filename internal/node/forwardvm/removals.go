package forwardvm

import (
	"strings"
	"time"

	"daisystage.example/daisystage/internal/world/view"
)

// outageReports is the number of intervals of a server's reports for which the platform may be
// silent before the record of a server that runs can have expired, since its reports were not
// taken: one fewer than those after which it expires.
const outageReports = 2

// maxSilence returns how long the platform may be silent before it counts as an outage.
func (cg *Config) maxSilence() time.Duration {
	return outageReports * cg.ReportEvery
}

// removalDelay returns how long a server is used after its record disappeared.
func (cg *Config) removalDelay() time.Duration {
	return min(cg.DrainFor-removalMargin, maxRemovalDelay)
}

// removalSeenAt returns the time from which the removal delay counts for a record that may have
// disappeared at any time since one before now: the server must get no work DrainFor after
// that.
func (cg *Config) removalSeenAt(now, since time.Time) time.Time {
	late := now.Sub(since.Add(cg.DrainFor - removalMargin - cg.removalDelay()))
	return now.Add(-max(late, 0))
}

// dateRemovals dates the removals of servers' records in an answer of the store. Those from
// peers are dated.
func (ps *Process) dateRemovals(now time.Time, origin view.Origin, objects []view.Object) {
	if origin.Source != view.SourceList && origin.Source != view.SourceWatch {
		return
	}
	cg, since := ps.settings.Load(), origin.Since
	if since.IsZero() {
		// What was known came from peers. After an outage of the store, servers that run need
		// the whole delay to register again.
		since = ps.Confirmation.AsOf()
		if now.Sub(since) > cg.maxSilence() {
			since = now
		}
	}
	seenAt := cg.removalSeenAt(now, since)
	for at, ob := range objects {
		if ob.Deleted && ob.SeenAt.IsZero() && strings.HasPrefix(ob.Key, view.PrefixFleetServers) {
			objects[at].SeenAt = seenAt
		}
	}
}
