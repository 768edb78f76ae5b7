package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	leftHost = "plans.example"
	// Of seven processes, leavers are stopped at once.
	leavers = 3
	// settle is the time after their end from which requests count.
	settle = 10 * time.Second
	// leftPerS is what clients send to each of the others, on each route.
	leftPerS = 25
)

// leftOwners stops three processes for good, as planned work, and compares the route that
// was added later with the first one, at the processes that stay.
func leftOwners(en *env) (bool, error) {
	if err := en.startStore(); err != nil {
		return false, err
	}
	for i, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		if _, err := en.startServer(fmt.Sprintf("i-krajums-%d", i), "krajums", zone, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	first := newRoute("r-find", leftHost, "/find/", "krajums", 4000)
	first.NoAuth = true
	later := newRoute("r-save", leftHost, "/save/", "krajums", 4000)
	configure := func(version int, routes ...wire.Route) {
		en.store.put(nm.Store.Config, nm.Store.Main, wire.Configuration{
			Version: version, Routes: routes, Services: []wire.Service{newService("krajums", 110)},
			Tenants: []wire.Tenant{{Name: "parish", ApiKeys: []string{keptKey}, RatePerS: limitPerS, Burst: limitPerS}},
			Limits:  wire.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000},
		})
	}
	configure(7, first)
	if err := en.startVMs("strict", "riga-a", "riga-a", "riga-a", "riga-a", "riga-a", "riga-a", "riga-a"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	configure(9, first, later)
	time.Sleep(9 * time.Second)
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	var finds, saves []*client
	for i, each := range en.vms[leavers:] {
		finds = append(finds, newClient(en.rec, fmt.Sprintf("find%d", i), each, leftHost, ""))
		saves = append(saves, newClient(en.rec, fmt.Sprintf("save%d", i), each, leftHost, keptKey))
		finds[i].sendEvery(time.Second/leftPerS, "/find/a", 2*time.Second, stop, done)
		saves[i].sendEvery(time.Second/leftPerS, "/save/a", 2*time.Second, stop, done)
	}
	time.Sleep(8 * time.Second)
	if en.trouble {
		en.rec.say("%d processes get SIGTERM and leave for good", leavers)
		for _, each := range en.vms[:leavers] {
			_ = each.command.Process.Signal(syscall.SIGTERM)
		}
		for _, each := range en.vms[:leavers] {
			<-each.ended
		}
	}
	ended := time.Now()
	en.rec.say("steady from now on")
	time.Sleep(settle + 40*time.Second)
	close(stop)
	done.Wait()
	from, to := ended.Add(settle), ended.Add(settle+39*time.Second)
	before := en.shareOf(saves, "later route, before", ended.Add(-9*time.Second), ended.Add(-5*time.Second))
	findShare := en.shareOf(finds, "first route", from, to)
	saveShare := en.shareOf(saves, "later route", from, to)
	if before < 0.9 || findShare < 0.9 {
		return false, fmt.Errorf("the routes were not served: %.3f and %.3f", before, findShare)
	}
	return saveShare < findShare/4, nil
}

// shareOf returns the share of the clients' requests of a span that were served.
func (en *env) shareOf(cls []*client, name string, from, to time.Time) float64 {
	sent, statuses := 0, map[int]int{}
	for _, cl := range cls {
		for _, an := range cl.all() {
			if an.sentAt.After(from) && an.sentAt.Before(to) {
				sent++
				statuses[an.status]++
			}
		}
	}
	share := float64(statuses[http.StatusOK]) / float64(max(sent, 1))
	en.rec.say("%s: %d sent, %.3f served, by status %v", name, sent, share, statuses)
	return share
}
