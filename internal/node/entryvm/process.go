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
	"daisystage.example/daisystage/internal/peer/callerhttp"
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
	// upkeepInterval is the time between two rounds of the periodic upkeep.
	upkeepInterval = 200 * time.Millisecond
	// The work that visits all servers is done once in roundsPerFullUpkeep
	// rounds.
	roundsPerFullUpkeep = 5
	// pauseThreshold is the time between two rounds above which the process logs
	// that it was paused.
	pauseThreshold = 2 * time.Second
	// claimSweepInterval is the time between two deletions of claims that are past
	// their retention.
	claimSweepInterval = 10 * time.Minute
	// receiptFlushTimeout bounds the write of the remaining receipts at shutdown.
	receiptFlushTimeout = 5 * time.Second
	// headerTimeout bounds the time to read the header of one request.
	headerTimeout = 10 * time.Second
	// writeTimeout bounds each write of an answer.
	writeTimeout = time.Minute
	// shutdownTimeout bounds the wait for requests still in flight at shutdown.
	shutdownTimeout = 2 * time.Minute
)

// Network opens the listeners and outgoing connections of a process. Tests
// replace it by an in-memory network.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   backend.DialFunc
}

// TCP returns a network that uses TCP, with keep-alives on outgoing connections.
func TCP() Network {
	dialer := &net.Dialer{KeepAlive: 15 * time.Second}
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   dialer.DialContext,
	}
}

// Process is the running process of one entry VM. Create it with Start.
type Process struct {
	Config       Config
	Service      *request.Service
	Cluster      *entry.Cluster
	Views        *rcu.Value[view.View]
	Confirmation *view.Confirmation
	Quarantine   *contract.Quarantine
	Backend      *backend.Client
	Receipts     *platform.ReceiptWriter
	Platform     *platform.Client
	Metrics      *metrics.Metrics
	Log          *zap.Logger

	startedAt      time.Time
	recentReceipts *ring.Ring[contract.Receipt]
	callerHandler  *caller.Handler
	// guard bounds what callers and operators occupy together.
	guard *callerhttp.Guard
	// callerListener accepts the callers' connections.
	callerListener *callerhttp.Listener
	grpc           *grpc.Server
	transport      *entry.GRPCTransport
	// phase is "serving", "leaving" or "draining"; the dump shows it.
	phase atomic.Value
	// group holds the goroutines and clean-up functions of the process.
	group lifecycle.Group
}

// Start starts a process. The returned function ends the process immediately
// and cuts requests in flight; Stop ends it gracefully.
func Start(now time.Time, cg Config, nw Network, log *zap.Logger) (*Process, func(), error) {
	ps := &Process{
		guard:          callerhttp.NewGuard(cg.RequestMemory()),
		Config:         cg,
		Views:          rcu.New(view.View{}),
		Confirmation:   &view.Confirmation{},
		Quarantine:     contract.NewQuarantine(),
		Log:            log.With(zap.String("entry_vm", cg.Name), zap.String("zone", cg.Zone)),
		startedAt:      now,
		recentReceipts: ring.New[contract.Receipt](cg.ReceiptsKept),
	}
	ps.guard.LeasesBodies = true
	ps.guard.SetLimits(callerhttp.Limits{HeadBytes: cg.MaxHeaderBytes, HeadTimeout: headerTimeout})
	ps.phase.Store("serving")
	if err := ps.build(now, nw); err != nil {
		ps.group.Close()
		return nil, nil, err
	}
	if err := ps.listen(nw); err != nil {
		ps.group.Close()
		return nil, nil, err
	}
	ps.startTasks()
	events.Started.Log(ps.Log, zap.String("caller_address", cg.CallerAddress), zap.String("operator_address", cg.OperatorAddress))
	return ps, ps.group.Close, nil
}

