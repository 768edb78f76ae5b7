package backend

import (
	"net"
	"syscall"
)

// sign is what an unused connection shows.
type sign int

const (
	// signQuiet is of a connection that is fit for a request.
	signQuiet sign = iota
	// signEnded is of one that the server closed, or sent something on unasked.
	signEnded
	signReset
)

// signOf looks at an unused connection without waiting. Connections that have no
// descriptor count as quiet.
func signOf(raw net.Conn) sign {
	if cc, ok := raw.(*countingConn); ok {
		raw = cc.Conn
	}
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return signQuiet
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return signEnded
	}
	found := signEnded
	err = rc.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch failed {
		case syscall.EAGAIN:
			found = signQuiet
		case syscall.ECONNRESET:
			found = signReset
		}
		return true
	})
	if err != nil {
		return signEnded
	}
	return found
}
