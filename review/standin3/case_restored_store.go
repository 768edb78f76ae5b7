package main

import (
	"fmt"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	restoredHost = "plans.example"
	// copyAge is how old the copy is from which the store comes back, awayFor how long it
	// is away before.
	copyAge = 4 * time.Second
	awayFor = time.Second
	// revokeWithin is the bound of the settings.
	revokeWithin = 5 * time.Second
	keptKey      = "k-kept-7d1f0c2a"
	takenKey     = "k-taken-51b7e9aa"
)

// restoredStore takes a key away after the store came back from an older copy. Two
// configurations that the copy lacks were in force before.
func restoredStore(en *env) (bool, error) {
	if err := en.startStore(); err != nil {
		return false, err
	}
	var servers []*server
	for i, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		sv, err := en.startServer(fmt.Sprintf("i-krajums-%d", i), "krajums", zone, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, sv)
	}
	configure := func(version int, timeout float64, keys ...string) {
		cg := wire.Configuration{
			Version: version, Routes: []wire.Route{newRoute("r-save", restoredHost, "/save/", "krajums", timeout)},
			Services: []wire.Service{newService("krajums", 110)},
			Tenants:  []wire.Tenant{{Name: "parish", ApiKeys: keys}},
			Limits:   wire.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000},
		}
		revision, ok := en.store.put(nm.Store.Config, nm.Store.Main, cg)
		en.rec.say("operator: version %d with %d keys, acknowledged %v at revision %d", version, len(keys), ok, revision)
	}
	configure(7, 4000, keptKey, takenKey)
	if err := en.startVMs("strict", "riga-a", "riga-b"); err != nil {
		return false, err
	}
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	var taken, kept []*client
	for i, each := range en.vms {
		taken = append(taken, newClient(en.rec, fmt.Sprintf("taken%d", i), each, restoredHost, takenKey))
		kept = append(kept, newClient(en.rec, fmt.Sprintf("kept%d", i), each, restoredHost, keptKey))
		taken[i].sendEvery(100*time.Millisecond, "/save/a", 4*time.Second, stop, done)
		kept[i].sendEvery(100*time.Millisecond, "/save/b", 4*time.Second, stop, done)
	}
	// The system is in steady state.
	time.Sleep(10 * time.Second)
	configure(9, 3900, keptKey, takenKey)
	time.Sleep(time.Second)
	configure(12, 3800, keptKey, takenKey)
	time.Sleep(2 * time.Second)
	if en.trouble {
		en.rec.say("store: away for %s, at revision %d", awayFor, en.store.revision())
		en.store.restore(awayFor, copyAge)
		en.rec.say("store: back from a copy that was %s old, at revision %d", copyAge, en.store.revision())
		configure(12, 3800, keptKey, takenKey)
	}
	// Far longer than the store must have been stable.
	time.Sleep(12 * time.Second)
	configure(15, 3800, keptKey)
	acknowledged := time.Now()
	time.Sleep(revokeWithin + 12*time.Second)
	close(stop)
	done.Wait()
	late := map[string]bool{}
	for _, cl := range taken {
		for _, an := range cl.all() {
			if an.sentAt.Sub(acknowledged) > revokeWithin {
				late[an.attempt] = true
			}
		}
	}
	ran := 0
	for _, sv := range servers {
		for _, rn := range sv.all() {
			if late[rn.attempt] {
				ran++
			}
		}
	}
	keptServed, keptSent := 0, 0
	for _, cl := range kept {
		for _, an := range cl.all() {
			if an.sentAt.Sub(acknowledged) > revokeWithin {
				keptSent++
				if an.status == 200 {
					keptServed++
				}
			}
		}
	}
	en.rec.say("sent with the key later than %s after it was taken away: %d, of which servers ran %d", revokeWithin, len(late), ran)
	en.rec.say("sent with the other key in that time: %d, of which %d were served", keptSent, keptServed)
	if len(late) < 100 {
		return false, fmt.Errorf("only %d requests were sent in time", len(late))
	}
	return ran > 0, nil
}
