package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	planPrefix    = "/plans/"
	archivePrefix = "/plans/2026/"
	applyWithin   = 3 * time.Second
)

func init() { cases["split-route"] = caseSplitRoute }

// caseSplitRoute has the operator split a route: a part of its paths moves to another
// service. Clients ask for plans, some of which have an encoded slash in their names.
func caseSplitRoute(ev *env, trouble bool) (verdict, error) {
	// serviceOf maps the servers to their services.
	serviceOf := map[string]string{}
	for i := range 8 {
		name, service := fmt.Sprintf("i-%08x", 0x7f3a91c0+i), []string{"plans", "archive"}[i%2]
		if _, err := ev.startServer(name, service, zoneNames[i%3], 4, 10*time.Millisecond); err != nil {
			return verdict{}, err
		}
		serviceOf[name] = service
	}
	route := func(name, prefix, service string) wire.Route {
		return wire.Route{
			Name: name, Host: "leno12.example", PathPrefix: prefix, Type: names["idempotent"], TimeoutMs: 2500, LatencyGoalMs: 500,
			MaxAttempts: 2, Priority: 1, Backend: service,
		}
	}
	cg := wire.Configuration{
		Limits: limits, Routes: []wire.Route{route("r-plans", planPrefix, "plans")},
		Services: []wire.Service{
			{Name: "plans", HealthPath: names["health"], MaxConns: 110}, {Name: "archive", HealthPath: names["health"], MaxConns: 110},
		},
	}
	ev.putConfiguration(cg)
	if err := ev.startVMs(); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	ev.askForPlans()
	if trouble {
		cg.Routes = append(cg.Routes, route("r-archive", archivePrefix, "archive"))
		ev.putConfiguration(cg)
	}
	time.Sleep(applyWithin + time.Second)
	for range 10 {
		ev.askForPlans()
		time.Sleep(200 * time.Millisecond)
	}
	wrong, answered := 0, 0
	for _, ran := range ev.runsOf() {
		for _, run := range ran {
			// The only service that any version allows is that of the longest prefix that
			// begins the path.
			allowed := "plans"
			if strings.HasPrefix(run.target, archivePrefix) {
				allowed = "archive"
			}
			answered++
			if service := serviceOf[run.server]; service != allowed {
				wrong++
				ev.record.line("request %s for %s ran at %s of %s, allowed is %s", run.id, run.target, run.server, service, allowed)
			}
		}
	}
	return verdict{wrong > 0, fmt.Sprintf("%d of %d runs were at a service to which no version allows the request to go", wrong, answered)}, nil
}

// askForPlans sends requests for plans to each entry VM.
func (ev *env) askForPlans() {
	for _, each := range ev.vms {
		cl := &client{ev: ev, vm: each, host: "leno12.example"}
		for _, target := range []string{"/plans/week-7", "/plans/2026%2Fspring", "/plans/2025%2Fautumn"} {
			cl.send(http.MethodGet, target, "", "", findWithin)
		}
		cl.close()
	}
}
