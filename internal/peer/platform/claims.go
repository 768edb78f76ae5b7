package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"daisystage.example/daisystage/internal/query/request"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/view"
)

const (
	// claimBatchDelay is how long claims are collected for one write.
	claimBatchDelay = 3 * time.Millisecond
	// claimRetryPause is the wait after a failed call to the platform.
	claimRetryPause = 20 * time.Millisecond
	// claimQueueSize limits the changes that wait for one bucket.
	claimQueueSize = 1024
	// bucketIdleTimeout is how long the goroutine of an unused bucket keeps
	// running.
	bucketIdleTimeout = 10 * time.Second
)

// errTaken means that another attempt holds a claim.
var errTaken = errors.New("claim is taken")

// Claims stores claims in the platform and implements request.Claims. Changes of
// one bucket within claimBatchDelay are written together. Make one with
// NewClaims.
type Claims struct {
	store Store
	name  string
	// lock guards buckets.
	lock    sync.Mutex
	buckets map[string]*bucket
	ctx     context.Context
	workers sync.WaitGroup
}

// NewClaims returns the claims of an entry VM and a function that stops its
// goroutines and waits for them.
func NewClaims(store Store, entryVM string) (*Claims, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	cs := &Claims{store: store, name: entryVM, buckets: map[string]*bucket{}, ctx: ctx}
	return cs, func() {
		cancel()
		cs.workers.Wait()
	}
}

// bucket is one platform object that holds claims, with its queue of changes.
type bucket struct {
	key     string
	changes chan *change
	// version and claims are as last read or written. loaded is false before
	// the first read, and after a failed write until the bucket is read again.
	// Only the bucket's goroutine uses them.
	version int64
	claims  contract.ClaimBucket
	loaded  bool
}

// change is one change of a bucket: a claim, a settlement or an abandonment.
type change struct {
	ctx context.Context
	// apply changes the claims and reports whether they need to be written. It
	// may be called again with other contents if the write fails.
	apply func(contract.ClaimBucket) (bool, error)
	// done receives exactly one value.
	done chan error
}

// Claim implements request.Claims.
func (cs *Claims) Claim(ctx context.Context, now time.Time, id uuid.UUID, attempt string) error {
	key, err := contract.ClaimKey(now, id)
	if err != nil {
		return err
	}
	var taken contract.Claim
	err = cs.submit(ctx, key, func(cb contract.ClaimBucket) (bool, error) {
		status, have := cb.Check(id.String(), attempt)
		switch status {
		case contract.ClaimOwned:
			return false, nil
		case contract.ClaimTaken:
			taken = have
			return false, errTaken
		}
		cb.Claims[id.String()] = contract.Claim{Attempt: attempt, EntryVM: cs.name, State: contract.ClaimOpen, At: now}
		return true, nil
	})
	return refusalOf(err, taken)
}

// refusalOf converts the error of a claim to the refusal that the caller gets.
func refusalOf(err error, taken contract.Claim) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errTaken):
		return takenRefusal(taken)
	default:
		refusal := contract.NewRefusal(contract.Unknown, contract.CodePlatformDown,
			"this send did not run, but the platform does not tell whether an earlier one of the same request did: %v", err)
		refusal.Err = contract.ErrClaimUncertain
		return refusal
	}
}

func takenRefusal(taken contract.Claim) error {
	if taken.State == contract.ClaimRan {
		return &request.AlreadyRunError{
			Refusal: contract.NewRefusal(contract.AlreadyRun, contract.CodeAlreadyRun, "an earlier send ran through entry VM %s", taken.EntryVM),
			Answer:  taken.Answer,
		}
	}
	return contract.NewRefusal(contract.Unknown, contract.CodeClaimOpen,
		"an earlier send through entry VM %s may have run", taken.EntryVM)
}

// Settle implements request.Claims.
func (cs *Claims) Settle(ctx context.Context, id uuid.UUID, attempt string, state contract.ClaimState, answer json.RawMessage) error {
	key, err := contract.ClaimKey(time.Now(), id)
	if err != nil {
		return err
	}
	err = cs.submit(ctx, key, func(cb contract.ClaimBucket) (bool, error) {
		return cb.Settle(id.String(), attempt, state, answer), nil
	})
	if err != nil {
		return fmt.Errorf("settle claim of %s: %w", id, err)
	}
	return nil
}

