package entryvm

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/container/ring"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/node/lifecycle"
	"daisystage.example/daisystage/internal/node/metrics"
	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/peer/caller"
	"daisystage.example/daisystage/internal/peer/entry"
	"daisystage.example/daisystage/internal/peer/operator"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/query/request"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
	"daisystage.example/daisystage/internal/world/zone"
)

const (
	// tendEvery is the time between two rounds of upkeep.
	tendEvery = 200 * time.Millisecond
	// slowRound is the number of rounds between two looks at all servers.
	slowRound = 5
	// pausedAfter is the gap between two rounds that is logged as a pause.
	pausedAfter = 2 * time.Second
	// sweepEvery is the time between two deletions of old claims.
	sweepEvery = 10 * time.Minute
	// flushTime bounds the last write of receipts.
	flushTime = 5 * time.Second
	// longestDrain bounds the wait for requests that run at the stop.
	longestDrain = 2 * time.Minute
)

// Network is how a process reaches others.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   backend.DialFunc
}

// TCP returns the network of the machine.
func TCP() Network {
	dialer := &net.Dialer{KeepAlive: 15 * time.Second}
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   dialer.DialContext,
	}
}

// Process is the process of one entry VM. Make one with Start.
type Process struct {
	Config       Config
	Service      *request.Service
	Cluster      *entry.Cluster
	Views        *rcu.Value[view.View]
	Confirmation *view.Confirmation
	Quarantine   *contract.Quarantine
	Backend      *backend.Client
	Receipts     *platform.Receipts
	Platform     *platform.Client
	Metrics      *metrics.Metrics
	Log          *zap.Logger

	startedAt time.Time
	ring      *ring.Ring[contract.Receipt]
	caller    *caller.Handler
	servers   []*http.Server
	grpc      *grpc.Server
	transport *entry.GRPC
	// phase is what the process is doing, for the dump.
	phase atomic.Value
	// group holds the goroutines and links of the process.
	group lifecycle.Group
}

// Start starts a process. The function that it returns ends the process at
// once; Stop ends it without cutting a request.
func Start(now time.Time, cg Config, nw Network, log *zap.Logger) (*Process, func(), error) {
	ps := &Process{
		Config:       cg,
		Views:        rcu.New(view.View{}),
		Confirmation: &view.Confirmation{},
		Quarantine:   contract.NewQuarantine(),
		Log:          log.With(zap.String("entry_vm", cg.Name), zap.String("zone", cg.Zone)),
		startedAt:    now,
		ring:         ring.New[contract.Receipt](cg.ReceiptsKept),
	}
	ps.phase.Store("serving")
	if err := ps.build(now, nw); err != nil {
		ps.group.Close()
		return nil, nil, err
	}
	if err := ps.listen(nw); err != nil {
		ps.group.Close()
		return nil, nil, err
	}
	ps.run()
	events.Started.Log(ps.Log, zap.String("caller_address", cg.CallerAddress), zap.String("operator_address", cg.OperatorAddress))
	return ps, ps.group.Close, nil
}

func (ps *Process) build(now time.Time, nw Network) error {
	cg := ps.Config
	hc := &http.Client{Transport: &http.Transport{DialContext: nw.Dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}}
	ps.group.Cleanup(hc.CloseIdleConnections)
	var err error
	ps.Platform, err = platform.New(cg.PlatformAddresses, hc, platform.Budget{ReadsPerSecond: cg.PlatformReads, WritesPerSecond: cg.PlatformWrites})
	if err != nil {
		return err
	}
	var endMetrics func()
	ps.Metrics, endMetrics = metrics.New(cg.Name, cg.Zone)
	ps.group.Cleanup(endMetrics)
	var endBackend func()
	ps.Backend, endBackend = backend.New(nw.Dial)
	ps.group.Cleanup(endBackend)
	ps.Receipts = platform.NewReceipts(ps.Platform, cg.Name, ps.Log)
	ps.buildCluster(now, nw)
	ps.buildService()
	return nil
}

func (ps *Process) zone() zone.Zone {
	zn := zone.Zone{Name: ps.Config.Zone, Delays: map[string]time.Duration{}}
	for name, delay := range ps.Config.ZoneDelays {
		zn.Delays[name] = delay.Duration
	}
	return zn
}

func (ps *Process) buildCluster(now time.Time, nw Network) {
	cg := ps.Config
	ps.transport = &entry.GRPC{Dial: nw.Dial}
	ps.group.Cleanup(ps.transport.Close)
	ps.Cluster = &entry.Cluster{
		Self: machine.EntryVM{
			Name: cg.Name, Zone: cg.Zone, CallerAddress: cg.CallerAddress, OperatorAddress: cg.OperatorAddress,
			EntryAddress: cg.EntryAddress, Incarnation: uint64(now.UnixNano()),
		},
		Seeds:        cg.Peers,
		Transport:    ps.transport,
		Replica:      ps.target(),
		Confirmation: ps.Confirmation,
		Quarantine:   ps.Quarantine,
		PlatformDown: ps.Platform.IsDown,
		Log:          ps.Log,
	}
	ps.Cluster.Init()
}

