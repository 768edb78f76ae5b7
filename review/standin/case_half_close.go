package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	// leaveShare of the callers leave within leaveWithin of sending a request, half of
	// the goal, for leavePeriod.
	leaveShare  = 0.3
	leaveWithin = 150 * time.Millisecond
	leavePeriod = 8 * time.Second
	leavingWork = 250 * time.Millisecond
)

// playHalfClose has callers leave before their answer: they close their side of the
// connection and read until the other side is closed.
func playHalfClose(pl *play) (bool, error) {
	const path, service, callersPerVM = "/plans/", "plans", 3
	if err := pl.startStore(wire.Configuration{
		Version: 1,
		Routes: []wire.Route{{
			Name: "save", Host: host, PathPrefix: path, Type: names.NonIdempotent, Backend: service, TimeoutMs: 4000, LatencyGoalMs: 300,
			MaxAttempts: 2,
		}},
		Services: []wire.Service{{Name: service, HealthPath: "/healthz", MaxConns: 110}},
		Limits:   wire.CallerLimits{HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, MaxBodyBytes: 262144, MaxHeaderBytes: 16384},
	}); err != nil {
		return false, err
	}
	rn := newRuns()
	for i := range 6 {
		if err := pl.addServer(serverSettings{
			id: "server-" + strconv.Itoa(i), service: service, zone: zoneOf(i), slots: 2, queue: 8,
			work: func(*http.Request) time.Duration { return leavingWork },
		}, rn); err != nil {
			return false, err
		}
	}
	if err := pl.startVMs(3); err != nil {
		return false, err
	}
	until := time.Now().Add(leavePeriod)
	var left, unsealed, unrun atomic.Int64
	var callers sync.WaitGroup
	for _, vm := range pl.vms {
		for range callersPerVM {
			callers.Go(func() {
				for time.Now().Before(until) {
					leaves := pl.trouble && rand.Float64() < leaveShare
					if leaves {
						left.Add(1)
					}
					id := newID()
					if callOnce(pl, vm, path, id, leaves, rn) {
						continue
					}
					unsealed.Add(1)
					if rn.of(id) == 0 {
						unrun.Add(1)
					}
				}
			})
		}
	}
	callers.Wait()
	summary := fmt.Sprintf("%d callers left; %d got a success without a server's signature, %d of them for a request that no server ran",
		left.Load(), unsealed.Load(), unrun.Load())
	pl.record.add("%s", summary)
	fmt.Println(summary)
	return unsealed.Load() > 0, nil
}

// callOnce sends one request with an id on a connection of its own. It returns false if the caller
// got a success without a server's signature.
func callOnce(pl *play, vm *entryVM, path, id string, leaves bool, rn *runs) bool {
	cl, err := connect(vm.listen.FrontendAddr)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return true
	}
	defer func() { _ = cl.Close() }()
	pl.record.add("send %s to %s", id, vm.name)
	if err := cl.send(http.MethodPost, path+id, id, 4*time.Second); err != nil {
		return true
	}
	if leaves {
		time.Sleep(rand.N(leaveWithin))
		pl.record.add("the caller of %s leaves", id)
		_ = cl.Conn.(*net.TCPConn).CloseWrite()
	}
	an, err := cl.receive()
	if err != nil {
		pl.record.add("answer to %s: %v; ran %d times", id, err, rn.of(id))
		return true
	}
	seal := an.header.Get(names.Seal)
	pl.record.add("answer to %s: %d, signature %q, %d bytes; ran %d times", id, an.status, seal, len(an.body), rn.of(id))
	return an.status/100 != 2 || seal != ""
}
