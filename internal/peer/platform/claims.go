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
	// claimBatchTime is how long claims are gathered into one write.
	claimBatchTime = 3 * time.Millisecond
	// claimRetryPause is the wait after a call to the platform failed.
	claimRetryPause = 20 * time.Millisecond
	// claimQueue is the number of changes that wait for one bucket.
	claimQueue = 1024
	// bucketIdle is how long the goroutine of an unused bucket is kept.
	bucketIdle = 10 * time.Second
)

// errTaken says that another attempt holds a claim.
var errTaken = errors.New("claim is taken")

// Claims keeps claims in the platform. Changes of one bucket that come within
// a few milliseconds are written together. Make one with NewClaims.
type Claims struct {
	store Store
	name  string
	// lock guards buckets.
	lock    sync.Mutex
	buckets map[string]*bucket
	ctx     context.Context
	work    sync.WaitGroup
}

// NewClaims returns the claims of an entry VM and a function that ends its
// goroutines.
func NewClaims(store Store, entryVM string) (*Claims, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	cs := &Claims{store: store, name: entryVM, buckets: map[string]*bucket{}, ctx: ctx}
	return cs, func() {
		cancel()
		cs.work.Wait()
	}
}

// bucket is one object of claims with the changes that wait for it.
type bucket struct {
	key     string
	changes chan *change
	// version and claims are as last read or written; loaded is false when
	// the fate of a write is open. Only the bucket's goroutine uses them.
	version int64
	claims  contract.ClaimBucket
	loaded  bool
}

// change is one claim or one settlement.
type change struct {
	ctx context.Context
	// apply changes the claims, which it may do several times for different
	// contents; it reports whether they need to be written.
	apply func(contract.ClaimBucket) (bool, error)
	// done gets exactly one value.
	done chan error
}

// Claim is of request.Claims.
func (cs *Claims) Claim(ctx context.Context, now time.Time, id uuid.UUID, attempt string) error {
	key, err := contract.ClaimKey(now, id)
	if err != nil {
		return err
	}
	var taken contract.Claim
	err = cs.submit(ctx, key, func(cb contract.ClaimBucket) (bool, error) {
		verdict, have := cb.Judge(id.String(), attempt)
		switch verdict {
		case contract.ClaimMine:
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

// refusalOf says what an error of a claim means for the caller.
func refusalOf(err error, taken contract.Claim) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errTaken):
		return takenRefusal(taken)
	default:
		refusal := contract.Refuse(contract.Unknown, contract.CodePlatformDown,
			"this send did not run, but the platform does not tell whether an earlier one of the same request did: %v", err)
		refusal.Err = contract.ErrFateOpen
		return refusal
	}
}

func takenRefusal(taken contract.Claim) error {
	if taken.State == contract.ClaimRan {
		return &request.AlreadyRunError{
			Refusal: contract.Refuse(contract.AlreadyRun, contract.CodeAlreadyRun, "an earlier send ran through entry VM %s", taken.EntryVM),
			Answer:  taken.Answer,
		}
	}
	return contract.Refuse(contract.Unknown, contract.CodeClaimOpen,
		"an earlier send through entry VM %s may have run", taken.EntryVM)
}

// Settle is of request.Claims.
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

// Abandon is of request.Claims.
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

// Look is of request.Claims.
func (cs *Claims) Look(ctx context.Context, now time.Time, id uuid.UUID) error {
	key, err := contract.ClaimKey(now, id)
	if err != nil {
		return err
	}
	cb, _, err := readBucket(ctx, cs.store, key)
	if err != nil {
		return refusalOf(err, contract.Claim{})
	}
	verdict, taken := cb.Judge(id.String(), "")
	if verdict == contract.ClaimTaken {
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

// submit hands a change to the goroutine of its bucket and waits for its end.
func (cs *Claims) submit(ctx context.Context, key string, apply func(contract.ClaimBucket) (bool, error)) error {
	ch := &change{ctx: ctx, apply: apply, done: make(chan error, 1)}
	cs.lock.Lock()
	bk, ok := cs.buckets[key]
	if !ok {
		bk = &bucket{key: key, changes: make(chan *change, claimQueue)}
		cs.buckets[key] = bk
		cs.work.Go(func() { cs.serve(bk) })
	}
	full := false
	select {
	case bk.changes <- ch:
	default:
		full = true
	}
	cs.lock.Unlock()
	if full {
		return fmt.Errorf("claims of %s: %w", key, ErrBudget)
	}
	// The goroutine always answers: after the end of the context it makes no
	// further try, so this waits for at most one call.
	return <-ch.done
}

// serve owns one bucket until it is idle.
func (cs *Claims) serve(bk *bucket) {
	for {
		select {
		case first := <-bk.changes:
			cs.commit(bk, gatherChanges(bk, first))
		case <-time.After(bucketIdle):
			if cs.retire(bk) {
				return
			}
		case <-cs.ctx.Done():
			cs.refuseRest(bk)
			return
		}
	}
}

func (cs *Claims) retire(bk *bucket) bool {
	cs.lock.Lock()
	defer cs.lock.Unlock()
	if len(bk.changes) > 0 {
		return false
	}
	delete(cs.buckets, bk.key)
	return true
}

func (cs *Claims) refuseRest(bk *bucket) {
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

// gatherChanges waits a moment for more changes to write with the first.
func gatherChanges(bk *bucket, first *change) []*change {
	batch := []*change{first}
	timer := time.NewTimer(claimBatchTime)
	defer timer.Stop()
	for len(batch) < claimQueue {
		select {
		case ch := <-bk.changes:
			batch = append(batch, ch)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// commit writes a batch. It tries again after a conflict and after a lost
// answer: the reread shows whether the write took effect, since each change
// finds its own attempt there.
func (cs *Claims) commit(bk *bucket, batch []*change) {
	var lastErr error
	for len(batch) > 0 {
		batch = dropEnded(batch, lastErr)
		if len(batch) == 0 {
			return
		}
		ctx, cancel := latestOf(cs.ctx, batch)
		var left []*change
		left, lastErr = cs.tryCommit(ctx, bk, batch)
		cancel()
		batch = left
		if lastErr != nil && !errors.Is(lastErr, ErrConflict) {
			sleep(cs.ctx, claimRetryPause)
		}
	}
}

// tryCommit makes one try and returns the changes that are not done.
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
	text, err := json.Marshal(bk.claims)
	if err != nil {
		return written, fmt.Errorf("encode claims %s: %w", bk.key, err)
	}
	bk.loaded = false
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

// dropEnded answers the changes whose time is over with the last error.
func dropEnded(batch []*change, lastErr error) []*change {
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

// latestOf returns a context that ends with the last of the batch.
func latestOf(ctx context.Context, batch []*change) (context.Context, context.CancelFunc) {
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

// Sweep deletes epochs of claims that are past their retention.
func Sweep(ctx context.Context, now time.Time, store Store) (int, error) {
	objects, _, err := store.List(ctx, contract.PrefixClaims)
	if err != nil {
		return 0, fmt.Errorf("sweep claims: %w", err)
	}
	swept := 0
	for _, ob := range objects {
		if !isSwept(now, ob) {
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

func isSwept(now time.Time, ob view.Object) bool {
	end, err := contract.ClaimEpochEnd(ob.Key)
	return err == nil && now.Sub(end) > contract.ClaimSweepAfter
}
