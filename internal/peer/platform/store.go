// Package platform is the client of the platform's object API and VM list. It
// watches the objects of the view, writes settings and receipts, and claims
// requests so that each runs at most once.
package platform

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"daisystage.example/daisystage/internal/wire/platformapi"
	"daisystage.example/daisystage/internal/world/view"
)

// The errors of a Store. After any other error it is unknown whether a write
// took effect.
var (
	ErrNotFound  = errors.New("no such object")
	ErrConflict  = errors.New("object has another version")
	ErrTooLarge  = errors.New("value is too large")
	ErrCompacted = errors.New("changes since that version are gone")
	// ErrRateLimited means that the call was not made because of the rate limit.
	ErrRateLimited = errors.New("platform call budget is used up")
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name    string
	Leaving bool
}

// Reader is the part of the object API that a Watcher needs.
type Reader interface {
	// List returns the objects under a prefix and the platform's version at
	// which they were read.
	List(ctx context.Context, prefix string) ([]view.Object, int64, error)
	// Watch waits for changes under a prefix after a version. It returns them
	// with the version from which the next watch continues.
	Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error)
}

// Store is the platform's object API.
type Store interface {
	Reader
	Get(ctx context.Context, key string) (view.Object, error)
	// Put writes a value if the object's version is ifVersion, 0 if it must not
	// exist, and returns the new version. A version of an earlier era is not current.
	Put(ctx context.Context, key, value string, ifVersion int64) (int64, error)
	Delete(ctx context.Context, key string, ifVersion int64) error
	VMs(ctx context.Context) ([]VM, error)
}

// RateLimits holds the limits on the platform calls of one process.
type RateLimits struct {
	// ReadsPerSecond and WritesPerSecond are positive.
	ReadsPerSecond, WritesPerSecond float64
}

const (
	// burstSeconds is the burst of the rate limits, in seconds' worth of calls.
	burstSeconds = 2
	// callTimeout limits a call other than a watch.
	callTimeout = 2 * time.Second
	// watchSlack is added to the wait of a watch to get its timeout.
	watchSlack = 2 * time.Second
)

// Client implements Store over HTTP. Make one with New.
type Client struct {
	clients []*platformapi.Client
	// current is the index of the client to use, modulo the number of clients. It
	// is incremented when a call gets no answer.
	current atomic.Int64
	reads   *rate.Limiter
	writes  *rate.Limiter
	// Reads and Writes count the calls, including those that the rate limit
	// refused; Failures counts those that got no answer and were not given up by their caller.
	Reads, Writes, Failures atomic.Int64
	eras                    Eras
	// failedAt is when a call last failed without an answer, answeredAt when one
	// was last answered, in Unix nanoseconds.
	failedAt, answeredAt atomic.Int64
}

// New returns a client of the platform's addresses.
func New(addresses []string, hc *http.Client, rl RateLimits) (*Client, error) {
	cl := &Client{
		reads:  rate.NewLimiter(rate.Limit(rl.ReadsPerSecond), int(rl.ReadsPerSecond*burstSeconds)+1),
		writes: rate.NewLimiter(rate.Limit(rl.WritesPerSecond), int(rl.WritesPerSecond*burstSeconds)+1),
	}
	eraReader := *hc
	eraReader.Transport = eraTransport{cmp.Or[http.RoundTripper](hc.Transport, http.DefaultTransport)}
	for _, address := range addresses {
		ac, err := platformapi.NewClient("http://"+address, platformapi.WithClient(&eraReader))
		if err != nil {
			return nil, fmt.Errorf("platform address %s: %w", address, err)
		}
		cl.clients = append(cl.clients, ac)
	}
	if len(cl.clients) == 0 {
		return nil, errors.New("no platform address")
	}
	return cl, nil
}

// IsDown reports whether the most recently finished call got no answer, or one that
// says that the platform is unavailable. Calls that their caller gave up do not count.
func (cl *Client) IsDown() bool {
	return cl.failedAt.Load() > cl.answeredAt.Load()
}

// Eras implements EraSource.
func (cl *Client) Eras() *Eras {
	return &cl.eras
}

// call makes one call within the rate limit, and returns the era of the answer with it. If
// there is no answer, later calls use the next address.
func call[R any](caller context.Context, cl *Client, limiter *rate.Limiter, timeout time.Duration, do func(context.Context, *platformapi.Client) (R, error)) (R, int64, error) {
	var none R
	if err := limiter.Wait(caller); err != nil {
		return none, 0, fmt.Errorf("%w: %w", ErrRateLimited, err)
	}
	ctx, cancel := context.WithTimeout(caller, timeout)
	defer cancel()
	at := cl.current.Load()
	ctx, era := withEra(ctx)
	rs, err := do(ctx, cl.clients[at%int64(len(cl.clients))])
	isOld := *era >= 0 && !cl.eras.Observe(*era)
	if known := responseError(err); err == nil || known != nil {
		cl.answeredAt.Store(time.Now().UnixNano())
		if isOld {
			return none, 0, ErrOldEra
		}
		return rs, *era, known
	}
	if caller.Err() == nil {
		cl.Failures.Add(1)
		cl.failedAt.Store(time.Now().UnixNano())
		cl.current.CompareAndSwap(at, at+1)
	}
	return none, 0, fmt.Errorf("call platform: %w", err)
}

