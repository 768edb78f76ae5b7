package backend

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

const (
	// dialTimeout bounds the making of one connection.
	dialTimeout = 500 * time.Millisecond
	// dialsAtOnce paces the connections made to one server.
	dialsAtOnce = 2
	// probeReserve is the number of connections of a share that is kept for
	// probes, if the share has room for it.
	probeReserve = 1
	smallShare   = 3
	// fullTime is how long no further link is opened to a server that reset a new
	// one: other entry VMs give links up within two rounds of heartbeats.
	fullTime = 2 * time.Second
)

// DialFunc makes a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool holds the links to one server. Its methods take no lock; those that
// wait do so on a channel.
type pool struct {
	dial   DialFunc
	server *machine.Server
	// idle holds unused links; a nil one tells a waiter that there is room
	// for another link.
	idle chan *conn
	// open counts the links that are open or being made. It is at most share.
	open atomic.Int64
	// share is the most links that this process may have.
	share atomic.Int64
	// kept is the number of links that the server left open when it last reset a
	// new one, and fullUntil the time until which there are no more, in Unix
	// nanoseconds.
	kept, fullUntil atomic.Int64
	// condemnedBefore is the time before which opened links are not used, in
	// Unix nanoseconds.
	condemnedBefore atomic.Int64
	condemned       atomic.Int64
	// lastRead is when a byte last arrived on any link, in Unix nanoseconds.
	lastRead atomic.Int64
	dialing  chan struct{}
}

func newPool(dial DialFunc, sv *machine.Server) *pool {
	return &pool{
		dial:    dial,
		server:  sv,
		idle:    make(chan *conn, 2*sv.ConnectionLimit),
		dialing: make(chan struct{}, dialsAtOnce),
	}
}

// take returns a link for one request. Its error says that nothing was sent.
func (pl *pool) take(ctx context.Context) (*conn, error) {
	for {
		if cn := pl.takeIdle(time.Now()); cn != nil {
			return cn, nil
		}
		if pl.tryOpen(pl.trafficShare(time.Now())) {
			return pl.connect(ctx)
		}
		select {
		case cn := <-pl.idle:
			if cn != nil && pl.usableNow(time.Now(), cn) {
				return cn, nil
			}
		case <-ctx.Done():
			return nil, &contract.PartError{Cause: contract.CauseNoLink, NotRun: true, Err: context.Cause(ctx)}
		}
	}
}

// trafficShare is the most links for requests.
func (pl *pool) trafficShare(now time.Time) int64 {
	share := pl.share.Load()
	if share >= smallShare {
		share -= probeReserve
	}
	if now.UnixNano() < pl.fullUntil.Load() {
		share = min(share, pl.kept.Load())
	}
	return share
}

// full records that the server reset a new link, since it has as many as it
// accepts.
func (pl *pool) full(now time.Time) {
	pl.kept.Store(max(pl.open.Load(), 1))
	pl.fullUntil.Store(now.Add(fullTime).UnixNano())
}

// takeIdle returns an unused link if there is one.
func (pl *pool) takeIdle(now time.Time) *conn {
	for {
		select {
		case cn := <-pl.idle:
			if cn != nil && pl.usableNow(now, cn) {
				return cn
			}
		default:
			return nil
		}
	}
}

// usable closes links that are broken, condemned, too long unused or too many.
func (pl *pool) usable(now time.Time, cn *conn) bool {
	if cn.broken || pl.isCondemned(cn) || cn.Expired(now) || cn.isStale(now) || pl.open.Load() > pl.share.Load() {
		pl.discard(cn)
		return false
	}
	return true
}

// usableNow is usable for a link that was unused for a while.
func (pl *pool) usableNow(now time.Time, cn *conn) bool {
	if !pl.usable(now, cn) {
		return false
	}
	found := signOf(cn.raw)
	if found == signQuiet {
		return true
	}
	pl.discard(cn)
	if found == signReset && cn.isUnused() {
		pl.full(now)
	}
	return false
}

func (cn *conn) isStale(now time.Time) bool {
	return !cn.staleAt.IsZero() && now.After(cn.staleAt)
}

func (pl *pool) isCondemned(cn *conn) bool {
	return cn.OpenedAt.UnixNano() < pl.condemnedBefore.Load()
}

// tryOpen takes one of limit places for a link.
func (pl *pool) tryOpen(limit int64) bool {
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

// connect makes a link in a place taken with tryOpen.
func (pl *pool) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case pl.dialing <- struct{}{}:
	case <-ctx.Done():
		pl.free()
		return nil, &contract.PartError{Cause: contract.CauseNoLink, NotRun: true, Err: context.Cause(ctx)}
	}
	raw, err := pl.dial(ctx, "tcp", pl.server.Address)
	<-pl.dialing
	if err != nil {
		pl.free()
		return nil, &contract.PartError{Cause: contract.CauseDialFailed, NotRun: true, Err: err}
	}
	return pl.newConn(time.Now(), raw), nil
}

func (pl *pool) newConn(now time.Time, raw net.Conn) *conn {
	cn := &conn{}
	cn.OpenedAt = now
	cn.raw = &countingConn{Conn: raw, link: &cn.Link, pool: pl}
	cn.reader = bufio.NewReaderSize(cn.raw, readBuffer)
	return cn
}

// give returns a link after a request that was answered.
func (pl *pool) give(now time.Time, cn *conn) {
	if !pl.usable(now, cn) {
		return
	}
	select {
	case pl.idle <- cn:
	default:
		pl.discard(cn)
	}
}

// discard closes a link.
func (pl *pool) discard(cn *conn) {
	cn.close()
	pl.free()
}

// free gives up the place of a link and tells a waiter.
func (pl *pool) free() {
	pl.open.Add(-1)
	select {
	case pl.idle <- nil:
	default:
	}
}

// warm opens a link in advance if none is unused, so that a request that comes
// next does not wait for it. It does not wait itself.
func (pl *pool) warm(ctx context.Context) {
	if len(pl.idle) > 0 || !pl.tryOpen(pl.trafficShare(time.Now())) {
		return
	}
	go func() {
		cn, err := pl.connect(ctx)
		if err != nil {
			pl.server.State.Failed(time.Now())
			return
		}
		pl.give(time.Now(), cn)
	}()
}

// condemn keeps all links that were opened before a time from being used.
func (pl *pool) condemn(openedBefore time.Time) {
	if pl.condemnedBefore.Swap(openedBefore.UnixNano()) < openedBefore.UnixNano() {
		pl.condemned.Add(1)
	}
}

// trim closes unused links that are expired or above the share.
func (pl *pool) trim(now time.Time) {
	// What tells waiters of room goes too: nobody waits while links are unused.
	for range len(pl.idle) {
		select {
		case cn := <-pl.idle:
			if cn != nil {
				pl.give(now, cn)
			}
		default:
			return
		}
	}
}

// close ends all unused links; those in use end when they are given back.
func (pl *pool) close() {
	pl.share.Store(0)
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
