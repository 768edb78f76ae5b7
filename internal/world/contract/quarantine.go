package contract

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisystage.example/daisystage/internal/container/rcu"
)

const (
	// defaultSuspectAt and defaultBlockAt are the defaults of SuspectAt and
	// BlockAt. One crashed server may be a coincidence, two are unlikely to be.
	// defaultBlockAtOnce allows for three entry VMs that run a new request at once.
	defaultSuspectAt   = 1
	defaultBlockAt     = 2
	defaultBlockAtOnce = 3
	// CrashRetention is how long a crash counts against a fingerprint.
	CrashRetention = 10 * time.Minute
	// maxFingerprints bounds the fingerprints with crashes. Those with the lowest
	// generation are dropped first, of these the oldest.
	maxFingerprints = 512
	// defaultPause is the default of Pause.
	defaultPause = 500 * time.Millisecond
	// fingerprintSlots is the number of slots for proven fingerprints, and the
	// number of slots for flights.
	fingerprintSlots = 1 << 14
)

// Fingerprint returns a hash that identifies a request by its body and the texts that tell
// it from requests with the same body, such as its route.
func Fingerprint(body []byte, texts ...string) uint64 {
	var dg xxhash.Digest
	dg.Reset()
	for _, text := range texts {
		_, _ = dg.WriteString(text)
		_, _ = dg.Write([]byte{0})
	}
	_, _ = dg.Write(body)
	return dg.Sum64()
}

// CrashKey identifies the crash of a server: by its name, and by the start of its
// process in Unix milliseconds, 0 if that is unknown.
type CrashKey struct {
	Server    string `json:"server"`
	StartedMs int64  `json:"started_ms"`
}

// Crash is the loss of a server that ran a request of some fingerprint. Copies of one
// crash at several entry VMs are merged by Merge.
type Crash struct {
	CrashKey
	// Service is the service or shard that the server belongs to.
	Service string `json:"service"`
	// At is when the server was lost.
	At time.Time `json:"at"`
	// Generation orders the crashes of one fingerprint: it is one more than the highest
	// generation known when the request was sent. Servers that end together have the
	// same one. It is 0 for the first crash at a service after an answer to the request,
	// which is no evidence by itself.
	Generation int `json:"generation"`
	// Cleared is set once a server of the service answered a request of the fingerprint
	// after the crash. It is never reset.
	Cleared bool `json:"cleared"`
}

// Merge returns what two copies of one crash tell together. It is commutative,
// associative and idempotent, and never moves the crash to a later time.
func (cs Crash) Merge(other Crash) Crash {
	if other.At.Before(cs.At) {
		cs.At = other.At
	}
	cs.Generation = max(cs.Generation, other.Generation)
	cs.Cleared = cs.Cleared || other.Cleared
	return cs
}

// isEvidence reports whether the crash counts against its fingerprint.
func (cs *Crash) isEvidence(now time.Time) bool {
	return !cs.Cleared && now.Before(cs.At.Add(CrashRetention))
}

// Crashes lists the crashes of one fingerprint, one for each key. It is not modified.
type Crashes []Crash

// Generation returns the highest generation of the crashes that count; 0 if there are
// none.
func (cs Crashes) Generation(now time.Time) int {
	highest := 0
	for i := range cs {
		if cs[i].isEvidence(now) {
			highest = max(highest, cs[i].Generation)
		}
	}
	return highest
}

// count returns the number of crashes that count, without those of generation 0.
func (cs Crashes) count(now time.Time) int {
	count := 0
	for i := range cs {
		if cs[i].Generation > 0 && cs[i].isEvidence(now) {
			count++
		}
	}
	return count
}

// hasOf reports whether a crash of a server of a service counts.
func (cs Crashes) hasOf(now time.Time, service string) bool {
	return slices.ContainsFunc(cs, func(crash Crash) bool { return crash.Service == service && crash.isEvidence(now) })
}

// lastAt returns the time of the last crash that counts; the zero time if there is none.
func (cs Crashes) lastAt(now time.Time) time.Time {
	last := time.Time{}
	for i := range cs {
		if cs[i].isEvidence(now) && cs[i].At.After(last) {
			last = cs[i].At
		}
	}
	return last
}

// with returns a copy with another crash merged, and whether it differs.
func (cs Crashes) with(crash Crash) (Crashes, bool) {
	index := slices.IndexFunc(cs, func(have Crash) bool { return have.CrashKey == crash.CrashKey })
	if index < 0 {
		return append(slices.Clone(cs), crash), true
	}
	merged := cs[index].Merge(crash)
	if merged == cs[index] {
		return cs, false
	}
	next := slices.Clone(cs)
	next[index] = merged
	return next, true
}

