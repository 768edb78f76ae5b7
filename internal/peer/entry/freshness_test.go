package entry

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/view"
)

// revokeWithin is the limit on withdrawn keys in these tests.
const revokeWithin = 5 * time.Second

var strictBounds = view.KeyBounds{ApplyWithin: 5 * time.Second, RevokeWithin: revokeWithin}

// keyVM is the part of a VM that decides on the age of its configuration.
type keyVM struct {
	cluster *Cluster
	version int64
}

// keyWorld is a store, a replica of it that lags behind, and VMs. Their messages take any
// time, arrive in any order, several times or never; a VM that is frozen is one whose
// messages take long. A VM calls the replica only if it knows a newer state: no VM that is
// on its own can recognise another replica.
type keyWorld struct {
	now time.Duration
	// ackedAt holds when each version of the configuration was acknowledged; version 1 is
	// the first.
	ackedAt []time.Duration
	// lagging is the version that the replica answers with.
	lagging int64
	vms     []*keyVM
	// due holds what happens later.
	due []keyEvent
	// delay returns how long the next message takes.
	delay func() time.Duration
	// copies returns how often the next message arrives.
	copies func() int
}

// keyEvent is something that happens at a time.
type keyEvent struct {
	at  time.Duration
	run func()
}

// start starts a VM, or starts it anew without memory. Its clock has an offset.
func (kw *keyWorld) start(at int, offset time.Duration) {
	vm := &keyVM{}
	vm.cluster = &Cluster{Table: &TableFreshness{
		Freshness: &view.Freshness{}, SinceBoot: func() time.Duration { return kw.now + offset },
		TableVersion: func() int64 { return vm.version },
	}}
	kw.vms[at] = vm
}

// send delivers a message.
func (kw *keyWorld) send(deliver func()) {
	for range kw.copies() {
		kw.due = append(kw.due, keyEvent{at: kw.now + kw.delay(), run: deliver})
	}
}

// pass lets time pass, and checks the world after each event.
func (kw *keyWorld) pass(span time.Duration, check func()) {
	for end := kw.now + span; ; {
		next := -1
		for i, ev := range kw.due {
			if ev.at <= end && (next < 0 || ev.at < kw.due[next].at) {
				next = i
			}
		}
		if next < 0 {
			kw.now = end
			check()
			return
		}
		ev := kw.due[next]
		kw.due = slices.Delete(kw.due, next, next+1)
		kw.now = ev.at
		check()
		ev.run()
		check()
	}
}

// callStore sends a call to the store or to the lagging replica. What the store answers
// is determined when the call arrives there.
func (kw *keyWorld) callStore(vm *keyVM, lagging bool) {
	sentAt, known, replica := vm.cluster.sinceBoot(), vm.version, kw.lagging
	kw.send(func() {
		answered := int64(len(kw.ackedAt))
		if lagging {
			answered = replica
		}
		kw.send(func() {
			vm.version = max(vm.version, answered)
			vm.cluster.Table.ConfirmByStore(sentAt, answered, known)
		})
	})
}

// exchange sends a heartbeat. The sender pulls the receiver's configuration, or not.
func (kw *keyWorld) exchange(sender, receiver *keyVM, pulls bool) {
	sentAt := sender.cluster.sinceBoot()
	kw.send(func() {
		reply := &entrypb.Heartbeat{}
		reply.TableVersion, reply.TableConfirmedMs = receiver.cluster.confirmedTable()
		kw.send(func() {
			if pulls {
				sender.version = max(sender.version, reply.TableVersion)
			}
			sender.cluster.confirmTable(sentAt, reply)
		})
	})
}

// check fails if a VM accepts a key that a newer configuration may have withdrawn for too
// long.
func (kw *keyWorld) check(rt *rapid.T) {
	for at, vm := range kw.vms {
		age := vm.cluster.Table.AsOf().Age(vm.cluster.sinceBoot())
		if vm.version == 0 || vm.version == int64(len(kw.ackedAt)) || !strictBounds.MayAccept(age) {
			continue
		}
		// ackedAt[version] is that of the next version.
		if late := kw.now - kw.ackedAt[vm.version]; late > revokeWithin*7/10 {
			rt.Fatalf("vm %d accepts keys of version %d, %s after version %d was acknowledged", at, vm.version, late, vm.version+1)
		}
	}
}

