package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	attempt string
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if the connection ended without an answer.
	status int
}

// client sends requests to one process, each attempt with its own id.
type client struct {
	rec    *recorder
	name   string
	target string
	host   string
	key    string
	http   *http.Client
	count  atomic.Int64

	lock    sync.Mutex
	answers []answer
}

func newClient(rec *recorder, name string, to *vm, host, key string) *client {
	return &client{
		rec: rec, name: name, target: "http://" + to.ip + ":8226", host: host, key: key,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// send makes one attempt.
func (cl *client) send(method, path string, body []byte, deadline time.Duration) answer {
	an := answer{attempt: fmt.Sprintf("%s-%05d", cl.name, cl.count.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, cl.target+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	rq.Host = cl.host
	rq.Header.Set(nm.Headers.Attempt, an.attempt)
	rq.Header.Set(nm.Headers.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	if cl.key != "" {
		rq.Header.Set(nm.Headers.Authorization, nm.Headers.KeyScheme+cl.key)
	}
	rs, err := cl.http.Do(rq)
	if err == nil {
		_, err = io.Copy(io.Discard, rs.Body)
		_ = rs.Body.Close()
		if err == nil {
			an.status = rs.StatusCode
		}
	}
	an.endedAt = time.Now()
	cl.rec.add("answer to %s: %d after %s", an.attempt, an.status, an.endedAt.Sub(an.sentAt).Round(time.Millisecond))
	cl.lock.Lock()
	cl.answers = append(cl.answers, an)
	cl.lock.Unlock()
	return an
}

// sendEvery sends a request at each interval until the channel is closed.
func (cl *client) sendEvery(interval time.Duration, path string, deadline time.Duration, stop <-chan struct{}, done *sync.WaitGroup) {
	done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				done.Go(func() { cl.send(http.MethodGet, path, nil, deadline) })
			case <-stop:
				return
			}
		}
	})
}

// all returns the answers so far.
func (cl *client) all() []answer {
	cl.lock.Lock()
	defer cl.lock.Unlock()
	return append([]answer(nil), cl.answers...)
}
