package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	crashHost = "plans.example"
	crashPath = "/save/fatal"
	// crashRepeat is the time after which the request comes again.
	crashRepeat = 6 * time.Second
	// serverBack is the time after which a crashed server is back, entryKept that after
	// which the store removes the entry of a silent server.
	serverBack = 3 * time.Second
	entryKept  = 3 * heartbeat
	// stability is the bound of the settings.
	stability = 4 * time.Second
	// mostRetries is the number of retries that the rule allows.
	mostRetries = 3
)

// crashingServers starts servers that a request crashes, each again after a while.
type crashingServers struct {
	en   *env
	lock sync.Mutex
	all  []*server
	// crashes holds when the request crashed a server.
	crashes []time.Time
}

func (cs *crashingServers) start(zone, address string, number int) error {
	sv, end, err := startServer(cs.en.store, cs.en.rec, fmt.Sprintf("i-krajums-%d-%d", number, time.Now().UnixMilli()), "krajums", zone, address, 100*time.Millisecond)
	if err != nil {
		return err
	}
	sv.crashOn = crashPath
	sv.onCrash = func() {
		cs.lock.Lock()
		defer cs.lock.Unlock()
		cs.crashes = append(cs.crashes, time.Now())
		time.AfterFunc(entryKept, func() { cs.en.store.remove(nm.Store.Servers, sv.id) })
		time.AfterFunc(serverBack, func() { _ = cs.start(zone, address, number) })
	}
	cs.lock.Lock()
	defer cs.lock.Unlock()
	cs.all = append(cs.all, sv)
	cs.en.cleanups = append(cs.en.cleanups, end)
	return nil
}

// forgottenCrash lets all processes be killed at once, twice, after a request has crashed
// three servers.
func forgottenCrash(en *env) (bool, error) {
	if err := en.startStore(); err != nil {
		return false, err
	}
	cs := &crashingServers{en: en}
	for i := range 6 {
		if err := cs.start([]string{"riga-a", "riga-b", "riga-c"}[i%3], en.host()+":8080", i); err != nil {
			return false, err
		}
	}
	route := newRoute("r-save", crashHost, "/save/", "krajums", 4000)
	route.Type = nm.Words.Once
	en.store.put(nm.Store.Config, nm.Store.Main, wire.Configuration{
		Version: 7, Routes: []wire.Route{route}, Services: []wire.Service{newService("krajums", 110)},
		Limits: wire.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000},
	})
	if err := en.startVMs("plain", "riga-a", "riga-b", "riga-c"); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	sendOrdinary(en, stop, done)
	fatal := make([]*client, len(en.vms))
	for i, each := range en.vms {
		fatal[i] = newClient(en.rec, fmt.Sprintf("fatal%d", i), each, crashHost, "")
	}
	// Of the requests that reach a server, each crashes one.
	third, retries := time.Time{}, 0
	kills := map[int]bool{3: true, 7: true}
	for i := range 12 {
		to := i % len(en.vms)
		inTouch := time.Since(en.vms[to].startedAt) > stability
		before := cs.count()
		an := fatal[to].send(http.MethodPost, crashPath, []byte("plan"), 4*time.Second)
		// The answer may be faster than the server's own record.
		time.Sleep(200 * time.Millisecond)
		reached := cs.count() > before
		en.rec.say("the request comes to %s: status %d, reached a server: %v", en.vms[to].node, an.status, reached)
		switch {
		case third.IsZero() && cs.count() == 3:
			third = time.Now()
		case reached && inTouch && !third.IsZero() && an.sentAt.Sub(third) > stability:
			retries++
		}
		if kills[i] && en.trouble {
			en.rec.say("all processes are killed")
			if err := en.killAll(500 * time.Millisecond); err != nil {
				return false, err
			}
			if err := en.awaitReady(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(an.sentAt.Add(crashRepeat)))
	}
	close(stop)
	done.Wait()
	en.rec.say("the request crashed %d servers; %d of its retries came to processes in touch later than %s after the third and reached a server, at most %d may",
		cs.count(), retries, stability, mostRetries)
	if third.IsZero() {
		return false, fmt.Errorf("the request crashed %d servers only", cs.count())
	}
	return retries > mostRetries, nil
}

// sendOrdinary sends other requests, each with a path of its own.
func sendOrdinary(en *env, stop <-chan struct{}, done *sync.WaitGroup) {
	for i, each := range en.vms {
		cl := newClient(en.rec, fmt.Sprintf("save%d", i), each, crashHost, "")
		done.Go(func() {
			ticker := time.NewTicker(100 * time.Millisecond)
			defer ticker.Stop()
			for number := 0; ; number++ {
				select {
				case <-ticker.C:
					done.Go(func() { cl.send(http.MethodPost, fmt.Sprintf("/save/%d-%d", i, number), []byte("plan"), 4*time.Second) })
				case <-stop:
					return
				}
			}
		})
	}
}

func (cs *crashingServers) count() int {
	cs.lock.Lock()
	defer cs.lock.Unlock()
	return len(cs.crashes)
}
