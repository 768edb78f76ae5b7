package forwardvm

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"daisystage.example/daisystage/internal/container/quota"
	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/node/bootclock"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/node/lifecycle"
	"daisystage.example/daisystage/internal/node/metrics"
	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/peer/callerhttp"
	"daisystage.example/daisystage/internal/peer/entry"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/query/forward"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
	"daisystage.example/daisystage/internal/world/zone"
)

const (
	// upkeepInterval is the time between two rounds of the periodic upkeep.
	upkeepInterval = 200 * time.Millisecond
	// The work that visits all connections is done once in roundsPerFullUpkeep
	// rounds.
	roundsPerFullUpkeep = 5
	// A watch waits for a change for minDrawnWait plus a random part of
	// drawnWaitJitter, or less (spreadWait), but at least minWatchWait. The random part
	// keeps the watching entry VMs out of step, so that a change missed by one is soon
	// seen by another.
	minDrawnWait    = 1300 * time.Millisecond
	drawnWaitJitter = 700 * time.Millisecond
	minWatchWait    = time.Second
	// maxAnswerGap is the longest time between two answers of the platform to an entry VM
	// that watches, apart from pauses. It must be well below the time after which it
	// counts as unanswered.
	maxAnswerGap = time.Second
	// A watch of the evacuations waits for minEvacuationWaitPercent plus a random part of
	// evacuationJitterPercent of the time within which one must take effect. The rest is
	// for a watch that fails, and for passing the change on.
	minEvacuationWaitPercent = 40
	evacuationJitterPercent  = 10
	// unreachableFor is how long after a failed call an entry VM considers the
	// platform unreachable and leaves watching to other entry VMs.
	unreachableFor = 5 * time.Second
	// askPeersPercent and ownWatchPercent are how long an entry VM without confirmation
	// through peers waits before it asks them again, and before it watches the platform
	// itself, in percent of the time within which a change must take effect. Confirmations
	// are up to maxAnswerGap, a pause and a HeartbeatInterval old; the rest is for a list.
	askPeersPercent = 65
	ownWatchPercent = 75
	// In a fleet of more than maxUndrawn VMs about drawnWatchers of those without
	// confirmation begin to watch the platform in each round of the upkeep.
	maxUndrawn    = 9
	drawnWatchers = 4
	// retryTurn is the length of each entry VM's turn to try an unreachable
	// platform.
	retryTurn = 300 * time.Millisecond
	// watchBatchDelay is the pause before the next watch, so that changes in
	// quick succession arrive in one answer.
	watchBatchDelay = 150 * time.Millisecond
	// firstWatchDelay is the time between the first list and the first watch if all
	// entry VMs start for the first time. It includes two rounds of heartbeats, after
	// which most know that they need not watch.
	firstWatchDelay = 3 * machine.HeartbeatInterval / 2
	// An expiring server, whose record disappeared, is used for a while before it
	// is removed. removalMargin is the time between its removal and the moment by
	// which it must get no more work, and maxRemovalDelay bounds how long it is
	// kept.
	removalMargin   = 700 * time.Millisecond
	maxRemovalDelay = 2500 * time.Millisecond
	// acceptMargin is the time before the end of a stop at which the process closes
	// its listener for callers.
	acceptMargin = 2500 * time.Millisecond
	// idleTimeout is the time after which unused caller connections are closed.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the time to read the header of one request.
	headerTimeout = 10 * time.Second
	// writeTimeout bounds each write of an answer to others than callers.
	writeTimeout = time.Minute
	// ackTimeout is how long sent data may stay unacknowledged before the
	// connection counts as broken. It allows three retransmissions on links of
	// this kind.
	ackTimeout = 600 * time.Millisecond
	// defaultZoneDelay is the assumed delay to other zones, which the settings do
	// not contain.
	defaultZoneDelay = 4 * time.Millisecond
	// suspectAt and blockAt are the generations of crashes at which a request is suspect
	// and blocked, and blockAtOnce the number of crashes in any order. Callers may resend
	// a request that crashed three servers three more times. A request to many shards
	// crashes one server of each at once.
	suspectAt   = 2
	blockAt     = 3
	blockAtOnce = 8
)

