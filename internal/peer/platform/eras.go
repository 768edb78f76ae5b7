package platform

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
)

// ErrOldEra is returned for an answer from before the store was restored from an older
// copy. It says nothing about what the store holds now.
var ErrOldEra = errors.New("answer from before the store was restored")

// EraSource is implemented by a Reader whose store tells its era: how often it came back
// from an older copy. The eras of all answers are passed to Eras, also those of failures.
type EraSource interface {
	Eras() *Eras
}

// Eras holds the newest era of the store that this process knows of. The zero value knows
// of era 0 only. Its methods may be called by any number of goroutines.
type Eras struct {
	// OnRise is called with each newer era, and the one before. It is set before the
	// first call and may be nil.
	OnRise func(before, now int64)

	lock sync.Mutex
	// newest never decreases.
	newest int64
	// risen is closed when newest rises; nil until Newest is called again.
	risen chan struct{}
}

// Observe takes over an era, and reports whether it is the newest.
func (er *Eras) Observe(era int64) bool {
	er.lock.Lock()
	before := er.newest
	if era > before {
		er.newest = era
		if er.risen != nil {
			close(er.risen)
			er.risen = nil
		}
	}
	er.lock.Unlock()
	if era > before && er.OnRise != nil {
		er.OnRise(before, era)
	}
	return era >= before
}

// Newest returns the newest era, and a channel that is closed when there is a newer one.
func (er *Eras) Newest() (era int64, risen <-chan struct{}) {
	er.lock.Lock()
	defer er.lock.Unlock()
	if er.risen == nil {
		er.risen = make(chan struct{})
	}
	return er.newest, er.risen
}

// headerEra tells in all answers of the platform how often it came back from an older copy.
const headerEra = "Platform-Era"

// eraKey is the key of the context value that withEra sets.
type eraKey struct{}

// withEra returns a context for one call, and where eraTransport puts the era of its answer;
// it is negative before.
func withEra(ctx context.Context) (context.Context, *int64) {
	era := new(int64)
	*era = -1
	return context.WithValue(ctx, eraKey{}, era), era
}

// eraTransport reads the era from the header of answers. The generated client does not
// return headers.
type eraTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (et eraTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	rs, err := et.next.RoundTrip(rq)
	if err != nil {
		return nil, err
	}
	if era, ok := rq.Context().Value(eraKey{}).(*int64); ok {
		// One that can't be read counts as none.
		told, _ := strconv.ParseInt(rs.Header.Get(headerEra), 10, 64)
		*era = max(told, 0)
	}
	return rs, nil
}
