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
	"google.golang.org/grpc"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/node/lifecycle"
	"daisystage.example/daisystage/internal/node/metrics"
	"daisystage.example/daisystage/internal/peer/backend"
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
	// tendEvery is the time between two rounds of upkeep.
	tendEvery = 200 * time.Millisecond
	// slowRound is the number of rounds between two looks at all links.
	slowRound = 5
	// watchWait is the least time that a watch waits, and watchSpread what is
	// added at random, so that the watchers take turns: one of them soon hears
	// of a change that another missed.
	watchWait   = time.Second
	watchSpread = time.Second
	// awayFor is how long an entry VM whose call to the platform failed leaves
	// watching to others.
	awayFor = 5 * time.Second
	// patienceShare is the part, in 1/100, of the time in which a change must be
	// in force that an entry VM waits for word from peers.
	patienceShare = 55
	// turnTime is how long one entry VM at a time tries a platform that fails.
	turnTime = 300 * time.Millisecond
	// watchPause gathers changes that come close together into one answer.
	watchPause = 150 * time.Millisecond
	// holdMargin is kept before the time by which a vanished server must get
	// no more work, and longestHold bounds the hold.
	holdMargin  = 700 * time.Millisecond
	longestHold = 2500 * time.Millisecond
	// stopReserve is kept before the end of a stop: callers are accepted until
	// acceptReserve before it, and requests are given up finishReserve before
	// it.
	acceptReserve = 2500 * time.Millisecond
	finishReserve = 600 * time.Millisecond
	// idleTimeout closes callers' connections that nobody uses.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the reading of one request's header.
	headerTimeout = 10 * time.Second
	// headerBytes bounds the header of one request.
	headerBytes = 64 << 10
	// silentAfter is the time without acknowledgment after which a connection is
	// taken for broken: three retransmissions on links of this kind.
	silentAfter = 600 * time.Millisecond
	// zoneDelay stands in for the delay to other zones, which the settings do
	// not tell.
	zoneDelay = 4 * time.Millisecond
	// suspectAt is the number of servers lost to a request from which it is
	// refused: callers may send one that crashes servers three more times.
	suspectAt = 3
)

// FrontEnd is what the process needs of a front end: how it reads the platform,
// speaks to servers and answers callers.
type FrontEnd struct {
	Store   platform.Reader
	Objects view.FleetCodec
	Sender  func(cl *backend.Client, fleets *rcu.Value[view.Fleet]) scatter.Sender[forward.Send, forward.Answer]
	Callers func(ps *Process) http.Handler
	Ready   func(ps *Process) http.Handler
	Places  func(ps *Process) http.Handler
}

// Process is the process of one entry VM. Make one with Start.
type Process struct {
	// Config is as at the start; what a reload changes is in settings.
	Config       Config
	Service      *forward.Service
	Cluster      *entry.Cluster
	Fleets       *rcu.Value[view.Fleet]
	Confirmation *view.Confirmation
	Backend      *backend.Client
	Metrics      *metrics.Metrics
	Log          *zap.Logger
	// LogQueue is under Log; nil if there is none.
	LogQueue *events.Queue

	target  *fleetTarget
	watcher *platform.Watcher
	// settings are those in force.
	settings  *rcu.Value[Config]
	startedAt time.Time
	leaving   atomic.Bool
	// load is the smoothed number of parts a second that this process sends.
	load atomic.Uint32
	// carries is set while callers are sent here.
	carries atomic.Bool
	servers []*http.Server
	grpc    *grpc.Server
	// group holds the goroutines and links of the process.
	group lifecycle.Group
}

