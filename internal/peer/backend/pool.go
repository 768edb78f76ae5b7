package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

const (
	// dialTimeout limits the time to establish one connection.
	dialTimeout = 500 * time.Millisecond
	// maxConcurrentDials limits the dials to one server that run at once.
	maxConcurrentDials = 2
	// healthCheckReserve is the number of connections that are reserved for
	// health checks, out of a share of at least healthCheckReserveMinShare.
	healthCheckReserve         = 1
	healthCheckReserveMinShare = 3
	// observedLimitTTL is how long no further connection is opened to a server
	// that reset a new one. Other entry VMs close their surplus connections
	// within two rounds of heartbeats.
	observedLimitTTL = 2 * time.Second
)

// DialFunc establishes a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool holds the connections to one server. Its methods take no lock; those
// that block do so on a channel.
type pool struct {
	dial   DialFunc
	server *machine.Server
	// idle holds idle connections. A nil entry wakes a waiter because a slot for
	// a new connection is free.
	idle chan *conn
	// open counts the connections that are open or being dialed, which is the
	// number of slots in use. tryReserveSlot takes no slot beyond its limit.
	open atomic.Int64
	// share is the maximum number of connections of this process.
	share atomic.Int64
	// observedLimit is the number of connections that the server left open when
	// it last reset a new one. It limits the connections for requests until
	// observedLimitUntil, in Unix nanoseconds.
	observedLimit, observedLimitUntil atomic.Int64
	// invalidBefore is a time in Unix nanoseconds. Connections that were opened
	// before it are not reused.
	invalidBefore atomic.Int64
	invalidations atomic.Int64
	// lastRead is when a byte was last received on any connection, in Unix
	// nanoseconds.
	lastRead  atomic.Int64
	dialSlots chan struct{}
	// closed is closed by close.
	closed chan struct{}
}

func newPool(dial DialFunc, sv *machine.Server) *pool {
	return &pool{
		dial:      dial,
		server:    sv,
		idle:      make(chan *conn, 2*sv.ConnectionLimit),
		dialSlots: make(chan struct{}, maxConcurrentDials),
		closed:    make(chan struct{}),
	}
}

// acquire returns a connection that suits one request, and waits for one if all are in
// use. If only others are idle, one of them is replaced. On an error nothing was sent.
func (pl *pool) acquire(ctx context.Context, suits func(*conn) bool) (*conn, error) {
	for {
		cn, unsuited := pl.acquireIdle(time.Now(), suits)
		if cn != nil {
			return cn, nil
		}
		if pl.tryReserveSlot(pl.trafficShare(time.Now())) {
			if unsuited != nil {
				pl.release(time.Now(), unsuited)
			}
			return pl.connect(ctx)
		}
		if unsuited != nil {
			return pl.replace(ctx, unsuited)
		}
		select {
		case cn := <-pl.idle:
			if cn == nil || !pl.usableAfterIdle(time.Now(), cn) {
				continue
			}
			if !suits(cn) {
				return pl.replace(ctx, cn)
			}
			return cn, nil
		case <-pl.closed:
			return nil, &contract.PartError{Cause: contract.CauseNoLink, NotRun: true, Err: errPoolClosed}
		case <-ctx.Done():
			return nil, &contract.PartError{Cause: contract.CauseNoLink, NotRun: true, Err: context.Cause(ctx)}
		}
	}
}

// errPoolClosed is the error of requests for a server that is no longer known.
var errPoolClosed = errors.New("the server is no longer known")

// trafficShare returns the maximum number of connections for requests: the
// share without healthCheckReserve, or a lower limit observed recently.
func (pl *pool) trafficShare(now time.Time) int64 {
	share := pl.share.Load()
	if share >= healthCheckReserveMinShare {
		share -= healthCheckReserve
	}
	if now.UnixNano() < pl.observedLimitUntil.Load() {
		share = min(share, pl.observedLimit.Load())
	}
	return share
}

// recordLimit records that the server reset a new connection because it is at
// its connection limit.
func (pl *pool) recordLimit(now time.Time) {
	pl.observedLimit.Store(max(pl.open.Load(), 1))
	pl.observedLimitUntil.Store(now.Add(observedLimitTTL).UnixNano())
}

// anyConn suits requests that may be sent on any connection.
func anyConn(*conn) bool { return true }

// acquireIdle returns an idle connection that suits a request, nil if there is none. In
// that case it returns an idle one that does not suit it, if there is any.
func (pl *pool) acquireIdle(now time.Time, suits func(*conn) bool) (suited, unsuited *conn) {
	var others []*conn
	for suited == nil {
		select {
		case cn := <-pl.idle:
			switch {
			case cn == nil || !pl.usableAfterIdle(now, cn):
			case suits(cn):
				suited = cn
			default:
				others = append(others, cn)
			}
			continue
		default:
		}
		break
	}
	if suited == nil && len(others) > 0 {
		unsuited, others = others[0], others[1:]
	}
	for _, cn := range others {
		pl.release(now, cn)
	}
	return suited, unsuited
}

