package main

import (
	"fmt"
	"net/http"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

func init() { cases["path"] = casePath }

// casePath has clients ask for paths with a vertical bar, as browsers send it. Without
// trouble they send it percent-encoded.
func casePath(ev *env, trouble bool) (verdict, error) {
	for i := range 6 {
		if _, err := ev.startServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "verses", zoneNames[i%3], 4, 10*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	ev.putConfiguration(wire.Configuration{
		Limits: limits,
		Routes: []wire.Route{{
			Name: "r-verses", Host: "leno12.example", PathPrefix: "/verses/", Type: names["idempotent"], TimeoutMs: 2500, LatencyGoalMs: 500,
			MaxAttempts: 2, Priority: 1, Backend: "verses",
		}},
		Services: []wire.Service{{Name: "verses", HealthPath: names["health"], MaxConns: 110}},
	})
	if err := ev.startVMs(); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	bar := "%7C"
	if trouble {
		bar = "|"
	}
	for i := range 10 {
		for _, each := range ev.vms {
			cl := &client{ev: ev, vm: each, host: "leno12.example"}
			cl.send(http.MethodGet, fmt.Sprintf("/verses/john%s3%s%d?lang=lv|en", bar, bar, i), "", "", findWithin)
			cl.close()
		}
	}
	runs := ev.runsOf()
	changed := 0
	for _, ca := range ev.calls.all {
		for _, run := range runs[ca.id] {
			if run.target != ca.target || run.method != ca.method {
				changed++
				ev.record.line("request %s was sent for %s, and %s ran it for %s", ca.id, ca.target, run.server, run.target)
			}
		}
	}
	return verdict{changed > 0, fmt.Sprintf("%d of %d requests ran with their path changed", changed, len(ev.calls.all))}, nil
}
