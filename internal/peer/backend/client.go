// Package backend speaks to backend servers: it keeps the links to them within
// their connection limits, sends parts, checks that each answer belongs to its
// part, and finds links that went silent.
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
	// spareVMs is the room in each server's connection limit that is kept for
	// entry VMs that replace others.
	spareVMs = 1
	// pollEvery is the time between two readings of a server's load.
	pollEvery = time.Second
	// pollsPerSecond bounds the readings of one process; with more servers
	// each of them is read less often.
	pollsPerSecond = 40
	// lostTimeout is how long a server whose link broke has to answer on a new
	// one.
	lostTimeout = 200 * time.Millisecond
	// massSilence is the number of servers whose links go silent within
	// massWindow from which the links of all are given up.
	massSilence = 3
	massWindow  = time.Second
	// pollTimeout bounds one reading.
	pollTimeout = 500 * time.Millisecond
)

// errSilent is the cause of a request that was cut off on a silent link.
var errSilent = errors.New("no byte came on the link while a new connection answered")

// silence is a server whose links went silent.
type silence struct {
	server string
	at     time.Time
}

// poolKey names a server at an address, which another server may get later.
type poolKey struct {
	name, address string
}

// Client sends parts to servers. Make one with New.
type Client struct {
	dial DialFunc
	// share is never nil.
	share atomic.Pointer[Share]
	// pools maps a poolKey to its *pool.
	pools sync.Map
	// silent holds the servers whose links went silent within massWindow.
	silent *rcu.Value[[]silence]
	// Mismatched counts answers that did not belong to their part.
	Mismatched atomic.Int64
}

// New returns a client and a function that closes its links.
func New(dial DialFunc) (*Client, func()) {
	cl := &Client{dial: dial, silent: rcu.New([]silence{})}
	cl.share.Store(&Share{EntryVMs: 1})
	return cl, cl.close
}

func (cl *Client) close() {
	cl.pools.Range(func(_, value any) bool {
		value.(*pool).close()
		return true
	})
}

// Share is the part of the servers' connection limits that this process may
// use.
type Share struct {
	// EntryVMs is the number of entry VMs that the connections are divided
	// among; at least 1.
	EntryVMs int
	// Kept is the part of the connections, in 1/100, that is left to others.
	Kept int
}

// SetEntryVMs divides the servers' connections evenly.
func (cl *Client) SetEntryVMs(count int) {
	cl.SetShare(Share{EntryVMs: count})
}

// SetShare sets the part of the connections that this process may use.
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
	return int64(sv.ConnectionShare(sh.EntryVMs, spareVMs, sh.Kept))
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

// Send carries one part to a server. It is of scatter.Sender.
func (cl *Client) Send(ctx context.Context, sv *machine.Server, pt scatter.Part) ([]byte, error) {
	var body []byte
	err := cl.onLink(ctx, sv, pt.Bounds, probeHealth, func(ctx context.Context, cn *conn) error {
		api, err := cn.client(sv.Address)
		if err != nil {
			return err
		}
		answer, err := api.RunPart(ctx, encodePart(time.Now(), pt))
		if refused := (*backendapi.RefusedStatusCode)(nil); errors.As(err, &refused) {
			return refusal(refused)
		}
		if err != nil {
			return err
		}
		if answer.Draining {
			sv.State.MarkLeaving(time.Now())
		}
		if err := checkAnswer(pt, answer); err != nil {
			return cl.mismatched(cn, err)
		}
		body = answer.Body
		return nil
	})
	return body, err
}

// probe asks a server on a fresh link whether it answers.
type probe func(ctx context.Context, sv *machine.Server, cn *conn) error

// probeHealth asks with the product's own protocol.
func probeHealth(ctx context.Context, sv *machine.Server, cn *conn) error {
	api, err := cn.client(sv.Address)
	if err != nil {
		return err
	}
	_, err = api.GetHealth(ctx)
	return err
}

// mismatched counts an answer that belongs to another request, and gives its
// link up.
func (cl *Client) mismatched(cn *conn, err error) error {
	cl.Mismatched.Add(1)
	cn.broken = true
	return &contract.PartError{Cause: contract.CauseMismatched, Err: err}
}

