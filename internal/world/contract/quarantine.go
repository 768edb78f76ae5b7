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
	// suspectAt and quarantineAt are the defaults of SuspectAt and BarAt: one
	// lost server may be chance, two hardly are.
	suspectAt    = 1
	quarantineAt = 2
	// crashMemory is how long a crash counts against a fingerprint.
	crashMemory = 10 * time.Minute
	// crashPause is the default of Pause.
	crashPause = 500 * time.Millisecond
	// provenCount bounds the fingerprints that are known to be harmless.
	provenCount = 1 << 14
)

// Fingerprint identifies a request by its route and body.
func Fingerprint(route string, body []byte) uint64 {
	dg := xxhash.New()
	_, _ = dg.WriteString(route)
	_, _ = dg.Write([]byte{0})
	_, _ = dg.Write(body)
	return dg.Sum64()
}

// Crashes lists the servers that were lost while they ran one fingerprint.
type Crashes struct {
	// Servers is ordered and holds each name once.
	Servers []string  `json:"servers"`
	LastAt  time.Time `json:"last_at"`
	Until   time.Time `json:"until"`
}

// Flight is the first run of a fingerprint.
type Flight struct {
	// Ended is closed when the outcome is known.
	Ended       chan struct{}
	fingerprint uint64
	slot        *atomic.Pointer[Flight]
}

// End tells those who wait for the flight. It is called once.
func (fl *Flight) End() {
	fl.slot.CompareAndSwap(fl, nil)
	close(fl.Ended)
}

// Quarantine knows which requests crash servers. Its methods may be called by
// any number of goroutines. Make one with NewQuarantine.
type Quarantine struct {
	// SuspectAt and BarAt are the numbers of servers lost to a fingerprint from
	// which its requests are not repeated and are refused. They do not change.
	SuspectAt, BarAt int
	// Pause is how long a suspect fingerprint is refused after a crash, so that
	// peers hear of it before it is tried again. It does not change.
	Pause time.Duration

	crashes *rcu.Value[map[uint64]Crashes]
	// proven holds fingerprints of requests that were answered, each in the
	// place that its low bits name.
	proven []atomic.Uint64
	// flights holds the first runs in the same places.
	flights []atomic.Pointer[Flight]
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		SuspectAt: suspectAt, BarAt: quarantineAt, Pause: crashPause,
		crashes: rcu.New(map[uint64]Crashes{}),
		proven:  make([]atomic.Uint64, provenCount),
		flights: make([]atomic.Pointer[Flight], provenCount),
	}
}

// Crashed records that a server was lost while it ran a fingerprint, and
// reports whether that was news.
func (qn *Quarantine) Crashed(now time.Time, fingerprint uint64, server string) bool {
	news := false
	qn.crashes.Update(func(old map[uint64]Crashes) map[uint64]Crashes {
		next := maps.Clone(old)
		maps.DeleteFunc(next, func(_ uint64, cr Crashes) bool { return now.After(cr.Until) })
		cr := next[fingerprint]
		if !slices.Contains(cr.Servers, server) {
			news = true
			cr.Servers = append(slices.Clone(cr.Servers), server)
			slices.Sort(cr.Servers)
		}
		if news {
			cr.LastAt = now
		}
		cr.Until = now.Add(crashMemory)
		next[fingerprint] = cr
		return next
	})
	return news
}

// Count returns the number of servers lost to a fingerprint.
func (qn *Quarantine) Count(now time.Time, fingerprint uint64) int {
	cr, ok := (*qn.crashes.Load())[fingerprint]
	if !ok || now.After(cr.Until) {
		return 0
	}
	return len(cr.Servers)
}

// Bars reports whether requests of the fingerprint are refused: those that lost
// several servers, and for a moment those that lost one, so that peers hear of
// it before it is tried again.
func (qn *Quarantine) Bars(now time.Time, fingerprint uint64) bool {
	cr, ok := (*qn.crashes.Load())[fingerprint]
	if !ok || now.After(cr.Until) {
		return false
	}
	return len(cr.Servers) >= qn.BarAt || len(cr.Servers) >= qn.SuspectAt && now.Sub(cr.LastAt) < qn.Pause
}

// IsSuspect reports whether requests of the fingerprint are not to be repeated.
func (qn *Quarantine) IsSuspect(now time.Time, fingerprint uint64) bool {
	return qn.Count(now, fingerprint) >= qn.SuspectAt
}

// Lead makes the caller the first to run a fingerprint, or returns the flight
// of the one that is.
func (qn *Quarantine) Lead(fingerprint uint64) (flight *Flight, leads bool) {
	slot := &qn.flights[fingerprint%provenCount]
	fresh := &Flight{Ended: make(chan struct{}), fingerprint: fingerprint, slot: slot}
	for {
		have := slot.Load()
		if have == nil && slot.CompareAndSwap(nil, fresh) {
			return fresh, true
		}
		if have != nil && have.fingerprint == fingerprint {
			return have, false
		}
		if have != nil {
			// The place is taken by another fingerprint: run without waiting.
			return fresh, true
		}
	}
}

// Current returns all fingerprints with crashes. The map must not be changed.
func (qn *Quarantine) Current() map[uint64]Crashes {
	return *qn.crashes.Load()
}

// Proved records that a request of the fingerprint was answered.
func (qn *Quarantine) Proved(fingerprint uint64) {
	qn.proven[fingerprint%provenCount].Store(fingerprint)
}

// IsProven reports whether a request of the fingerprint was answered of late.
func (qn *Quarantine) IsProven(fingerprint uint64) bool {
	return qn.proven[fingerprint%provenCount].Load() == fingerprint
}
