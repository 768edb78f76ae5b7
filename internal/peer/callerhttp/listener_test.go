package callerhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// serve starts a server with a handler.
func serve(t *testing.T, handler http.Handler) *Listener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	hs := &http.Server{Handler: handler}
	dl := Listen(raw, hs)
	go func() { _ = hs.Serve(dl) }()
	t.Cleanup(func() { _ = hs.Close() })
	return dl
}

// startCallerServer starts a server whose answers let connections close, as in a
// stop, unless keep is set.
func startCallerServer(t *testing.T, keep bool) *Listener {
	t.Helper()
	return serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		if !keep {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusNoContent)
	}))
}

func connect(t *testing.T, dl *Listener) net.Conn {
	t.Helper()
	cn, err := net.Dial("tcp", dl.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = cn.Close() })
	return cn
}

func send(t *testing.T, cn net.Conn) {
	t.Helper()
	_, err := fmt.Fprint(cn, testRequest)
	assert.NilError(t, err)
}

func expectAnswer(t *testing.T, cn net.Conn) {
	t.Helper()
	rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
	assert.NilError(t, err)
	assert.Equal(t, rs.StatusCode, http.StatusNoContent)
}

// TestStopAnswersRequestsOfOpenConnections sends requests before and after the
// beginning of a stop: on connections just made, and on ones that wait for their
// first request. All are answered, and the stop ends soon after.
func TestStopAnswersRequestsOfOpenConnections(t *testing.T) {
	dl := startCallerServer(t, false)
	var early, late []net.Conn
	for range 20 {
		cn := connect(t, dl)
		send(t, cn)
		early = append(early, cn)
		late = append(late, connect(t, dl))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	startedAt := time.Now()
	go func() { stopped <- dl.ShutDown(ctx) }()
	for _, cn := range early {
		expectAnswer(t, cn)
	}
	time.Sleep(300 * time.Millisecond)
	_, err := net.Dial("tcp", dl.Addr().String())
	assert.Assert(t, err != nil, "no further connections")
	for _, cn := range late {
		send(t, cn)
		expectAnswer(t, cn)
	}
	assert.NilError(t, <-stopped)
	assert.Assert(t, time.Since(startedAt) < newConnWait)
}

// TestStopClosesConnectionsWithoutRequest stops a server with connections that have
// no request to lose.
func TestStopClosesConnectionsWithoutRequest(t *testing.T) {
	dl := startCallerServer(t, true)
	idle, silent := connect(t, dl), connect(t, dl)
	send(t, idle)
	expectAnswer(t, idle)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	startedAt := time.Now()
	assert.NilError(t, dl.ShutDown(ctx))
	assert.Assert(t, time.Since(startedAt) < 2*newConnWait)
	for _, cn := range []net.Conn{idle, silent} {
		_, err := cn.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
}

// TestRequestThatLiesUnreadIsNotIdle looks at a connection as a stop does, at the
// moment at which a request has arrived and no goroutine has read it.
func TestRequestThatLiesUnreadIsNotIdle(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dl := &Listener{Listener: ls}
	defer func() { _ = dl.Close() }()
	caller := connect(t, dl)
	accepted, err := dl.Accept()
	assert.NilError(t, err)
	dc := accepted.(*conn)
	later := time.Now().Add(2 * newConnWait)
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		dc.setState(state)
		assert.Assert(t, dc.isIdle(later))
	}
	send(t, caller)
	for !hasUnread(dc.Conn) {
		time.Sleep(time.Millisecond)
	}
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle, http.StateActive} {
		dc.setState(state)
		assert.Assert(t, !dc.isIdle(later), "%s", state)
	}
	assert.Equal(t, dl.closeIdle(later), 1)
	assert.NilError(t, dc.Close())
	assert.Equal(t, dl.closeIdle(later), 0)
}

// TestStopIsCutShort stops a server whose request outlasts the time for it.
func TestStopIsCutShort(t *testing.T) {
	release := make(chan struct{})
	dl := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer close(release)
	send(t, connect(t, dl))
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, errors.Is(dl.ShutDown(ctx), errRequestsLeft))
}

// TestStopAnswersWhatItGivesUp guards against a stop that cuts the requests which
// outlast it without an answer.
func TestStopAnswersWhatItGivesUp(t *testing.T) {
	dl := serve(t, http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		<-rq.Context().Done()
		w.Header().Set("Connection", "close")
		if errors.Is(context.Cause(rq.Context()), ErrStopping) {
			w.WriteHeader(http.StatusNoContent)
		}
	}))
	caller := connect(t, dl)
	send(t, caller)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, errors.Is(dl.ShutDown(ctx), errRequestsLeft))
	expectAnswer(t, caller)
}

func TestFirstRequestOfConnection(t *testing.T) {
	var first []bool
	dl := serve(t, http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		first = append(first, IsFirstRequest(rq.Context()))
		w.WriteHeader(http.StatusNoContent)
	}))
	for range 2 {
		client := &http.Client{Transport: &http.Transport{}}
		for range 3 {
			rs, err := client.Get("http://" + dl.Addr().String())
			assert.NilError(t, err)
			assert.NilError(t, rs.Body.Close())
		}
		client.CloseIdleConnections()
	}
	assert.DeepEqual(t, first, []bool{true, false, false, true, false, false})
	assert.Assert(t, !IsFirstRequest(t.Context()))
}

// TestRoundTrip reads the round-trip time of a connection on the same machine, and of a
// request without a connection.
func TestRoundTrip(t *testing.T) {
	measured := make(chan time.Duration, 1)
	ls := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) { measured <- RoundTrip(rq.Context()) }))
	send(t, connect(t, ls))
	roundTrip := <-measured
	assert.Assert(t, roundTrip > 0 && roundTrip < time.Second, "%s", roundTrip)
	assert.Equal(t, RoundTrip(t.Context()), time.Duration(0))
	first, second := net.Pipe()
	defer func() { _ = first.Close() }()
	defer func() { _ = second.Close() }()
	assert.Equal(t, roundTripOf(first), time.Duration(0))
}

// TestHandlerWithoutAnswer guards against a handler that returns without an answer, for
// which the server would send an empty success.
func TestHandlerWithoutAnswer(t *testing.T) {
	dl := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	caller := connect(t, dl)
	send(t, caller)
	_, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestConnectionsWaitingForAccept counts the connections that a stop must not reset.
func TestConnectionsWaitingForAccept(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = raw.Close() }()
	for range 3 {
		cn, err := net.Dial("tcp", raw.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = cn.Close() }()
	}
	assert.Equal(t, waitingConns(raw), 3)
	accepted, err := raw.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	assert.Equal(t, waitingConns(raw), 2)
}
