package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	uploadHost = "plans.example"
	// An upload of uploadBytes comes in uploadPieces, within slowUpload, or within quickUpload
	// without trouble. The route and the client allow uploadLimit.
	uploadBytes  = 24 << 10
	uploadPieces = 24
	slowUpload   = 12 * time.Second
	quickUpload  = 8 * time.Second
	uploadLimit  = 15 * time.Second
	uploads      = 40
)

// slowUploads sends requests whose bodies take a while to arrive.
func slowUploads(en *env) (bool, error) {
	if err := en.startStore(); err != nil {
		return false, err
	}
	for i, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		if _, err := en.startServer(fmt.Sprintf("i-krajums-%d", i), "krajums", zone, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	route := newRoute("r-save", uploadHost, "/save/", "krajums", float64(uploadLimit.Milliseconds()))
	route.Type = nm.Words.NonIdempotent
	en.store.put(nm.Store.Config, nm.Store.Main, wire.Configuration{
		Version: 7, Routes: []wire.Route{route}, Services: []wire.Service{newService("krajums", 110)},
		Limits: wire.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000},
	})
	if err := en.startVMs("plain", "riga-a", "riga-b"); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	within := quickUpload
	if en.trouble {
		within = slowUpload
	}
	var lock sync.Mutex
	statuses, all := map[int]int{}, sync.WaitGroup{}
	for i := range uploads {
		all.Go(func() {
			attempt := fmt.Sprintf("upload-%d", i)
			startedAt := time.Now()
			status, err := upload(en.vms[i%len(en.vms)], attempt, within)
			en.rec.add("answer to %s: %d after %s, error %v", attempt, status, time.Since(startedAt).Round(time.Millisecond), err)
			lock.Lock()
			defer lock.Unlock()
			statuses[status]++
		})
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	denied := 0
	for status, count := range statuses {
		if status >= 300 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests {
			denied += count
		}
	}
	most := 5 + float64(uploads)/500
	en.rec.say("%d uploads of %d bytes within %s, by status %v: %d denied, at most %.1f may be", uploads, uploadBytes, within, statuses, denied, most)
	return float64(denied) > most, nil
}

// upload sends one request with a body that arrives in pieces at even intervals, and
// returns the status of the answer, 0 if there is none.
func upload(to *vm, attempt string, within time.Duration) (int, error) {
	cn, err := net.DialTimeout("tcp", to.ip+":8226", time.Second)
	if err != nil {
		return 0, fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = cn.Close() }()
	head := fmt.Sprintf("POST /save/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		attempt, uploadHost, nm.Headers.Attempt, attempt, nm.Headers.Deadline, uploadLimit.Milliseconds(), uploadBytes)
	if _, err := io.WriteString(cn, head); err != nil {
		return 0, fmt.Errorf("send head: %w", err)
	}
	go func() {
		piece := make([]byte, uploadBytes/uploadPieces)
		for range uploadPieces {
			time.Sleep(within / uploadPieces)
			if _, err := cn.Write(piece); err != nil {
				return
			}
		}
	}()
	_ = cn.SetReadDeadline(time.Now().Add(uploadLimit + time.Second))
	rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode, err
}
