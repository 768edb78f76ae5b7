package callerhttp

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/container/quota"
)

// The reader in front of the server holds an unfinished head, and hands it over when it is
// whole and its memory is leased. Until then it costs its bytes, not what the server makes
// of them. It hands over no byte beyond the end of a request before the next one, so that
// each head is seen from its first byte.

// meter is the state of a connection that a Guard watches. The fields that are not atomic
// belong to the goroutine that reads; the server lets one read at a time.
type meter struct {
	// guard is nil if the connection is not watched.
	guard *Guard
	lease quota.Lease
	// buffer[taken:] are the bytes that were read and not handed over. The first ready
	// of them belong to a head that may be handed over, those up to scanned are scanned.
	buffer                []byte
	taken, ready, scanned int
	scan                  headScan
	body                  bodyScan
	// leased is what the lease holds for the current request, without the buffer.
	leased int64
	// unfinished is the number of bytes leased for a request that has not arrived in
	// full; 0 if it has, or if none are leased.
	unfinished atomic.Int64
	// heldSince is the instant at which the first byte of the unfinished part of a request
	// arrived, or at which a head was handed over that the server has not decoded; 0 if
	// there is neither.
	heldSince atomic.Int64
}

const (
	// bufferSize is the size of the buffer that each connection may have without a
	// lease, as much as the server's own.
	bufferSize = 4 << 10
	// headTimeout bounds the time in which a head arrives that has begun.
	headTimeout = 10 * time.Second
	// bodyCost is the memory that a byte of a body occupies while the handler reads it into
	// a buffer that grows.
	bodyCost = 4
	// lingerTime and lingerBytes bound what is read of a request that was refused. A
	// connection that is closed with unread bytes is reset, and the answer lost.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
)

