package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	// importWork is the run time of a long request, of the importDeadline that its
	// caller waits and the route allows.
	importWork     = 2500 * time.Millisecond
	importDeadline = 4 * time.Second
	// stopGrace is the time between SIGTERM and SIGKILL.
	stopGrace = 6 * time.Second
	// importAt is when the first long request is sent, after SIGTERM, and importGap the
	// time between two of them.
	importAt  = 3100 * time.Millisecond
	importGap = 100 * time.Millisecond
)

// playStop stops one entry VM with SIGTERM. Callers that looked it up just before send
// it requests on kept connections meanwhile, later than 3 s after SIGTERM, which their
// server answers before the grace time ends.
func playStop(pl *play) (bool, error) {
	const path, service, requests = "/plans/", "plans", 4
	if err := pl.startStore(wire.Configuration{
		Version: 1,
		Routes: []wire.Route{{
			Name: "save", Host: host, PathPrefix: path, Type: names.NonIdempotent, Backend: service,
			TimeoutMs: float64(importDeadline.Milliseconds()), LatencyGoalMs: 300, MaxAttempts: 2,
		}},
		Services: []wire.Service{{Name: service, HealthPath: "/healthz", MaxConns: 110}},
		Limits:   wire.CallerLimits{HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, MaxBodyBytes: 262144, MaxHeaderBytes: 16384},
	}); err != nil {
		return false, err
	}
	rn := newRuns()
	for i := range 3 {
		if err := pl.addServer(serverSettings{
			id: "server-" + strconv.Itoa(i), service: service, zone: zoneOf(i), slots: 2, queue: 8,
			work: func(rq *http.Request) time.Duration {
				if strings.Contains(rq.URL.Path, "import") {
					return importWork
				}
				return 20 * time.Millisecond
			},
		}, rn); err != nil {
			return false, err
		}
	}
	if err := pl.startVMs(3); err != nil {
		return false, err
	}
	vm := pl.vms[0]
	places, err := resolve(vm)
	if err != nil {
		return false, err
	}
	pl.record.add("the directory answers %v for %g s", places.Addrs, places.TtlS)
	stopAt := time.Now().Add(200 * time.Millisecond)
	lost := 0
	var failed error
	var lock sync.Mutex
	var callers sync.WaitGroup
	for i := range requests {
		callers.Go(func() {
			isLost, err := callDuringStop(pl, vm, path, stopAt, stopAt.Add(importAt+time.Duration(i)*importGap), rn)
			lock.Lock()
			defer lock.Unlock()
			failed = errors.Join(failed, err)
			if isLost {
				lost++
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	if pl.trouble {
		pl.record.add("SIGTERM to %s", vm.name)
		if err := vm.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, fmt.Errorf("stop %s: %w", vm.name, err)
		}
	}
	callers.Wait()
	if pl.trouble {
		time.Sleep(time.Until(stopAt.Add(stopGrace)))
		select {
		case <-vm.ended:
			pl.record.add("%s has ended by itself", vm.name)
		default:
			pl.record.add("%s is killed at the end of the grace time", vm.name)
		}
	}
	summary := fmt.Sprintf("%d of %d requests were passed on and got no answer", lost, requests)
	pl.record.add("%s", summary)
	fmt.Println(summary)
	return lost > 0, failed
}

// callDuringStop sends a short request at once and a long one at a time, both on one
// connection. It reports whether the long one was passed on to a server and the
// connection ended without a complete answer.
func callDuringStop(pl *play, vm *entryVM, path string, stopAt, sendAt time.Time, rn *runs) (bool, error) {
	cl, err := connect(vm.listen.FrontendAddr)
	if err != nil {
		return false, err
	}
	defer func() { _ = cl.Close() }()
	first := newID()
	if err := cl.send(http.MethodPost, path+first, first, importDeadline); err != nil {
		return false, err
	}
	if _, err := cl.receive(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(sendAt))
	id, sentAt := newID(), time.Now()
	pl.record.add("send %s to %s, %.2f s after the stop", id, vm.name, sentAt.Sub(stopAt).Seconds())
	err = cl.send(http.MethodPost, path+"import/"+id, id, importDeadline)
	an := answer{}
	if err == nil {
		an, err = cl.receive()
	}
	took := time.Since(sentAt)
	if err != nil {
		pl.record.add("answer to %s after %.2f s: %v; ran %d times", id, took.Seconds(), err, rn.of(id))
		return rn.of(id) > 0 && took < importDeadline, nil
	}
	pl.record.add("answer to %s after %.2f s: %d; ran %d times", id, took.Seconds(), an.status, rn.of(id))
	return false, nil
}
