package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	savers     = 6
	saveFor    = 20 * time.Second
	saveWithin = 4 * time.Second
	// saveServers serve the plans; greyServers of them fail greyShare of their requests for
	// greyFor.
	saveServers = 14
	greyServers = 2
	greyShare   = 0.45
	greyFor     = 6500 * time.Millisecond
)

func init() { cases["failure503"] = caseFailure503 }

// caseFailure503 lets two of fourteen servers fail a part of their requests, after they ran
// them, with their own signed answer 503. That answer says nothing of the request not having
// run. Clients save plans by requests that must run once, and repeat after a promise only.
func caseFailure503(ev *env, trouble bool) (verdict, error) {
	var servers []*server
	for i := range saveServers {
		sv, err := ev.startServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "krajums", zoneNames[i%3], 2, 20*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, sv)
	}
	ev.putConfiguration(wire.Configuration{
		Limits: limits,
		Routes: []wire.Route{{
			Name: "r-save", Host: "hufi27.example", PathPrefix: "/save/", Type: names["once"], TimeoutMs: 4000, LatencyGoalMs: 300,
			MaxAttempts: 2, Priority: 2, Backend: "krajums",
		}},
		Services: []wire.Service{{Name: "krajums", HealthPath: names["health"], MaxConns: 110}},
	})
	if err := ev.startVMs(); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	// plans maps each plan to the attempts that saved it.
	var lock sync.Mutex
	plans := map[string][]string{}
	var clients sync.WaitGroup
	until := time.Now().Add(saveFor)
	if trouble {
		for _, sv := range servers[:greyServers] {
			sv.failFrom(time.Now().Add(saveFor/4), greyFor, greyShare)
		}
	}
	for i := range savers {
		clients.Go(func() {
			for number := 0; time.Now().Before(until); number++ {
				plan := fmt.Sprintf("plan-%d-%d", i, number)
				ids := ev.savePlan(ev.vms[(i+number)%len(ev.vms)], plan)
				lock.Lock()
				plans[plan] = ids
				lock.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	runs := ev.runsOf()
	refused := 0
	for _, ca := range ev.calls.all {
		if (ca.status == http.StatusServiceUnavailable || ca.status == http.StatusTooManyRequests) && len(runs[ca.id]) > 0 {
			refused++
			ev.record.line("request %s was answered %d and ran at %s", ca.id, ca.status, runs[ca.id][0].server)
		}
	}
	twice := 0
	for plan, ids := range plans {
		ran := 0
		for _, id := range ids {
			ran += len(runs[id])
		}
		if ran > 1 {
			twice++
			ev.record.line("%s was saved %d times, by attempts %v", plan, ran, ids)
		}
	}
	return verdict{refused > 0, fmt.Sprintf("%d of %d requests were answered 503 or 429 and had run; %d of %d plans were saved more than once",
		refused, len(ev.calls.all), twice, len(plans))}, nil
}

// savePlan saves a plan as a sound client does: it repeats after a promise that the request
// has not run, on a new connection, and returns the ids of its attempts.
func (ev *env) savePlan(vm *vm, plan string) []string {
	var ids []string
	for range 2 {
		cl := &client{ev: ev, vm: vm, host: "hufi27.example"}
		ca := cl.send(http.MethodPost, "/save/"+plan, "the text of "+plan, "", saveWithin)
		cl.close()
		ids = append(ids, ca.id)
		if ca.status != http.StatusServiceUnavailable && ca.status != http.StatusTooManyRequests {
			return ids
		}
		if seconds, err := strconv.ParseFloat(ca.header.Get("Retry-After"), 64); err == nil {
			time.Sleep(min(time.Duration(seconds*float64(time.Second)), saveWithin/3))
		}
	}
	return ids
}