// FrontEnd holds the parts of a process that depend on the protocols in use: how
// it reads the platform, sends to servers and answers callers. NewSender,
// CallerHandler, ReadyHandler and DirectoryHandler are constructors; the last
// three return the handlers for requests, health checks and the directory of
// entry VMs.
type FrontEnd struct {
	Store platform.Reader
	// Eras are those that Store sees in its answers.
	Eras *platform.Eras
	// Unreadable collects the entries that Store leaves out.
	Unreadable *platform.Unreadable
	// Roster keeps the roster of the entry VMs; nil if nothing does.
	Roster           entry.RosterStore
	Codec            view.FleetCodec
	NewSender        func(cl *backend.Client, fleets *rcu.Value[view.Fleet]) scatter.Sender[forward.Attempt, forward.Answer]
	CallerHandler    func(ps *Process) http.Handler
	ReadyHandler     func(ps *Process) http.Handler
	DirectoryHandler func(ps *Process) http.Handler
	// SharedRates replaces the shared rates that limit the requests to cold servers, for
	// tests; nil for those of the process.
	SharedRates machine.SharedRates
}

// Process is the running process of one entry VM. Create it with Start.
type Process struct {
	// Config is the configuration at the start. A reload does not change it.
	Config       Config
	Service      *forward.Service
	Cluster      *entry.Cluster
	Fleets       *rcu.Value[view.Fleet]
	Confirmation *view.Confirmation
	// Freshness is that of the configuration in force.
	Freshness *view.Freshness
	Backend   *backend.Client
	Metrics   *metrics.Metrics
	Log       *zap.Logger
	// LogQueue is the queue that Log writes to; nil if there is none.
	LogQueue *events.Queue

	// unreadable collects the platform's entries that can't be used.
	unreadable *platform.Unreadable
	// cold limits the requests to cold servers; nil if nothing does.
	cold *machine.ColdLimit
	// coldServers is the number of limited servers when the gauges were last set. Only the
	// upkeep uses it.
	coldServers int64
	target      *fleetTarget
	// rates are the shared rates, customers and cold servers.
	rates   *rates
	watcher *platform.Watcher
	// eras holds the eras of the store.
	eras *platform.Eras
	// settings is the configuration in force, with the changes of reloads.
	settings  *rcu.Value[Config]
	startedAt time.Time
	leaving   atomic.Bool
	// load is the smoothed number of parts that this process sends per second.
	load atomic.Uint32
	// carriesCallers is set while this VM is selected for the callers of any zone,
	// or no VM is selected at all.
	carriesCallers atomic.Bool
	// keysWereStale is what reportStaleKeys last saw, wasUnanswered what
	// reportUnanswered did.
	keysWereStale, wasUnanswered bool
	// departures counts the servers that said that they are leaving, backOffs how
	// often a server began to ask for no requests; backOffLogs limits the log lines
	// about the latter, and lostLogs those about servers lost to requests.
	departures, backOffs atomic.Int64
	// storeRestores counts the rises of the store's era.
	storeRestores         atomic.Int64
	backOffLogs, lostLogs *rate.Limiter
	// olderLogs and leavingLogs limit the lines about older objects, and about records of
	// servers that leave.
	olderLogs, leavingLogs *rateLimitedEvent
	logContext             *logContext
	// guard bounds what callers on all addresses occupy together.
	guard *callerhttp.Guard
	// callerListener accepts the callers' connections.
	callerListener *callerhttp.Listener
	grpc           *grpc.Server
	// group holds the goroutines and clean-up functions of the process.
	group lifecycle.Group
}

