// Package backend is the client of the backend servers. It pools connections
// within each server's connection limit, sends parts, checks that each answer
// belongs to its part, and detects silent connections, on which no bytes arrive
// although the server may be up.
package backend

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/jx"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/wire/backendapi"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

const (
	// spareVMs is the number of additional entry VMs for which room is left in
	// each server's connection limit, so that a replacement can connect while
	// the VM that it replaces still runs.
	spareVMs = 1
	// pollInterval is the time between two batches of load polls.
	pollInterval = time.Second
	// pollsPerSecond limits the servers polled in one batch; with more servers
	// each of them is polled less often.
	pollsPerSecond = 40
	// reconnectTimeout is how long a server has to answer on a new connection
	// after one broke, before it counts as lost.
	reconnectTimeout = 200 * time.Millisecond
	// If the connections of at least massSilenceServers servers go silent within
	// massSilenceWindow, the connections of all servers are invalidated.
	massSilenceServers = 3
	massSilenceWindow  = time.Second
	// pollTimeout limits the poll of one server.
	pollTimeout = 500 * time.Millisecond
)

// errSilent is the cancellation cause of a request on a silent connection.
var errSilent = errors.New("connection is silent")

// silentServer records when the connections of a server went silent.
type silentServer struct {
	name string
	at   time.Time
}

// poolKey identifies a server by name and address, since another server may get
// the address later.
type poolKey struct {
	name, address string
}

// Client sends parts to servers over pooled connections. Make one with New.
type Client struct {
	dial DialFunc
	// share is never nil.
	share atomic.Pointer[Share]
	// pools maps a poolKey to its *pool.
	pools sync.Map
	// silent holds the servers whose connections went silent within
	// massSilenceWindow.
	silent *rcu.Value[[]silentServer]
	// Mismatches counts the answers that did not belong to their request or were
	// damaged.
	Mismatches atomic.Int64
	// OnDeparture is called when a server first says that it is leaving, OnBackOff
	// when one starts to ask for no requests. They are set before the first
	// request, and may be nil.
	OnDeparture func(now time.Time, sv *machine.Server)
	OnBackOff   func(now time.Time, sv *machine.Server, delay time.Duration)
	// Cold limits the requests to cold servers; nil if nothing does. It is set before the
	// first request.
	Cold *machine.ColdLimit
}

// New returns a client and a function that closes its connections.
func New(dial DialFunc) (*Client, func()) {
	cl := &Client{dial: dial, silent: rcu.New([]silentServer{})}
	cl.share.Store(&Share{EntryVMs: 1})
	return cl, cl.close
}

func (cl *Client) close() {
	cl.pools.Range(func(_, value any) bool {
		value.(*pool).close()
		return true
	})
}

// Share determines the fraction of each server's connection limit that this
// process may use.
type Share struct {
	// EntryVMs is the number of entry VMs among which the connections are
	// divided; at least 1.
	EntryVMs int
	// ReservedPercent is the percentage of the connections that is left to others.
	ReservedPercent int
}

// SetEntryVMs divides the servers' connections evenly among a number of entry
// VMs.
func (cl *Client) SetEntryVMs(count int) {
	cl.SetShare(Share{EntryVMs: count})
}

// SetShare sets the share of the connections that this process may use.
func (cl *Client) SetShare(sh Share) {
	sh.EntryVMs = max(sh.EntryVMs, 1)
	cl.share.Store(&sh)
	cl.pools.Range(func(_, value any) bool {
		pl := value.(*pool)
		pl.share.Store(cl.ShareOf(pl.server))
		return true
	})
}

// ShareOf returns how many connections to a server this process may have.
func (cl *Client) ShareOf(sv *machine.Server) int64 {
	sh := cl.share.Load()
	return int64(sv.ConnectionShare(sh.EntryVMs, spareVMs, sh.ReservedPercent))
}

func (cl *Client) pool(sv *machine.Server) *pool {
	key := poolKey{sv.Name, sv.Address}
	if value, ok := cl.pools.Load(key); ok {
		return value.(*pool)
	}
	fresh := newPool(cl.dial, sv)
	fresh.share.Store(cl.ShareOf(sv))
	value, _ := cl.pools.LoadOrStore(key, fresh)
	return value.(*pool)
}

