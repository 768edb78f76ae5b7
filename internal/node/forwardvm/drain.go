package forwardvm

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// acceptGrace is left to the server before its listener is closed, to accept the
	// connections that callers have made already: after a lack of processor time they
	// may be many.
	acceptGrace = 20 * time.Millisecond
	// newConnWait is how long a stop waits for the request of a caller that has just
	// connected, whose bytes may have to be sent again.
	newConnWait = time.Second
	// stopCheckInterval is the time between two looks at the open connections during
	// a stop.
	stopCheckInterval = 10 * time.Millisecond
)

// drainListener accepts callers' connections and stops them without cutting a
// request. http.Server.Shutdown does not: it drops each request that is read after
// it began, and closes connections on which a request lies unread.
type drainListener struct {
	net.Listener
	// conns holds the open connections as *drainConn keys.
	conns sync.Map
}

// Accept implements net.Listener.
func (dl *drainListener) Accept() (net.Conn, error) {
	raw, err := dl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	dc := &drainConn{Conn: raw, listener: dl, acceptedAt: time.Now()}
	dl.conns.Store(dc, nil)
	return dc, nil
}

// shutDown stops accepting, and returns when all requests that callers sent on open
// connections are answered. If the context ends before that, it returns its error.
// The handler must let connections close after their answers.
func (dl *drainListener) shutDown(ctx context.Context) error {
	time.Sleep(acceptGrace)
	if err := dl.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for dl.closeIdle(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", errRequestsLeft, ctx.Err())
		}
	}
	return nil
}

var errRequestsLeft = errors.New("requests are still running")

// closeIdle closes the connections that wait for no request, and returns the number
// of the others.
func (dl *drainListener) closeIdle(now time.Time) int {
	left := 0
	dl.conns.Range(func(key, _ any) bool {
		dc := key.(*drainConn)
		if !dc.isIdle(now) {
			left++
			return true
		}
		_ = dc.Close()
		return true
	})
	return left
}

// drainConn is a connection of a drainListener.
type drainConn struct {
	net.Conn
	listener   *drainListener
	acceptedAt time.Time
	// requests counts the requests on the connection.
	requests atomic.Int64
	// state holds an http.ConnState.
	state atomic.Int64
}

// connKey is the key of the *drainConn in the context of a request.
type connKey struct{}

// IsFirstRequest reports whether the request with a context is the first one on its
// connection.
func IsFirstRequest(ctx context.Context) bool {
	dc, ok := ctx.Value(connKey{}).(*drainConn)
	return ok && dc.requests.Load() == 1
}

// setState is the ConnState hook of the server.
func (dc *drainConn) setState(state http.ConnState) {
	if state == http.StateActive {
		dc.requests.Add(1)
	}
	dc.state.Store(int64(state))
}

// isIdle reports whether the connection waits for a request of which nothing has
// arrived. The first request of a connection may take newConnWait.
func (dc *drainConn) isIdle(now time.Time) bool {
	switch http.ConnState(dc.state.Load()) {
	case http.StateNew:
		return now.Sub(dc.acceptedAt) > newConnWait && !hasUnread(dc.Conn)
	case http.StateIdle:
		return !hasUnread(dc.Conn)
	}
	return false
}

// Close implements net.Conn.
func (dc *drainConn) Close() error {
	dc.listener.conns.Delete(dc)
	return dc.Conn.Close()
}

// hasUnread reports without blocking whether bytes have arrived on a connection
// that were not read.
func hasUnread(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	// Read would wait for the goroutine that reads the next request.
	err = rc.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, _ = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && count > 0
}