// Start starts a process. queue is the queue that log writes to, or nil. The
// returned function ends the process immediately and cuts requests in flight;
// Stop ends it gracefully.
func Start(now time.Time, cg Config, fe FrontEnd, log *zap.Logger, queue *events.Queue) (*Process, func(), error) {
	ps := &Process{
		guard:        callerhttp.NewGuard(cg.HeadMemory()),
		Config:       cg,
		settings:     rcu.New(cg),
		Fleets:       rcu.New(view.Fleet{}),
		Confirmation: &view.Confirmation{},
		Freshness:    &view.Freshness{},
		Log:          log.With(zap.String("entry_vm", cg.Name), zap.String("zone", cg.Zone)),
		LogQueue:     queue,
		startedAt:    now,
		backOffLogs:  rate.NewLimiter(failedLogRate, failedLogBurst),
		lostLogs:     rate.NewLimiter(failedLogRate, failedLogBurst),
		olderLogs:    newRateLimitedEvent(events.OlderObjectRefused, failedLogRate, failedLogBurst),
		leavingLogs:  newRateLimitedEvent(events.ServerLeaving, failedLogRate, failedLogBurst),
	}
	ps.build(now, fe)
	if err := ps.listen(fe); err != nil {
		ps.group.Close()
		return nil, nil, err
	}
	ps.startTasks()
	events.Started.Log(ps.Log, zap.String("caller_address", cg.CallerAddress))
	return ps, ps.group.Close, nil
}

// dial opens a connection that detects an unreachable peer quickly: it breaks
// when sent data stays unacknowledged for ackTimeout, and by keep-alive probes
// when it is idle.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: LinkKeepAlive(), Control: func(_, _ string, rc syscall.RawConn) error {
		var failed error
		err := rc.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	return dialer.DialContext(ctx, network, address)
}

// LinkKeepAlive returns a keep-alive configuration that detects within three
// seconds that the other end of an idle connection is gone.
func LinkKeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
}