// Send sends one part to a server and returns the body of the answer. It
// implements scatter.Sender.
func (cl *Client) Send(ctx context.Context, sv *machine.Server, pr scatter.PartRequest) ([]byte, error) {
	var body []byte
	err := cl.withConn(ctx, sv, pr.AttemptLimits, checkHealth, func(ctx context.Context, cn *conn) error {
		api, err := cn.client(sv.Address)
		if err != nil {
			return err
		}
		answer, err := api.RunPart(ctx, encodePart(time.Now(), pr))
		if refused := (*backendapi.RefusedStatusCode)(nil); errors.As(err, &refused) {
			cn.unnamed = true
			return refusalError(refused)
		}
		if errors.Is(err, errNoAnswer) {
			return cl.discardMismatched(cn, err)
		}
		if err != nil {
			return err
		}
		if answer.Draining {
			sv.State.MarkLeaving(time.Now())
		}
		if err := checkAnswer(pr, answer); err != nil {
			return cl.discardMismatched(cn, err)
		}
		body = answer.Body
		return nil
	})
	return body, err
}

// healthCheck checks over a new connection whether a server answers.
type healthCheck func(ctx context.Context, sv *machine.Server, cn *conn) error

// checkHealth is the healthCheck of the native protocol.
func checkHealth(ctx context.Context, sv *machine.Server, cn *conn) error {
	api, err := cn.client(sv.Address)
	if err != nil {
		return err
	}
	_, err = api.GetHealth(ctx)
	return err
}

// discardMismatched counts an answer that belongs to another request or is
// damaged, and marks its connection as broken.
func (cl *Client) discardMismatched(cn *conn, err error) error {
	cl.Mismatches.Add(1)
	cn.broken = true
	return &contract.PartError{Cause: contract.CauseMismatched, Err: err}
}