// build creates the components of the process without starting any of them.
func (ps *Process) build(now time.Time, nw Network) error {
	cg := ps.Config
	hc := &http.Client{Transport: &http.Transport{DialContext: nw.Dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}}
	ps.group.Cleanup(hc.CloseIdleConnections)
	var err error
	ps.Platform, err = platform.New(cg.PlatformAddresses, hc, platform.RateLimits{ReadsPerSecond: cg.PlatformReadsPerSecond, WritesPerSecond: cg.PlatformWritesPerSecond})
	if err != nil {
		return err
	}
	var endMetrics func()
	ps.Metrics, endMetrics = metrics.New(cg.Name, cg.Zone)
	ps.group.Cleanup(endMetrics)
	var endBackend func()
	ps.Backend, endBackend = backend.New(nw.Dial)
	ps.group.Cleanup(endBackend)
	ps.Receipts = platform.NewReceiptWriter(ps.Platform, cg.Name, ps.Log)
	ps.buildCluster(now, nw)
	ps.buildService()
	return nil
}

// zone returns the zone of this VM with the configured delays to other zones.
func (ps *Process) zone() zone.Zone {
	zn := zone.Zone{Name: ps.Config.Zone, Delays: map[string]time.Duration{}}
	for name, delay := range ps.Config.ZoneDelays {
		zn.Delays[name] = delay.Duration
	}
	return zn
}

func (ps *Process) buildCluster(now time.Time, nw Network) {
	cg := ps.Config
	ps.transport = &entry.GRPCTransport{Dial: nw.Dial}
	ps.group.Cleanup(ps.transport.Close)
	ps.Cluster = &entry.Cluster{
		Self: machine.EntryVM{
			Name: cg.Name, Zone: cg.Zone, CallerAddress: cg.CallerAddress, OperatorAddress: cg.OperatorAddress,
			EntryAddress: cg.EntryAddress, Incarnation: uint64(now.UnixNano()),
		},
		Seeds:        cg.Peers,
		Transport:    ps.transport,
		Replica:      ps.viewTarget(),
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
		Runner: &scatter.SnapshotRunner[scatter.LeastExpectedLatency, scatter.QuantileHedge]{
			Sender: ps.Backend, Zone: ps.zone(), Quarantine: ps.Quarantine, OnServerLost: ps.onServerLost, EntryVMRank: ps.entryVMRank,
		},
		Claims: claims, Receipts: ps.recentReceipts, StoreReceipt: ps.Receipts.Enqueue, Observer: &observer{ps.Metrics, ps.Log},
	}
	ps.group.Cleanup(ps.Service.Close)
	ps.callerHandler = &caller.Handler{
		Service: ps.Service, Zone: ps.zone(), Members: ps.Cluster.Members,
		EntriesTTL: ps.Config.EntriesTTL.Duration, MaxBody: ps.Config.MaxBodyBytes,
	}
}

// entryVMRank returns the index of this entry VM among all known ones, ordered
// by name; -1 if it is not among them.
func (ps *Process) entryVMRank(now time.Time) int {
	return slices.IndexFunc(ps.Cluster.Members(now), func(vm machine.EntryVM) bool { return vm.Name == ps.Config.Name })
}

// onServerLost logs that a server's connection broke while it ran a request,
// and passes the crash on to the peers without waiting for the next heartbeat.
func (ps *Process) onServerLost(now time.Time, fingerprint uint64, server string) {
	events.ServerLostToRequest.Log(ps.Log, zap.Uint64("fingerprint", fingerprint), zap.String("server", server))
	if ps.Quarantine.IsBlocked(now, fingerprint) {
		events.Quarantined.Log(ps.Log, zap.Uint64("fingerprint", fingerprint))
	}
	ps.Cluster.TriggerRound()
}

