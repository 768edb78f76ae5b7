// Package callerhttp accepts the HTTP connections of callers, and stops without
// cutting a request.
package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptGrace is left to the server before its listener is closed, to accept the
	// connections that callers have made already. If some still wait to be accepted then,
	// as after a lack of processor time, the listener stays open for up to maxAcceptGrace.
	acceptGrace    = 20 * time.Millisecond
	maxAcceptGrace = 500 * time.Millisecond
	// newConnWait is how long a stop waits for the request of a caller that has just
	// connected, whose bytes may have to be sent again.
	newConnWait = time.Second
	// stopCheckInterval is the time between two looks at the open connections during
	// a stop.
	stopCheckInterval = 10 * time.Millisecond
	// acceptCheckInterval is the time between two looks at the queue of connections.
	acceptCheckInterval = 2 * time.Millisecond
	// replyGrace is left to the requests that a stop gave up, to answer their callers.
	replyGrace = 200 * time.Millisecond
)

// ErrStopping is the cause of the end of a request's context if a stop gave the request
// up.
var ErrStopping = errors.New("the server stops")

// Listener accepts callers' connections and stops them without cutting a request.
// http.Server.Shutdown does not: it drops each request that is read after it began,
// and closes connections on which a request lies unread.
type Listener struct {
	net.Listener
	// conns holds the open connections as *conn keys.
	conns sync.Map
	// giveUp ends the contexts of all requests.
	giveUp context.CancelCauseFunc
	// ended is closed when Accept first fails: all connections are in conns then.
	ended     chan struct{}
	endedOnce sync.Once
	// guard watches the connections; nil if nothing does. maxConns is then positive, and
	// open the number of open connections.
	guard    *Guard
	maxConns int64
	open     atomic.Int64
	// WriteTimeout bounds each write of an answer; 0 leaves it to the handler.
	WriteTimeout time.Duration
}

// Listen returns a listener on raw that tracks the connections of server, which must
// serve on it. A connection whose request the handler leaves without an answer is closed.
func Listen(raw net.Listener, server *http.Server) *Listener {
	base, giveUp := context.WithCancelCause(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return base }
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	server.ConnState = func(accepted net.Conn, state http.ConnState) { accepted.(*conn).setState(state) }
	// The server's own handler of OPTIONS * would read a body that the connection does not
	// know of.
	server.DisableGeneralOptionsHandler = true
	server.Handler = answerOrClose(server.Handler)
	return &Listener{Listener: raw, giveUp: giveUp, ended: make(chan struct{})}
}

// maxOptionsBody bounds the body of OPTIONS *, as the server's own handler does.
const maxOptionsBody = 4 << 10

// answerOrClose closes the connection if the handler next returns without an answer. The
// server would send an empty success, which a caller that only closed its own side of the
// connection takes for the answer to its request.
func answerOrClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		aw := &answerWriter{ResponseWriter: w}
		if cn, ok := rq.Context().Value(connKey{}).(*conn); ok && rq.ContentLength != 0 {
			cn.beginBody(time.Now(), rq)
		}
		if rq.Method == http.MethodOptions && rq.RequestURI == "*" {
			w.Header().Set("Content-Length", "0")
			_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, rq.Body, maxOptionsBody))
			return
		}
		next.ServeHTTP(aw, rq)
		if !aw.answered {
			panic(http.ErrAbortHandler)
		}
	})
}

// answerWriter records whether an answer was begun.
type answerWriter struct {
	http.ResponseWriter
	answered bool
}

// WriteHeader implements http.ResponseWriter.
func (aw *answerWriter) WriteHeader(status int) {
	aw.answered = true
	aw.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (aw *answerWriter) Write(body []byte) (int, error) {
	aw.answered = true
	return aw.ResponseWriter.Write(body)
}

// Unwrap is used by http.ResponseController.
func (aw *answerWriter) Unwrap() http.ResponseWriter {
	return aw.ResponseWriter
}

// LimitBody bounds the body of a request, in bytes. The connection is closed after the
// answer to a request with a larger one.
func LimitBody(w http.ResponseWriter, rq *http.Request, limit int64) {
	// The server's own writer closes the connection such that the caller can read the answer.
	if aw, ok := w.(*answerWriter); ok {
		w = aw.ResponseWriter
	}
	rq.Body = http.MaxBytesReader(w, rq.Body, limit)
}

// Accept implements net.Listener.
func (ls *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := ls.Listener.Accept()
		if err != nil {
			ls.endedOnce.Do(func() { close(ls.ended) })
			return nil, err
		}
		now := time.Now()
		if !ls.hasRoom(now) {
			_ = raw.Close()
			continue
		}
		cn := &conn{Conn: raw, listener: ls, acceptedAt: now}
		if ls.guard != nil {
			cn.guard = ls.guard
			ls.guard.memory.Init(&cn.lease)
		}
		ls.open.Add(1)
		ls.conns.Store(cn, nil)
		return cn, nil
	}
}

// hasRoom reports whether one more connection may be opened, after closing others that
// matter less.
func (ls *Listener) hasRoom(now time.Time) bool {
	if ls.guard == nil || ls.open.Load() < ls.maxConns {
		return true
	}
	ls.makeRoom(now)
	if ls.open.Load() < ls.maxConns {
		return true
	}
	ls.guard.refused[ConnectionRefused].Add(1)
	return false
}

