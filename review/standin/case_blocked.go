package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	// reportWork is how long a server works on a report, which its caller waits for up
	// to reportDeadline.
	reportWork     = 2 * time.Second
	reportDeadline = 8 * time.Second
	// addedDelay is the time between the version that adds the route of reports and the
	// first report: the time in which it takes effect, and a margin.
	addedDelay = 3500 * time.Millisecond
	// reportsCrashAt is when the servers of reports crash, after the first report.
	reportsCrashAt = time.Second
	// From steadyAt on, after the first report, requests count, and the callers end
	// after reportTime.
	steadyAt   = 20 * time.Second
	reportTime = 70 * time.Second
	// The rule needs minCounted requests on routes that were added later.
	minCounted = 20
	// maxCallerWait bounds how long a caller waits after a refusal.
	maxCallerWait = 2 * time.Second
)

// shareLog counts requests and those that were served.
type shareLog struct {
	lock         sync.Mutex
	sent, served int
	statuses     map[int]int
}

func (sl *shareLog) add(status int) {
	sl.lock.Lock()
	defer sl.lock.Unlock()
	sl.sent++
	sl.statuses[status]++
	if status == http.StatusOK {
		sl.served++
	}
}

func (sl *shareLog) share() float64 {
	return float64(sl.served) / float64(max(sl.sent, 1))
}

// playBlocked adds a route for reports, which are gathered from three shards. All
// servers of one shard crash once while the first reports run, and are back after some
// seconds. A report needs two shards.
func playBlocked(pl *play) (bool, error) {
	const callersPerVM, serversEach = 6, 3
	const plans, crashing = "plans", "reports-1"
	shards := []string{"reports-0", crashing, "reports-2"}
	first := wire.Route{
		Name: "find", Host: host, PathPrefix: "/find/", Type: names.Idempotent, Backend: plans, TimeoutMs: 4000, LatencyGoalMs: 300,
		MaxAttempts: 2,
	}
	added := wire.Route{
		Name: "report", Host: host, PathPrefix: "/report/", Type: names.Idempotent, Gather: shards, MinCoverage: 0.6, TopK: 20,
		TimeoutMs: float64(reportDeadline.Milliseconds()), LatencyGoalMs: 4000, MaxAttempts: 2,
	}
	configuration := wire.Configuration{
		Version: 1, Routes: []wire.Route{first},
		Limits: wire.CallerLimits{HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, MaxBodyBytes: 262144, MaxHeaderBytes: 16384},
	}
	for _, service := range append([]string{plans}, shards...) {
		configuration.Services = append(configuration.Services, wire.Service{Name: service, HealthPath: "/healthz", MaxConns: 110})
	}
	if err := pl.startStore(configuration); err != nil {
		return false, err
	}
	rn := newRuns()
	add := func(id, service string, index int) error {
		work := reportWork
		if service == plans {
			work = 20 * time.Millisecond
		}
		return pl.addServer(serverSettings{
			id: id, service: service, zone: zoneOf(index), slots: 4, queue: 8,
			work: func(*http.Request) time.Duration { return work },
		}, rn)
	}
	for _, service := range append([]string{plans}, shards...) {
		for i := range serversEach {
			if err := add(service+"-"+strconv.Itoa(i), service, i); err != nil {
				return false, err
			}
		}
	}
	toCrash := slices.DeleteFunc(slices.Clone(pl.servers), func(sv *server) bool { return sv.service != crashing })
	if err := pl.startVMs(3); err != nil {
		return false, err
	}
	configuration.Version, configuration.Routes = 2, []wire.Route{first, added}
	if err := pl.store.put("config", "main", configuration); err != nil {
		return false, err
	}
	time.Sleep(addedDelay)
	startAt := time.Now()
	logs := map[string]*shareLog{"/find/": {statuses: map[int]int{}}, "/report/": {statuses: map[int]int{}}}
	var callers sync.WaitGroup
	for path, log := range logs {
		for _, vm := range pl.vms {
			for range callersPerVM {
				callers.Go(func() { callAgain(pl, vm, path, startAt, log) })
			}
		}
	}
	if pl.trouble {
		time.Sleep(time.Until(startAt.Add(reportsCrashAt)))
		for i, sv := range toCrash {
			pl.record.add("server %s crashes", sv.id)
			sv.close()
			time.AfterFunc(backAfter, func() { _ = add(sv.id+"-again", sv.service, i) })
			time.AfterFunc(recordAfter, func() { pl.store.remove("servers", sv.id) })
		}
	}
	callers.Wait()
	find, report := logs["/find/"], logs["/report/"]
	summary := fmt.Sprintf("later than %s: first route %d of %d served, added route %d of %d, its answers by status %v",
		steadyAt, find.served, find.sent, report.served, report.sent, report.statuses)
	pl.record.add("%s", summary)
	fmt.Println(summary)
	return report.sent >= minCounted && report.share() < find.share()/4, nil
}

// callAgain sends requests one after the other, each with a query of its own, and
// waits after a refusal as it is told.
func callAgain(pl *play, vm *entryVM, path string, startAt time.Time, log *shareLog) {
	for time.Since(startAt) < reportTime {
		sentAt := time.Now()
		an := searchFor(pl, vm, path, strconv.Itoa(rand.IntN(1_000_000)), reportDeadline)
		if sentAt.Sub(startAt) > steadyAt {
			log.add(an.status)
		}
		time.Sleep(max(min(an.retryAfter(), maxCallerWait), 50*time.Millisecond))
	}
}
