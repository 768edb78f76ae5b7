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
	defaultSuspectAt = 1
	defaultBlockAt   = 2
	// crashRetention is how long a crash counts against a fingerprint.
	crashRetention = 10 * time.Minute
	// defaultPause is the default of Pause.
	defaultPause = 500 * time.Millisecond
	// fingerprintSlots is the number of slots for proven fingerprints, and the
	// number of slots for flights.
	fingerprintSlots = 1 << 14
)

// Fingerprint returns a hash that identifies a request by its route and body.
func Fingerprint(route string, body []byte) uint64 {
	dg := xxhash.New()
	_, _ = dg.WriteString(route)
	_, _ = dg.Write([]byte{0})
	_, _ = dg.Write(body)
	return dg.Sum64()
}

// Crashes lists the servers that crashed while they ran requests of one
// fingerprint.
type Crashes struct {
	// Servers is sorted and has no duplicates.
	Servers []string `json:"servers"`
	// LastAt is when the last server was added.
	LastAt time.Time `json:"last_at"`
	// Until is when the crashes no longer count.
	Until time.Time `json:"until"`
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
// further servers. Its methods may be called by any number of goroutines. Make one
// with NewQuarantine.
type Quarantine struct {
	// SuspectAt is the number of crashed servers from which on requests of a
	// fingerprint are not retried, and BlockAt the number from which on they are
	// blocked. They do not change.
	SuspectAt, BlockAt int
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
		SuspectAt: defaultSuspectAt, BlockAt: defaultBlockAt, Pause: defaultPause,
		crashes: rcu.New(map[uint64]Crashes{}),
		proven:  make([]atomic.Uint64, fingerprintSlots),
		flights: make([]atomic.Pointer[Flight], fingerprintSlots),
	}
}

// RecordCrash records that a server crashed while it ran a request of a
// fingerprint, and reports whether that added the server.
func (qn *Quarantine) RecordCrash(now time.Time, fingerprint uint64, server string) bool {
	added := false
	qn.crashes.Update(func(old map[uint64]Crashes) map[uint64]Crashes {
		next := maps.Clone(old)
		maps.DeleteFunc(next, func(_ uint64, cr Crashes) bool { return now.After(cr.Until) })
		cr := next[fingerprint]
		if !slices.Contains(cr.Servers, server) {
			added = true
			cr.Servers = append(slices.Clone(cr.Servers), server)
			slices.Sort(cr.Servers)
		}
		if added {
			cr.LastAt = now
		}
		cr.Until = now.Add(crashRetention)
		next[fingerprint] = cr
		return next
	})
	return added
}

// CrashCount returns the number of servers that crashed on requests of a
// fingerprint.
func (qn *Quarantine) CrashCount(now time.Time, fingerprint uint64) int {
	cr, ok := (*qn.crashes.Load())[fingerprint]
	if !ok || now.After(cr.Until) {
		return 0
	}
	return len(cr.Servers)
}

// IsBlocked reports whether requests of the fingerprint are blocked: after
// crashes of BlockAt servers, and for the time Pause after crashes of SuspectAt
// servers, so that peers learn of a crash before the request runs again.
func (qn *Quarantine) IsBlocked(now time.Time, fingerprint uint64) bool {
	cr, ok := (*qn.crashes.Load())[fingerprint]
	if !ok || now.After(cr.Until) {
		return false
	}
	return len(cr.Servers) >= qn.BlockAt || len(cr.Servers) >= qn.SuspectAt && now.Sub(cr.LastAt) < qn.Pause
}

// IsSuspect reports whether requests of the fingerprint must not be retried.
func (qn *Quarantine) IsSuspect(now time.Time, fingerprint uint64) bool {
	return qn.CrashCount(now, fingerprint) >= qn.SuspectAt
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

// MarkProven records that a request of the fingerprint was answered.
func (qn *Quarantine) MarkProven(fingerprint uint64) {
	qn.proven[fingerprint%fingerprintSlots].Store(fingerprint)
}

// IsProven reports whether a request of the fingerprint was answered, so that it is
// known not to crash servers. Fingerprints may be dropped in favor of newer ones.
func (qn *Quarantine) IsProven(fingerprint uint64) bool {
	return qn.proven[fingerprint%fingerprintSlots].Load() == fingerprint
}
