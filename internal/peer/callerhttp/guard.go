package callerhttp

import (
	"cmp"
	"math"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"daisystage.example/daisystage/internal/container/quota"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/world/contract"
)

// Limits are the limits of callers' requests in force.
type Limits struct {
	// HeadBytes is the largest head of a request, in bytes; positive.
	HeadBytes int
	// HeadTimeout is how long a head may take to arrive while memory is short.
	HeadTimeout time.Duration
	// FanOut is the largest number of servers that a request is sent to at once; 0 if
	// heads are not passed on.
	FanOut int
}

// Defaults returns the limits that apply until a configuration is received.
func (Limits) Defaults() Limits {
	lm := contract.CallerLimits{}.Defaults()
	return Limits{HeadBytes: lm.HeaderBytes, HeadTimeout: lm.HeaderTimeout, FanOut: 1}
}

// Validate returns a *contract.FieldError for the first field that is out of its range.
func (lm Limits) Validate() error {
	switch {
	case lm.HeadBytes <= 0:
		return &contract.FieldError{Key: "head_bytes", Accepted: "a positive number"}
	case lm.HeadTimeout <= 0:
		return &contract.FieldError{Key: "head_timeout", Accepted: "a positive time"}
	case lm.FanOut < 0:
		return &contract.FieldError{Key: "fan_out", Accepted: "a number that is not negative"}
	}
	return nil
}

const (
	// headMargin is left to heads above their limit, since callers may count neither the
	// first line nor the ends of lines.
	headMargin = 4 << 10
	// MaxHeadBytes bounds the limit of heads, whatever the configuration says.
	MaxHeadBytes = 1 << 20
	// usualDivisor is the part of the memory that is kept for ordinary requests.
	usualDivisor = 4
	// minFreedDivisor is the part of the memory that is made free at once, so that a crowd of
	// callers does not make each head look at all connections.
	minFreedDivisor = 16
)

// Connections are the numbers of connections that may be open.
type Connections struct {
	// Callers is for the address that serves callers, Others for each of up to
	// otherAddresses further ones.
	Callers, Others int
}

const (
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// callersDivisor is the part of the other descriptors that those who connect to this
	// process get. The rest is for servers, peers and the store.
	callersDivisor = 2
	otherAddresses = 3
	// othersDivisor is the part of the callers' connections that each other address gets.
	othersDivisor = 8
	minConns      = 16
)

