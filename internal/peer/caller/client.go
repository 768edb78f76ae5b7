package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/jx"
	"github.com/google/uuid"

	"daisystage.example/daisystage/internal/wire/callerapi"
	"daisystage.example/daisystage/internal/world/contract"
)

// entriesTimeout limits one request for the list of entries.
const entriesTimeout = 2 * time.Second

// Client sends the requests of a caller. It fetches the list of entries (the entry
// VMs that callers may use) from any known address, caches it for as long as the
// response allows, and tries the entries in the order of the list. Make one with
// NewClient.
type Client struct {
	http *http.Client
	zone string
	// seeds are addresses from which the list of entries can be fetched before
	// any entry is known.
	seeds []string

	lock sync.Mutex
	// entries is the list last fetched, cached until entriesExpireAt.
	entries         []callerapi.Entry
	entriesExpireAt time.Time
	// fixed is set if entries is never fetched again.
	fixed bool
}

// NewClient returns a client of a caller in a zone. seeds are caller addresses of
// entry VMs.
func NewClient(hc *http.Client, zone string, seeds []string) *Client {
	return &Client{http: hc, zone: zone, seeds: seeds}
}

// Result is the outcome of a query: an answer, a refusal, or neither if no entry
// replied.
type Result struct {
	// Answer is nil if the request was refused.
	Answer *callerapi.Answer
	// Refusal is nil if there is an answer.
	Refusal *callerapi.Refusal
	// Entry is the address of the entry last tried.
	Entry string
	// Took is the time from the start of the query to its end.
	Took time.Duration
	// Failures counts the entries that gave no reply before Entry was tried.
	Failures int
}

// Outcome returns the outcome of the answer or the refusal; contract.Unknown if
// there is neither.
func (rs Result) Outcome() contract.Outcome {
	if rs.Answer != nil {
		return contract.Outcome(rs.Answer.Outcome)
	}
	if rs.Refusal != nil {
		return contract.Outcome(rs.Refusal.Outcome)
	}
	return contract.Unknown
}

// Receipt returns the receipt that came with the answer or the refusal.
func (rs Result) Receipt() (*contract.Receipt, error) {
	var text []byte
	switch {
	case rs.Answer != nil:
		text = rs.Answer.Receipt
	case rs.Refusal != nil:
		text = rs.Refusal.Receipt
	}
	rc := &contract.Receipt{}
	if err := json.Unmarshal(text, rc); err != nil {
		return nil, fmt.Errorf("decode receipt: %w", err)
	}
	return rc, nil
}

func (cl *Client) newAPIClient(address string) (*callerapi.Client, error) {
	ac, err := callerapi.NewClient("http://"+address, callerapi.WithClient(cl.http))
	if err != nil {
		return nil, fmt.Errorf("caller address %s: %w", address, err)
	}
	return ac, nil
}

// Entries returns the entries to use. It fetches the list from an entry VM if
// there is none in the cache or it has expired.
func (cl *Client) Entries(ctx context.Context, now time.Time) ([]callerapi.Entry, error) {
	cl.lock.Lock()
	known, fresh := cl.entries, cl.fixed || now.Before(cl.entriesExpireAt)
	cl.lock.Unlock()
	if fresh && len(known) > 0 {
		return known, nil
	}
	addresses := append([]string(nil), cl.seeds...)
	for _, en := range known {
		addresses = append(addresses, en.Address)
	}
	lastErr := errors.New("no entry VM address is known")
	for _, at := range rand.Perm(len(addresses)) {
		list, err := cl.fetchEntries(ctx, addresses[at])
		if err != nil {
			lastErr = err
			continue
		}
		cl.lock.Lock()
		cl.entries = list.Entries
		cl.entriesExpireAt = now.Add(time.Duration(list.KeepForMs) * time.Millisecond)
		cl.lock.Unlock()
		return list.Entries, nil
	}
	return nil, fmt.Errorf("find the entries: %w", lastErr)
}

// UseOnly makes the client use a single address, without fetching the list of
// entries. It can't be undone.
func (cl *Client) UseOnly(address string) {
	cl.lock.Lock()
	defer cl.lock.Unlock()
	cl.entries = []callerapi.Entry{{Name: address, Address: address}}
	cl.fixed = true
}

func (cl *Client) fetchEntries(ctx context.Context, address string) (*callerapi.Entries, error) {
	ac, err := cl.newAPIClient(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	list, err := ac.ListEntries(ctx, callerapi.ListEntriesParams{Zone: callerapi.NewOptString(cl.zone)})
	if err != nil {
		return nil, fmt.Errorf("fetch entries from %s: %w", address, err)
	}
	if len(list.Entries) == 0 {
		return nil, fmt.Errorf("%s lists no ready entry", address)
	}
	return list, nil
}

// Query sends one request to the entries in turn, nearest first, until one of
// them answers it or refuses it for a reason that holds for all entries. The same
// id may be sent again at any time. A positive deadline limits the route's own.
func (cl *Client) Query(ctx context.Context, team, route string, id uuid.UUID, query []byte, deadline time.Duration) (Result, error) {
	startedAt := time.Now()
	entries, err := cl.Entries(ctx, startedAt)
	if err != nil {
		return Result{}, err
	}
	rq := &callerapi.QueryRequest{RequestID: id, Query: jx.Raw(query)}
	if deadline > 0 {
		rq.DeadlineMs = callerapi.NewOptInt64(deadline.Milliseconds())
	}
	var last Result
	var lastErr error
	failures := 0
	for _, en := range entries {
		last, lastErr = cl.send(ctx, en.Address, team, route, rq)
		last.Took, last.Failures = time.Since(startedAt), failures
		if lastErr != nil {
			failures++
		}
		if lastErr == nil && !mayTryNext(last) {
			return last, nil
		}
	}
	cl.expireEntries()
	return last, lastErr
}

// mayTryNext reports whether another entry VM may accept a request that was
// refused.
func mayTryNext(rs Result) bool {
	if rs.Refusal == nil {
		return false
	}
	code := contract.Code(rs.Refusal.Code)
	return code == contract.CodeIsolated || code == contract.CodeStarting
}

// expireEntries makes the next request fetch the list of entries again.
func (cl *Client) expireEntries() {
	cl.lock.Lock()
	defer cl.lock.Unlock()
	cl.entriesExpireAt = time.Time{}
}

func (cl *Client) send(ctx context.Context, address, team, route string, rq *callerapi.QueryRequest) (Result, error) {
	ac, err := cl.newAPIClient(address)
	if err != nil {
		return Result{}, err
	}
	an, err := ac.RunQuery(ctx, rq, callerapi.RunQueryParams{Team: team, Route: route})
	if rd := (*callerapi.RefusedStatusCode)(nil); errors.As(err, &rd) {
		return Result{Refusal: &rd.Response, Entry: address}, nil
	}
	if err != nil {
		return Result{Entry: address}, fmt.Errorf("query through %s: %w", address, err)
	}
	return Result{Answer: an, Entry: address}, nil
}
