package main

import (
	"fmt"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	recoverHost = "plans.example"
	// A tenant may send limitPerS a second, and sends usualPerS: the limit is 1.6 times that.
	limitPerS = 160
	usualPerS = 100
	// recoverWithin is the bound of the settings.
	recoverWithin = 15 * time.Second
)

// lastUnlisted lets four processes lose power at once. The last of them alone comes back;
// without trouble all do.
func lastUnlisted(en *env) (bool, error) {
	if err := en.startStore(); err != nil {
		return false, err
	}
	for i, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		if _, err := en.startServer(fmt.Sprintf("i-krajums-%d", i), "krajums", zone, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	en.store.put(nm.Store.Config, nm.Store.Main, wire.Configuration{
		Version: 7, Routes: []wire.Route{newRoute("r-save", recoverHost, "/save/", "krajums", 4000)},
		Services: []wire.Service{newService("krajums", 110)},
		Tenants:  []wire.Tenant{{Name: "parish", ApiKeys: []string{keptKey}, RatePerS: limitPerS, Burst: limitPerS}},
		Limits:   wire.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000},
	})
	if err := en.startVMs("strict", "riga-a", "riga-a", "riga-a", "riga-a"); err != nil {
		return false, err
	}
	last := en.vms[len(en.vms)-1]
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	cl := newClient(en.rec, "parish", last, recoverHost, keptKey)
	// The processes know each other, and have agreed on who grants limits.
	time.Sleep(14 * time.Second)
	cl.sendEvery(time.Second/usualPerS, "/save/a", 2*time.Second, stop, done)
	time.Sleep(10 * time.Second)
	fault := time.Now()
	en.rec.say("all processes lose power")
	if err := en.killOthers(en.trouble); err != nil {
		return false, err
	}
	for !last.isReady() {
		if time.Since(fault) > 20*time.Second {
			return false, fmt.Errorf("%s did not become ready", last.node)
		}
		time.Sleep(50 * time.Millisecond)
	}
	back := time.Now()
	en.rec.say("%s is back and ready", last.node)
	time.Sleep(recoverWithin + 20*time.Second)
	close(stop)
	done.Wait()
	before := en.shareOf([]*client{cl}, "before the fault", fault.Add(-6*time.Second), fault.Add(-time.Second))
	after := en.shareOf([]*client{cl}, fmt.Sprintf("later than %s after the return", recoverWithin), back.Add(recoverWithin), back.Add(recoverWithin+19*time.Second))
	if before < 0.25 {
		return false, fmt.Errorf("only %.3f was served before the fault", before)
	}
	return after < 0.25, nil
}

// killOthers ends all processes at once, and starts the last one again after a second;
// the others too, unless they are lost for good.
func (en *env) killOthers(lost bool) error {
	if !lost {
		return en.killAll(time.Second)
	}
	all := en.vms
	for _, each := range all {
		_ = each.command.Process.Kill()
	}
	for _, each := range all {
		<-each.ended
	}
	en.vms = all[len(all)-1:]
	// It is dead already.
	err := en.killAll(time.Second)
	en.vms = all
	return err
}
