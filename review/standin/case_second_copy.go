package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

// The second copies come in periods of copyPeriod, with pauses of the same length.
const (
	copyPeriod = 5 * time.Second
	copyShare  = 0.04
	copyDelay  = 5 * time.Millisecond
	savePlans  = 95 * time.Second
)

// playSecondCopy has callers save plans, which must not run twice, at servers that are
// full at times. In periods, half of the servers send some answers a second time, late.
func playSecondCopy(pl *play) (bool, error) {
	const path, service, entryVMs, callersPerVM = "/plans/", "plans", 9, 1
	if err := pl.startStore(wire.Configuration{
		Version: 1,
		Routes: []wire.Route{{
			Name: "save", Host: host, PathPrefix: path, Type: names.NonIdempotent, Backend: service, TimeoutMs: 4000, LatencyGoalMs: 300,
			MaxAttempts: 2,
		}},
		Services: []wire.Service{{Name: service, HealthPath: "/healthz", MaxConns: 16}},
		Limits:   wire.CallerLimits{HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, MaxBodyBytes: 262144, MaxHeaderBytes: 16384},
	}); err != nil {
		return false, err
	}
	rn := newRuns()
	for i := range 2 {
		settings := serverSettings{
			id: "server-" + strconv.Itoa(i), service: service, zone: zoneOf(i), slots: 2, queue: 1,
			work:      func(*http.Request) time.Duration { return 10 * time.Millisecond },
			copyDelay: copyDelay, linkDelay: time.Millisecond,
		}
		if i == 0 {
			settings.copyShare = copyShare
		}
		if err := pl.addServer(settings, rn); err != nil {
			return false, err
		}
	}
	if err := pl.startVMs(entryVMs); err != nil {
		return false, err
	}
	until := time.Now().Add(savePlans)
	results := &saveResults{statuses: map[string]int{}}
	var callers sync.WaitGroup
	for _, vm := range pl.vms {
		for range callersPerVM {
			callers.Go(func() { savePlansAt(pl, vm, path, until, results) })
		}
	}
	for copying := true; time.Now().Before(until); copying = !copying {
		pl.servers[0].copying.Store(pl.trouble && copying)
		time.Sleep(copyPeriod)
	}
	pl.servers[0].copying.Store(false)
	callers.Wait()
	time.Sleep(time.Second)
	return results.check(pl, rn), nil
}

// saveResults collects the answers by id.
type saveResults struct {
	lock     sync.Mutex
	statuses map[string]int
}

func (sr *saveResults) set(id string, status int) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	sr.statuses[id] = status
}

// check reports whether a request ran twice, or ran although the answer promised that
// it did not.
func (sr *saveResults) check(pl *play, rn *runs) bool {
	twice, refused := 0, 0
	byStatus := map[int]int{}
	for id, status := range sr.statuses {
		byStatus[status]++
		count := rn.of(id)
		if count > 1 {
			twice++
			pl.record.add("TWICE: %s ran %d times, answered %d", id, count, status)
		}
		if count > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
			pl.record.add("REFUSED: %s ran %d times, answered %d", id, count, status)
		}
	}
	summary := fmt.Sprintf("answers by status %v (0: closed); %d ran twice, %d were refused and ran", byStatus, twice, refused)
	pl.record.add("%s", summary)
	fmt.Println(summary)
	return twice+refused > 0
}

// savePlansAt has one caller send plans one after the other to an entry VM, over a kept
// connection. It waits as long as an answer tells it to.
func savePlansAt(pl *play, vm *entryVM, path string, until time.Time, results *saveResults) {
	var cl *caller
	for time.Now().Before(until) {
		if cl == nil {
			fresh, err := connect(vm.listen.FrontendAddr)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			cl = fresh
		}
		id := newID()
		pl.record.add("send %s to %s", id, vm.name)
		err := cl.send(http.MethodPost, path+id, id, 4*time.Second)
		var an answer
		if err == nil {
			an, err = cl.receive()
		}
		if err != nil {
			pl.record.add("answer to %s: %v", id, err)
			results.set(id, 0)
			_ = cl.Close()
			cl = nil
			continue
		}
		pl.record.add("answer to %s: %d", id, an.status)
		results.set(id, an.status)
		time.Sleep(an.retryAfter())
	}
	if cl != nil {
		_ = cl.Close()
	}
}
