package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// weakEvidenceTTL is how long heartbeats carry crashes that are no reason to block a
	// request by themselves. Most of them are of requests that merely ran on a server when
	// it was lost.
	weakEvidenceTTL = 30 * time.Second
	// maxQuarantines bounds the fingerprints in one heartbeat, and maxCrashes the crashes
	// of each. The strongest evidence goes first.
	maxQuarantines = 64
	maxCrashes     = 8
)

// encodeQuarantines returns the crashes for a heartbeat.
func encodeQuarantines(now time.Time, all map[uint64]contract.Crashes) []*entrypb.Quarantine {
	var messages []*entrypb.Quarantine
	for fingerprint, crashes := range all {
		message := &entrypb.Quarantine{Fingerprint: fingerprint}
		for i := range crashes {
			if isNews(now, &crashes[i]) {
				message.Crashes = append(message.Crashes, encodeCrash(now, &crashes[i]))
			}
		}
		if len(message.Crashes) == 0 {
			continue
		}
		slices.SortFunc(message.Crashes, compareEvidence)
		message.Crashes = message.Crashes[:min(len(message.Crashes), maxCrashes)]
		messages = append(messages, message)
	}
	slices.SortFunc(messages, func(a, b *entrypb.Quarantine) int {
		return cmp.Or(compareEvidence(a.Crashes[0], b.Crashes[0]), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return messages[:min(len(messages), maxQuarantines)]
}

// isNews reports whether heartbeats carry a crash.
func isNews(now time.Time, cs *contract.Crash) bool {
	ttl := contract.CrashRetention
	if cs.Generation < 2 {
		ttl = weakEvidenceTTL
	}
	return now.Before(cs.At.Add(ttl))
}

// compareEvidence orders crashes by falling generation and rising age.
func compareEvidence(a, b *entrypb.Crash) int {
	return cmp.Or(cmp.Compare(b.Generation, a.Generation), cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Server, b.Server))
}

func encodeCrash(now time.Time, cs *contract.Crash) *entrypb.Crash {
	return &entrypb.Crash{
		Server: cs.Server, StartedMs: cs.StartedMs, Service: cs.Service, AgeMs: ageMillis(now, cs.At),
		Generation: uint32(min(cs.Generation, math.MaxInt32)), Cleared: cs.Cleared,
	}
}

// mergeQuarantines takes over the crashes that a peer reports, with the ages that they
// have there.
func (cr *Cluster) mergeQuarantines(now time.Time, reported []*entrypb.Quarantine) {
	for _, message := range reported {
		for _, crash := range message.Crashes {
			cr.Quarantine.MergeCrash(now, message.Fingerprint, contract.Crash{
				CrashKey: contract.CrashKey{Server: crash.Server, StartedMs: crash.StartedMs}, Service: crash.Service,
				At:         now.Add(-time.Duration(crash.AgeMs) * time.Millisecond),
				Generation: int(min(crash.Generation, math.MaxInt32)), Cleared: crash.Cleared,
			})
		}
	}
}