// build creates the components of the process without starting any of them.
func (ps *Process) build(now time.Time, fe FrontEnd) {
	cg := ps.Config
	var endBackend func()
	ps.Backend, endBackend = backend.New(dial)
	ps.group.Cleanup(endBackend)
	ps.Backend.SetEntryVMs(assumedEntryVMs)
	ps.Backend.OnDeparture, ps.Backend.OnBackOff = ps.onDeparture, ps.onBackOff
	var endMetrics func()
	ps.Metrics, endMetrics = metrics.New(cg.Name, cg.Zone)
	ps.group.Cleanup(endMetrics)
	quarantine := contract.NewQuarantine()
	quarantine.SuspectAt, quarantine.BlockAt, quarantine.BlockAtOnce = suspectAt, blockAt, blockAtOnce
	transport := &entry.GRPCTransport{Dial: dial}
	ps.group.Cleanup(transport.Close)
	ps.unreadable = fe.Unreadable
	ps.unreadable.OnNew = ps.logUnreadable
	ps.target = &fleetTarget{process: ps, codec: fe.Codec}
	prefixes := []string{view.PrefixTable, view.PrefixFleetServers}
	pacing := platform.WatchPacing{MaxWait: ps.watchWait, KeepsHistory: ps.isStrictTable, Pause: watchBatchDelay, ListOverdue: true, MaxSilence: cg.maxSilence()}
	if cg.UsesWarmUp {
		prefixes = append(prefixes, view.PrefixEvacuations)
		pacing.Lead = view.PrefixEvacuations
	}
	if cg.FirstStart {
		pacing.FirstPause = firstWatchDelay
	}
	ps.watcher = platform.NewWatcher(fe.Store, prefixes, ps.target, pacing, ps.Log)
	ps.watcher.OnCall = ps.onStoreCall
	ps.logContext = &logContext{answers: ps.watcher.Answers, watches: ps.watcher.IsActive, sinceBoot: bootclock.Now}
	ps.eras = fe.Eras
	ps.eras.OnRise = ps.onStoreRestored
	ps.Cluster = &entry.Cluster{
		Self: machine.EntryVM{
			Name: cg.Name, Zone: cg.Zone, CallerAddress: cg.CallerAddress,
			EntryAddress: cg.EntryAddress, Incarnation: uint64(now.UnixNano()),
			Capacity: machine.PartCapacity(cg.Cores, cg.LinkMbps),
		},
		Load:  ps.load.Load,
		Seeds: cg.Peers, Transport: transport, Replica: ps.target, Confirmation: ps.Confirmation, Quarantine: quarantine,
		PlatformDown: ps.isPlatformUnreachable, DirectlyConfirmedAt: ps.directlyConfirmedAt, FollowsPeers: ps.followsPeers, Log: ps.Log,
		OnDeparture: ps.onPeerDeparture,
		Table: &entry.TableFreshness{
			Freshness: ps.Freshness, SinceBoot: bootclock.Now, TableVersion: ps.tableVersion, IsStrict: ps.isStrict, KeysStale: ps.keysAreStale,
		},
	}
	ps.Cluster.Init()
	ps.rates = ps.newRates(transport, fe.Roster)
	if cg.UsesWarmUp {
		ps.cold = ps.newColdLimit(fe)
	}
	ps.Backend.Cold = ps.cold
	ps.Service = &forward.Service{
		Fleets: ps.Fleets, ConfirmedAt: ps.Cluster.ConfirmedAt, Quarantine: quarantine,
		Freshness: ps.Freshness, SinceBoot: bootclock.Now, KeyBounds: ps.keyBounds, UsesCustomers: ps.usesCustomers,
		Engine: ps.newEngine(fe, quarantine), PlacesByWork: cg.PlacesByWork,
		Limits:   ps.rates.limits(),
		Memory:   quota.NewPool(cg.MessageMemory()),
		Budgets:  forward.NewBudgets(now, cg.Retries, len(cg.Peers)+1),
		Observer: newObserver(ps.Log, ps.Metrics.Scope, ps.logContext),
	}
}

// newEngine returns the engine with the policies that the settings ask for.
func (ps *Process) newEngine(fe FrontEnd, quarantine *contract.Quarantine) forward.Runner {
	if ps.Config.PlacesByWork {
		return newEngineOf[scatter.ExpectedCompletion](ps, fe, quarantine)
	}
	return newEngineOf[scatter.LeastExpectedLatency](ps, fe, quarantine)
}

func newEngineOf[R scatter.ReplicaPolicy](ps *Process, fe FrontEnd, quarantine *contract.Quarantine) forward.Runner {
	return &scatter.Engine[R, scatter.GoalHedge, scatter.StartWithRoom, forward.Attempt, forward.Answer]{
		Sender: fe.NewSender(ps.Backend, ps.Fleets), Zone: zone.Zone{Name: ps.Config.Zone, DefaultDelay: defaultZoneDelay},
		Quarantine: quarantine, OnServerLost: ps.onServerLost, Cold: ps.cold,
	}
}

// onServerLost logs that a server's connection broke while it ran a request,
// and passes the crash on to the peers without waiting for the next heartbeat.
func (ps *Process) onServerLost(now time.Time, fingerprint uint64, server string) {
	if ps.lostLogs.AllowN(now, 1) {
		events.ServerLostToRequest.Log(ps.Log, zap.Uint64("fingerprint", fingerprint), zap.String("server", server),
			zap.Int("generation", ps.Service.Quarantine.Generation(now, fingerprint)))
	}
	if ps.Service.Quarantine.IsBlocked(now, fingerprint) {
		events.Quarantined.Log(ps.Log, zap.Uint64("fingerprint", fingerprint))
	}
	ps.Cluster.TriggerRound()
}