// Abandon implements request.Claims.
func (cs *Claims) Abandon(ctx context.Context, now time.Time, id uuid.UUID, attempt string) error {
	key, err := contract.ClaimKey(now, id)
	if err != nil {
		return err
	}
	var taken contract.Claim
	err = cs.submit(ctx, key, func(cb contract.ClaimBucket) (bool, error) {
		changed, have := cb.Abandon(now, id.String(), attempt, cs.name)
		if have.Attempt != "" {
			taken = have
			return false, errTaken
		}
		return changed, nil
	})
	return refusalOf(err, taken)
}

// Check implements request.Claims.
func (cs *Claims) Check(ctx context.Context, now time.Time, id uuid.UUID) error {
	key, err := contract.ClaimKey(now, id)
	if err != nil {
		return err
	}
	cb, _, err := readBucket(ctx, cs.store, key)
	if err != nil {
		return refusalOf(err, contract.Claim{})
	}
	status, taken := cb.Check(id.String(), "")
	if status == contract.ClaimTaken {
		return takenRefusal(taken)
	}
	return nil
}

func readBucket(ctx context.Context, store Store, key string) (contract.ClaimBucket, int64, error) {
	cb := contract.ClaimBucket{Claims: map[string]contract.Claim{}}
	ob, err := store.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return cb, 0, nil
	}
	if err != nil {
		return cb, 0, err
	}
	if err := json.Unmarshal([]byte(ob.Value), &cb); err != nil {
		return cb, 0, fmt.Errorf("decode claims %s: %w", key, err)
	}
	return cb, ob.Version, nil
}

// submit queues a change for the goroutine of its bucket, which it starts if
// needed, and waits for the result.
func (cs *Claims) submit(ctx context.Context, key string, apply func(contract.ClaimBucket) (bool, error)) error {
	ch := &change{ctx: ctx, apply: apply, done: make(chan error, 1)}
	cs.lock.Lock()
	bk, ok := cs.buckets[key]
	if !ok {
		bk = &bucket{key: key, changes: make(chan *change, claimQueueSize)}
		cs.buckets[key] = bk
		cs.workers.Go(func() { cs.runBucket(bk) })
	}
	full := false
	select {
	case bk.changes <- ch:
	default:
		full = true
	}
	cs.lock.Unlock()
	if full {
		return fmt.Errorf("claims of %s: %w", key, ErrRateLimited)
	}
	// The goroutine always sends a result. Once the context is done it makes no
	// further attempt, so that this waits for at most one call.
	return <-ch.done
}

// runBucket writes the changes of one bucket until it is idle for
// bucketIdleTimeout.
func (cs *Claims) runBucket(bk *bucket) {
	for {
		select {
		case first := <-bk.changes:
			cs.commit(bk, gatherChanges(bk, first))
		case <-time.After(bucketIdleTimeout):
			if cs.removeIfIdle(bk) {
				return
			}
		case <-cs.ctx.Done():
			cs.failPending(bk)
			return
		}
	}
}

func (cs *Claims) removeIfIdle(bk *bucket) bool {
	cs.lock.Lock()
	defer cs.lock.Unlock()
	if len(bk.changes) > 0 {
		return false
	}
	delete(cs.buckets, bk.key)
	return true
}

func (cs *Claims) failPending(bk *bucket) {
	cs.lock.Lock()
	delete(cs.buckets, bk.key)
	cs.lock.Unlock()
	for {
		select {
		case ch := <-bk.changes:
			ch.done <- context.Canceled
		default:
			return
		}
	}
}

