package backend

import (
	"net"
	"syscall"
)

// hasNothingToRead reports whether an unused connection is open and no byte
// waits on it: a server that closed it, or sent something unasked, makes it
// unfit for a request. Connections that have no descriptor count as fit.
func hasNothingToRead(raw net.Conn) bool {
	if cc, ok := raw.(*countingConn); ok {
		raw = cc.Conn
	}
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