// onDeparture logs that a server said in an answer that it is leaving, and tells
// the peers without waiting for the next heartbeat.
func (ps *Process) onDeparture(now time.Time, sv *machine.Server) {
	events.ServerLeaving.Log(ps.Log, zap.String("server", sv.Name), zap.String("source", "answer"), zap.String("said_by", "server"))
	ps.departures.Add(1)
	ps.Cluster.ReportDeparture(now, machine.Departure{Server: sv.Name, StartedAt: sv.StartedAt})
}

// onPeerDeparture stops the use of a server that said to a peer that it is
// leaving.
func (ps *Process) onPeerDeparture(now time.Time, dp machine.Departure) {
	events.ServerLeaving.Log(ps.Log, zap.String("server", dp.Server), zap.String("source", "peer"), zap.String("said_by", "server"))
	ps.departures.Add(1)
	ps.Fleets.Update(func(fl view.Fleet) view.Fleet { return fl.WithDeparture(now, dp) })
}

// onBackOff logs and counts that a server asked for no requests.
func (ps *Process) onBackOff(now time.Time, sv *machine.Server, delay time.Duration) {
	ps.backOffs.Add(1)
	if ps.backOffLogs.AllowN(now, 1) {
		events.ServerBackOff.Log(ps.Log, zap.String("server", sv.Name), zap.Duration("delay", delay), zap.Int64("total", ps.backOffs.Load()))
	}
}

// onStoreRestored logs that the store came back from an older copy.
func (ps *Process) onStoreRestored(before, now int64) {
	fl := ps.Fleets.Load()
	if before == 0 && fl.Version == 0 {
		// The first answer of a store that was restored before.
		return
	}
	ps.storeRestores.Add(1)
	events.StoreRestored.Log(ps.Log, zap.Int64("from", before), zap.Int64("to", now), zap.Int64("revision", view.RevisionOf(fl.Version)),
		zap.Int64("table_version", ps.tableVersion()))
	ps.rates.leases.StoreRestored()
}

// listen opens all listeners and serves on them.
func (ps *Process) listen(fe FrontEnd) error {
	raw, err := net.Listen("tcp", ps.Config.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", ps.Config.CallerAddress, err)
	}
	callers := newHTTPServer(fe.CallerHandler(ps))
	conns := callerhttp.ConnectionLimits(ps.Config.MaxDescriptors)
	ps.callerListener = ps.guard.Listen(raw, callers, conns.Callers)
	ps.group.Cleanup(func() { _ = callers.Close() })
	ps.group.Go(func() { _ = callers.Serve(ps.callerListener) })
	listeners := []struct {
		address string
		handler http.Handler
	}{
		{ps.Config.ReadyAddress, fe.ReadyHandler(ps)},
		{ps.Config.DirectoryAddress, fe.DirectoryHandler(ps)},
	}
	if ps.Config.MetricsAddress != "" {
		listeners = append(listeners, struct {
			address string
			handler http.Handler
		}{ps.Config.MetricsAddress, ps.operatorRoutes()})
	}
	for _, ln := range listeners {
		if err := ps.serveHTTP(ln.address, ln.handler, conns.Others); err != nil {
			return err
		}
	}
	ls, err := net.Listen("tcp", ps.Config.EntryAddress)
	if err != nil {
		return fmt.Errorf("listen on entry_address: %w", err)
	}
	ps.grpc = entry.NewServer(ps.Cluster, ps.rates.leases)
	ps.group.Go(func() { _ = ps.grpc.Serve(ls) })
	ps.group.Cleanup(ps.grpc.Stop)
	return nil
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
}

func (ps *Process) serveHTTP(address string, handler http.Handler, maxConns int) error {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	hs := newHTTPServer(handler)
	ls := ps.guard.Listen(raw, hs, maxConns)
	ls.WriteTimeout = writeTimeout
	ps.group.Cleanup(func() { _ = hs.Close() })
	ps.group.Go(func() { _ = hs.Serve(ls) })
	return nil
}

