package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	peerplatform "daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/standin/network"
	"daisystage.example/daisystage/internal/world/view"
)

// Faults selects the faults that the platform injects.
type Faults struct {
	// Down fails all calls before they take effect.
	Down bool `json:"down"`
	// SlowMS delays each call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is the number of coming writes that take effect but return an
	// error, as if the answer was lost.
	LoseAnswers int64 `json:"lose_answers"`
	// HoldMS delays the answer of each put after it took effect, in
	// milliseconds.
	HoldMS int64 `json:"hold_ms"`
	// Compacted fails watches with ErrCompacted.
	Compacted bool `json:"compacted"`
	// StaleList freezes the results of object and VM lists at the time it is
	// set.
	StaleList bool `json:"stale_list"`
}

// errAnswerLost is returned for a write whose answer was lost.
var errAnswerLost = errors.New("answer lost")

// FaultyStore is a Store that injects faults. Make one with NewFaulty.
type FaultyStore struct {
	*Store
	// Calls counts all calls and Writes the writes among them. Watches is the
	// number of watches that are waiting.
	Calls, Writes, Watches atomic.Int64

	lock   sync.Mutex
	faults Faults
	// stale is the copy that lists are served from while StaleList is set.
	stale *Store
}

// NewFaultyStore returns a Faulty around sr, with no faults set.
func NewFaultyStore(sr *Store) *FaultyStore {
	return &FaultyStore{Store: sr}
}

// SetFaults replaces the injected faults.
func (fy *FaultyStore) SetFaults(faults Faults) {
	fy.lock.Lock()
	defer fy.lock.Unlock()
	if faults.StaleList && fy.stale == nil {
		fy.stale = fy.copyStore()
	}
	if !faults.StaleList {
		fy.stale = nil
	}
	fy.faults = faults
}

// CurrentFaults returns the injected faults.
func (fy *FaultyStore) CurrentFaults() Faults {
	fy.lock.Lock()
	defer fy.lock.Unlock()
	return fy.faults
}

func (fy *FaultyStore) copyStore() *Store {
	objects, version, _ := fy.Store.List(context.Background(), "")
	sr := NewStore()
	sr.version = version
	for _, ob := range objects {
		sr.objects[ob.Key] = ob
	}
	sr.vms, _ = fy.Store.VMs(context.Background())
	return sr
}

// beginCall counts a call and applies the faults that precede its effect.
func (fy *FaultyStore) beginCall(ctx context.Context) error {
	fy.Calls.Add(1)
	faults := fy.CurrentFaults()
	if err := sleep(ctx, faults.SlowMS); err != nil {
		return err
	}
	if faults.Down {
		return errors.New("platform is down")
	}
	return nil
}

// sleep waits for a number of milliseconds, or until the context ends.
func sleep(ctx context.Context, millis int64) error {
	if millis == 0 {
		return nil
	}
	return network.Sleep(ctx, time.Duration(millis)*time.Millisecond)
}

// consumeLostAnswer reports whether the answer of a write that took effect is to
// be lost, and decrements LoseAnswers if so.
func (fy *FaultyStore) consumeLostAnswer() bool {
	fy.lock.Lock()
	defer fy.lock.Unlock()
	if fy.faults.LoseAnswers == 0 {
		return false
	}
	fy.faults.LoseAnswers--
	return true
}

func (fy *FaultyStore) storeForLists() *Store {
	fy.lock.Lock()
	defer fy.lock.Unlock()
	if fy.stale != nil {
		return fy.stale
	}
	return fy.Store
}

// Get implements peerplatform.Store.
func (fy *FaultyStore) Get(ctx context.Context, key string) (view.Object, error) {
	if err := fy.beginCall(ctx); err != nil {
		return view.Object{}, err
	}
	return fy.Store.Get(ctx, key)
}

// Put implements peerplatform.Store.
func (fy *FaultyStore) Put(ctx context.Context, key, value string, ifVersion int64) (int64, error) {
	fy.Writes.Add(1)
	if err := fy.beginCall(ctx); err != nil {
		return 0, err
	}
	version, err := fy.Store.Put(ctx, key, value, ifVersion)
	if held := sleep(ctx, fy.CurrentFaults().HoldMS); held != nil {
		return 0, held
	}
	if err == nil && fy.consumeLostAnswer() {
		return 0, errAnswerLost
	}
	return version, err
}

// Delete implements peerplatform.Store.
func (fy *FaultyStore) Delete(ctx context.Context, key string, ifVersion int64) error {
	fy.Writes.Add(1)
	if err := fy.beginCall(ctx); err != nil {
		return err
	}
	err := fy.Store.Delete(ctx, key, ifVersion)
	if err == nil && fy.consumeLostAnswer() {
		return errAnswerLost
	}
	return err
}

// List implements peerplatform.Store.
func (fy *FaultyStore) List(ctx context.Context, prefix string) ([]view.Object, int64, error) {
	if err := fy.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	return fy.storeForLists().List(ctx, prefix)
}

// Watch implements peerplatform.Store.
func (fy *FaultyStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	if err := fy.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	if fy.CurrentFaults().Compacted {
		return nil, 0, peerplatform.ErrCompacted
	}
	fy.Watches.Add(1)
	defer fy.Watches.Add(-1)
	changes, next, err := fy.Store.Watch(ctx, prefix, from, wait)
	if fy.CurrentFaults().Down {
		return nil, 0, errors.New("platform is down")
	}
	return changes, next, err
}

// VMs implements peerplatform.Store.
func (fy *FaultyStore) VMs(ctx context.Context) ([]peerplatform.VM, error) {
	if err := fy.beginCall(ctx); err != nil {
		return nil, err
	}
	return fy.storeForLists().VMs(ctx)
}

// Control returns the handler of the control address: PUT /faults, PUT /vms
// and GET /calls.
func (fy *FaultyStore) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(rw http.ResponseWriter, rq *http.Request) {
		var faults Faults
		if !decode(rw, rq, &faults) {
			return
		}
		fy.SetFaults(faults)
	})
	mux.HandleFunc("PUT /vms", func(rw http.ResponseWriter, rq *http.Request) {
		var vms []peerplatform.VM
		if !decode(rw, rq, &vms) {
			return
		}
		fy.SetVMs(vms)
	})
	mux.HandleFunc("GET /calls", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(map[string]int64{
			"calls": fy.Calls.Load(), "writes": fy.Writes.Load(), "watches": fy.Watches.Load(),
		})
	})
	return mux
}

func decode(rw http.ResponseWriter, rq *http.Request, value any) bool {
	decoder := json.NewDecoder(rq.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
