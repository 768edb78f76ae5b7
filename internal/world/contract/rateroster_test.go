package contract_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// rateRosters is the platform of a rateWorld, which keeps the roster.
type rateRosters struct {
	roster machine.Roster
	past   []rateRoster
	era    int64
	isDown bool
	// mask tells which VMs reach the platform.
	mask uint64
}

type rateRoster struct {
	until  time.Time
	roster machine.Roster
}

const rosterEraBits = 40

func newRateRosters() *rateRosters {
	return &rateRosters{roster: machine.Roster{IsMissing: true}, mask: ^uint64(0)}
}

func (rr *rateRosters) reaches(at int) bool { return !rr.isDown && rr.mask>>(at%64)&1 == 1 }

// call makes a call for the roster, and returns false if there is no answer.
func (rr *rateRosters) call(now time.Time, call machine.RosterCall) (machine.Roster, bool) {
	if !call.Writes || call.Roster.Revision != rr.roster.Revision {
		return rr.roster, !call.Writes || call.Roster.Revision>>rosterEraBits == rr.era
	}
	rr.past = append(rr.past, rateRoster{now, rr.roster})
	next := call.Roster
	next.WrittenAt, next.IsMissing, next.IsRestored = rr.roster.Revision&(1<<rosterEraBits-1)+1, false, false
	next.Revision = rr.era<<rosterEraBits | next.WrittenAt
	rr.roster = next
	return next, true
}

func (rr *rateRosters) restore(now time.Time, age time.Duration) {
	for len(rr.past) > 0 && rr.past[len(rr.past)-1].until.After(now.Add(-age)) {
		rr.roster = rr.past[len(rr.past)-1].roster
		rr.past = rr.past[:len(rr.past)-1]
	}
	rr.era++
	rr.roster.Revision = rr.era<<rosterEraBits | rr.roster.WrittenAt
	rr.roster.IsRestored = !rr.roster.IsMissing
}

// updateRoster does for a VM what entry.Leases does with the roster.
func (rw *rateWorld) updateRoster(vm *ratePlayer, rp *machine.RatePlacement) {
	rk := vm.vms.Roster
	for _, other := range rw.vms {
		if other.alive && !rw.isCut(vm, other) && rw.rosters.reaches(rw.indexOf(other)) {
			rk.Contacted(rw.now)
			if era := rw.rosters.era; vm.era < era {
				vm.era = era
				rw.at(vm, time.Duration(rw.random.Int64N(int64(2*time.Second))), func() { vm.vms.Roster.StoreRestored(rw.now) })
			}
		}
		if _, isHeard := vm.heard[other.name]; isHeard && other.alive && !rw.isCut(vm, other) {
			rk.Learned(rw.now, other.vms.Roster.Roster())
		}
	}
	var lasting []machine.RosterVM
	for _, name := range rp.Lasting {
		lasting = append(lasting, machine.RosterVM{Name: name, EntryAddress: name})
	}
	call, ok := rk.Next(rw.now, rp, lasting)
	if !ok || vm.isCalling || vm.leaving {
		return
	}
	vm.isCalling = true
	sentAt, era := rw.now, vm.era
	delay := time.Duration(rw.random.Int64N(int64(200 * time.Millisecond)))
	if !rw.rosters.reaches(rw.indexOf(vm)) {
		rw.at(vm, delay, func() {
			vm.isCalling = false
			rk.Failed()
		})
		return
	}
	roster, answered := rw.rosters.call(rw.now, call)
	rw.at(vm, delay, func() {
		vm.isCalling = false
		if !answered || vm.era > max(era, roster.Revision>>rosterEraBits) {
			rk.Failed()
			return
		}
		rk.Answered(sentAt, roster)
	})
}

const (
	faultLost = faultKinds + iota
	faultLeft
	faultAlone
	faultRestore
	faultOutage
	faultCutOff
	allFaultKinds
)

// injectForGood schedules a fault of those that need the roster.
func (rw *rateWorld) injectForGood(rf rateFault) {
	if rf.kind < faultKinds {
		rw.inject(rf)
		return
	}
	vm, begin, end := rw.vms[rf.vm], func() {}, func() {}
	lose := func(vm *ratePlayer) { vm.alive, vm.isGone = false, true }
	switch rf.kind {
	case faultLost:
		begin = func() { lose(vm) }
	case faultLeft:
		begin, end = func() { vm.leaving = true }, func() { lose(vm) }
		rf.long = 3 * time.Second
	case faultAlone:
		begin = func() {
			for _, each := range rw.vms {
				if each == vm {
					each.alive = false
				} else {
					lose(each)
				}
			}
		}
		end = func() { rw.restart(vm) }
	case faultRestore:
		begin = func() { rw.rosters.restore(rw.now, rf.long) }
	case faultOutage:
		begin, end = func() { rw.rosters.isDown = true }, func() { rw.rosters.isDown = false }
	case faultCutOff:
		begin, end = func() { rw.rosters.mask = rf.mask }, func() { rw.rosters.mask = ^uint64(0) }
	}
	rw.after(rf.at, begin)
	rw.after(rf.at+rf.long, end)
}