const (
	answerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerNoMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// epoch is the origin of instants. They are read from the monotonic clock, since the time
// of day may jump.
var epoch = time.Now()

// instantOf returns a time as nanoseconds since epoch.
func instantOf(now time.Time) int64 {
	return int64(now.Sub(epoch))
}

// heldFor returns how long a part of a request is held; 0 if none is.
func (mt *meter) heldFor(now time.Time) time.Duration {
	held := mt.heldSince.Load()
	if held == 0 {
		return 0
	}
	return max(time.Duration(instantOf(now)-held), 1)
}

// Read implements net.Conn.
func (cn *conn) Read(to []byte) (int, error) {
	switch {
	case cn.guard == nil || len(to) == 0:
		return cn.Conn.Read(to)
	case cn.ready > 0:
		return cn.handOver(to, cn.ready), nil
	case cn.body.kind != noBody:
		return cn.readBody(to)
	case len(to) == 1:
		return cn.readAhead(to)
	}
	return cn.readHead(to)
}

// handOver hands over bytes of the buffer, of which up to count are ready.
func (cn *conn) handOver(to []byte, count int) int {
	handed := copy(to, cn.buffer[cn.taken:cn.taken+count])
	cn.taken += handed
	cn.ready = max(cn.ready-handed, 0)
	if cn.taken == len(cn.buffer) {
		cn.freeBuffer()
	}
	return handed
}

// freeBuffer gives the empty buffer back.
func (cn *conn) freeBuffer() {
	switch {
	case cap(cn.buffer) == bufferSize:
		buffers.Put((*[bufferSize]byte)(cn.buffer[:bufferSize]))
	case cap(cn.buffer) > bufferSize:
		cn.lease.Return(int64(cap(cn.buffer)))
	}
	cn.buffer, cn.taken, cn.scanned = nil, 0, 0
}

// keep appends bytes to the buffer. It reports whether there was memory for them.
func (cn *conn) keep(now time.Time, part []byte) bool {
	if !cn.grow(now, len(part)) {
		return false
	}
	cn.buffer = append(cn.buffer, part...)
	return true
}

// grow makes room for count more bytes in the buffer.
func (cn *conn) grow(now time.Time, count int) bool {
	if cn.buffer == nil && count <= bufferSize {
		cn.buffer = buffers.Get().(*[bufferSize]byte)[:0]
	}
	if cap(cn.buffer)-len(cn.buffer) >= count {
		return true
	}
	if cn.taken > 0 {
		kept := copy(cn.buffer, cn.buffer[cn.taken:])
		cn.buffer, cn.scanned, cn.taken = cn.buffer[:kept], cn.scanned-cn.taken, 0
		return cn.grow(now, count)
	}
	size := max(2*cap(cn.buffer), len(cn.buffer)+count)
	if !cn.guard.reserve(now, cn, int64(size), cn.guard.size/usualDivisor) {
		return false
	}
	larger, scanned := append(make([]byte, 0, size), cn.buffer...), cn.scanned
	cn.freeBuffer()
	cn.buffer, cn.scanned = larger, scanned
	return true
}

// readAhead reads one byte while a request is being answered, by which the server sees
// that its caller is gone.
func (cn *conn) readAhead(to []byte) (int, error) {
	for cn.taken == len(cn.buffer) {
		count, err := cn.Conn.Read(to)
		if cn.scan.skip(to[:count]) > 0 {
			continue
		}
		cn.scan.feed(to[:count])
		return count, err
	}
	if cn.scanned == cn.taken {
		if cn.skipBuffered() {
			return cn.readAhead(to)
		}
		cn.scan.feed(cn.buffer[cn.taken : cn.taken+1])
		cn.scanned++
	}
	return cn.handOver(to, 1), nil
}

// skipBuffered skips empty lines at the beginning of the buffer, and reports whether there
// were any and nothing else.
func (cn *conn) skipBuffered() bool {
	skipped := cn.scan.skip(cn.buffer[cn.scanned:])
	cn.taken += skipped
	cn.scanned += skipped
	if skipped == 0 || cn.taken < len(cn.buffer) {
		return false
	}
	cn.freeBuffer()
	cn.heldSince.Store(0)
	return true
}

// readHead reads until a head is whole and hands over the first bytes of it. Usually it
// arrives at once and is not copied.
func (cn *conn) readHead(to []byte) (int, error) {
	if cn.taken == len(cn.buffer) {
		count, err := cn.Conn.Read(to)
		if skipped := cn.scan.skip(to[:count]); skipped > 0 {
			count = copy(to, to[skipped:count])
			if count == 0 && err == nil {
				return cn.readHead(to)
			}
		}
		if count == 0 {
			return 0, err
		}
		end, ended := cn.scan.feed(to[:count])
		now := time.Now()
		if end < count && !cn.keep(now, to[end:count]) {
			return 0, cn.refuse(UnfinishedDropped, answerNoMemory)
		}
		// The server answers at once what it can't read.
		if ended || err != nil || cn.mustRefuse(to[:count]) {
			if err := cn.admit(now); err != nil {
				return 0, err
			}
			return end, nil
		}
		if !cn.keep(now, to[:count]) {
			return 0, cn.refuse(UnfinishedDropped, answerNoMemory)
		}
		cn.scanned = len(cn.buffer)
		cn.beginHead(now)
	}
	return cn.awaitHead(to)
}

// beginHead notes that a part of a head is held.
func (cn *conn) beginHead(now time.Time) {
	cn.heldSince.Store(instantOf(now))
	if cn.requests.Load() > 0 {
		// The server's deadline is that of an idle connection.
		_ = cn.Conn.SetReadDeadline(now.Add(headTimeout))
	}
}

// awaitHead reads into the buffer until the head in it is whole.
func (cn *conn) awaitHead(to []byte) (int, error) {
	for {
		if cn.skipBuffered() {
			return cn.readHead(to)
		}
		part := cn.buffer[cn.scanned:]
		end, ended := cn.scan.feed(part)
		cn.scanned += end
		now := time.Now()
		if ended {
			cn.ready = cn.scanned - cn.taken
			if err := cn.admit(now); err != nil {
				return 0, err
			}
			return cn.handOver(to, cn.ready), nil
		}
		if cn.scan.size > cn.guard.limits.Load().HeadBytes+headMargin {
			return 0, cn.refuse(HeadTooLarge, answerTooLarge)
		}
		if cn.heldSince.Load() == 0 {
			cn.beginHead(now)
		}
		if !cn.grow(now, 1) {
			return 0, cn.refuse(UnfinishedDropped, answerNoMemory)
		}
		if cap(cn.buffer) > bufferSize {
			cn.unfinished.Store(int64(cap(cn.buffer)))
		}
		count, err := cn.Conn.Read(cn.buffer[len(cn.buffer):cap(cn.buffer)])
		cn.buffer = cn.buffer[:len(cn.buffer)+count]
		if count == 0 && err != nil {
			if !errors.Is(err, io.EOF) || cn.taken == len(cn.buffer) {
				return 0, err
			}
			// The server answers a request that is cut off.
			cn.ready = len(cn.buffer) - cn.taken
			if err := cn.admit(now); err != nil {
				return 0, err
			}
			return cn.handOver(to, cn.ready), nil
		}
	}
}

// mustRefuse reports whether the first line of an unfinished head is none, so that the
// server answers at once. Waiting for the end would leave such a caller without an answer.
func (cn *conn) mustRefuse(part []byte) bool {
	line, _, whole := bytes.Cut(part, []byte("\n"))
	return whole && cn.scan.size == len(part) && !bytes.Contains(line, []byte(" HTTP/"))
}

// admit leases the memory of a whole head. Otherwise it refuses the request.
func (cn *conn) admit(now time.Time) error {
	limits := cn.guard.limits.Load()
	size, cost := cn.scan.size, cn.scan.cost(limits.FanOut)
	cn.scan = headScan{}
	// Until the server calls the connection active, a stop must not take it for idle.
	cn.heldSince.Store(instantOf(now))
	cn.unfinished.Store(0)
	if size > limits.HeadBytes+headMargin {
		return cn.refuse(HeadTooLarge, answerTooLarge)
	}
	rest := int64(0)
	if cost > usualCost {
		rest = cn.guard.size / usualDivisor
		// A head that costs more than there is has to be alone.
		cost = min(cost, cn.guard.size-rest-cn.lease.Held())
	}
	if !cn.guard.reserve(now, cn, cost, rest) {
		return cn.refuse(NoMemory, answerNoMemory)
	}
	cn.leased += cost
	return nil
}

// endRequest gives the memory of an answered request back.
func (cn *conn) endRequest(now time.Time) {
	if cn.guard == nil {
		return
	}
	cn.lease.Return(cn.leased)
	cn.leased = 0
	cn.unfinished.Store(0)
	held := int64(0)
	if cn.taken < len(cn.buffer) {
		held = instantOf(now)
	}
	cn.heldSince.Store(held)
	if cn.body.kind != noBody {
		// The server found the end of the body elsewhere.
		_ = cn.Close()
	}
}

// beginBody notes that the server expects a body.
func (cn *conn) beginBody(now time.Time, rq *http.Request) {
	if cn.guard == nil || rq.Body == nil || rq.Body == http.NoBody {
		return
	}
	cn.body = bodyOf(rq)
	cn.heldSince.Store(instantOf(now))
}

// readBody reads a part of a body, and keeps what follows it.
func (cn *conn) readBody(to []byte) (int, error) {
	if cn.taken < len(cn.buffer) {
		count := cn.body.feed(cn.buffer[cn.taken:min(len(cn.buffer), cn.taken+len(to))])
		cn.scanned = cn.taken + count
		return cn.handOver(to, count), cn.countBody(count)
	}
	if cn.body.kind == sizedBody {
		to = to[:min(int64(len(to)), cn.body.left)]
	}
	count, err := cn.Conn.Read(to)
	used := cn.body.feed(to[:count])
	if used < count && !cn.keep(time.Now(), to[used:count]) {
		return 0, cn.drop()
	}
	if failed := cn.countBody(used); failed != nil {
		err = failed
	}
	return used, err
}

// countBody leases the memory of a part of a body, if the guard leases bodies.
func (cn *conn) countBody(count int) error {
	if cn.body.kind == noBody {
		cn.heldSince.Store(0)
		cn.unfinished.Store(0)
	}
	if !cn.guard.LeasesBodies || count == 0 {
		return nil
	}
	cost, rest := int64(count)*bodyCost, int64(0)
	if cn.leased+cost > usualCost {
		rest = cn.guard.size / usualDivisor
	}
	if !cn.guard.reserve(time.Now(), cn, cost, rest) {
		return cn.drop()
	}
	cn.leased += cost
	if cn.body.kind != noBody {
		cn.unfinished.Store(cn.leased)
	}
	return nil
}

// drop closes the connection for a request whose body arrives and for which no memory is
// left.
func (cn *conn) drop() error {
	cn.guard.refused[UnfinishedDropped].Add(1)
	_ = cn.Close()
	return io.EOF
}

// refuse answers a request that was not handed over, and ends the connection.
func (cn *conn) refuse(rf Refusal, answer string) error {
	cn.guard.refused[rf].Add(1)
	// The memory goes to others while the connection lingers.
	cn.buffer, cn.taken, cn.ready, cn.scanned = nil, 0, 0, 0
	cn.lease.End()
	cn.unfinished.Store(0)
	_ = cn.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(cn.Conn, answer); err == nil && cn.CloseWrite() == nil {
		scratch := buffers.Get().(*[bufferSize]byte)
		defer buffers.Put(scratch)
		for read := 0; read < lingerBytes; {
			count, err := cn.Conn.Read(scratch[:])
			if err != nil {
				break
			}
			read += count
		}
	}
	_ = cn.Close()
	return io.EOF
}
