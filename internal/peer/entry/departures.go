package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/machine"
)

const (
	// departureTTL is how long heartbeats carry a departure. News that goes to
	// fanOut peers a round reaches thousands of entry VMs in that time.
	departureTTL = 15 * time.Second
	// maxDepartures bounds the departures in one heartbeat; the newest go first.
	maxDepartures = 64
)

// departureKey identifies a departure: the server and the start of its process in
// Unix milliseconds, 0 if unknown.
type departureKey struct {
	server    string
	startedMs int64
}

func keyOf(dp machine.Departure) departureKey {
	if dp.StartedAt.IsZero() {
		return departureKey{server: dp.Server}
	}
	return departureKey{dp.Server, dp.StartedAt.UnixMilli()}
}

func (dk departureKey) departure() machine.Departure {
	if dk.startedMs == 0 {
		return machine.Departure{Server: dk.server}
	}
	return machine.Departure{Server: dk.server, StartedAt: time.UnixMilli(dk.startedMs)}
}

// departures holds when each departure was first reported. It is immutable.
type departures map[departureKey]time.Time

// ReportDeparture passes the news that a server is leaving on to all peers. The
// server told this process at reportedAt.
func (cr *Cluster) ReportDeparture(reportedAt time.Time, dp machine.Departure) {
	if cr.addDeparture(reportedAt, keyOf(dp)) {
		cr.TriggerRound()
	}
}

// addDeparture reports whether the departure was not known.
func (cr *Cluster) addDeparture(reportedAt time.Time, dk departureKey) bool {
	if _, known := (*cr.departures.Load())[dk]; known {
		return false
	}
	added := false
	cr.departures.Update(func(old departures) departures {
		if _, known := old[dk]; known {
			// Another heartbeat brought it meanwhile.
			return old
		}
		added = true
		next := maps.Clone(old)
		next[dk] = reportedAt
		return next
	})
	return added
}

// mergeDepartures takes over the departures that a peer reports, and passes those
// on that were unknown.
func (cr *Cluster) mergeDepartures(now time.Time, reported []*entrypb.Departure) {
	for _, message := range reported {
		dk := departureKey{message.Server, message.StartedMs}
		reportedAt := now.Add(-time.Duration(message.AgeMs) * time.Millisecond)
		if now.Sub(reportedAt) < departureTTL && cr.addDeparture(reportedAt, dk) && cr.OnDeparture != nil {
			cr.OnDeparture(now, dk.departure())
		}
	}
}

// encodeDepartures returns the departures of the last departureTTL for a
// heartbeat, newest first.
func (cr *Cluster) encodeDepartures(now time.Time) []*entrypb.Departure {
	recent := *cr.departures.Load()
	if len(recent) == 0 {
		return nil
	}
	var messages []*entrypb.Departure
	for dk, reportedAt := range recent {
		if now.Sub(reportedAt) < departureTTL {
			messages = append(messages, &entrypb.Departure{Server: dk.server, StartedMs: dk.startedMs, AgeMs: ageMillis(now, reportedAt)})
		}
	}
	slices.SortFunc(messages, func(a, b *entrypb.Departure) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Server, b.Server))
	})
	return messages[:min(len(messages), maxDepartures)]
}

// removeOldDepartures forgets the departures that heartbeats carry no more.
func (cr *Cluster) removeOldDepartures(now time.Time) {
	isOld := func(_ departureKey, reportedAt time.Time) bool { return now.Sub(reportedAt) >= departureTTL }
	for dk, reportedAt := range *cr.departures.Load() {
		if isOld(dk, reportedAt) {
			cr.departures.Update(func(old departures) departures {
				next := maps.Clone(old)
				maps.DeleteFunc(next, isOld)
				return next
			})
			return
		}
	}
}