// Start starts a process; queue is under log, or nil. The function that it
// returns ends the process at once; Stop ends it without cutting a request.
func Start(now time.Time, cg Config, fe FrontEnd, log *zap.Logger, queue *events.Queue) (*Process, func(), error) {
	ps := &Process{
		Config:       cg,
		settings:     rcu.New(cg),
		Fleets:       rcu.New(view.Fleet{}),
		Confirmation: &view.Confirmation{},
		Log:          log.With(zap.String("entry_vm", cg.Name), zap.String("zone", cg.Zone)),
		LogQueue:     queue,
		startedAt:    now,
	}
	ps.build(now, fe)
	if err := ps.listen(fe); err != nil {
		ps.group.Close()
		return nil, nil, err
	}
	ps.run()
	events.Started.Log(ps.Log, zap.String("caller_address", cg.CallerAddress))
	return ps, ps.group.Close, nil
}

// dial makes connections whose silence shows soon: what was sent and is not
// acknowledged by the other end's machine breaks them.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: LinkKeepAlive(), Control: func(_, _ string, rc syscall.RawConn) error {
		var failed error
		err := rc.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	return dialer.DialContext(ctx, network, address)
}

// LinkKeepAlive returns probes that show within three seconds that the other
// end of an unused connection is gone.
func LinkKeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
}

func (ps *Process) build(now time.Time, fe FrontEnd) {
	cg := ps.Config
	var endBackend func()
	ps.Backend, endBackend = backend.New(dial)
	ps.group.Cleanup(endBackend)
	ps.Backend.SetEntryVMs(unheardVMs)
	var endMetrics func()
	ps.Metrics, endMetrics = metrics.New(cg.Name, cg.Zone)
	ps.group.Cleanup(endMetrics)
	quarantine := contract.NewQuarantine()
	quarantine.SuspectAt, quarantine.BarAt = suspectAt, suspectAt
	transport := &entry.GRPC{Dial: dial}
	ps.group.Cleanup(transport.Close)
	ps.target = &fleetTarget{process: ps, codec: fe.Objects}
	ps.watcher = platform.NewWatcher(fe.Store, []string{view.PrefixTable, view.PrefixMembers}, ps.target,
		platform.Pace{Wait: waitOfWatch, Pause: watchPause}, ps.Log)
	ps.Cluster = &entry.Cluster{
		Self: machine.EntryVM{
			Name: cg.Name, Zone: cg.Zone, CallerAddress: cg.CallerAddress,
			EntryAddress: cg.EntryAddress, Incarnation: uint64(now.UnixNano()),
			Capacity: machine.CapacityOf(cg.Cores, cg.LinkMbps),
		},
		Load:  ps.load.Load,
		Seeds: cg.Peers, Transport: transport, Replica: ps.target, Confirmation: ps.Confirmation, Quarantine: quarantine,
		PlatformDown: ps.isPlatformAway, Direct: ps.directWord, Follows: ps.follows, Log: ps.Log,
	}
	ps.Cluster.Init()
	ps.Service = &forward.Service{
		Fleets: ps.Fleets, Word: ps.Cluster.Word, Quarantine: quarantine,
		Engine: &scatter.Engine[scatter.LeastExpected, scatter.GoalHedge, forward.Send, forward.Answer]{
			Sender: fe.Sender(ps.Backend, ps.Fleets), Zone: zone.Zone{Name: cg.Zone, Else: zoneDelay},
			Quarantine: quarantine, Crashed: ps.crashed,
		},
		Budgets:  forward.NewBudgets(now, cg.Retries, len(cg.Peers)+1),
		Observer: newObserver(ps.Log, ps.Metrics.Scope),
	}
}

// crashed is told of servers lost to a request.
func (ps *Process) crashed(_ time.Time, fingerprint uint64, server string) {
	events.ServerLost.Log(ps.Log, zap.Uint64("fingerprint", fingerprint), zap.String("server", server))
	ps.Cluster.Kick()
}

