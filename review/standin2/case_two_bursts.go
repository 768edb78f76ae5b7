package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	tenantRate  = 20
	tenantBurst = 150
	// usualShare is the part of its limit that the tenant usually sends, hotFactor how many
	// times that it sends while it is hot, and hotFor for how long.
	usualShare = 1 / 1.6
	hotFactor  = 7.5
	hotFor     = 6500 * time.Millisecond
	// quotaWindow, quotaOverage and quotaSlack are bounds of the settings.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// killAt is the time after the start of the load at which the process is killed, and
	// restartDelay the time until it starts again.
	killAt       = 1900 * time.Millisecond
	restartDelay = 300 * time.Millisecond
)

func init() { cases["two-bursts"] = caseTwoBursts }

// caseTwoBursts has a tenant send many times its limit while the process that grants its
// tokens is killed and started again.
func caseTwoBursts(ev *env, trouble bool) (verdict, error) {
	ev.useTenants()
	for i := range 6 {
		if _, err := ev.startServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "registry", zoneNames[i%3], 6, 10*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	ev.putConfiguration(wire.Configuration{
		Limits: limits,
		Routes: []wire.Route{{
			Name: "r-lookup", Host: "fizi45.example", PathPrefix: "/lookup/", Type: names["idempotent"], TimeoutMs: 2500, LatencyGoalMs: 500,
			MaxAttempts: 2, Priority: 1, Backend: "registry",
		}},
		Services: []wire.Service{{Name: "registry", HealthPath: names["health"], MaxConns: 450}},
		Tenants:  []wire.Tenant{{Name: "kami770", ApiKeys: []string{"key-of-kami770"}, RatePerS: tenantRate, Burst: tenantBurst}},
	})
	if err := ev.startVMs(); err != nil {
		return verdict{}, err
	}
	time.Sleep(12 * time.Second)
	started := time.Now()
	var clients sync.WaitGroup
	clients.Go(func() { ev.sendAtRate(started, tenantRate*usualShare*hotFactor, hotFor) })
	if trouble {
		time.Sleep(time.Until(started.Add(killAt)))
		owner, err := ev.ownerOf("kami770")
		if err != nil {
			return verdict{}, err
		}
		owner.signal(syscall.SIGKILL)
		<-owner.ended
		time.Sleep(restartDelay)
		if err := owner.start(); err != nil {
			return verdict{}, err
		}
	}
	clients.Wait()
	most, from := ev.mostInWindow()
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	return verdict{float64(most) > allowed, fmt.Sprintf("at most %d requests of the tenant were sent and ran within %s, from %.1f s of its load on; allowed are %.1f",
		most, quotaWindow, from.Sub(started).Seconds(), allowed)}, nil
}

// sendAtRate sends requests of the tenant at a rate, each on a connection of its own, to the
// entry VMs in turn.
func (ev *env) sendAtRate(started time.Time, perSecond float64, duration time.Duration) {
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / perSecond * float64(time.Second))
		if at >= duration {
			return
		}
		time.Sleep(time.Until(started.Add(at)))
		open.Go(func() {
			cl := &client{ev: ev, vm: ev.vms[i%len(ev.vms)], host: "fizi45.example"}
			defer cl.close()
			cl.send(http.MethodGet, fmt.Sprintf("/lookup/%d", i), "", "key-of-kami770", findWithin)
		})
	}
}

// ownerOf returns the entry VM that grants the tokens of a tenant.
func (ev *env) ownerOf(tenant string) (*vm, error) {
	for _, each := range ev.vms {
		state, err := each.dump()
		if err != nil {
			continue
		}
		rates, _ := state["rates"].(map[string]any)
		owned, _ := rates["owned"].([]any)
		for _, item := range owned {
			if rate, _ := item.(map[string]any); rate["name"] == tenant {
				return each, nil
			}
		}
	}
	return nil, errors.New("no entry VM owns the limit")
}

// mostInWindow returns the largest number of requests that were both sent and arrived at a
// server that ran them within one window, and the begin of that window.
func (ev *env) mostInWindow() (int, time.Time) {
	type span struct{ sent, ran time.Time }
	runs := ev.runsOf()
	var spans []span
	for _, ca := range ev.calls.all {
		if ran := runs[ca.id]; len(ran) > 0 {
			spans = append(spans, span{ca.sentAt, ran[0].at})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	most, from := 0, time.Time{}
	for i, first := range spans {
		count := 0
		for _, each := range spans[i:] {
			if each.sent.Sub(first.sent) < quotaWindow && each.ran.Sub(first.sent) < quotaWindow {
				count++
			}
		}
		if count > most {
			most, from = count, first.sent
		}
	}
	return most, from
}