// listen opens the caller, operator and entry listeners and serves on them.
func (ps *Process) listen(nw Network) error {
	callers, err := ps.callerHandler.Routes()
	if err != nil {
		return err
	}
	operators := &operator.Handler{
		Store: ps.Platform, Views: ps.Views, Members: ps.Cluster.Members, Name: ps.Config.Name, Receipts: ps.recentReceipts,
		State: func(now time.Time) any { return ps.State(now) }, Metrics: ps.Metrics.Handler, Log: ps.Log, Dial: nw.Dial,
	}
	operatorRoutes, err := operators.Routes()
	if err != nil {
		return err
	}
	conns := callerhttp.ConnectionLimits(ps.Config.MaxDescriptors)
	callerServer, callerListener, err := ps.listenHTTP(nw, ps.Config.CallerAddress, callers, conns.Callers)
	if err != nil {
		return err
	}
	operatorServer, operatorListener, err := ps.listenHTTP(nw, ps.Config.OperatorAddress, operatorRoutes, conns.Others)
	if err != nil {
		_ = callerListener.Close()
		return err
	}
	ps.callerListener = callerListener
	ps.group.Go(func() { _ = callerServer.Serve(callerListener) })
	ps.group.Go(func() { _ = operatorServer.Serve(operatorListener) })
	ls, err := nw.Listen(ps.Config.EntryAddress)
	if err != nil {
		return fmt.Errorf("listen on entry_address: %w", err)
	}
	ps.grpc = entry.NewServer(ps.Cluster, nil)
	ps.group.Go(func() { _ = ps.grpc.Serve(ls) })
	ps.group.Cleanup(ps.grpc.Stop)
	return nil
}

// listenHTTP returns a server with routes, which the process closes at its end, and
// a listener for it.
func (ps *Process) listenHTTP(nw Network, address string, routes http.Handler, maxConns int) (*http.Server, *callerhttp.Listener, error) {
	raw, err := nw.Listen(address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	hs := &http.Server{Handler: routes, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * time.Minute}
	ls := ps.guard.Listen(raw, hs, maxConns)
	ls.WriteTimeout = writeTimeout
	ps.group.Cleanup(func() { _ = hs.Close() })
	return hs, ls, nil
}

// viewTarget returns the target that applies platform objects to the view.
func (ps *Process) viewTarget() platform.ViewTarget {
	return platform.ViewTarget{Views: ps.Views, Confirmation: ps.Confirmation, Log: ps.Log}
}

// startTasks starts the background tasks: watching the platform, heartbeats,
// upkeep, writing receipts, deleting old claims and polling servers.
func (ps *Process) startTasks() {
	watcher := platform.NewWatcher(ps.Platform, view.Prefixes(), ps.viewTarget(), platform.WatchPacing{}.Defaults(), ps.Log)
	ps.group.Run(
		watcher.Run,
		ps.Cluster.Run,
		ps.runUpkeep,
		ps.Receipts.Run,
		ps.sweepClaims,
		func(ctx context.Context) { ps.Backend.Poll(ctx, ps.knownServers) },
		func(ctx context.Context) { platform.WatchVMs(ctx, ps.Platform, ps.markLeavingVMs) },
	)
}

// Stop ends the process gracefully. It marks itself as leaving in the list of
// entries, waits until the copies of that list that callers hold have expired,
// closes each connection after its next answer, and writes the remaining
// receipts to the platform. Requests still running after shutdownTimeout are
// cut.
func (ps *Process) Stop() {
	ps.phase.Store("leaving")
	events.Leaving.Log(ps.Log)
	ps.Cluster.Leave()
	time.Sleep(ps.Config.EntriesTTL.Duration + ps.Config.StopMargin.Duration)
	ps.phase.Store("draining")
	events.Draining.Log(ps.Log)
	ps.callerHandler.Draining.Store(true)
	time.Sleep(ps.Config.DrainFor.Duration)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := ps.callerListener.ShutDown(ctx); err != nil {
		events.StopCutShort.Log(ps.Log, zap.Error(err))
	}
	ps.Service.Close()
	flush, cancelFlush := context.WithTimeout(context.Background(), receiptFlushTimeout)
	defer cancelFlush()
	ps.Receipts.Flush(flush)
	ps.group.Close()
	events.Stopped.Log(ps.Log, zap.Int("receipts_left", ps.Receipts.QueueLength()))
}
