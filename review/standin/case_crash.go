package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	// A crashed server is back after backAfter; its record is removed after
	// recordAfter, three status report intervals.
	backAfter   = 3 * time.Second
	recordAfter = 3600 * time.Millisecond
	// crashingGap is the time between two sends of the request that crashes servers.
	crashingGap = 3 * time.Second
	crashTime   = 60 * time.Second
	// stabilityWindow is how long after the third crash sends do not count yet.
	stabilityWindow = 4 * time.Second
	allowedRetries  = 3
	countedCrashes  = 3
	crashingQuery   = "bad"
)

// crashLog records when servers crashed, and the sends that did it.
type crashLog struct {
	lock sync.Mutex
	at   []time.Time
	// retries holds the sends that crashed a server more than stabilityWindow after
	// the third crash, by id.
	retries map[string]bool
}

func (cl *crashLog) add(now time.Time, id string) {
	cl.lock.Lock()
	defer cl.lock.Unlock()
	cl.at = append(cl.at, now)
	if len(cl.at) > countedCrashes && now.Sub(cl.at[countedCrashes-1]) > stabilityWindow {
		cl.retries[id] = true
	}
}

// playCrash has callers search, each with a query of its own on the same path. One
// search crashes each server that runs it, and is sent again and again.
func playCrash(pl *play) (bool, error) {
	const path, service, servers, callersPerVM = "/find/", "plans", 6, 3
	if err := pl.startStore(wire.Configuration{
		Version: 1,
		Routes: []wire.Route{{
			Name: "find", Host: host, PathPrefix: path, Type: names.Idempotent, Backend: service, TimeoutMs: 4000, LatencyGoalMs: 300,
			MaxAttempts: 2,
		}},
		Services: []wire.Service{{Name: service, HealthPath: "/healthz", MaxConns: 110}},
		Limits:   wire.CallerLimits{HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, MaxBodyBytes: 262144, MaxHeaderBytes: 16384},
	}); err != nil {
		return false, err
	}
	rn, crashes := newRuns(), &crashLog{retries: map[string]bool{}}
	var started atomic.Int64
	var add func(index int) error
	add = func(index int) error {
		return pl.addServer(serverSettings{
			id: fmt.Sprintf("server-%d-%d", index, started.Add(1)), service: service, zone: zoneOf(index), slots: 2, queue: 8,
			work:    func(*http.Request) time.Duration { return 20 * time.Millisecond },
			crashes: func(rq *http.Request) bool { return rq.URL.Query().Get("q") == crashingQuery },
			onCrash: func(sv *server, id string) {
				crashes.add(time.Now(), id)
				time.AfterFunc(backAfter, func() { _ = add(index) })
				time.AfterFunc(recordAfter, func() { pl.store.remove("servers", sv.id) })
			},
		}, rn)
	}
	for i := range servers {
		if err := add(i); err != nil {
			return false, err
		}
	}
	if err := pl.startVMs(3); err != nil {
		return false, err
	}
	until := time.Now().Add(crashTime)
	var failed atomic.Int64
	var callers sync.WaitGroup
	for _, vm := range pl.vms {
		for range callersPerVM {
			callers.Go(func() {
				for time.Now().Before(until) {
					if search(pl, vm, path, strconv.Itoa(rand.IntN(1_000_000))) != http.StatusOK {
						failed.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	for pl.trouble && time.Now().Before(until) {
		search(pl, pl.vms[rand.IntN(len(pl.vms))], path, crashingQuery)
		time.Sleep(crashingGap)
	}
	callers.Wait()
	crashes.lock.Lock()
	defer crashes.lock.Unlock()
	summary := fmt.Sprintf("%d crashes; %d sends of the crashing request reached servers later than %s after the third; %d other searches failed",
		len(crashes.at), len(crashes.retries), stabilityWindow, failed.Load())
	pl.record.add("%s", summary)
	fmt.Println(summary)
	return len(crashes.retries) > allowedRetries, nil
}
