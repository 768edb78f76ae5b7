package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

// arrival is a request that reached a server.
type arrival struct {
	at           time.Time
	server       string
	id, target   string
	method, body string
	tenant       string
	hasKey       bool
	ran          bool
	status       int
}

// server is a stand-in for one backend server. It behaves soundly unless failFrom was called.
type server struct {
	name, service, zone, address string
	slots                        int
	work                         time.Duration
	// grey is when and how often the server fails requests after they ran; nil if it never
	// does.
	grey atomic.Pointer[greyTime]
	// running counts the requests that run or wait.
	running atomic.Int64
	free    chan struct{}
	ev      *env
}

// greyTime is a time in which a server fails a share of its requests.
type greyTime struct {
	from, until time.Time
	share       float64
	count       atomic.Int64
}

// failFrom makes the server fail a share of its requests for a while.
func (sv *server) failFrom(from time.Time, duration time.Duration, share float64) {
	sv.grey.Store(&greyTime{from: from, until: from.Add(duration), share: share})
}

// fails reports whether the next request fails.
func (gt *greyTime) fails(now time.Time) bool {
	if gt == nil || now.Before(gt.from) || now.After(gt.until) {
		return false
	}
	count := gt.count.Add(1)
	return int64(float64(count)*gt.share) > int64(float64(count-1)*gt.share)
}

// queueLength is the number of requests that wait at a server.
const queueLength = 8

func (ev *env) startServer(name, service, zone string, slots int, work time.Duration) (*server, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for server: %w", err)
	}
	sv := &server{name: name, service: service, zone: zone, address: ls.Addr().String(), slots: slots, work: work, free: make(chan struct{}, slots), ev: ev}
	go func() {
		for {
			cn, err := ls.Accept()
			if err != nil {
				return
			}
			go sv.serveConn(cn)
		}
	}()
	state, born := "ready", int(time.Now().Add(-time.Minute).UnixMilli())
	ev.store.put("servers", name, wire.ServerEntry{
		Backend: &service, Address: &sv.address, Zone: &zone, Version: "v1", Slots: &slots, State: &state, Seq: 1, Born: &born,
	})
	return sv, nil
}

func (sv *server) serveConn(cn net.Conn) {
	defer func() { _ = cn.Close() }()
	reader := bufio.NewReader(cn)
	for {
		rq, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(rq.Body)
		if err != nil || !sv.answer(cn, rq, string(body)) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (sv *server) answer(cn net.Conn, rq *http.Request, body string) bool {
	respond := func(status int, headers, content string) bool {
		if id := rq.Header.Get(names["id"]); id != "" {
			headers += names["id"] + ": " + id + "\r\n"
		}
		_, err := fmt.Fprintf(cn, "HTTP/1.1 %d %s\r\n%s%s: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers,
			names["load"], min(sv.running.Load(), int64(sv.slots)), max(sv.running.Load()-int64(sv.slots), 0), sv.slots, len(content), content)
		return err == nil
	}
	instance := names["instance"] + ": " + sv.name + "\r\n"
	if rq.URL.Path == names["health"] {
		return respond(http.StatusOK, instance, "")
	}
	id := rq.Header.Get(names["id"])
	ar := arrival{
		at: time.Now(), server: sv.name, id: id, target: rq.RequestURI, method: rq.Method, body: body,
		tenant: rq.Header.Get(names["tenant"]), hasKey: rq.Header.Get("Authorization") != "",
	}
	if expected := rq.Header.Get(names["expect"]); expected != "" && expected != sv.name {
		ar.status = http.StatusMisdirectedRequest
		sv.ev.arrived(ar)
		return respond(ar.status, instance, "")
	}
	if sv.running.Add(1) > int64(sv.slots+queueLength) {
		sv.running.Add(-1)
		ar.status = http.StatusServiceUnavailable
		sv.ev.arrived(ar)
		return respond(ar.status, names["not_run"]+": 1\r\n", "")
	}
	defer sv.running.Add(-1)
	limit := time.Minute
	if millis, err := strconv.Atoi(rq.Header.Get(names["deadline"])); err == nil {
		limit = time.Duration(millis) * time.Millisecond
	}
	select {
	case sv.free <- struct{}{}:
	case <-time.After(limit):
		ar.status = http.StatusServiceUnavailable
		sv.ev.arrived(ar)
		return respond(ar.status, names["not_run"]+": 1\r\n", "")
	}
	ar.ran, ar.status = true, http.StatusOK
	content := "done " + id
	if sv.grey.Load().fails(ar.at) {
		ar.status, content = http.StatusServiceUnavailable, "the service behind this server failed"
	}
	sv.ev.arrived(ar)
	time.Sleep(sv.work)
	<-sv.free
	return respond(ar.status, names["seal"]+": "+sv.name+"."+id+"\r\n", content)
}

// arrivals collects what reached the servers.
type arrivals struct {
	lock sync.Mutex
	all  []arrival
}

func (ev *env) arrived(ar arrival) {
	ev.arrivals.lock.Lock()
	ev.arrivals.all = append(ev.arrivals.all, ar)
	ev.arrivals.lock.Unlock()
	ev.record.line("server %s got %s %s id %s tenant %q key passed on %t ran %t, answers %d", ar.server, ar.method, ar.target, ar.id, ar.tenant, ar.hasKey, ar.ran, ar.status)
}

// runsOf returns the requests that ran, by id.
func (ev *env) runsOf() map[string][]arrival {
	ev.arrivals.lock.Lock()
	defer ev.arrivals.lock.Unlock()
	runs := map[string][]arrival{}
	for _, ar := range ev.arrivals.all {
		if ar.ran {
			runs[ar.id] = append(runs[ar.id], ar)
		}
	}
	return runs
}
