package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is one backend server. It keeps to the platform's protocol.
type server struct {
	id, service, zone, address string
	born                       int64
	// work is the time that a request takes.
	work time.Duration
	st   *store
	rec  *recorder
	// crashOn is the path of requests that crash the server; empty if none does. onCrash is
	// called after the crash.
	crashOn string
	onCrash func()
	// end closes the listener and all connections.
	end func()
	// running counts the requests that run.
	running  atomic.Int64
	draining atomic.Bool

	lock sync.Mutex
	runs []run
}

// run is one request that a server ran.
type run struct {
	at      time.Time
	attempt string
	path    string
	tenant  string
	// hasKey is set if the server got a key.
	hasKey bool
}

const (
	heartbeat   = 1200 * time.Millisecond
	serverSlots = 2
)

// startServer starts a server that registers itself in the store until it is stopped.
func startServer(st *store, rec *recorder, id, service, zone, address string, work time.Duration) (*server, func(), error) {
	ls, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for server %s: %w", id, err)
	}
	sv := &server{id: id, service: service, zone: zone, address: address, born: time.Now().UnixMilli(), work: work, st: st, rec: rec}
	hs := &http.Server{Handler: sv}
	go func() { _ = hs.Serve(ls) }()
	stop := make(chan struct{})
	go func() {
		sv.register()
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				sv.register()
			case <-stop:
				return
			}
		}
	}()
	sv.end = sync.OnceFunc(func() { close(stop); _ = hs.Close() })
	return sv, sv.end, nil
}

// register writes the server's entry. Its sequence number is left as it is: the entry does
// not change when only that does.
func (sv *server) register() {
	state := nm.Words.Ready
	if sv.draining.Load() {
		state = nm.Words.Draining
	}
	sv.st.put(nm.Store.Servers, sv.id, newEntry(sv, state))
}

// ServeHTTP implements http.Handler.
func (sv *server) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	load := fmt.Sprintf("%d,0,%d", sv.running.Load(), serverSlots)
	w.Header().Set(nm.Headers.Load, load)
	if rq.URL.Path == nm.Paths.Health {
		w.Header().Set(nm.Headers.Instance, sv.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	id := rq.Header.Get(nm.Headers.Attempt)
	w.Header().Set(nm.Headers.Attempt, id)
	if expected := rq.Header.Get(nm.Headers.Expected); expected != "" && expected != sv.id {
		w.Header().Set(nm.Headers.Instance, sv.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sv.running.Add(1)
	defer sv.running.Add(-1)
	rn := run{
		at: time.Now(), attempt: id, path: rq.URL.Path, tenant: rq.Header.Get(nm.Headers.Tenant),
		hasKey: rq.Header.Get(nm.Headers.Authorization) != "",
	}
	sv.lock.Lock()
	sv.runs = append(sv.runs, rn)
	sv.lock.Unlock()
	sv.rec.add("run by %s (%s): %s %s, tenant %q, %d bytes", sv.id, sv.service, id, rn.path, rn.tenant, len(body))
	if sv.crashOn != "" && rn.path == sv.crashOn {
		sv.rec.say("%s crashes as it begins to run %s", sv.id, id)
		sv.end()
		sv.onCrash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(sv.work)
	w.Header().Set(nm.Headers.Seal, sv.id+"."+id)
	_, _ = io.WriteString(w, strings.Repeat("record of 16 byt", 4))
}

// all returns the requests that the server ran so far.
func (sv *server) all() []run {
	sv.lock.Lock()
	defer sv.lock.Unlock()
	return append([]run(nil), sv.runs...)
}