// withConn calls do with a connection to a server and converts failures to a
// *contract.PartError. If do returns an error of that type, the server answered
// and the connection is reused.
func (cl *Client) withConn(ctx context.Context, sv *machine.Server, limits scatter.AttemptLimits, check healthCheck,
	do func(ctx context.Context, cn *conn) error,
) error {
	pl := cl.pool(sv)
	cn, err := pl.acquire(ctx, func(cn *conn) bool { return cn.suits(limits) })
	if err != nil {
		return err
	}
	now := time.Now()
	if !now.Before(limits.Deadline) {
		pl.release(now, cn)
		return &contract.PartError{Cause: contract.CauseDeadline, NotRun: true}
	}
	if !sv.AcceptsWork(now) || limits.MaySend != nil && !limits.MaySend() {
		// Either changed while this request waited for a connection.
		pl.release(now, cn)
		return &contract.PartError{Cause: contract.CauseWithheld, NotRun: true}
	}
	if !scatter.HoldsToken(ctx, now) && !cl.Cold.TrySend(now, sv) {
		pl.release(now, cn)
		return &contract.PartError{Cause: contract.CauseWithheld, NotRun: true}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if limits.Idempotent && limits.FirstByteTimeout > 0 {
		timer := time.AfterFunc(limits.FirstByteTimeout, func() { cl.checkSilent(ctx, pl, cn, check, now, limits.FirstByteTimeout, cancel) })
		defer timer.Stop()
	}
	before := cn.Written.Load()
	err = do(ctx, cn)
	if answered := (*contract.PartError)(nil); err == nil || errors.As(err, &answered) {
		if err != nil && limits.Trail != nil {
			limits.Trail.Add(&cn.Link)
		}
		pl.release(time.Now(), cn)
		return err
	}
	return cl.exchangeError(ctx, pl, cn, check, cn.Written.Load() > before, err)
}

func encodePart(now time.Time, pr scatter.PartRequest) *backendapi.Part {
	return &backendapi.Part{
		RequestID:  pr.RequestID,
		Attempt:    pr.Attempt,
		Route:      pr.Route,
		Shard:      pr.Shard,
		Snapshot:   pr.Snapshot,
		DeadlineMs: max(pr.Deadline.Sub(now).Milliseconds(), 1),
		Query:      jx.Raw(pr.Query),
	}
}

// checkAnswer returns an error if an answer does not belong to its part or is
// damaged.
func checkAnswer(pr scatter.PartRequest, an *backendapi.PartAnswer) error {
	switch {
	case an.RequestID != pr.RequestID:
		return fmt.Errorf("answer is of request %s", an.RequestID)
	case an.Attempt != pr.Attempt:
		return fmt.Errorf("answer is of attempt %d", an.Attempt)
	case an.Shard != pr.Shard:
		return fmt.Errorf("answer is of shard %s", an.Shard)
	case an.Snapshot != pr.Snapshot:
		return fmt.Errorf("answer is of snapshot %s", an.Snapshot)
	case an.Length != len(an.Body):
		return fmt.Errorf("answer has %d bytes of %d", len(an.Body), an.Length)
	case an.Digest != Digest(an.Body):
		return errors.New("answer does not match its digest")
	}
	return nil
}

// Digest returns the digest of an answer's body as servers write it: xxhash64
// in lower-case hexadecimal.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// exchangeError closes the connection of a failed exchange and returns the
// error as a *contract.PartError. If the connection broke, it checks whether the
// server still accepts connections or answers.
func (cl *Client) exchangeError(ctx context.Context, pl *pool, cn *conn, check healthCheck, written bool, err error) error {
	pl.discard(cn)
	cause := causeOf(ctx)
	if cause == contract.CauseLinkBroken && errors.Is(err, syscall.ETIMEDOUT) {
		cause = contract.CauseLinkSilent
	}
	switch {
	case cause != contract.CauseLinkBroken:
	case cn.neverRead() && isReset(err):
		if pl.acceptsConnections(ctx, cn.OpenedAt) {
			cause = contract.CauseLinkReset
			pl.recordLimit(time.Now())
		}
	case cl.respondsOnNewConn(ctx, pl, check):
		cause = contract.CauseLinkReset
	}
	return &contract.PartError{Cause: cause, NotRun: !written, Err: err}
}

// recordNotices records what a server said about itself in an answer.
func (cl *Client) recordNotices(now time.Time, sv *machine.Server, nt Notices) {
	if nt.Leaving && sv.State.MarkDeparting() && cl.OnDeparture != nil {
		cl.OnDeparture(now, sv)
	}
	if nt.BackOff > 0 && sv.State.BackOff(now, nt.BackOff) && cl.OnBackOff != nil {
		cl.OnBackOff(now, sv, nt.BackOff)
	}
	if nt.SaysWarmUp {
		until := time.Time{}
		if nt.WarmUp > 0 {
			until = now.Add(nt.WarmUp)
		}
		sv.State.RecordCold(until)
	}
}

// respondsOnNewConn reports whether a server answers on a new connection, in
// which case a broken connection does not mean that the server is lost. A server
// that asked for no requests is not checked: it was alive moments ago. Nor is one
// whose zone is evacuated: it must get nothing more, and may fail for other reasons
// than its request.
func (cl *Client) respondsOnNewConn(ctx context.Context, pl *pool, check healthCheck) bool {
	now := time.Now()
	if cl.Cold.Limits(now, pl.server) {
		// A health check is one more request to a server that bears few.
		return pl.acceptsConnections(ctx, now)
	}
	if !mayCheckHealth(now, pl.server) {
		return true
	}
	if !pl.tryReserveSlot(pl.share.Load()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	return cl.checkNewConn(ctx, pl, check) == nil
}

// mayCheckHealth reports whether a health check may be sent to a server.
func mayCheckHealth(now time.Time, sv *machine.Server) bool {
	return !sv.State.IsBackingOff(now) && !sv.State.IsEvacuated(now)
}

// isReset reports whether the peer reset a connection. A read fails with
// ECONNRESET then, a write after the reset with EPIPE.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// acceptsConnections reports whether a server accepts new connections, or
// answered on any connection since a time. The reset of a new connection then
// means that the server is at its connection limit, not that it is lost.
func (pl *pool) acceptsConnections(ctx context.Context, since time.Time) bool {
	if pl.lastRead.Load() > since.UnixNano() {
		return true
	}
	if !pl.tryReserveSlot(pl.share.Load()) {
		// Other requests hold connections up to the share, so it does accept them.
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	cn, err := pl.connect(ctx)
	if err != nil {
		// A lost server refuses connections. One at its limit may reset a
		// connection while it is established.
		return isReset(err)
	}
	pl.discard(cn)
	return true
}

// checkNewConn checks the health of a server over a new connection, in a slot
// from tryReserveSlot, and adds the connection to the pool if the check succeeds.
func (cl *Client) checkNewConn(ctx context.Context, pl *pool, check healthCheck) error {
	fresh, err := pl.connect(ctx)
	if err != nil {
		return err
	}
	if err := check(ctx, pl.server, fresh); err != nil {
		pl.discard(fresh)
		return fmt.Errorf("check health of %s: %w", pl.server.Name, err)
	}
	pl.release(time.Now(), fresh)
	return nil
}

func causeOf(ctx context.Context) contract.Cause {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return contract.CauseLinkBroken
	case errors.Is(cause, errSilent):
		return contract.CauseLinkSilent
	case errors.Is(cause, context.DeadlineExceeded):
		return contract.CauseDeadline
	default:
		return contract.CauseCanceled
	}
}

func refusalError(refused *backendapi.RefusedStatusCode) error {
	response := refused.Response
	cause := contract.CauseServerError
	switch response.Code {
	case backendapi.RefusalCodeShed, backendapi.RefusalCodeCold:
		cause = contract.CauseShed
	case backendapi.RefusalCodeDraining:
		cause = contract.CauseDraining
	case backendapi.RefusalCodeSnapshotLost:
		cause = contract.CauseSnapshotLost
	case backendapi.RefusalCodeDeadlinePassed:
		cause = contract.CauseDeadline
	}
	return &contract.PartError{Cause: cause, NotRun: response.NotRun, Err: errors.New(response.Reason)}
}

// checkSilent checks the health of a server over a new connection if nothing was
// received on the connection of a request since sentAt. It cancels the request if
// the check fails. If the check succeeds and the older connection is still silent,
// it cancels the request and invalidates the older connections to the server.
func (cl *Client) checkSilent(ctx context.Context, pl *pool, cn *conn, check healthCheck, sentAt time.Time, limit time.Duration, cancelRequest context.CancelCauseFunc) {
	if ctx.Err() != nil || !cn.IsSilent(sentAt) || !mayCheckHealth(time.Now(), pl.server) || cl.Cold.Limits(time.Now(), pl.server) {
		return
	}
	startedAt := time.Now()
	if pl.isInvalidated(cn) {
		cancelRequest(errSilent)
		return
	}
	if !pl.tryReserveSlot(pl.share.Load()) {
		// There is no slot for a health check, so that the connection is closed
		// to free one. If nothing was received on any other connection since sentAt
		// either, those are invalidated too.
		if pl.lastRead.Load() <= sentAt.UnixNano() {
			cl.invalidate(startedAt, pl)
		}
		cancelRequest(errSilent)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := cl.checkNewConn(ctx, pl, check)
	switch {
	case err != nil:
		cancelRequest(errSilent)
	case cn.IsSilent(sentAt):
		cl.invalidate(startedAt, pl)
		cancelRequest(errSilent)
	}
}

// invalidate prevents the reuse of all connections to a server that were opened
// before a time. If the connections of several servers went silent at once, a
// network device on the path has probably dropped their state, and those of all
// servers are invalidated.
func (cl *Client) invalidate(before time.Time, pl *pool) {
	pl.invalidate(before)
	recent := *cl.silent.Update(func(old []silentServer) []silentServer {
		next := slices.DeleteFunc(slices.Clone(old), func(sl silentServer) bool {
			return sl.name == pl.server.Name || before.Sub(sl.at) > massSilenceWindow
		})
		return append(next, silentServer{name: pl.server.Name, at: before})
	})
	if len(recent) < massSilenceServers {
		return
	}
	cl.pools.Range(func(_, value any) bool {
		value.(*pool).invalidate(before)
		return true
	})
}