// Flight is the first run of a request with a given fingerprint. Other requests
// with the fingerprint wait for its end.
type Flight struct {
	// Ended is closed by End.
	Ended       chan struct{}
	fingerprint uint64
	slot        *atomic.Pointer[Flight]
}

// End wakes the requests that wait for the flight. It must be called exactly once.
func (fl *Flight) End() {
	fl.slot.CompareAndSwap(fl, nil)
	close(fl.Ended)
}

// Quarantine records which requests crash servers, so that they are not sent to
// further servers. A request is held responsible if servers are lost to it one after the
// other, each to an attempt that was sent after the crash before it, and none of their
// service answers it in between. Servers that end together, as with a rack, count once.
// Its methods may be called by any number of goroutines. Make one with NewQuarantine.
type Quarantine struct {
	// SuspectAt is the generation of crashes from which on requests of a fingerprint are
	// not retried and sent to one server first, and BlockAt the one from which on they
	// are blocked. They do not change.
	SuspectAt, BlockAt int
	// BlockAtOnce is the number of crashes from which on requests of a fingerprint are
	// blocked whatever their generations, and more than SuspectAt. It does not change.
	BlockAtOnce int
	// Pause is how long a suspect fingerprint is blocked after a crash, so that
	// peers learn of the crash before the request runs again. It does not change.
	Pause time.Duration

	crashes *rcu.Value[map[uint64]Crashes]
	// proven holds fingerprints of answered requests, each in the slot of its low
	// bits. A new fingerprint overwrites the one in its slot.
	proven []atomic.Uint64
	// flights holds the current first runs, each in the slot of the low bits of
	// its fingerprint.
	flights []atomic.Pointer[Flight]
}

// NewQuarantine returns a quarantine without crashes, with default limits.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		SuspectAt: defaultSuspectAt, BlockAt: defaultBlockAt, BlockAtOnce: defaultBlockAtOnce, Pause: defaultPause,
		crashes: rcu.New(map[uint64]Crashes{}),
		proven:  make([]atomic.Uint64, fingerprintSlots),
		flights: make([]atomic.Pointer[Flight], fingerprintSlots),
	}
}

// NextGeneration returns the generation of a crash to which a request of the
// fingerprint, sent to a service now, would lead.
func (qn *Quarantine) NextGeneration(now time.Time, fingerprint uint64, service string) int {
	crashes := (*qn.crashes.Load())[fingerprint]
	generation := crashes.Generation(now)
	if generation == 0 && !crashes.hasOf(now, service) && qn.IsProven(fingerprint) {
		return 0
	}
	return generation + 1
}

// RecordCrash records that a server was lost to a request of a fingerprint, and reports
// whether the crash was unknown. The generation of crash is the one that NextGeneration
// returned when the request was sent; it is lowered if earlier crashes were cleared since.
func (qn *Quarantine) RecordCrash(now time.Time, fingerprint uint64, crash Crash) bool {
	crash.At, crash.Cleared = now, false
	crash.Generation = min(crash.Generation, qn.Generation(now, fingerprint)+1)
	return qn.MergeCrash(now, fingerprint, crash)
}

// MergeCrash merges a crash, as this or another entry VM knows it, and reports whether
// it was unknown. Crashes that no longer count are left out.
func (qn *Quarantine) MergeCrash(now time.Time, fingerprint uint64, crash Crash) bool {
	if !now.Before(crash.At.Add(CrashRetention)) {
		return false
	}
	if _, differs := (*qn.crashes.Load())[fingerprint].with(crash); !differs {
		return false
	}
	isNew := false
	qn.crashes.Update(func(old map[uint64]Crashes) map[uint64]Crashes {
		merged, differs := old[fingerprint].with(crash)
		isNew = len(merged) > len(old[fingerprint])
		if !differs {
			return old
		}
		next := maps.Clone(old)
		next[fingerprint] = merged
		if len(next) > maxFingerprints {
			delete(next, weakest(now, next, fingerprint))
		}
		return next
	})
	return isNew
}

// weakest returns the fingerprint with the least evidence, except for one.
func weakest(now time.Time, all map[uint64]Crashes, except uint64) uint64 {
	found, generation, at := except, 0, time.Time{}
	for fingerprint, crashes := range all {
		if fingerprint == except {
			continue
		}
		have, last := crashes.Generation(now), crashes.lastAt(now)
		if found == except || have < generation || have == generation && last.Before(at) {
			found, generation, at = fingerprint, have, last
		}
	}
	return found
}

