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

// FaultyStore is a Store that injects faults. Make one with NewFaultyStore.
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

// NewFaultyStore returns a FaultyStore around sr, with no faults set.
func NewFaultyStore(sr *Store) *FaultyStore {
	return &FaultyStore{Store: sr}
}

// SetFaults replaces the injected faults.
func (fs *FaultyStore) SetFaults(faults Faults) {
	fs.lock.Lock()
	defer fs.lock.Unlock()
	if faults.StaleList && fs.stale == nil {
		fs.stale = fs.copyStore()
	}
	if !faults.StaleList {
		fs.stale = nil
	}
	fs.faults = faults
}

// CurrentFaults returns the injected faults.
func (fs *FaultyStore) CurrentFaults() Faults {
	fs.lock.Lock()
	defer fs.lock.Unlock()
	return fs.faults
}

func (fs *FaultyStore) copyStore() *Store {
	objects, version, _ := fs.Store.List(context.Background(), "")
	sr := NewStore()
	sr.version = version
	for _, ob := range objects {
		sr.objects[ob.Key] = ob
	}
	sr.vms, _ = fs.Store.VMs(context.Background())
	return sr
}

// beginCall counts a call and applies the faults that precede its effect.
func (fs *FaultyStore) beginCall(ctx context.Context) error {
	fs.Calls.Add(1)
	faults := fs.CurrentFaults()
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
func (fs *FaultyStore) consumeLostAnswer() bool {
	fs.lock.Lock()
	defer fs.lock.Unlock()
	if fs.faults.LoseAnswers == 0 {
		return false
	}
	fs.faults.LoseAnswers--
	return true
}

func (fs *FaultyStore) storeForLists() *Store {
	fs.lock.Lock()
	defer fs.lock.Unlock()
	if fs.stale != nil {
		return fs.stale
	}
	return fs.Store
}

// Get implements peerplatform.Store.
func (fs *FaultyStore) Get(ctx context.Context, key string) (view.Object, error) {
	if err := fs.beginCall(ctx); err != nil {
		return view.Object{}, err
	}
	return fs.Store.Get(ctx, key)
}

// Put implements peerplatform.Store.
func (fs *FaultyStore) Put(ctx context.Context, key, value string, ifVersion int64) (int64, error) {
	fs.Writes.Add(1)
	if err := fs.beginCall(ctx); err != nil {
		return 0, err
	}
	version, err := fs.Store.Put(ctx, key, value, ifVersion)
	if held := sleep(ctx, fs.CurrentFaults().HoldMS); held != nil {
		return 0, held
	}
	if err == nil && fs.consumeLostAnswer() {
		return 0, errAnswerLost
	}
	return version, err
}

// Delete implements peerplatform.Store.
func (fs *FaultyStore) Delete(ctx context.Context, key string, ifVersion int64) error {
	fs.Writes.Add(1)
	if err := fs.beginCall(ctx); err != nil {
		return err
	}
	err := fs.Store.Delete(ctx, key, ifVersion)
	if err == nil && fs.consumeLostAnswer() {
		return errAnswerLost
	}
	return err
}

// List implements peerplatform.Store.
func (fs *FaultyStore) List(ctx context.Context, prefix string) ([]view.Object, int64, error) {
	if err := fs.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	return fs.storeForLists().List(ctx, prefix)
}

// Watch implements peerplatform.Store.
func (fs *FaultyStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	if err := fs.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	if fs.CurrentFaults().Compacted {
		return nil, 0, peerplatform.ErrCompacted
	}
	fs.Watches.Add(1)
	defer fs.Watches.Add(-1)
	changes, next, err := fs.Store.Watch(ctx, prefix, from, wait)
	if fs.CurrentFaults().Down {
		return nil, 0, errors.New("platform is down")
	}
	return changes, next, err
}

// VMs implements peerplatform.Store.
func (fs *FaultyStore) VMs(ctx context.Context) ([]peerplatform.VM, error) {
	if err := fs.beginCall(ctx); err != nil {
		return nil, err
	}
	return fs.storeForLists().VMs(ctx)
}

// Control returns the handler of the control address: PUT /faults, PUT /vms
// and GET /calls.
func (fs *FaultyStore) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(rw http.ResponseWriter, rq *http.Request) {
		var faults Faults
		if !decode(rw, rq, &faults) {
			return
		}
		fs.SetFaults(faults)
	})
	mux.HandleFunc("PUT /vms", func(rw http.ResponseWriter, rq *http.Request) {
		var vms []peerplatform.VM
		if !decode(rw, rq, &vms) {
			return
		}
		fs.SetVMs(vms)
	})
	mux.HandleFunc("GET /calls", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(map[string]int64{
			"calls": fs.Calls.Load(), "writes": fs.Writes.Load(), "watches": fs.Watches.Load(),
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