// startTasks starts the background tasks: watching the platform, heartbeats and
// upkeep.
func (ps *Process) startTasks() {
	ps.group.Run(ps.watcher.Run, ps.Cluster.Run, ps.rates.leases.Run, ps.runUpkeep)
}

// IsReady reports whether this process can serve callers, accepts their keys and is not
// stopping.
func (ps *Process) IsReady(time.Time) bool {
	return !ps.leaving.Load() && ps.Service.IsReady() && !ps.keysAreStale()
}

// BodyLimit returns the largest body that callers may send, in bytes.
func (ps *Process) BodyLimit() int64 {
	if tb := ps.Fleets.Load().Table; tb != nil {
		return tb.Limits.BodyBytes
	}
	return contract.CallerLimits{}.Defaults().BodyBytes
}

// IsLeaving reports whether the process is stopping.
func (ps *Process) IsLeaving() bool {
	return ps.leaving.Load()
}

// Reload puts new settings in force, or logs err if they could not be read.
// Names and addresses keep their values from the start, apart from the peers.
func (ps *Process) Reload(cg Config, err error) {
	if err != nil {
		events.SettingsNotReloaded.Log(ps.Log, zap.Error(err))
		return
	}
	ps.settings.Update(func(old Config) Config {
		old.Peers, old.Retries, old.DirectoryTTL, old.MaxDirectoryTTL = cg.Peers, cg.Retries, cg.DirectoryTTL, cg.MaxDirectoryTTL
		old.DrainFor, old.ReportEvery, old.ApplyWithin, old.StopWithin = cg.DrainFor, cg.ReportEvery, cg.ApplyWithin, cg.StopWithin
		old.RevokeWithin, old.UsesCustomers = cg.RevokeWithin, cg.UsesCustomers
		old.Quota, old.WarmUp, old.EvacuateWithin = cg.Quota, cg.WarmUp, cg.EvacuateWithin
		return old
	})
	ps.Cluster.SetSeeds(cg.Peers)
	ps.rates.setBounds(cg)
	events.SettingsReloaded.Log(ps.Log, zap.Duration("stop_within", cg.StopWithin), zap.Duration("drain_for", cg.DrainFor),
		zap.Duration("revoke_within", cg.RevokeWithin), zap.Float64("retry_ratio", cg.Retries.Ratio), zap.Float64("retry_slack", cg.Retries.Slack))
}

// EntryVMAddresses returns the addresses that a caller in the zone from may
// connect to, and how long it may cache them.
func (ps *Process) EntryVMAddresses(now time.Time, _, from string) ([]string, time.Duration) {
	selected := machine.SelectEntryVMs(now, from, ps.Cluster.Members(now))
	addresses := make([]string, len(selected))
	for i, vm := range selected {
		addresses[i] = vm.CallerAddress
	}
	cg := ps.settings.Load()
	return addresses, min(cg.DirectoryTTL, cg.MaxDirectoryTTL)
}

// Stop ends the process gracefully within StopWithin of now. The process is no
// longer selected or ready, but still serves callers that hold an older answer
// of the directory, as far as its stop plan allows. It then closes its listener and
// ends after the last request. Requests that outlast the plan are given up.
func (ps *Process) Stop(now time.Time) {
	within := ps.settings.Load().StopWithin
	plan := contract.NewStopPlan(now, within)
	ps.Service.Stopping.Store(&plan)
	events.Leaving.Log(ps.Log)
	ps.leaving.Store(true)
	ps.Cluster.Leave()
	ps.rates.leases.Refresh()
	time.Sleep(time.Until(now.Add(within - acceptMargin)))
	events.Draining.Log(ps.Log)
	ctx, cancel := context.WithDeadline(context.Background(), plan.GiveUpAt)
	defer cancel()
	if err := ps.callerListener.ShutDown(ctx); err != nil {
		events.StopCutShort.Log(ps.Log, zap.Error(err))
	}
	ps.group.Close()
	events.Stopped.Log(ps.Log)
}