// Generation returns the highest generation of the crashes that count against a
// fingerprint.
func (qn *Quarantine) Generation(now time.Time, fingerprint uint64) int {
	return (*qn.crashes.Load())[fingerprint].Generation(now)
}

// IsBlocked reports whether requests of the fingerprint are blocked: by crashes up to
// generation BlockAt, by BlockAtOnce crashes in any order, and for the time Pause after
// crashes up to generation SuspectAt.
func (qn *Quarantine) IsBlocked(now time.Time, fingerprint uint64) bool {
	crashes := (*qn.crashes.Load())[fingerprint]
	if len(crashes) == 0 {
		return false
	}
	generation := crashes.Generation(now)
	return generation >= qn.BlockAt || crashes.count(now) >= qn.BlockAtOnce ||
		generation >= qn.SuspectAt && now.Sub(crashes.lastAt(now)) < qn.Pause
}

// IsSuspect reports whether requests of the fingerprint must not be retried, and must be
// sent to one server first.
func (qn *Quarantine) IsSuspect(now time.Time, fingerprint uint64) bool {
	crashes := (*qn.crashes.Load())[fingerprint]
	return len(crashes) > 0 && (crashes.Generation(now) >= qn.SuspectAt || crashes.count(now) > qn.SuspectAt)
}

// SuspectService returns the service of the last crash that counts against a
// fingerprint; empty if there is none.
func (qn *Quarantine) SuspectService(now time.Time, fingerprint uint64) string {
	crashes := (*qn.crashes.Load())[fingerprint]
	last := crashes.lastAt(now)
	for i := range crashes {
		if crashes[i].isEvidence(now) && crashes[i].At.Equal(last) {
			return crashes[i].Service
		}
	}
	return ""
}

// StartFlight starts a flight for a fingerprint and reports started as true, or
// returns the flight that is already in progress, for which the request should
// wait. A request that started a flight must call End on it.
func (qn *Quarantine) StartFlight(fingerprint uint64) (flight *Flight, started bool) {
	slot := &qn.flights[fingerprint%fingerprintSlots]
	own := &Flight{Ended: make(chan struct{}), fingerprint: fingerprint, slot: slot}
	for {
		have := slot.Load()
		if have == nil && slot.CompareAndSwap(nil, own) {
			return own, true
		}
		if have != nil && have.fingerprint == fingerprint {
			return have, false
		}
		if have != nil {
			// Another fingerprint occupies the slot: run without waiting.
			return own, true
		}
	}
}

// Crashes returns the recorded crashes by fingerprint. The map must not be
// changed.
func (qn *Quarantine) Crashes() map[uint64]Crashes {
	return *qn.crashes.Load()
}

// RemoveOld forgets the fingerprints whose crashes count no more.
func (qn *Quarantine) RemoveOld(now time.Time) {
	isOld := func(_ uint64, crashes Crashes) bool {
		return !slices.ContainsFunc(crashes, func(cs Crash) bool { return now.Before(cs.At.Add(CrashRetention)) })
	}
	for fingerprint, crashes := range *qn.crashes.Load() {
		if isOld(fingerprint, crashes) {
			qn.crashes.Update(func(old map[uint64]Crashes) map[uint64]Crashes {
				next := maps.Clone(old)
				maps.DeleteFunc(next, isOld)
				return next
			})
			return
		}
	}
}

// MarkAnswered records that a server of a service answered a request of the
// fingerprint. The crashes of servers of that service count no more.
func (qn *Quarantine) MarkAnswered(now time.Time, fingerprint uint64, service string) {
	qn.proven[fingerprint%fingerprintSlots].Store(fingerprint)
	if !(*qn.crashes.Load())[fingerprint].hasOf(now, service) {
		return
	}
	qn.crashes.Update(func(old map[uint64]Crashes) map[uint64]Crashes {
		crashes := slices.Clone(old[fingerprint])
		for i := range crashes {
			crashes[i].Cleared = crashes[i].Cleared || crashes[i].Service == service
		}
		next := maps.Clone(old)
		next[fingerprint] = crashes
		return next
	})
}

// IsProven reports whether a request of the fingerprint was answered, as far as this
// entry VM knows. Fingerprints may be dropped in favor of newer ones.
func (qn *Quarantine) IsProven(fingerprint uint64) bool {
	return qn.proven[fingerprint%fingerprintSlots].Load() == fingerprint
}
