package contract

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RatePlace is what a VM knows about the VMs that share the rates. It is immutable.
type RatePlace struct {
	// Self is this VM. Owners are the live VMs among which the owners of keys are
	// chosen, and Holders those that may spend advances, including silent ones. The
	// latter are the same on both sides of a partition.
	Self    string   `json:"self"`
	Owners  []string `json:"owners"`
	Holders []string `json:"holders"`
	// HolderSince is when this VM became one of Holders, or its process started: its
	// advances count from then.
	HolderSince time.Time `json:"-"`
	// Part is the part of each rate that this VM may grant, from 0 to 1.
	Part float64 `json:"part"`
	// Ready is unset while this process discovers its peers, Leaving set while it stops.
	Ready bool `json:"ready"`
	// StartedAt is when the process started; used while it is not ready.
	StartedAt time.Time `json:"started_at"`
	Leaving   bool      `json:"leaving"`
}

// mixRate returns a hash of a VM and a key, by which VMs are ranked for the key.
func mixRate(vm string, key uint64) uint64 {
	// The finalizer of splitmix64 spreads keys evenly although the names of VMs are
	// alike.
	mixed := xxhash.Sum64String(vm) ^ key
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

func (rk RateKey) hash() uint64 {
	return xxhash.Sum64String(rk.Name)*31 + uint64(rk.Kind)
}

// OwnerAmong returns the VM that owns a key if the owners are chosen from vms, by
// rendezvous hashing; empty if there are none.
func (rk RateKey) OwnerAmong(vms []string) string {
	owner, best, hash := "", uint64(0), rk.hash()
	for _, vm := range vms {
		if rank := mixRate(vm, hash); owner == "" || rank > best {
			owner, best = vm, rank
		}
	}
	return owner
}

// advanceBucket is a bucket of tokens that a VM may spend without a lease.
type advanceBucket struct {
	// size is the number of tokens when it is full, and period the time in which one
	// returns; 0 if the VM may spend none.
	size   float64
	period time.Duration
	// emptyAt is when it was empty.
	emptyAt time.Time
}

// advancesOf returns this VM's bucket of advances for a key. If the advances do not
// suffice for all holders, those that rank first for the key share them.
func (rp *RatePlace) advancesOf(key RateKey, rate SharedRate, bounds QuotaBounds) advanceBucket {
	if !rp.Ready {
		return rp.startAdvances(rate, bounds)
	}
	total := bounds.advances(rate)
	count := min(len(rp.Holders), int(total/minAdvances))
	if count == 0 || !slices.Contains(rp.Holders, rp.Self) {
		return advanceBucket{}
	}
	if count < len(rp.Holders) {
		hash := key.hash()
		ranked := slices.Clone(rp.Holders)
		slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(mixRate(b, hash), mixRate(a, hash)) })
		if !slices.Contains(ranked[:count], rp.Self) {
			return advanceBucket{}
		}
	}
	share := total / float64(count)
	size := max(1, advanceBurst*share)
	return advanceBucket{size: size, period: time.Duration(float64(bounds.Window) / (share - size)), emptyAt: rp.HolderSince}
}

// startHolders is the number of VMs among which the rate is divided until they know each
// other: somewhat more than usually serve callers.
const startHolders = 24

// startAdvances returns this VM's bucket while it discovers its peers. Without it, customers
// with limits would get nothing for seconds after the restart of all VMs. No owner grants
// anything in that time.
func (rp *RatePlace) startAdvances(rate SharedRate, bounds QuotaBounds) advanceBucket {
	perSecond := bounds.grantRate(rate) / startHolders
	if perSecond <= 0 || rp.StartedAt.IsZero() || bounds.isSpent {
		return advanceBucket{}
	}
	period := time.Duration(float64(time.Second) / perSecond)
	// The bucket of one token is full at the start.
	return advanceBucket{size: 1, period: period, emptyAt: rp.StartedAt.Add(-period)}
}

// Equal reports whether two places are the same.
func (rp *RatePlace) Equal(other *RatePlace) bool {
	return rp.Self == other.Self && slices.Equal(rp.Owners, other.Owners) && slices.Equal(rp.Holders, other.Holders) &&
		rp.HolderSince.Equal(other.HolderSince) && rp.Part == other.Part && rp.Ready == other.Ready && rp.StartedAt.Equal(other.StartedAt) && rp.Leaving == other.Leaving
}