// responseError returns the error in the platform's answer, nil if the outcome
// of the call is unknown.
func responseError(err error) error {
	failed := (*platformapi.FailedStatusCode)(nil)
	if !errors.As(err, &failed) {
		return nil
	}
	switch failed.Response.Code {
	case platformapi.FailureCodeNotFound:
		return ErrNotFound
	case platformapi.FailureCodeConflict:
		return ErrConflict
	case platformapi.FailureCodeTooLarge:
		return ErrTooLarge
	case platformapi.FailureCodeCompacted:
		return ErrCompacted
	}
	return nil
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (view.Object, error) {
	cl.Reads.Add(1)
	ob, era, err := call(ctx, cl, cl.reads, callTimeout, func(ctx context.Context, ac *platformapi.Client) (*platformapi.Object, error) {
		return ac.GetObject(ctx, platformapi.GetObjectParams{Key: key})
	})
	if err != nil {
		return view.Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return objectOf(era, *ob)
}

// isOfNewestEra reports whether an object may still have a version: the store has not been
// restored since, as far as this process knows.
func (cl *Client) isOfNewestEra(version int64) bool {
	era, _ := cl.eras.Newest()
	return version == 0 || view.EraOf(version) == era
}

// Put implements Store.
func (cl *Client) Put(ctx context.Context, key, value string, ifVersion int64) (int64, error) {
	if !cl.isOfNewestEra(ifVersion) {
		return 0, fmt.Errorf("put %s: %w", key, ErrConflict)
	}
	cl.Writes.Add(1)
	stamp, era, err := call(ctx, cl, cl.writes, callTimeout, func(ctx context.Context, ac *platformapi.Client) (*platformapi.Stamp, error) {
		return ac.PutObject(ctx, &platformapi.Value{Value: value}, platformapi.PutObjectParams{Key: key, IfVersion: view.RevisionOf(ifVersion)})
	})
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	version, err := view.MakeVersion(era, stamp.Version)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	return version, nil
}

// Delete implements Store.
func (cl *Client) Delete(ctx context.Context, key string, ifVersion int64) error {
	if !cl.isOfNewestEra(ifVersion) {
		return fmt.Errorf("delete %s: %w", key, ErrConflict)
	}
	cl.Writes.Add(1)
	_, _, err := call(ctx, cl, cl.writes, callTimeout, func(ctx context.Context, ac *platformapi.Client) (*platformapi.Stamp, error) {
		return ac.DeleteObject(ctx, platformapi.DeleteObjectParams{Key: key, IfVersion: view.RevisionOf(ifVersion)})
	})
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix string) ([]view.Object, int64, error) {
	cl.Reads.Add(1)
	ls, era, err := call(ctx, cl, cl.reads, callTimeout, func(ctx context.Context, ac *platformapi.Client) (*platformapi.Listing, error) {
		return ac.ListObjects(ctx, platformapi.ListObjectsParams{Prefix: prefix})
	})
	if err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	return objectsOf(era, ls.Objects, ls.Version)
}

// Watch implements Store.
func (cl *Client) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]view.Object, int64, error) {
	cl.Reads.Add(1)
	ch, era, err := call(ctx, cl, cl.reads, wait+watchSlack, func(ctx context.Context, ac *platformapi.Client) (*platformapi.Changes, error) {
		return ac.WatchObjects(ctx, platformapi.WatchObjectsParams{Prefix: prefix, From: from, WaitMs: wait.Milliseconds()})
	})
	if err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return objectsOf(era, ch.Objects, ch.Next)
}

// VMs implements Store.
func (cl *Client) VMs(ctx context.Context) ([]VM, error) {
	cl.Reads.Add(1)
	listed, _, err := call(ctx, cl, cl.reads, callTimeout, func(ctx context.Context, ac *platformapi.Client) ([]platformapi.VM, error) {
		return ac.ListVMs(ctx)
	})
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	vms := make([]VM, len(listed))
	for i, vm := range listed {
		vms[i] = VM{Name: vm.Name, Leaving: vm.State == platformapi.VMStateLeaving}
	}
	return vms, nil
}

// objectsOf returns the objects in an answer of an era, and the version of a revision in it.
func objectsOf(era int64, listed []platformapi.Object, revision int64) ([]view.Object, int64, error) {
	version, err := view.MakeVersion(era, revision)
	if err != nil {
		return nil, 0, fmt.Errorf("version of the answer: %w", err)
	}
	objects := make([]view.Object, len(listed))
	for i, each := range listed {
		if objects[i], err = objectOf(era, each); err != nil {
			return nil, 0, err
		}
	}
	return objects, version, nil
}

func objectOf(era int64, ob platformapi.Object) (view.Object, error) {
	version, err := view.MakeVersion(era, ob.Version)
	if err != nil {
		return view.Object{}, fmt.Errorf("version of object %s: %w", ob.Key, err)
	}
	return view.Object{Key: ob.Key, Version: version, Value: ob.Value, Deleted: ob.Deleted.Value}, nil
}
