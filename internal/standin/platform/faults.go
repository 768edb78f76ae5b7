package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	product "daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/standin/network"
	"daisystage.example/daisystage/internal/world/view"
)

// Faults are the ways in which the platform misbehaves.
type Faults struct {
	// Down makes all calls fail without effect.
	Down bool `json:"down"`
	// SlowMS delays each call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is the number of writes to come that take effect and whose
	// answer is lost.
	LoseAnswers int64 `json:"lose_answers"`
	// HoldMS delays the answers of writes after their effect, in milliseconds.
	HoldMS int64 `json:"hold_ms"`
	// Compacted makes watches say that their version is too old.
	Compacted bool `json:"compacted"`
	// StaleList makes lists and VM lists answer as they were when it was set.
	StaleList bool `json:"stale_list"`
}

// errLost stands for an answer that never came.
var errLost = errors.New("answer lost")

// Faulty is a Store with faults. Make one with NewFaulty.
type Faulty struct {
	*Store
	// Calls counts the calls, Writes those that write, Watches the waiting
	// ones.
	Calls, Writes, Watches atomic.Int64

	lock   sync.Mutex
	faults Faults
	// stale is what lists answer while StaleList is set.
	stale *Store
}

// NewFaulty returns a store that has no fault yet.
func NewFaulty(sr *Store) *Faulty {
	return &Faulty{Store: sr}
}

// Set switches the faults.
func (fy *Faulty) Set(faults Faults) {
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

// Current returns the faults.
func (fy *Faulty) Current() Faults {
	fy.lock.Lock()
	defer fy.lock.Unlock()
	return fy.faults
}

func (fy *Faulty) copyStore() *Store {
	objects, version, _ := fy.Store.List(context.Background(), "")
	sr := NewStore()
	sr.version = version
	for _, ob := range objects {
		sr.objects[ob.Key] = ob
	}
	sr.vms, _ = fy.Store.VMs(context.Background())
	return sr
}

// enter counts a call and applies the faults that come before its effect.
func (fy *Faulty) enter(ctx context.Context) error {
	fy.Calls.Add(1)
	faults := fy.Current()
	if err := sleep(ctx, faults.SlowMS); err != nil {
		return err
	}
	if faults.Down {
		return errors.New("platform is down")
	}
	return nil
}

// sleep waits for some milliseconds.
func sleep(ctx context.Context, millis int64) error {
	if millis == 0 {
		return nil
	}
	return network.Sleep(ctx, time.Duration(millis)*time.Millisecond)
}

// loses reports whether the answer of a write that took effect is lost.
func (fy *Faulty) loses() bool {
	fy.lock.Lock()
	defer fy.lock.Unlock()
	if fy.faults.LoseAnswers == 0 {
		return false
	}
	fy.faults.LoseAnswers--
	return true
}

func (fy *Faulty) listStore() *Store {
	fy.lock.Lock()
	defer fy.lock.Unlock()
	if fy.stale != nil {
		return fy.stale
	}
	return fy.Store
}

// Get is of product.Store.
func (fy *Faulty) Get(ctx context.Context, key string) (view.Object, error) {
	if err := fy.enter(ctx); err != nil {
		return view.Object{}, err
	}
	return fy.Store.Get(ctx, key)
}

// Put is of product.Store.
func (fy *Faulty) Put(ctx context.Context, key, value string, ifVersion int64) (int64, error) {
	fy.Writes.Add(1)
	if err := fy.enter(ctx); err != nil {
		return 0, err
	}
	version, err := fy.Store.Put(ctx, key, value, ifVersion)
	if held := sleep(ctx, fy.Current().HoldMS); held != nil {
		return 0, held
	}
	if err == nil && fy.loses() {
		return 0, errLost
	}
	return version, err
}

// Delete is of product.Store.
func (fy *Faulty) Delete(ctx context.Context, key string, ifVersion int64) error {
	fy.Writes.Add(1)
	if err := fy.enter(ctx); err != nil {
		return err
	}
	err := fy.Store.Delete(ctx, key, ifVersion)
	if err == nil && fy.loses() {
		return errLost
	}
	return err
}

// List is of product.Store.
func (fy *Faulty) List(ctx context.Context, prefix string) ([]view.Object, int64, error) {
	if err := fy.enter(ctx); err != nil {
		return nil, 0, err
	}
	return fy.listStore().List(ctx, prefix)
}

// Watch is of product.Store.
func (fy *Faulty) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	if err := fy.enter(ctx); err != nil {
		return nil, 0, err
	}
	if fy.Current().Compacted {
		return nil, 0, product.ErrCompacted
	}
	fy.Watches.Add(1)
	defer fy.Watches.Add(-1)
	changes, next, err := fy.Store.Watch(ctx, prefix, from, wait)
	if fy.Current().Down {
		return nil, 0, errors.New("platform is down")
	}
	return changes, next, err
}

// VMs is of product.Store.
func (fy *Faulty) VMs(ctx context.Context) ([]product.VM, error) {
	if err := fy.enter(ctx); err != nil {
		return nil, err
	}
	return fy.listStore().VMs(ctx)
}

// Control returns the handler of the control address: PUT /faults, PUT /vms
// and GET /calls.
func (fy *Faulty) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(rw http.ResponseWriter, rq *http.Request) {
		var faults Faults
		if !decode(rw, rq, &faults) {
			return
		}
		fy.Set(faults)
	})
	mux.HandleFunc("PUT /vms", func(rw http.ResponseWriter, rq *http.Request) {
		var vms []product.VM
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