func (ps *Process) buildService() {
	claims, endClaims := platform.NewClaims(ps.Platform, ps.Config.Name)
	ps.group.Cleanup(endClaims)
	ps.Service = &request.Service{
		Name: ps.Config.Name, Zone: ps.Config.Zone,
		Views: ps.Views, Confirmation: ps.Confirmation, Quarantine: ps.Quarantine,
		Scatter: &scatter.Query[scatter.LeastExpected, scatter.QuantileHedge]{
			Sender: ps.Backend, Zone: ps.zone(), Quarantine: ps.Quarantine, Crashed: ps.crashed, Rank: ps.rank,
		},
		Claims: claims, Receipts: ps.ring, Keep: ps.Receipts.Keep, Observer: &observer{ps.Metrics, ps.Log},
	}
	ps.group.Cleanup(ps.Service.Close)
	ps.caller = &caller.Handler{
		Service: ps.Service, Zone: ps.zone(), Members: ps.Cluster.Members,
		KeepFor: ps.Config.KeepFor.Duration, MaxBody: ps.Config.MaxBodyBytes,
	}
}

// rank returns the place of this entry VM among all, by name.
func (ps *Process) rank(now time.Time) int {
	return slices.IndexFunc(ps.Cluster.Members(now), func(vm machine.EntryVM) bool { return vm.Name == ps.Config.Name })
}

// crashed is told of servers lost to a request.
func (ps *Process) crashed(now time.Time, fingerprint uint64, server string) {
	events.ServerLost.Log(ps.Log, zap.Uint64("fingerprint", fingerprint), zap.String("server", server))
	if ps.Quarantine.Bars(now, fingerprint) {
		events.Quarantined.Log(ps.Log, zap.Uint64("fingerprint", fingerprint))
	}
	ps.Cluster.Kick()
}

func (ps *Process) listen(nw Network) error {
	callers, err := ps.caller.Routes()
	if err != nil {
		return err
	}
	operators := &operator.Handler{
		Store: ps.Platform, Views: ps.Views, Members: ps.Cluster.Members, Name: ps.Config.Name, Receipts: ps.ring,
		State: func(now time.Time) any { return ps.State(now) }, Metrics: ps.Metrics.Handler, Log: ps.Log, Dial: nw.Dial,
	}
	operatorRoutes, err := operators.Routes()
	if err != nil {
		return err
	}
	if err := ps.serveHTTP(nw, ps.Config.CallerAddress, callers); err != nil {
		return err
	}
	if err := ps.serveHTTP(nw, ps.Config.OperatorAddress, operatorRoutes); err != nil {
		return err
	}
	ls, err := nw.Listen(ps.Config.EntryAddress)
	if err != nil {
		return fmt.Errorf("listen on entry_address: %w", err)
	}
	ps.grpc = entry.NewServer(ps.Cluster)
	ps.group.Go(func() { _ = ps.grpc.Serve(ls) })
	ps.group.Cleanup(ps.grpc.Stop)
	return nil
}

func (ps *Process) serveHTTP(nw Network, address string, routes http.Handler) error {
	ls, err := nw.Listen(address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	hs := &http.Server{Handler: routes, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	ps.servers = append(ps.servers, hs)
	ps.group.Cleanup(func() { _ = hs.Close() })
	ps.group.Go(func() { _ = hs.Serve(ls) })
	return nil
}

func (ps *Process) target() platform.ViewTarget {
	return platform.ViewTarget{Views: ps.Views, Confirmation: ps.Confirmation, Log: ps.Log}
}

// run starts the goroutines that keep the process up to date.
func (ps *Process) run() {
	watcher := platform.NewWatcher(ps.Platform, view.Prefixes(), ps.target(), platform.Pace{}.Defaults(), ps.Log)
	ps.group.Run(
		watcher.Run,
		ps.Cluster.Run,
		ps.tend,
		ps.Receipts.Run,
		ps.sweep,
		func(ctx context.Context) { ps.Backend.Poll(ctx, ps.knownServers) },
		func(ctx context.Context) { platform.WatchVMs(ctx, ps.Platform, ps.takeVMs) },
	)
}

// Stop ends the process without cutting a request: it leaves the list of
// entries, waits until callers have forgotten it, closes each connection after
// an answer, and writes what is left to the platform.
func (ps *Process) Stop() {
	ps.phase.Store("leaving")
	events.Leaving.Log(ps.Log)
	ps.Cluster.Leave()
	time.Sleep(ps.Config.KeepFor.Duration + ps.Config.StopMargin.Duration)
	ps.phase.Store("draining")
	events.Draining.Log(ps.Log)
	ps.caller.Draining.Store(true)
	time.Sleep(ps.Config.DrainFor.Duration)
	ctx, cancel := context.WithTimeout(context.Background(), longestDrain)
	defer cancel()
	_ = ps.servers[0].Shutdown(ctx)
	ps.Service.Close()
	flush, cancelFlush := context.WithTimeout(context.Background(), flushTime)
	defer cancelFlush()
	ps.Receipts.Flush(flush)
	ps.group.Close()
	events.Stopped.Log(ps.Log, zap.Int("receipts_left", ps.Receipts.Waiting()))
}
