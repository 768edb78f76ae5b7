package forwardvm

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// drainListener accepts callers' connections that a stop does not cut under a
// request: http.Server.Shutdown closes each connection that it takes for idle, also
// one on which a request has arrived that no goroutine could read yet because the
// process was short of processor time.
type drainListener struct {
	net.Listener
	// kept counts the connections that were kept open because of a request.
	kept atomic.Int64
	// stopping is set when the server shuts down. Before, connections are closed for
	// other reasons, such as bytes that are no request.
	stopping atomic.Bool
}

// Accept implements net.Listener.
func (dl *drainListener) Accept() (net.Conn, error) {
	raw, err := dl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &drainConn{Conn: raw, listener: dl}, nil
}

// acceptGrace is left to the server before its listener is closed, to accept the
// connections that callers have made already: after a lack of processor time they
// may be many.
const acceptGrace = 20 * time.Millisecond

// shutDown stops a server of callers, and returns when all requests that had arrived
// are answered, or the context ends.
func shutDown(ctx context.Context, hs *http.Server, dl *drainListener) error {
	time.Sleep(acceptGrace)
	dl.stopping.Store(true)
	return errors.Join(hs.Shutdown(ctx), dl.wait(ctx))
}

// wait waits until the requests on kept connections are answered, or the context
// ends.
func (dl *drainListener) wait(ctx context.Context) error {
	ticker := time.NewTicker(keptCheckInterval)
	defer ticker.Stop()
	for dl.kept.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// keptCheckInterval is the time between two checks for answered requests at the end
// of a stop.
const keptCheckInterval = 10 * time.Millisecond

// drainConn is a connection of a drainListener.
type drainConn struct {
	net.Conn
	listener *drainListener
	// requests counts the requests on the connection.
	requests atomic.Int64
	// isIdle is set while the connection waits for a request, kept after Close left
	// it open.
	isIdle, kept atomic.Bool
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
	dc.isIdle.Store(state == http.StateIdle || state == http.StateNew)
}

// Close implements net.Conn. During a stop, a connection that waits for a request
// stays open if bytes of one have arrived. The server then reads and answers the request, and
// closes the connection after it.
func (dc *drainConn) Close() error {
	if dc.listener.stopping.Load() && dc.isIdle.Load() && hasUnread(dc.Conn) && dc.kept.CompareAndSwap(false, true) {
		dc.listener.kept.Add(1)
		return nil
	}
	if dc.kept.CompareAndSwap(true, false) {
		dc.listener.kept.Add(-1)
	}
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