// TestWithdrawnKeysEndInTime generates orders of changes, calls and messages, with
// freezes, restarts and a store that lags behind. It guards against any order in which a
// VM accepts a key longer than the limit after its withdrawal was acknowledged.
func TestWithdrawnKeysEndInTime(t *testing.T) {
	spans := []time.Duration{
		0, 300 * time.Microsecond, 20 * time.Millisecond, 700 * time.Millisecond, 1900*time.Millisecond + 100*time.Microsecond, 3600 * time.Millisecond,
	}
	const steps = 150
	rapid.Check(t, func(rt *rapid.T) {
		span := func() time.Duration { return rapid.SampledFrom(spans).Draw(rt, "span") }
		offset := func() time.Duration {
			return time.Duration(rapid.IntRange(0, 1e9).Draw(rt, "clock")) * time.Millisecond
		}
		kw := &keyWorld{
			now: time.Hour, ackedAt: []time.Duration{time.Hour}, lagging: 1, vms: make([]*keyVM, rapid.IntRange(2, 3).Draw(rt, "vms")),
			delay: span, copies: func() int { return rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(rt, "copies") },
		}
		for at := range kw.vms {
			kw.start(at, offset())
		}
		for range steps {
			vm := rapid.SampledFrom(kw.vms).Draw(rt, "vm")
			switch rapid.SampledFrom([]string{"change", "call", "call", "beat", "beat", "beat", "lag", "lag", "catch up", "restart"}).Draw(rt, "step") {
			case "change":
				kw.ackedAt = append(kw.ackedAt, kw.now)
			case "call":
				kw.callStore(vm, false)
			case "beat":
				kw.exchange(vm, rapid.SampledFrom(kw.vms).Draw(rt, "peer"), rapid.Bool().Draw(rt, "pulls"))
			case "lag":
				if vm.version > kw.lagging {
					kw.callStore(vm, true)
				}
			case "catch up":
				kw.lagging = rapid.Int64Range(kw.lagging, int64(len(kw.ackedAt))).Draw(rt, "lagging")
			case "restart":
				kw.start(slices.Index(kw.vms, vm), offset())
			}
			kw.pass(span(), func() { kw.check(rt) })
		}
	})
}

// TestFreshnessPassesOn guards against VMs that refuse keys although their peers know that
// the configuration is recent.
func TestFreshnessPassesOn(t *testing.T) {
	kw := &keyWorld{
		now: time.Hour, ackedAt: []time.Duration{time.Hour}, vms: make([]*keyVM, 3),
		delay: func() time.Duration { return 10 * time.Millisecond }, copies: func() int { return 1 },
	}
	for at := range kw.vms {
		kw.start(at, time.Duration(at)*time.Hour)
	}
	deliver := func() { kw.pass(20*time.Millisecond, func() {}) }
	age := func(at int) time.Duration { return kw.vms[at].cluster.Table.AsOf().Age(kw.vms[at].cluster.sinceBoot()) }
	kw.callStore(kw.vms[0], false)
	deliver()
	assert.Equal(t, age(0), 20*time.Millisecond)
	kw.now += time.Second
	kw.exchange(kw.vms[1], kw.vms[0], true)
	deliver()
	assert.Equal(t, age(1), 1050*time.Millisecond, "counted from before the heartbeat")
	kw.now += time.Second
	kw.exchange(kw.vms[2], kw.vms[1], true)
	deliver()
	assert.Equal(t, age(2), 2080*time.Millisecond)
	kw.exchange(kw.vms[0], kw.vms[2], true)
	deliver()
	assert.Equal(t, age(0), 2080*time.Millisecond, "an older confirmation changes nothing")
	kw.now += 300 * time.Microsecond
	_, millis := kw.vms[0].cluster.confirmedTable()
	assert.Equal(t, millis, uint32(2081), "rounded up")
}

// TestReplyWithoutFreshnessConfirmsNothing guards against a reply of an earlier release,
// which lacks the fields, or of a VM without a configuration.
func TestReplyWithoutFreshnessConfirmsNothing(t *testing.T) {
	for _, reply := range []*entrypb.Heartbeat{
		{}, {TableConfirmedMs: 5}, {TableVersion: 1, TableConfirmedMs: neverConfirmed}, {TableVersion: 2, TableConfirmedMs: 5}, {TableVersion: -1},
	} {
		kw := &keyWorld{now: time.Hour, vms: make([]*keyVM, 1)}
		kw.start(0, 0)
		kw.vms[0].version = 1
		kw.vms[0].cluster.confirmTable(kw.now, reply)
		assert.Equal(t, kw.vms[0].cluster.Table.AsOf().Age(kw.now), view.NeverConfirmed)
	}
}

// TestStaleKeysReachDirectories guards against a directory that offers a VM which refuses
// keys, or leaves it out for good after it accepts them again.
func TestStaleKeysReachDirectories(t *testing.T) {
	mm, all := newClusters(3)
	stale := false
	for at, cr := range all {
		cr.Table = &TableFreshness{
			Freshness: &view.Freshness{}, SinceBoot: func() time.Duration { return time.Hour }, TableVersion: func() int64 { return 1 },
			IsStrict: func() bool { return true }, KeysStale: func() bool { return at == 1 && stale },
		}
	}
	isStaleAt := func(cr *Cluster) bool {
		for _, vm := range cr.Members(time.Now()) {
			if vm.Name == all[1].Self.Name {
				return vm.KeysStale
			}
		}
		return false
	}
	for _, stale = range []bool{false, true, false} {
		for range 2 {
			all[1].round(t.Context())
			// all[2] learns of all[1] from all[0] only.
			mm.lock.Lock()
			mm.unreachable[all[1].Self.EntryAddress] = true
			mm.lock.Unlock()
			all[2].round(t.Context())
			mm.lock.Lock()
			delete(mm.unreachable, all[1].Self.EntryAddress)
			mm.lock.Unlock()
		}
		for _, cr := range all {
			assert.Equal(t, isStaleAt(cr), stale, cr.Self.Name)
		}
	}
}
