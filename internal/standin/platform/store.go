// Package platform is a stand-in for the platform: an object API with versions,
// conditional updates and watches, and a VM list, all in memory, with faults
// that a test can switch.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	product "daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/world/view"
)

const (
	// largestValue is in bytes.
	largestValue = 1 << 20
	// historySize is the number of changes that a watch can go back.
	historySize = 100000
)

// Store is the state of the platform. It is a product.Store without faults, so
// that tests can use it in place of one. Make one with NewStore.
type Store struct {
	lock    sync.Mutex
	version int64
	objects map[string]view.Object
	// history is ordered by version.
	history []view.Object
	// dropped is the version of the newest change that history lacks.
	dropped int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	vms     []product.VM
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]view.Object{}, changed: make(chan struct{})}
}

// SetVMs sets the VM list.
func (sr *Store) SetVMs(vms []product.VM) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	sr.vms = vms
}

// Get is of product.Store.
func (sr *Store) Get(_ context.Context, key string) (view.Object, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	ob, ok := sr.objects[key]
	if !ok {
		return view.Object{}, product.ErrNotFound
	}
	return ob, nil
}

// Put is of product.Store.
func (sr *Store) Put(_ context.Context, key, value string, ifVersion int64) (int64, error) {
	if len(value) > largestValue {
		return 0, product.ErrTooLarge
	}
	sr.lock.Lock()
	defer sr.lock.Unlock()
	if sr.objects[key].Version != ifVersion {
		return 0, product.ErrConflict
	}
	ob := view.Object{Key: key, Version: sr.version + 1, Value: value}
	sr.objects[key] = ob
	sr.record(ob)
	return ob.Version, nil
}

// Delete is of product.Store.
func (sr *Store) Delete(_ context.Context, key string, ifVersion int64) error {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	ob, ok := sr.objects[key]
	switch {
	case !ok:
		return product.ErrNotFound
	case ob.Version != ifVersion:
		return product.ErrConflict
	}
	delete(sr.objects, key)
	sr.record(view.Object{Key: key, Version: sr.version + 1, Deleted: true})
	return nil
}

func (sr *Store) record(ob view.Object) {
	sr.version = ob.Version
	sr.history = append(sr.history, ob)
	if len(sr.history) > historySize {
		cut := len(sr.history) / 2
		sr.dropped = sr.history[cut-1].Version
		sr.history = append([]view.Object(nil), sr.history[cut:]...)
	}
	close(sr.changed)
	sr.changed = make(chan struct{})
}

// List is of product.Store.
func (sr *Store) List(_ context.Context, prefix string) ([]view.Object, int64, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	var listed []view.Object
	for key, ob := range sr.objects {
		if strings.HasPrefix(key, prefix) {
			listed = append(listed, ob)
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Key < listed[j].Key })
	return listed, sr.version, nil
}

// Watch is of product.Store.
func (sr *Store) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, next, changed, err := sr.since(prefix, from)
		if err != nil || len(changes) > 0 {
			return changes, next, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (sr *Store) since(prefix string, from int64) ([]view.Object, int64, chan struct{}, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	if from < sr.dropped {
		return nil, 0, nil, product.ErrCompacted
	}
	at := sort.Search(len(sr.history), func(i int) bool { return sr.history[i].Version > from })
	var changes []view.Object
	for _, ob := range sr.history[at:] {
		if strings.HasPrefix(ob.Key, prefix) {
			changes = append(changes, ob)
		}
	}
	return changes, max(sr.version, from), sr.changed, nil
}

// VMs is of product.Store.
func (sr *Store) VMs(context.Context) ([]product.VM, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	return append([]product.VM(nil), sr.vms...), nil
}