// gatherChanges collects changes for claimBatchDelay, to write them with the
// first.
func gatherChanges(bk *bucket, first *change) []*change {
	batch := []*change{first}
	timer := time.NewTimer(claimBatchDelay)
	defer timer.Stop()
	for len(batch) < claimQueueSize {
		select {
		case ch := <-bk.changes:
			batch = append(batch, ch)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// commit writes a batch of changes. It retries after a conflict and after a call
// without an answer. The bucket is read again before a retry, which shows whether
// the write took effect: each change then finds its own attempt in the bucket.
func (cs *Claims) commit(bk *bucket, batch []*change) {
	var lastErr error
	for len(batch) > 0 {
		batch = dropCanceled(batch, lastErr)
		if cs.ctx.Err() != nil {
			// The process is stopping: no further attempt would be made.
			failAll(batch, errors.Join(cs.ctx.Err(), lastErr))
			return
		}
		if len(batch) == 0 {
			return
		}
		ctx, cancel := withLatestDeadline(cs.ctx, batch)
		var remaining []*change
		remaining, lastErr = cs.tryCommit(ctx, bk, batch)
		cancel()
		batch = remaining
		if lastErr != nil && !errors.Is(lastErr, ErrConflict) {
			sleep(cs.ctx, claimRetryPause)
		}
	}
}

// tryCommit makes one attempt and returns the changes that are not done.
func (cs *Claims) tryCommit(ctx context.Context, bk *bucket, batch []*change) ([]*change, error) {
	if !bk.loaded {
		cb, version, err := readBucket(ctx, cs.store, bk.key)
		if err != nil {
			return batch, err
		}
		bk.claims, bk.version, bk.loaded = cb, version, true
	}
	var written []*change
	for _, ch := range batch {
		changed, err := ch.apply(bk.claims)
		if err != nil || !changed {
			ch.done <- err
			continue
		}
		written = append(written, ch)
	}
	if len(written) == 0 {
		return nil, nil
	}
	// Unless the write succeeds, the changes are in this copy only.
	bk.loaded = false
	text, err := json.Marshal(bk.claims)
	if err != nil {
		return written, fmt.Errorf("encode claims %s: %w", bk.key, err)
	}
	version, err := cs.store.Put(ctx, bk.key, string(text), bk.version)
	if err != nil {
		return written, err
	}
	bk.version, bk.loaded = version, true
	for _, ch := range written {
		ch.done <- nil
	}
	return nil, nil
}

// dropCanceled returns the changes whose context is not done, and completes the
// others with the last error.
func dropCanceled(batch []*change, lastErr error) []*change {
	kept := batch[:0]
	for _, ch := range batch {
		if ch.ctx.Err() == nil {
			kept = append(kept, ch)
			continue
		}
		if lastErr == nil {
			lastErr = ch.ctx.Err()
		}
		ch.done <- lastErr
	}
	return kept
}

// failAll completes changes with an error.
func failAll(batch []*change, err error) {
	for _, ch := range batch {
		ch.done <- err
	}
}

// withLatestDeadline returns a context with the latest deadline of the batch, or
// without a deadline if any change has none.
func withLatestDeadline(ctx context.Context, batch []*change) (context.Context, context.CancelFunc) {
	var latest time.Time
	for _, ch := range batch {
		deadline, ok := ch.ctx.Deadline()
		if !ok {
			return context.WithCancel(ctx)
		}
		if deadline.After(latest) {
			latest = deadline
		}
	}
	return context.WithDeadline(ctx, latest)
}

// SweepClaims deletes the claim buckets whose epoch is past its retention. It
// returns their number, including those that another process deleted or changed
// first.
func SweepClaims(ctx context.Context, now time.Time, store Store) (int, error) {
	objects, _, err := store.List(ctx, contract.PrefixClaims)
	if err != nil {
		return 0, fmt.Errorf("sweep claims: %w", err)
	}
	swept := 0
	for _, ob := range objects {
		if !isExpired(now, ob) {
			continue
		}
		err := store.Delete(ctx, ob.Key, ob.Version)
		if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) {
			return swept, fmt.Errorf("sweep claims: %w", err)
		}
		swept++
	}
	return swept, nil
}

func isExpired(now time.Time, ob view.Object) bool {
	end, err := contract.ClaimEpochEnd(ob.Key)
	return err == nil && now.Sub(end) > contract.ClaimSweepAfter
}
