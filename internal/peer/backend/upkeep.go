package backend

import (
	"context"
	"sync"
	"time"

	"daisystage.example/daisystage/internal/wire/backendapi"
	"daisystage.example/daisystage/internal/world/machine"
)

// Warm opens a connection in the background to each of the servers that has no
// idle one, except to those that are leaving or failed recently. It also closes
// idle connections that are no longer usable.
func (cl *Client) Warm(ctx context.Context, now time.Time, servers []*machine.Server) {
	for _, sv := range servers {
		if !sv.AcceptsWork(now) || sv.State.IsSuspect(now) {
			continue
		}
		pl := cl.pool(sv)
		pl.trim(now)
		pl.warm(ctx)
	}
}

// Poll reads the load and health of servers until the context is done, in one
// batch per pollInterval. servers returns those in the current view.
func (cl *Client) Poll(ctx context.Context, servers func() []*machine.Server) {
	ticker := time.NewTicker(pollInterval)
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
	cn, err := pl.acquire(ctx, anyConn)
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
	sv.State.RecordLoad(time.Now(), ld.InFlight+ld.Queued)
	health, err := api.GetHealth(ctx)
	if err != nil {
		pl.discard(cn)
		return
	}
	if health.State == backendapi.HealthStateDraining {
		sv.State.MarkLeaving(time.Now())
	}
	pl.release(time.Now(), cn)
}

// PoolState is a summary of the connections to one server.
type PoolState struct {
	Open          int64 `json:"open"`
	Share         int64 `json:"share"`
	Idle          int   `json:"idle"`
	Invalidations int64 `json:"condemned"`
}

// Pools returns a summary of the connections by the servers' addresses.
func (cl *Client) Pools() map[string]PoolState {
	states := map[string]PoolState{}
	cl.pools.Range(func(key, value any) bool {
		pl := value.(*pool)
		states[key.(poolKey).address] = PoolState{
			Open: pl.open.Load(), Share: pl.share.Load(), Idle: len(pl.idle), Invalidations: pl.invalidations.Load(),
		}
		return true
	})
	return states
}

// Prune closes the connections to servers that are no longer known.
func (cl *Client) Prune(known func(name, address string) bool) {
	cl.pools.Range(func(key, value any) bool {
		if pk := key.(poolKey); !known(pk.name, pk.address) {
			cl.pools.Delete(key)
			value.(*pool).close()
		}
		return true
	})
}