// ShutDown stops accepting, and returns when all requests that callers sent on open
// connections are answered. If ctx ends before that, the contexts of the requests left
// end with the cause ErrStopping, and ShutDown returns errRequestsLeft when they are
// answered, or after replyGrace. The handler must let connections close after their answers.
func (ls *Listener) ShutDown(ctx context.Context) error {
	ls.awaitAccepted()
	if err := ls.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	select {
	case <-ls.ended:
	case <-ctx.Done():
	}
	err := ls.awaitIdle(ctx)
	if err == nil {
		return nil
	}
	ls.giveUp(ErrStopping)
	grace, cancel := context.WithTimeout(context.Background(), replyGrace)
	defer cancel()
	return errors.Join(fmt.Errorf("%w: %w", errRequestsLeft, err), ls.awaitIdle(grace))
}

var errRequestsLeft = errors.New("requests are still running")

// awaitAccepted waits until no connection waits to be accepted. The operating system resets
// those that are left when the listener is closed, with their requests unread.
func (ls *Listener) awaitAccepted() {
	time.Sleep(acceptGrace)
	for waited := acceptGrace; waitingConns(ls.Listener) > 0 && waited < maxAcceptGrace; waited += acceptCheckInterval {
		time.Sleep(acceptCheckInterval)
	}
}

// waitingConns returns the number of connections that wait to be accepted by a listener; 0
// if it is unknown.
func waitingConns(listener net.Listener) int {
	waiting := 0
	withDescriptor(listener, func(descriptor int) {
		// For a listening socket, the field holds the length of its queue.
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	return waiting
}

// awaitIdle closes connections as they become idle, and returns when none is left. If
// the context ends before that, it returns its error.
func (ls *Listener) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for ls.closeIdle(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for the requests on open connections: %w", ctx.Err())
		}
	}
	return nil
}

// closeIdle closes the connections that wait for no request, and returns the number
// of the others.
func (ls *Listener) closeIdle(now time.Time) int {
	left := 0
	ls.conns.Range(func(key, _ any) bool {
		cn := key.(*conn)
		if !cn.isIdle(now) {
			left++
			return true
		}
		_ = cn.Close()
		return true
	})
	return left
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener   *Listener
	acceptedAt time.Time
	// requests counts the requests on the connection.
	requests atomic.Int64
	// state holds an http.ConnState.
	state atomic.Int64
	// idleSince is the instant at which the connection last became idle.
	idleSince atomic.Int64
	closed    atomic.Bool
	meter
}

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// IsFirstRequest reports whether the request with a context is the first one on its
// connection.
func IsFirstRequest(ctx context.Context) bool {
	cn, ok := ctx.Value(connKey{}).(*conn)
	return ok && cn.requests.Load() == 1
}

// RoundTrip returns the smoothed round-trip time of the connection of the request with
// a context, as measured by the operating system; 0 if it is unknown.
func RoundTrip(ctx context.Context) time.Duration {
	cn, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	return roundTripOf(cn.Conn)
}

func roundTripOf(raw net.Conn) time.Duration {
	roundTrip := time.Duration(0)
	withDescriptor(raw, func(descriptor int) {
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			roundTrip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return roundTrip
}

// setState is the ConnState hook of the server.
func (cn *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		cn.requests.Add(1)
		cn.heldSince.Store(0)
	case http.StateIdle:
		now := time.Now()
		cn.idleSince.Store(instantOf(now))
		cn.endRequest(now)
	}
	cn.state.Store(int64(state))
}

// isIdle reports whether the connection waits for a request of which nothing has
// arrived. The first request of a connection may take newConnWait.
func (cn *conn) isIdle(now time.Time) bool {
	if held := cn.heldFor(now); held > 0 && held <= newConnWait {
		return false
	}
	switch http.ConnState(cn.state.Load()) {
	case http.StateNew:
		return now.Sub(cn.acceptedAt) > newConnWait && !hasUnread(cn.Conn)
	case http.StateIdle:
		return !hasUnread(cn.Conn)
	}
	return false
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	if cn.closed.CompareAndSwap(false, true) {
		cn.listener.conns.Delete(cn)
		cn.listener.open.Add(-1)
		if cn.guard != nil {
			cn.lease.End()
		}
	}
	return cn.Conn.Close()
}

// CloseWrite is used by the server to let a caller read an answer to a request of which
// it still sends the rest.
func (cn *conn) CloseWrite() error {
	if half, ok := cn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write implements net.Conn.
func (cn *conn) Write(answer []byte) (int, error) {
	if timeout := cn.listener.WriteTimeout; timeout > 0 {
		_ = cn.Conn.SetWriteDeadline(time.Now().Add(timeout))
	}
	return cn.Conn.Write(answer)
}

// hasUnread reports without blocking whether bytes have arrived on a connection
// that were not read.
func hasUnread(raw net.Conn) bool {
	count := 0
	withDescriptor(raw, func(descriptor int) {
		var buffer [1]byte
		count, _, _ = syscall.Recvfrom(descriptor, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return count > 0
}

// withDescriptor calls do with the file descriptor of a connection or listener. It does
// nothing if that has none or is closed.
func withDescriptor(raw any, do func(descriptor int)) {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// Read would wait for the goroutine that reads the next request. An error means that
	// the connection is closed, and do was not called.
	_ = rc.Control(func(descriptor uintptr) { do(int(descriptor)) })
}