// onLink does one exchange on a link to a server and turns its failures into a
// *contract.PartError. An error of that type from do says that the server
// answered.
func (cl *Client) onLink(ctx context.Context, sv *machine.Server, bounds scatter.Bounds, pb probe,
	do func(ctx context.Context, cn *conn) error,
) error {
	pl := cl.pool(sv)
	cn, err := pl.take(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	if !now.Before(bounds.Deadline) {
		pl.give(now, cn)
		return &contract.PartError{Cause: contract.CauseDeadline, NotRun: true}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if bounds.Idempotent && bounds.SilentAfter > 0 {
		timer := time.AfterFunc(bounds.SilentAfter, func() { cl.checkSilent(ctx, pl, cn, pb, now, bounds.SilentAfter, cancel) })
		defer timer.Stop()
	}
	before := cn.Written.Load()
	err = do(ctx, cn)
	if answered := (*contract.PartError)(nil); err == nil || errors.As(err, &answered) {
		pl.give(time.Now(), cn)
		return err
	}
	return cl.failed(ctx, pl, cn, pb, cn.Written.Load() > before, err)
}

func encodePart(now time.Time, pt scatter.Part) *backendapi.Part {
	return &backendapi.Part{
		RequestID:  pt.RequestID,
		Attempt:    pt.Attempt,
		Route:      pt.Route,
		Shard:      pt.Shard,
		Snapshot:   pt.Snapshot,
		DeadlineMs: max(pt.Deadline.Sub(now).Milliseconds(), 1),
		Query:      jx.Raw(pt.Query),
	}
}

// checkAnswer says how an answer does not belong to its part.
func checkAnswer(pt scatter.Part, an *backendapi.PartAnswer) error {
	switch {
	case an.RequestID != pt.RequestID:
		return fmt.Errorf("answer is of request %s", an.RequestID)
	case an.Attempt != pt.Attempt:
		return fmt.Errorf("answer is of attempt %d", an.Attempt)
	case an.Shard != pt.Shard:
		return fmt.Errorf("answer is of shard %s", an.Shard)
	case an.Snapshot != pt.Snapshot:
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

// failed turns the error of an exchange into a *contract.PartError and closes
// its link.
func (cl *Client) failed(ctx context.Context, pl *pool, cn *conn, pb probe, written bool, err error) error {
	pl.discard(cn)
	cause := causeOf(ctx)
	if cause == contract.CauseLinkBroken && errors.Is(err, syscall.ETIMEDOUT) {
		cause = contract.CauseLinkSilent
	}
	switch {
	case cause != contract.CauseLinkBroken:
	case cn.isUnused() && isReset(err):
		if pl.accepts(ctx, cn.OpenedAt) {
			cause = contract.CauseLinkReset
			pl.full(time.Now())
		}
	case cl.answers(ctx, pl, pb):
		cause = contract.CauseLinkReset
	}
	return &contract.PartError{Cause: cause, NotRun: !written, Err: err}
}

// answers reports whether a server answers on a new link, so that a broken one
// is no sign that the server was lost.
func (cl *Client) answers(ctx context.Context, pl *pool, pb probe) bool {
	if !pl.tryOpen(pl.share.Load()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, lostTimeout)
	defer cancel()
	return cl.probeFresh(ctx, pl, pb) == nil
}

// isReset reports whether the other end reset a connection: a write after the
// reset tells so in another way than a read.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// accepts reports whether a server takes new connections, or answered on a link
// since a time, so that the reset of a new one tells of its connection limit and
// not of its loss.
func (pl *pool) accepts(ctx context.Context, since time.Time) bool {
	if pl.lastRead.Load() > since.UnixNano() {
		return true
	}
	// The place of the link that was reset is free.
	pl.open.Add(1)
	ctx, cancel := context.WithTimeout(ctx, lostTimeout)
	defer cancel()
	cn, err := pl.connect(ctx)
	if err != nil {
		// A lost server refuses; a full one may reset before the connection is
		// made.
		return isReset(err)
	}
	pl.discard(cn)
	return true
}

// probeFresh probes a server on a new link, in a place taken with tryOpen, and
// keeps the link.
func (cl *Client) probeFresh(ctx context.Context, pl *pool, pb probe) error {
	fresh, err := pl.connect(ctx)
	if err != nil {
		return err
	}
	if err := pb(ctx, pl.server, fresh); err != nil {
		pl.discard(fresh)
		return fmt.Errorf("probe %s: %w", pl.server.Name, err)
	}
	pl.give(time.Now(), fresh)
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

func refusal(refused *backendapi.RefusedStatusCode) error {
	said := refused.Response
	cause := contract.CauseServerError
	switch said.Code {
	case backendapi.RefusalCodeShed, backendapi.RefusalCodeCold:
		cause = contract.CauseShed
	case backendapi.RefusalCodeDraining:
		cause = contract.CauseDraining
	case backendapi.RefusalCodeSnapshotLost:
		cause = contract.CauseSnapshotLost
	case backendapi.RefusalCodeDeadlinePassed:
		cause = contract.CauseDeadline
	}
	return &contract.PartError{Cause: cause, NotRun: said.NotRun, Err: errors.New(said.Reason)}
}

// checkSilent cuts a request off when its link is silent while the server
// answers, or does not answer either, on another one.
func (cl *Client) checkSilent(ctx context.Context, pl *pool, cn *conn, pb probe, sentAt time.Time, limit time.Duration, cut context.CancelCauseFunc) {
	if ctx.Err() != nil || !cn.IsSilent(sentAt) {
		return
	}
	startedAt := time.Now()
	if pl.isCondemned(cn) {
		cut(errSilent)
		return
	}
	if !pl.tryOpen(pl.share.Load()) {
		// No place for a probe: the link makes room. If the server answers on
		// no other link either, those go too.
		if pl.lastRead.Load() <= sentAt.UnixNano() {
			cl.condemn(startedAt, pl)
		}
		cut(errSilent)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := cl.probeFresh(ctx, pl, pb)
	switch {
	case err != nil:
		cut(errSilent)
	case cn.IsSilent(sentAt):
		cl.condemn(startedAt, pl)
		cut(errSilent)
	}
}

// condemn gives up all links to a server that were opened before a time. When
// several servers' links went silent at once, something on the way forgot them,
// and those of all servers are given up.
func (cl *Client) condemn(before time.Time, pl *pool) {
	pl.condemn(before)
	recent := *cl.silent.Update(func(old []silence) []silence {
		next := slices.DeleteFunc(slices.Clone(old), func(sl silence) bool {
			return sl.server == pl.server.Name || before.Sub(sl.at) > massWindow
		})
		return append(next, silence{server: pl.server.Name, at: before})
	})
	if len(recent) < massSilence {
		return
	}
	cl.pools.Range(func(_, value any) bool {
		value.(*pool).condemn(before)
		return true
	})
}

// Warm opens a link in advance to each of the servers that has none to spare,
// but for those that failed a short while ago.
func (cl *Client) Warm(ctx context.Context, now time.Time, servers []*machine.Server) {
	for _, sv := range servers {
		if sv.IsLeaving(now) || sv.State.Suspect(now) {
			continue
		}
		pl := cl.pool(sv)
		pl.trim(now)
		pl.warm(ctx)
	}
}

// Poll reads load and health of servers until the context ends, some each
// second. servers returns those in the current view.
func (cl *Client) Poll(ctx context.Context, servers func() []*machine.Server) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	var left []*machine.Server
	for {
		if len(left) == 0 {
			left = servers()
		}
		batch := left[:min(len(left), pollsPerSecond)]
		left = left[len(batch):]
		var polls sync.WaitGroup
		for _, sv := range batch {
			polls.Go(func() { cl.pollServer(ctx, sv) })
		}
		polls.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (cl *Client) pollServer(ctx context.Context, sv *machine.Server) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	pl := cl.pool(sv)
	pl.trim(time.Now())
	cn, err := pl.take(ctx)
	if err != nil {
		return
	}
	api, err := cn.client(sv.Address)
	if err != nil {
		pl.discard(cn)
		return
	}
	ld, err := api.GetLoad(ctx)
	if err != nil {
		pl.discard(cn)
		return
	}
	sv.State.Reported(time.Now(), ld.InFlight+ld.Queued)
	health, err := api.GetHealth(ctx)
	if err != nil {
		pl.discard(cn)
		return
	}
	if health.State == backendapi.HealthStateDraining {
		sv.State.MarkLeaving(time.Now())
	}
	pl.give(time.Now(), cn)
}

// PoolState is a summary of the links to one server.
type PoolState struct {
	Open      int64 `json:"open"`
	Share     int64 `json:"share"`
	Idle      int   `json:"idle"`
	Condemned int64 `json:"condemned"`
}

// Pools returns a summary of the links by the servers' addresses.
func (cl *Client) Pools() map[string]PoolState {
	states := map[string]PoolState{}
	cl.pools.Range(func(name, value any) bool {
		pl := value.(*pool)
		states[name.(poolKey).address] = PoolState{
			Open: pl.open.Load(), Share: pl.share.Load(), Idle: len(pl.idle), Condemned: pl.condemned.Load(),
		}
		return true
	})
	return states
}

// Forget closes the links to servers that are no longer known.
func (cl *Client) Forget(known func(name, address string) bool) {
	cl.pools.Range(func(name, value any) bool {
		if key := name.(poolKey); !known(key.name, key.address) {
			cl.pools.Delete(name)
			value.(*pool).close()
		}
		return true
	})
}
