package main

import (
	"fmt"
	"net/http"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	revokeWithin = 5 * time.Second
	findWithin   = 2500 * time.Millisecond
)

func init() { cases["last-key"] = caseLastKey }

// caseLastKey withdraws the keys of two tenants, one after the other. The second withdrawal
// leaves a configuration with an empty list of tenants. Without trouble, the second tenant
// keeps its key.
func caseLastKey(ev *env, trouble bool) (verdict, error) {
	ev.useTenants()
	for i := range 4 {
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
		Services: []wire.Service{{Name: "registry", HealthPath: names["health"], MaxConns: 110}},
	}
	first := wire.Tenant{Name: "kami770", ApiKeys: []string{"key-of-kami770"}}
	second := wire.Tenant{Name: "zuno112", ApiKeys: []string{"key-of-zuno112"}}
	cg.Tenants = []wire.Tenant{first, second}
	ev.putConfiguration(cg)
	if err := ev.startVMs(); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	if ev.lookUp(first.ApiKeys[0]) == 0 || ev.lookUp(second.ApiKeys[0]) == 0 {
		return verdict{}, fmt.Errorf("keys in force are not accepted")
	}
	// withdrawnAt maps each withdrawn key to the acknowledgement of its withdrawal.
	withdrawnAt := map[string]time.Time{}
	cg.Tenants = []wire.Tenant{second}
	ev.putConfiguration(cg)
	withdrawnAt[first.ApiKeys[0]] = time.Now()
	ev.lookUpFor(8*time.Second, first.ApiKeys[0], second.ApiKeys[0])
	if trouble {
		cg.Tenants = []wire.Tenant{}
		ev.putConfiguration(cg)
		withdrawnAt[second.ApiKeys[0]] = time.Now()
	}
	ev.lookUpFor(10*time.Second, first.ApiKeys[0], second.ApiKeys[0])
	runs := ev.runsOf()
	late, passedOn, sent := 0, 0, 0
	for _, ca := range ev.calls.all {
		at, withdrawn := withdrawnAt[ca.key]
		if !withdrawn || ca.sentAt.Sub(at) <= revokeWithin {
			continue
		}
		sent++
		for _, run := range runs[ca.id] {
			late++
			if run.hasKey {
				passedOn++
			}
			ev.record.line("request %s with %s ran at %s, sent %.1f s after its withdrawal was acknowledged, key passed on %t",
				ca.id, ca.key, run.server, ca.sentAt.Sub(at).Seconds(), run.hasKey)
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d of %d requests with a withdrawn key, sent more than %s after the acknowledgement, ran; to %d of these servers the key was passed on",
		late, sent, revokeWithin, passedOn)}, nil
}

// lookUp sends one request with a key to each entry VM, and returns how many were served.
func (ev *env) lookUp(key string) int {
	served := 0
	for _, each := range ev.vms {
		cl := &client{ev: ev, vm: each, host: "fizi45.example"}
		if cl.send(http.MethodGet, "/lookup/2f", "", key, findWithin).status == http.StatusOK {
			served++
		}
		cl.close()
	}
	return served
}

// lookUpFor sends requests with keys for a while.
func (ev *env) lookUpFor(duration time.Duration, keys ...string) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		for _, key := range keys {
			ev.lookUp(key)
		}
	}
}
