package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const pathHost = "plans.example"

// sentPaths are the paths of the requests. A client writes them as they stand here.
var sentPaths = []string{"/plans/a|b", "/plans/maize^2", "/plans/[draft]", "/plans/Jāņi"}

// changedPath sends paths that begin with two slashes. Without trouble they begin with one.
func changedPath(en *env) (bool, error) {
	if err := en.startStore(); err != nil {
		return false, err
	}
	var servers []*server
	for i, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		sv, err := en.startServer(fmt.Sprintf("i-krajums-%d", i), "krajums", zone, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, sv)
	}
	route := newRoute("r-all", pathHost, "/", "krajums", 4000)
	route.Type = nm.Words.Once
	en.store.put(nm.Store.Config, nm.Store.Main, wire.Configuration{
		Version: 7, Routes: []wire.Route{route}, Services: []wire.Service{newService("krajums", 110)},
		Limits: wire.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000},
	})
	if err := en.startVMs("plain", "riga-a", "riga-b"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	sent := map[string]string{}
	for round := range 5 {
		for i, path := range sentPaths {
			if en.trouble {
				path = "/" + path
			}
			attempt := fmt.Sprintf("path-%d-%d", round, i)
			status, err := sendPath(en.vms[round%len(en.vms)], attempt, path)
			if err != nil {
				return false, err
			}
			sent[attempt] = path
			en.rec.add("client: %s POST %s, answered %d", attempt, path, status)
		}
	}
	ran, changed := 0, 0
	for _, sv := range servers {
		for _, rn := range sv.all() {
			ran++
			if rn.target != sent[rn.attempt] {
				changed++
				en.rec.add("%s was sent with %s and ran with %s", rn.attempt, sent[rn.attempt], rn.target)
			}
		}
	}
	en.rec.say("servers ran %d of %d requests, %d of them with another path than the client had sent", ran, len(sent), changed)
	if ran < len(sent) {
		return false, fmt.Errorf("only %d of %d requests ran", ran, len(sent))
	}
	return changed > 0, nil
}

// sendPath sends one request, with the path as it is, and returns the status of the answer.
func sendPath(to *vm, attempt, path string) (int, error) {
	cn, err := net.DialTimeout("tcp", to.ip+":8226", time.Second)
	if err != nil {
		return 0, fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = cn.Close() }()
	_ = cn.SetDeadline(time.Now().Add(5 * time.Second))
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\nContent-Length: 4\r\n\r\nplan",
		path, pathHost, nm.Headers.Attempt, attempt, nm.Headers.Deadline)
	if _, err := io.WriteString(cn, text); err != nil {
		return 0, fmt.Errorf("send: %w", err)
	}
	rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode, err
}
