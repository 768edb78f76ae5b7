package machine

import (
	"time"

	"daisystage.example/daisystage/internal/world/zone"
)

const (
	// HeartbeatEvery is the time between two heartbeats to a peer.
	HeartbeatEvery = time.Second
	// SilentPeer is how long an entry VM may go unheard before it is no
	// longer offered to callers.
	SilentPeer = 4 * time.Second
	// ForgetPeer is how long an unheard entry VM is kept in the list.
	ForgetPeer = 2 * time.Minute
)

// EntryVM is one entry VM and the process on it.
type EntryVM struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	EntryAddress    string `json:"entry_address"`
	// Incarnation rises with each start of the process on the VM.
	Incarnation uint64 `json:"incarnation"`
	// Leaving never returns to false within an incarnation.
	Leaving bool `json:"leaving"`
	// PlatformAway is set while the platform does not answer the VM's calls.
	PlatformAway bool `json:"platform_away"`
	// HeardAt is when the VM last spoke, to this process or to a peer that
	// told of it.
	HeardAt time.Time `json:"heard_at"`
	// Version is the newest object version that the VM has in force.
	Version int64 `json:"version"`
	// Capacity is the number of parts a second that the VM can send; 0 is not
	// known. Load is the number that it sends.
	Capacity uint32 `json:"capacity"`
	Load     uint32 `json:"load"`
	// Digest is over all settings that the VM has in force.
	Digest uint64 `json:"digest"`
}

// IsLive reports whether the VM was heard within SilentPeer.
func (vm EntryVM) IsLive(now time.Time) bool {
	return now.Sub(vm.HeardAt) <= SilentPeer
}

// IsReady reports whether callers may be sent to the VM: it is live, stays and
// has settings.
func (vm EntryVM) IsReady(now time.Time) bool {
	return !vm.Leaving && vm.Version > 0 && vm.IsLive(now)
}

// Newer returns the better informed of two records of one VM.
func (vm EntryVM) Newer(other EntryVM) EntryVM {
	if vm.Incarnation != other.Incarnation {
		if vm.Incarnation > other.Incarnation {
			return vm
		}
		return other
	}
	if other.HeardAt.After(vm.HeardAt) {
		vm, other = other, vm
	}
	vm.Leaving = vm.Leaving || other.Leaving
	if other.Version > vm.Version {
		vm.Version, vm.Digest = other.Version, other.Digest
	}
	return vm
}

// Offer returns the entry VMs that a caller in the given zone may use, nearest
// first. When fewer than two are ready, live ones that leave are added.
func Offer(now time.Time, from zone.Zone, vms []EntryVM) []EntryVM {
	var ready, leaving []EntryVM
	for _, vm := range vms {
		switch {
		case vm.IsReady(now):
			ready = append(ready, vm)
		case vm.IsLive(now):
			leaving = append(leaving, vm)
		}
	}
	order := func(items []EntryVM) {
		zone.SortNearest(from, items,
			func(vm EntryVM) string { return vm.Zone },
			func(vm EntryVM) string { return vm.Name })
	}
	order(ready)
	order(leaving)
	if len(ready) < 2 {
		ready = append(ready, leaving...)
	}
	return ready
}
