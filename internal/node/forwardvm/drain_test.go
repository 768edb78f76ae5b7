package forwardvm

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCloseKeepsConnectionWithRequest closes an idle connection as a stop does, at
// the moment at which a request has arrived and was not read.
func TestCloseKeepsConnectionWithRequest(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dl := &drainListener{Listener: ls}
	defer dl.Close()
	caller, err := net.Dial("tcp", ls.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	accepted, err := dl.Accept()
	assert.NilError(t, err)
	dc := accepted.(*drainConn)
	dc.setState(http.StateIdle)
	dl.stopping.Store(true)
	_, err = fmt.Fprint(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for !hasUnread(dc.Conn) {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, dc.Close())
	assert.Equal(t, dl.kept.Load(), int64(1))
	soon, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, dl.wait(soon), context.DeadlineExceeded)

	rq, err := http.ReadRequest(bufio.NewReader(dc))
	assert.NilError(t, err, "the request can still be read")
	assert.Equal(t, rq.Method, http.MethodGet)
	dc.setState(http.StateActive)
	_, err = fmt.Fprint(dc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, dc.Close())
	assert.NilError(t, dl.wait(t.Context()))
	rs, err := http.ReadResponse(bufio.NewReader(caller), rq)
	assert.NilError(t, err)
	assert.Equal(t, rs.StatusCode, http.StatusOK)
}

// TestCloseEndsConnectionsWithoutRequest closes connections that have no request to
// lose.
func TestCloseEndsConnectionsWithoutRequest(t *testing.T) {
	tests := []struct {
		name, text string
		state      http.ConnState
		stopping   bool
	}{
		{"idle", "", http.StateIdle, true},
		{"new", "", http.StateNew, true},
		{"bytes beyond the current request", "rest", http.StateActive, true},
		{"rejected bytes of a new connection, without a stop", "rest", http.StateNew, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ls, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			dl := &drainListener{Listener: ls}
			defer dl.Close()
			caller, err := net.Dial("tcp", ls.Addr().String())
			assert.NilError(t, err)
			defer caller.Close()
			accepted, err := dl.Accept()
			assert.NilError(t, err)
			accepted.(*drainConn).setState(tt.state)
			dl.stopping.Store(tt.stopping)
			_, err = fmt.Fprint(caller, tt.text)
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
			assert.NilError(t, accepted.Close())
			assert.Equal(t, dl.kept.Load(), int64(0))
			_, err = accepted.Read(make([]byte, 1))
			assert.ErrorIs(t, err, net.ErrClosed)
		})
	}
}

// TestRequestsAreAnsweredDuringShutdown shuts a server down that callers have just
// connected and sent requests to. All are answered.
func TestRequestsAreAnsweredDuringShutdown(t *testing.T) {
	hs, dl, err := newCallerServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
	}))
	assert.NilError(t, err)
	go func() { _ = hs.Serve(dl) }()
	const callers = 20
	var conns []net.Conn
	for range callers {
		cn, err := net.Dial("tcp", dl.Addr().String())
		assert.NilError(t, err)
		defer cn.Close()
		_, err = fmt.Fprint(cn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		conns = append(conns, cn)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, shutDown(ctx, hs, dl))
	for _, cn := range conns {
		rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
		assert.NilError(t, err)
		assert.Equal(t, rs.StatusCode, http.StatusNoContent)
	}
	assert.Equal(t, dl.kept.Load(), int64(0))
}

func TestFirstRequestOfConnection(t *testing.T) {
	var first []bool
	hs, dl, err := newCallerServer("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) {
		first = append(first, IsFirstRequest(rq.Context()))
	}))
	assert.NilError(t, err)
	go func() { _ = hs.Serve(dl) }()
	defer hs.Close()
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