// ConnectionLimits returns the limits of a process that may open a number of
// descriptors; 0 stands for what the operating system allows.
func ConnectionLimits(descriptors int) Connections {
	limit := unix.Rlimit{}
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (descriptors == 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	total := (descriptors - fileDescriptors) / callersDivisor
	callers := total * othersDivisor / (othersDivisor + otherAddresses)
	return Connections{Callers: max(callers, minConns), Others: max(callers/othersDivisor, minConns)}
}

// Refusal is a kind of refusal that a Guard counts.
type Refusal int

const (
	// HeadTooLarge heads are answered with 431.
	HeadTooLarge Refusal = iota
	// NoMemory requests are answered with 503.
	NoMemory
	// UnfinishedDropped connections had sent a part of a request when memory ran short.
	UnfinishedDropped
	// ConnectionDisplaced ones waited for a request, or had sent a part of one, when
	// there were too many.
	ConnectionDisplaced
	// ConnectionRefused ones were closed at once, as all others were in use.
	ConnectionRefused
	refusals
)

// String returns the name of the refusal in metrics and logs.
func (rf Refusal) String() string {
	return [refusals]string{"head_too_large", "no_memory", "unfinished_dropped", "connection_displaced", "connection_refused"}[rf]
}

// Refusals returns all kinds of refusals.
func Refusals() []Refusal {
	return []Refusal{HeadTooLarge, NoMemory, UnfinishedDropped, ConnectionDisplaced, ConnectionRefused}
}

// Guard bounds the memory and the connections of the callers on all listeners of a
// process. When memory is short it drops unfinished requests first, those that are overdue
// and then the largest.
type Guard struct {
	// LeasesBodies is set if the bytes of bodies count, too. A handler that leases the
	// memory of bodies itself does not need it. It must not change after the first Listen.
	LeasesBodies bool

	memory *quota.Pool
	// size is the number of bytes in memory when none is leased.
	size      int64
	limits    atomic.Pointer[Limits]
	listeners atomic.Pointer[[]*Listener]
	refused   [refusals]atomic.Int64
	// dropping is set while a goroutine drops unfinished requests.
	dropping atomic.Bool
	// logged is what of refused was logged, until loggedAt.
	logged   [refusals]int64
	loggedAt time.Time
}

// NewGuard returns a guard with a number of bytes for requests that arrive or are being
// answered.
func NewGuard(memory int64) *Guard {
	gd := &Guard{memory: quota.NewPool(memory), size: memory}
	limits := Limits{}.Defaults()
	gd.limits.Store(&limits)
	gd.listeners.Store(&[]*Listener{})
	return gd
}

// SetLimits puts limits in force for heads that have not ended.
func (gd *Guard) SetLimits(limits Limits) {
	limits.HeadBytes = min(limits.HeadBytes, MaxHeadBytes)
	gd.limits.Store(&limits)
}

// Refused returns how often a refusal happened.
func (gd *Guard) Refused(rf Refusal) int64 {
	return gd.refused[rf].Load()
}

// logInterval is the time between two log lines about refusals.
const logInterval = 10 * time.Second

// LogRefused logs the refusals since the last line, if there were any and the last line
// is old enough. It is called by one goroutine.
func (gd *Guard) LogRefused(now time.Time, log *zap.Logger) {
	if now.Sub(gd.loggedAt) < logInterval {
		return
	}
	fields := []zap.Field{zap.Int64("leased_bytes", gd.Leased()), zap.Int64("connections", gd.Connections())}
	total := int64(0)
	for _, rf := range Refusals() {
		count := gd.Refused(rf) - gd.logged[rf]
		gd.logged[rf] += count
		total += count
		fields = append(fields, zap.Int64(rf.String(), count))
	}
	if total > 0 {
		gd.loggedAt = now
		events.CallersRefused.Log(log, fields...)
	}
}

// Leased returns the number of bytes that are leased.
func (gd *Guard) Leased() int64 {
	return gd.size - gd.memory.Left()
}

// Connections returns the number of open connections.
func (gd *Guard) Connections() int64 {
	open := int64(0)
	for _, ls := range *gd.listeners.Load() {
		open += ls.open.Load()
	}
	return open
}

// Listen returns a listener as the function Listen does, whose connections the guard
// watches. Of these, at most maxConns are open.
func (gd *Guard) Listen(raw net.Listener, server *http.Server, maxConns int) *Listener {
	// The guard refuses larger heads before the server does.
	server.MaxHeaderBytes = MaxHeadBytes + headMargin
	ls := Listen(raw, server)
	ls.guard, ls.maxConns = gd, int64(max(maxConns, 1))
	all := append(slices.Clone(*gd.listeners.Load()), ls)
	gd.listeners.Store(&all)
	return ls
}

// reserve reserves memory for a connection, after dropping others' unfinished requests if
// there is too little.
func (gd *Guard) reserve(now time.Time, cn *conn, count, rest int64) bool {
	if cn.lease.ReserveLeaving(count, rest) {
		return true
	}
	gd.dropUnfinished(now, cn, count+rest-gd.memory.Left())
	return cn.lease.ReserveLeaving(count, rest)
}

// dropUnfinished closes connections with unfinished requests, other than that of cn,
// until about wanted bytes are freed: first those that are overdue, then the largest.
// An unfinished request of cn is worth no others that are smaller.
func (gd *Guard) dropUnfinished(now time.Time, cn *conn, wanted int64) {
	if !gd.dropping.CompareAndSwap(false, true) {
		return
	}
	defer gd.dropping.Store(false)
	limits := gd.limits.Load()
	type candidate struct {
		conn    *conn
		size    int64
		overdue bool
	}
	var candidates []candidate
	own := cn.unfinished.Load()
	for _, ls := range *gd.listeners.Load() {
		for key := range ls.conns.Range {
			other := key.(*conn)
			ca := candidate{other, other.unfinished.Load(), other.heldFor(now) > limits.HeadTimeout}
			if other != cn && ca.size > 0 && (ca.overdue || ca.size >= own) {
				candidates = append(candidates, ca)
			}
		}
	}
	slices.SortFunc(candidates, func(one, two candidate) int {
		if one.overdue != two.overdue {
			if one.overdue {
				return -1
			}
			return 1
		}
		return cmp.Compare(two.size, one.size)
	})
	wanted = max(wanted, gd.size/minFreedDivisor)
	for _, ca := range candidates {
		if wanted <= 0 {
			return
		}
		// It may have ended meanwhile.
		if ca.conn.unfinished.Load() > 0 {
			wanted -= ca.conn.lease.Held()
			gd.refused[UnfinishedDropped].Add(1)
			_ = ca.conn.Close()
		}
	}
}

// displaceDivisor is the part of a listener's connections that is closed at once, so that
// a crowd of callers does not make each new connection look at all others.
const displaceDivisor = 32

// makeRoom closes connections that matter least: those that owe a request for long, that
// are idle, whose body does not arrive, and then any that has sent no whole request. Among
// those of one kind, the oldest are closed first.
func (ls *Listener) makeRoom(now time.Time) {
	type candidate struct {
		conn  *conn
		kind  int
		since time.Time
	}
	var candidates []candidate
	for key := range ls.conns.Range {
		cn := key.(*conn)
		if kind, since := cn.displaceable(now); kind != inUse {
			candidates = append(candidates, candidate{cn, kind, since})
		}
	}
	slices.SortFunc(candidates, func(one, two candidate) int {
		if one.kind != two.kind {
			return cmp.Compare(one.kind, two.kind)
		}
		return one.since.Compare(two.since)
	})
	wanted := max(ls.maxConns/displaceDivisor, 1)
	for _, ca := range candidates {
		if wanted <= 0 {
			return
		}
		// A request may have arrived meanwhile.
		if kind, _ := ca.conn.displaceable(now); kind == ca.kind && (kind == sendingBody || !hasUnread(ca.conn.Conn)) {
			wanted--
			ls.guard.refused[ConnectionDisplaced].Add(1)
			_ = ca.conn.Close()
		}
	}
}

// Kinds of connections, in the order in which they are closed when there are too many.
const (
	// owing ones have sent no whole request for newConnWait.
	owing = iota
	waiting
	// sendingBody ones have sent no whole body for newConnWait.
	sendingBody
	fresh
	inUse
)

// displaceable returns the kind of the connection and since when it is of that kind.
func (cn *conn) displaceable(now time.Time) (int, time.Time) {
	held := cn.heldSince.Load()
	state := http.ConnState(cn.state.Load())
	since := cn.acceptedAt
	switch {
	case held != 0:
		since = epoch.Add(time.Duration(held))
	case state == http.StateIdle:
		return waiting, epoch.Add(time.Duration(cn.idleSince.Load()))
	case state == http.StateActive:
		return inUse, since
	}
	switch late := now.Sub(since) > newConnWait; {
	case state == http.StateActive && late:
		return sendingBody, since
	case state == http.StateActive:
		return inUse, since
	case late:
		return owing, since
	}
	return fresh, since
}