// TestSharedRateHoldsWhenOwnersAreGone guards against more requests in a window than all VMs
// together may admit, and against a customer below its limit that is not served again, when
// VMs leave or are lost for good, one comes back alone, and the platform that keeps the
// roster is away or comes back from an older copy.
func TestSharedRateHoldsWhenOwnersAreGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{3, 4, 6, 7, 9, 12, 16, 24}).Draw(t, "vms")
		rates := map[string]contract.SharedRate{
			"calm": {PerSecond: 20, Burst: 20},
			"hot": {
				PerSecond: float64(rapid.IntRange(1, 60).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 100).Draw(t, "burst")),
			},
		}
		rw := newRateWorld(rapid.Uint64().Draw(t, "seed"), count, rates)
		rw.keepRoster()
		rw.run(20 * time.Second)
		const faulty, recovery = 20 * time.Second, 30 * time.Second
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) rateFault {
			return rateFault{
				kind: rapid.IntRange(0, allFaultKinds-1).Draw(t, "kind"), vm: rapid.IntRange(0, count-1).Draw(t, "vm"),
				at:   time.Duration(rapid.IntRange(0, int(faulty/time.Millisecond)).Draw(t, "at ms")) * time.Millisecond,
				long: time.Duration(rapid.IntRange(1, 9000).Draw(t, "long ms")) * time.Millisecond,
				mask: rapid.Uint64().Draw(t, "mask"),
			}
		}), 0, 8).Draw(t, "faults")
		for _, rf := range faults {
			rw.injectForGood(rf)
		}
		rw.load("hot", 3*rates["hot"].PerSecond+20, count, faulty+15*time.Second)
		rw.load("calm", 8, count, faulty+recovery+10*time.Second)
		rw.run(faulty + recovery)
		healed := rw.now
		rw.run(10 * time.Second)
		for customer := range rates {
			if worst := rw.worst(customer); worst > 0 {
				t.Fatalf("%s: %.1f requests too many in a window, allowed are %.1f", customer, worst, rw.bounds.Allowed(rates[customer]))
			}
		}
		late := map[bool]int{}
		for _, at := range rw.refused["calm"] {
			late[false] += countAfter(at, healed)
		}
		for _, at := range rw.admitted["calm"] {
			late[true] += countAfter(at, healed)
		}
		// Those that were not listed when all listed ones were lost go without.
		if rw.hasListed() && late[false]*20 > late[true] {
			for _, vm := range rw.vms {
				t.Logf("%s: alive %t, gone %t, place %+v, roster %+v", vm.name, vm.alive, vm.isGone, vm.place, vm.vms.Roster.Roster())
			}
			t.Fatalf("calm: %d of %d requests were refused after the faults", late[false], late[false]+late[true])
		}
	})
}

// TestRestartsInTurnCostNoLimits guards against a customer below its limit that is refused after
// planned restarts in turn, while some VMs are cut off from the platform.
func TestRestartsInTurnCostNoLimits(t *testing.T) {
	checkRestartsInTurn(t, []int{30, 30, 30, 30, 65})
}

// TestRestartsOfFewVMsCostNoLimits guards against the same in a small cluster, in which all VMs
// that are listed may be gone at once.
func TestRestartsOfFewVMsCostNoLimits(t *testing.T) {
	checkRestartsInTurn(t, []int{7})
}

func checkRestartsInTurn(t *testing.T, counts []int) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom(counts).Draw(t, "vms")
		rates := map[string]contract.SharedRate{
			"calm": {PerSecond: 20, Burst: 20}, "hot-0": {PerSecond: 10, Burst: 10}, "hot-1": {PerSecond: 30, Burst: 30},
		}
		rw := newRateWorld(rapid.Uint64().Draw(t, "seed"), count, rates)
		rw.representatives = 5
		rw.keepRoster()
		rw.run(20 * time.Second)
		rw.rosters.mask = rapid.Uint64().Draw(t, "mask") | 1<<rapid.IntRange(0, min(count, 64)-1).Draw(t, "reaches")
		rw.run(time.Duration(rapid.IntRange(0, 4).Draw(t, "cut before")) * time.Second)
		batch := rapid.IntRange(max(count/20, 1), max(count/10, 1)).Draw(t, "at a time")
		stopTime := time.Duration(rapid.IntRange(1000, 4000).Draw(t, "stop ms")) * time.Millisecond
		order := rw.random.Perm(count)
		var last time.Duration
		for i, at := range order {
			vm := rw.vms[at]
			last = time.Duration(i/batch)*time.Second + stopTime
			rw.after(last-stopTime, func() { vm.leaving = true })
			rw.after(last, func() { rw.start(vm) })
		}
		rw.load("calm", rates["calm"].PerSecond/2, count, last+12*time.Second)
		for _, hot := range []string{"hot-0", "hot-1"} {
			rw.load(hot, 4*rates[hot].PerSecond, count, last+12*time.Second)
		}
		rw.run(last + 2*time.Second)
		served := rw.now
		rw.run(10 * time.Second)
		for customer := range rates {
			if worst := rw.worst(customer); worst > 0 {
				t.Fatalf("%s: %.1f requests too many in a window, allowed are %.1f", customer, worst, rw.bounds.Allowed(rates[customer]))
			}
		}
		refused, admitted := 0, 0
		for _, at := range rw.refused["calm"] {
			refused += countAfter(at, served)
		}
		for _, at := range rw.admitted["calm"] {
			admitted += countAfter(at, served)
		}
		if refused*20 > admitted {
			for _, vm := range rw.vms {
				t.Logf("%s: place %+v, roster %+v", vm.name, vm.place, vm.vms.Roster.Roster())
			}
			t.Fatalf("calm: %d of %d requests were refused from 2 s after the last restart on", refused, refused+admitted)
		}
	})
}

func countAfter(at, from time.Time) int {
	if at.After(from) {
		return 1
	}
	return 0
}

// hasListed reports whether a live VM is listed.
func (rw *rateWorld) hasListed() bool {
	for _, vm := range rw.vms {
		if vm.alive && !vm.leaving && vm.vms.Roster.Roster().Has(vm.name) {
			return true
		}
	}
	return false
}
