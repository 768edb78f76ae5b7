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
	// recoverWithin is a bound of the settings.
	recoverWithin = 15 * time.Second
	// seedTenants is the number of tenants, each with the limit seedRate and a burst as
	// large, of which it sends usualShare.
	seedTenants = 2
	seedRate    = 80
	calmFor     = 10 * time.Second
	powerOffFor = time.Second
	afterFor    = 20 * time.Second
)

func init() { cases["lost-seeds"] = caseLostSeeds }

// caseLostSeeds has all entry VMs lose power at once. With trouble, the three that the
// settings name as seeds do not come back.
func caseLostSeeds(ev *env, trouble bool) (verdict, error) {
	for _, zone := range zoneNames {
		ev.addVM(zone)
	}
	ev.useTenants()
	for i := range 6 {
		if _, err := ev.startServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "registry", zoneNames[i%3], 6, 10*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	cg := wire.Configuration{
		Limits: limits,
		Routes: []wire.Route{{
			Name: "r-lookup", Host: "fizi45.example", PathPrefix: "/lookup/", Type: names["idempotent"], TimeoutMs: 2500, LatencyGoalMs: 500,
			MaxAttempts: 2, Priority: 1, Backend: "registry",
		}},
		Services: []wire.Service{{Name: "registry", HealthPath: names["health"], MaxConns: 450}},
	}
	for i := range seedTenants {
		cg.Tenants = append(cg.Tenants, wire.Tenant{Name: fmt.Sprintf("kami%d", i), ApiKeys: []string{fmt.Sprintf("key-of-kami%d", i)}, RatePerS: seedRate, Burst: seedRate})
	}
	ev.putConfiguration(cg)
	if err := ev.startVMs(); err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	before := ev.servedBy(ev.vms, calmFor)
	for _, each := range ev.vms {
		each.signal(syscall.SIGKILL)
	}
	for _, each := range ev.vms {
		<-each.ended
	}
	time.Sleep(powerOffFor)
	back := ev.vms
	if trouble {
		back = ev.vms[len(zoneNames):]
	}
	for _, each := range back {
		if err := each.start(); err != nil {
			return verdict{}, err
		}
	}
	for _, each := range back {
		if err := each.awaitReady(15 * time.Second); err != nil {
			return verdict{}, err
		}
	}
	ev.servedBy(back, recoverWithin)
	after := ev.servedBy(back, afterFor)
	return verdict{before >= 0.25 && after < 0.25, fmt.Sprintf("%.3f of the requests were served before all entry VMs lost power, and %.3f from %s after %d of %d were back on",
		before, after, recoverWithin, len(back), len(ev.vms))}, nil
}

// servedBy lets the tenants send what they usually do to entry VMs for a while, and returns
// the share of the requests that was served.
func (ev *env) servedBy(vms []*vm, duration time.Duration) float64 {
	var open sync.WaitGroup
	var lock sync.Mutex
	sent, served := 0, 0
	started := time.Now()
	perSecond := seedTenants * seedRate * usualShare
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / perSecond * float64(time.Second))
		if at >= duration {
			break
		}
		time.Sleep(time.Until(started.Add(at)))
		open.Go(func() {
			cl := &client{ev: ev, vm: vms[i/seedTenants%len(vms)], host: "fizi45.example"}
			defer cl.close()
			ca := cl.send(http.MethodGet, fmt.Sprintf("/lookup/%d", i), "", fmt.Sprintf("key-of-kami%d", i%seedTenants), findWithin)
			lock.Lock()
			defer lock.Unlock()
			sent++
			if ca.status == http.StatusOK {
				served++
			}
		})
	}
	open.Wait()
	return float64(served) / float64(max(sent, 1))
}
