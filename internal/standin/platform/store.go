// Package platform is an in-memory stand-in for the platform: an object API with
// versions, conditional updates and watches, and a VM list. Tests can inject
// faults.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	peerplatform "daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/world/view"
)

const (
	// maxValueBytes is the size limit of one value.
	maxValueBytes = 1 << 20
	// maxHistory is the number of changes kept for watches; beyond it the older
	// half is dropped.
	maxHistory = 100000
)

// Store holds the state of the platform and injects no faults. It implements the
// Store interface of internal/peer/platform, so that tests can use it in place
// of the client. Make one with NewStore.
type Store struct {
	lock    sync.Mutex
	version int64
	objects map[string]view.Object
	// history is ordered by version.
	history []view.Object
	// dropped is the version of the newest change dropped from history.
	dropped int64
	// changed is closed and replaced on each change, to wake the watches.
	changed chan struct{}
	vms     []peerplatform.VM
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]view.Object{}, changed: make(chan struct{})}
}

// SetVMs sets the VM list.
func (sr *Store) SetVMs(vms []peerplatform.VM) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	sr.vms = vms
}

// Get implements peerplatform.Store.
func (sr *Store) Get(_ context.Context, key string) (view.Object, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	ob, ok := sr.objects[key]
	if !ok {
		return view.Object{}, peerplatform.ErrNotFound
	}
	return ob, nil
}

// Put implements peerplatform.Store.
func (sr *Store) Put(_ context.Context, key, value string, ifVersion int64) (int64, error) {
	if len(value) > maxValueBytes {
		return 0, peerplatform.ErrTooLarge
	}
	sr.lock.Lock()
	defer sr.lock.Unlock()
	if sr.objects[key].Version != ifVersion {
		return 0, peerplatform.ErrConflict
	}
	ob := view.Object{Key: key, Version: sr.version + 1, Value: value}
	sr.objects[key] = ob
	sr.appendHistory(ob)
	return ob.Version, nil
}

// Delete implements peerplatform.Store.
func (sr *Store) Delete(_ context.Context, key string, ifVersion int64) error {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	ob, ok := sr.objects[key]
	switch {
	case !ok:
		return peerplatform.ErrNotFound
	case ob.Version != ifVersion:
		return peerplatform.ErrConflict
	}
	delete(sr.objects, key)
	sr.appendHistory(view.Object{Key: key, Version: sr.version + 1, Deleted: true})
	return nil
}

func (sr *Store) appendHistory(ob view.Object) {
	sr.version = ob.Version
	sr.history = append(sr.history, ob)
	if len(sr.history) > maxHistory {
		cut := len(sr.history) / 2
		sr.dropped = sr.history[cut-1].Version
		sr.history = append([]view.Object(nil), sr.history[cut:]...)
	}
	close(sr.changed)
	sr.changed = make(chan struct{})
}

// List implements peerplatform.Store.
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

// Watch implements peerplatform.Store.
func (sr *Store) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, next, changed, err := sr.changesSince(prefix, from)
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

func (sr *Store) changesSince(prefix string, from int64) ([]view.Object, int64, chan struct{}, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	if from < sr.dropped {
		return nil, 0, nil, peerplatform.ErrCompacted
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

// VMs implements peerplatform.Store.
func (sr *Store) VMs(context.Context) ([]peerplatform.VM, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	return append([]peerplatform.VM(nil), sr.vms...), nil
}