func (ps *Process) listen(fe FrontEnd) error {
	listeners := []struct {
		address string
		handler http.Handler
	}{
		{ps.Config.CallerAddress, fe.Callers(ps)},
		{ps.Config.ReadyAddress, fe.Ready(ps)},
		{ps.Config.DirectoryAddress, fe.Places(ps)},
	}
	if ps.Config.MetricsAddress != "" {
		listeners = append(listeners, struct {
			address string
			handler http.Handler
		}{ps.Config.MetricsAddress, ps.operatorRoutes()})
	}
	for _, ln := range listeners {
		if err := ps.serveHTTP(ln.address, ln.handler); err != nil {
			return err
		}
	}
	ls, err := net.Listen("tcp", ps.Config.EntryAddress)
	if err != nil {
		return fmt.Errorf("listen on entry_address: %w", err)
	}
	ps.grpc = entry.NewServer(ps.Cluster)
	ps.group.Go(func() { _ = ps.grpc.Serve(ls) })
	ps.group.Cleanup(ps.grpc.Stop)
	return nil
}

func (ps *Process) serveHTTP(address string, handler http.Handler) error {
	ls, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	hs := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
	ps.servers = append(ps.servers, hs)
	ps.group.Cleanup(func() { _ = hs.Close() })
	ps.group.Go(func() { _ = hs.Serve(ls) })
	return nil
}

// run starts the goroutines that keep the process up to date.
func (ps *Process) run() {
	ps.group.Run(ps.watcher.Run, ps.Cluster.Run, ps.tend)
}

// IsReady reports whether callers may be sent here.
func (ps *Process) IsReady(time.Time) bool {
	return !ps.leaving.Load() && ps.Service.IsReady()
}

// BodyLimit returns the longest body that callers may send, in bytes.
func (ps *Process) BodyLimit() int64 {
	if tb := ps.Fleets.Load().Table; tb != nil {
		return tb.Limits.BodyBytes
	}
	return contract.CallerLimits{}.Defaults().BodyBytes
}

// IsLeaving reports whether the process was told to stop.
func (ps *Process) IsLeaving() bool {
	return ps.leaving.Load()
}

// Reload takes new settings in, or logs why they can't be. Names and addresses
// stay as they were at the start.
func (ps *Process) Reload(cg Config, err error) {
	if err != nil {
		events.NoReload.Log(ps.Log, zap.Error(err))
		return
	}
	ps.settings.Update(func(old Config) Config {
		old.Peers, old.Retries, old.KeepFor, old.LongestKeep = cg.Peers, cg.Retries, cg.KeepFor, cg.LongestKeep
		old.DrainFor, old.ApplyWithin, old.StopWithin = cg.DrainFor, cg.ApplyWithin, cg.StopWithin
		return old
	})
	events.Reloaded.Log(ps.Log, zap.Duration("stop_within", cg.StopWithin), zap.Duration("drain_for", cg.DrainFor),
		zap.Float64("retry_ratio", cg.Retries.Ratio), zap.Float64("retry_slack", cg.Retries.Slack))
}

// Offer returns the addresses that a caller in a zone may use, and how long it
// may keep them.
func (ps *Process) Offer(now time.Time, _, from string) ([]string, time.Duration) {
	offered := machine.Place(now, from, ps.Cluster.Members(now))
	addresses := make([]string, len(offered))
	for i, vm := range offered {
		addresses[i] = vm.CallerAddress
	}
	cg := ps.settings.Load()
	return addresses, min(cg.KeepFor, cg.LongestKeep)
}

// Stop ends the process without cutting a request: it is no longer offered or
// ready, and serves on those who kept an older answer; then it accepts no more,
// and ends when the last request did, in any case in time.
func (ps *Process) Stop(now time.Time) {
	end := now.Add(ps.settings.Load().StopWithin)
	events.Leaving.Log(ps.Log)
	ps.leaving.Store(true)
	ps.Cluster.Leave()
	time.Sleep(time.Until(end.Add(-acceptReserve)))
	events.Draining.Log(ps.Log)
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(-finishReserve))
	defer cancel()
	if err := ps.servers[0].Shutdown(ctx); err != nil {
		events.CutShort.Log(ps.Log, zap.Error(err))
	}
	ps.group.Close()
	events.Stopped.Log(ps.Log)
}
