package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// serverSettings describes one backend server.
type serverSettings struct {
	id, service, zone string
	// slots is the number of requests that run at once, queue the number that wait.
	slots, queue int
	// work returns how long a request takes.
	work func(rq *http.Request) time.Duration
	// copyShare is the share of the answers that are sent a second time, copyDelay
	// after the first, while copying is set.
	copyShare float64
	copyDelay time.Duration
	// linkDelay is the time that a message takes to or from the server.
	linkDelay time.Duration
	// crashes reports whether a request crashes the server; it may be nil.
	crashes func(rq *http.Request) bool
	// onCrash is called after a crash.
	onCrash func(sv *server, id string)
}

// server plays one backend server. It answers one request at a time on each
// connection.
type server struct {
	serverSettings
	address  string
	listener net.Listener
	record   *record
	runs     *runs
	slotFree chan struct{}
	waiting  atomic.Int64
	copying  atomic.Bool
	// conns holds the open connections as net.Conn keys.
	conns sync.Map
}

// runs counts how often each request ran, by id.
type runs struct {
	lock  sync.Mutex
	count map[string]int
	// seals holds the signatures of the answers by id.
	seals map[string][]string
}

func newRuns() *runs {
	return &runs{count: map[string]int{}, seals: map[string][]string{}}
}

func (rn *runs) add(id string) {
	rn.lock.Lock()
	defer rn.lock.Unlock()
	rn.count[id]++
}

func (rn *runs) of(id string) int {
	rn.lock.Lock()
	defer rn.lock.Unlock()
	return rn.count[id]
}

func startServer(settings serverSettings, rc *record, rn *runs) (*server, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for server %s: %w", settings.id, err)
	}
	sv := &server{
		serverSettings: settings, address: ls.Addr().String(), listener: ls, record: rc, runs: rn,
		slotFree: make(chan struct{}, settings.slots),
	}
	go sv.accept(ls)
	return sv, nil
}

func (sv *server) accept(ls net.Listener) {
	for {
		cn, err := ls.Accept()
		if err != nil {
			return
		}
		sv.conns.Store(cn, nil)
		go func() {
			defer sv.conns.Delete(cn)
			defer func() { _ = cn.Close() }()
			sv.serve(cn)
		}()
	}
}

func (sv *server) close() {
	_ = sv.listener.Close()
	sv.conns.Range(func(key, _ any) bool {
		_ = key.(net.Conn).Close()
		return true
	})
}

// serve answers the requests on a connection.
func (sv *server) serve(cn net.Conn) {
	reader := bufio.NewReader(cn)
	var writing sync.Mutex
	for {
		rq, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		time.Sleep(sv.linkDelay)
		answer := sv.answer(time.Now(), rq)
		time.Sleep(sv.linkDelay)
		writing.Lock()
		_, err = cn.Write(answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if rq.Header.Get(names.ID) == "" || !sv.copying.Load() || rand.Float64() >= sv.copyShare {
			continue
		}
		go func() {
			time.Sleep(sv.copyDelay)
			writing.Lock()
			defer writing.Unlock()
			sv.record.add("server %s sends a second copy of its answer to %s", sv.id, rq.Header.Get(names.ID))
			_, _ = cn.Write(answer)
		}()
	}
}

// answer runs or rejects a request, and returns the bytes of the answer.
func (sv *server) answer(now time.Time, rq *http.Request) []byte {
	header := http.Header{}
	id := rq.Header.Get(names.ID)
	if id == "" {
		header.Set(names.Instance, sv.id)
		return encode(http.StatusOK, header, nil)
	}
	header.Set(names.ID, id)
	if rq.Header.Get(names.Expect) != sv.id {
		header.Set(names.Instance, sv.id)
		return encode(http.StatusMisdirectedRequest, header, nil)
	}
	millis, _ := strconv.Atoi(rq.Header.Get(names.Deadline))
	until := now.Add(time.Duration(millis) * time.Millisecond)
	if !sv.takeSlot(until) {
		sv.record.add("server %s rejects %s", sv.id, id)
		header.Set(names.NotRun, "1")
		return encode(http.StatusServiceUnavailable, header, nil)
	}
	defer func() { <-sv.slotFree }()
	sv.runs.add(id)
	sv.record.add("server %s runs %s", sv.id, id)
	time.Sleep(min(sv.work(rq), time.Until(until)))
	if sv.crashes != nil && sv.crashes(rq) {
		sv.record.add("server %s crashes while it runs %s", sv.id, id)
		sv.close()
		sv.onCrash(sv, id)
		return nil
	}
	if !time.Now().Before(until) {
		return encode(http.StatusGatewayTimeout, header, nil)
	}
	header.Set(names.Seal, fmt.Sprintf("%016x", rand.Uint64()))
	return encode(http.StatusOK, header, []byte("answer of "+sv.id+" to "+id))
}

// takeSlot waits for a slot until a time, and reports whether it got one. A request
// that finds the queue full is rejected at once.
func (sv *server) takeSlot(until time.Time) bool {
	select {
	case sv.slotFree <- struct{}{}:
		return true
	default:
	}
	if sv.waiting.Add(1) > int64(sv.queue) {
		sv.waiting.Add(-1)
		return false
	}
	defer sv.waiting.Add(-1)
	select {
	case sv.slotFree <- struct{}{}:
		return true
	case <-time.After(time.Until(until)):
		return false
	}
}

// encode returns an answer with a length.
func encode(status int, header http.Header, body []byte) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = header.Write(&buffer)
	buffer.WriteString("\r\n")
	buffer.Write(body)
	return buffer.Bytes()
}
