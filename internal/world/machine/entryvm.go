package machine

import (
	"time"

	"daisystage.example/daisystage/internal/world/zone"
)

const (
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = time.Second
	// PeerTimeout is how long after its last heartbeat an entry VM counts as live
	// and may be selected for callers.
	PeerTimeout = 4 * time.Second
	// PeerRemoveAfter is how long after its last heartbeat an entry VM is removed
	// from the list.
	PeerRemoveAfter = 2 * time.Minute
)

// EntryVM is one entry VM and the process on it.
type EntryVM struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	EntryAddress    string `json:"entry_address"`
	// Incarnation increases with each start of the process on the VM.
	Incarnation uint64 `json:"incarnation"`
	// Leaving is set when the process shuts down; it is not reset within an
	// incarnation.
	Leaving bool `json:"leaving"`
	// PlatformUnreachable is set while the VM gets no answers from the platform.
	PlatformUnreachable bool `json:"platform_away"`
	// LastHeartbeat is when the last heartbeat of the VM was received, by this
	// process or by a peer that passed it on.
	LastHeartbeat time.Time `json:"heard_at"`
	// Version is the newest object version that the VM has applied; 0 if it has
	// no settings.
	Version int64 `json:"version"`
	// Capacity is the number of parts a second that the VM can send; 0 is
	// unknown. Load is the number of parts a second that it sends now.
	Capacity uint32 `json:"capacity"`
	Load     uint32 `json:"load"`
	// Digest is the digest of all objects that the VM has applied.
	Digest uint64 `json:"digest"`
	// KeysStale is set while the VM refuses requests with customers' keys, since its
	// configuration may be out of date.
	KeysStale bool `json:"keys_stale,omitempty"`
}

// IsLive reports whether the last heartbeat is no older than PeerTimeout.
func (vm EntryVM) IsLive(now time.Time) bool {
	return now.Sub(vm.LastHeartbeat) <= PeerTimeout
}

// IsReady reports whether the VM may serve callers: it is live, not leaving, has
// settings and accepts their keys.
func (vm EntryVM) IsReady(now time.Time) bool {
	return !vm.Leaving && !vm.KeysStale && vm.Version > 0 && vm.IsLive(now)
}

// Merge merges two records of one VM. The record of the higher incarnation
// wins. Within an incarnation, the result is the record with the later
// heartbeat, but with the higher version of both and its digest, and with Leaving
// set if it is set in either.
func (vm EntryVM) Merge(other EntryVM) EntryVM {
	if vm.Incarnation != other.Incarnation {
		if vm.Incarnation > other.Incarnation {
			return vm
		}
		return other
	}
	if other.LastHeartbeat.After(vm.LastHeartbeat) {
		vm, other = other, vm
	}
	vm.Leaving = vm.Leaving || other.Leaving
	if other.Version > vm.Version {
		vm.Version, vm.Digest = other.Version, other.Digest
	}
	return vm
}

// NearestReady returns the ready entry VMs that a caller in the given zone may
// use, nearest first. If fewer than two are ready, live ones that are not ready
// are added at the end.
func NearestReady(now time.Time, from zone.Zone, vms []EntryVM) []EntryVM {
	var ready, unready []EntryVM
	for _, vm := range vms {
		switch {
		case vm.IsReady(now):
			ready = append(ready, vm)
		case vm.IsLive(now):
			unready = append(unready, vm)
		}
	}
	sortNearest := func(items []EntryVM) {
		zone.SortNearest(from, items,
			func(vm EntryVM) string { return vm.Zone },
			func(vm EntryVM) string { return vm.Name })
	}
	sortNearest(ready)
	sortNearest(unready)
	if len(ready) < 2 {
		ready = append(ready, unready...)
	}
	return ready
}