// replace closes a connection and opens another one in its slot.
func (pl *pool) replace(ctx context.Context, cn *conn) (*conn, error) {
	cn.close()
	return pl.connect(ctx)
}

// usable reports whether a connection may carry another request. It closes one
// that is broken, invalidated, expired or stale, or above the share.
func (pl *pool) usable(now time.Time, cn *conn) bool {
	if cn.broken || cn.trailing || pl.isInvalidated(cn) || cn.Expired(now) || cn.isStale(now) || pl.open.Load() > pl.share.Load() {
		pl.discard(cn)
		return false
	}
	return true
}

// usableAfterIdle is usable for a connection that was idle: it also checks that
// the server has not closed it meanwhile.
func (pl *pool) usableAfterIdle(now time.Time, cn *conn) bool {
	if !pl.usable(now, cn) {
		return false
	}
	state := checkIdle(cn.raw)
	if state == idleUsable {
		return true
	}
	pl.discard(cn)
	if state == idleReset && cn.neverRead() {
		pl.recordLimit(now)
	}
	return false
}

func (cn *conn) isStale(now time.Time) bool {
	return !cn.staleAt.IsZero() && now.After(cn.staleAt)
}

func (pl *pool) isInvalidated(cn *conn) bool {
	return cn.OpenedAt.UnixNano() < pl.invalidBefore.Load()
}

// tryReserveSlot reserves a slot for a new connection, if fewer than limit are
// in use.
func (pl *pool) tryReserveSlot(limit int64) bool {
	for {
		open := pl.open.Load()
		if open >= limit {
			return false
		}
		if pl.open.CompareAndSwap(open, open+1) {
			return true
		}
	}
}

// connect opens a connection in a slot from tryReserveSlot, and releases the
// slot on an error.
func (pl *pool) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case pl.dialSlots <- struct{}{}:
	case <-ctx.Done():
		pl.releaseSlot()
		return nil, &contract.PartError{Cause: contract.CauseNoLink, NotRun: true, Err: context.Cause(ctx)}
	}
	raw, err := pl.dial(ctx, "tcp", pl.server.Address)
	<-pl.dialSlots
	if err != nil {
		pl.releaseSlot()
		return nil, &contract.PartError{Cause: contract.CauseDialFailed, NotRun: true, Err: err}
	}
	return pl.newConn(time.Now(), raw), nil
}

func (pl *pool) newConn(now time.Time, raw net.Conn) *conn {
	cn := &conn{}
	cn.OpenedAt = now
	cn.raw = &trackedConn{Conn: raw, link: &cn.Link, pool: pl, conn: cn}
	cn.reader = bufio.NewReaderSize(cn.raw, readBufferSize)
	return cn
}

// release returns a connection to the pool after an answered request.
func (pl *pool) release(now time.Time, cn *conn) {
	if !pl.usable(now, cn) {
		return
	}
	select {
	case pl.idle <- cn:
	default:
		pl.discard(cn)
	}
}

// discard closes a connection and releases its slot.
func (pl *pool) discard(cn *conn) {
	cn.close()
	pl.releaseSlot()
}

// releaseSlot releases the slot of a connection and wakes a waiter.
func (pl *pool) releaseSlot() {
	pl.open.Add(-1)
	select {
	case pl.idle <- nil:
	default:
	}
}

// warm opens a connection in the background if none is idle, so that the next
// request does not wait for a dial. It does not block.
func (pl *pool) warm(ctx context.Context) {
	if len(pl.idle) > 0 || !pl.tryReserveSlot(pl.trafficShare(time.Now())) {
		return
	}
	go func() {
		cn, err := pl.connect(ctx)
		if err != nil {
			pl.server.State.MarkSuspect(time.Now())
			return
		}
		pl.release(time.Now(), cn)
	}()
}

// invalidate prevents the reuse of connections that were opened before a time.
func (pl *pool) invalidate(openedBefore time.Time) {
	for {
		have := pl.invalidBefore.Load()
		if have >= openedBefore.UnixNano() {
			return
		}
		if pl.invalidBefore.CompareAndSwap(have, openedBefore.UnixNano()) {
			pl.invalidations.Add(1)
			return
		}
	}
}

// trim closes idle connections that are no longer usable or are above the share.
func (pl *pool) trim(now time.Time) {
	// The nil entries that wake waiters are removed too: no request waits while
	// connections are idle.
	for range len(pl.idle) {
		select {
		case cn := <-pl.idle:
			if cn != nil {
				pl.release(now, cn)
			}
		default:
			return
		}
	}
}

// close closes all idle connections and ends the waits for one. Connections in use
// are closed on release. It is called once.
func (pl *pool) close() {
	pl.share.Store(0)
	close(pl.closed)
	for {
		select {
		case cn := <-pl.idle:
			if cn != nil {
				cn.close()
			}
		default:
			return
		}
	}
}
