package backend

import (
	"net"
	"syscall"
)

// idleState is the state of an idle connection.
type idleState int

const (
	// idleUsable means that the connection is open and has no unread bytes.
	idleUsable idleState = iota
	// idleClosed means that the server closed the connection, or sent bytes
	// that belong to no request.
	idleClosed
	// idleReset means that the server reset the connection.
	idleReset
)

// checkIdle returns the state of an idle connection without blocking. A
// connection without a file descriptor counts as usable.
func checkIdle(raw net.Conn) idleState {
	if cc, ok := raw.(*trackedConn); ok {
		raw = cc.Conn
	}
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return idleUsable
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return idleClosed
	}
	state := idleClosed
	err = rc.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch peekErr {
		case syscall.EAGAIN:
			state = idleUsable
		case syscall.ECONNRESET:
			state = idleReset
		}
		return true
	})
	if err != nil {
		return idleClosed
	}
	return state
}
