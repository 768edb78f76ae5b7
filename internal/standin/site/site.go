package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/entryvm"
	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/peer/caller"
	peerplatform "daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/standin/platform"
	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/snapshot"
	"daisystage.example/daisystage/internal/world/view"
)

// Token is the operator API token of the site's only team.
const Token = "demo-token"

// ClientZone is the zone of the callers.
const ClientZone = "callers"

// Transport reserves addresses and provides the network between them.
type Transport interface {
	// Reserve returns an unused address in a zone, for use with Listen.
	Reserve(zone string) (string, error)
	Listen(address string) (net.Listener, error)
	// Dialer returns the dial function for connections from a zone.
	Dialer(zone string) backend.DialFunc
}

// RunningServer is a running server of a site.
type RunningServer struct {
	*server.Server
	Listener *server.Listener
	http     *http.Server
	killed   atomic.Bool
}

// Killed reports whether Kill was called.
func (sv *RunningServer) Killed() bool {
	return sv.killed.Load()
}

// Kill stops the server at once and closes its connections.
func (sv *RunningServer) Kill() {
	sv.killed.Store(true)
	sv.Listener.CloseAll()
	_ = sv.http.Close()
}

// Site is a running site. Make one with Start.
type Site struct {
	Plan      Plan
	Store     *platform.FaultyStore
	Servers   map[string]*RunningServer
	Transport Transport
	Configs   []entryvm.Config
	Log       *zap.Logger
	lock      sync.Mutex
	vms       map[string]*entryvm.Process
	cleanups  []func()
}

// Start starts the platform, the servers and the entry VMs, and waits until all
// entry VMs are ready. The returned function stops everything.
func Start(ctx context.Context, now time.Time, plan Plan, transport Transport, log *zap.Logger) (*Site, func(), error) {
	st := &Site{
		Plan: plan, Store: platform.NewFaultyStore(platform.NewStore()), Transport: transport, Log: log,
		Servers: map[string]*RunningServer{}, vms: map[string]*entryvm.Process{},
	}
	if err := st.start(ctx, now); err != nil {
		st.close()
		return nil, nil, err
	}
	return st, st.close, nil
}

func (st *Site) start(ctx context.Context, now time.Time) error {
	if err := st.startServers(ctx, now); err != nil {
		return err
	}
	if err := st.fillStore(ctx, now); err != nil {
		return err
	}
	if err := st.startEntryVMs(now); err != nil {
		return err
	}
	return st.WaitReady(ctx)
}

func (st *Site) close() {
	st.lock.Lock()
	cleanups := st.cleanups
	st.cleanups = nil
	st.lock.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
}

func (st *Site) addCleanup(end func()) {
	st.lock.Lock()
	defer st.lock.Unlock()
	st.cleanups = append(st.cleanups, end)
}

func (st *Site) startServers(ctx context.Context, now time.Time) error {
	for service := range st.Plan.Services {
		for zone := range st.Plan.Zones {
			address, err := st.Transport.Reserve(st.Plan.Zones[zone])
			if err != nil {
				return fmt.Errorf("reserve server address: %w", err)
			}
			settings := st.Plan.serverSettings(service, zone, address)
			if err := st.StartServer(now, settings); err != nil {
				return err
			}
			if err := st.PutServer(ctx, settings, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartServer starts one server, replacing any of the same name in Servers.
func (st *Site) StartServer(now time.Time, settings server.Settings) error {
	sr := server.New(now, settings)
	raw, err := st.Transport.Listen(settings.Address)
	if err != nil {
		return fmt.Errorf("listen for server %s: %w", settings.Name, err)
	}
	routes, err := sr.Routes()
	if err != nil {
		return err
	}
	sv := &RunningServer{Server: sr, Listener: server.NewListener(raw, settings), http: &http.Server{Handler: routes}}
	sr.Crash = sv.Kill
	st.Servers[settings.Name] = sv
	go func() { _ = sv.http.Serve(sv.Listener) }()
	st.addCleanup(sv.Kill)
	return nil
}

func (st *Site) putJSON(ctx context.Context, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	ob, err := st.Store.Store.Get(ctx, key)
	if err != nil {
		ob.Version = 0
	}
	if _, err := st.Store.Store.Put(ctx, key, string(text), ob.Version); err != nil {
		return fmt.Errorf("put %s: %w", key, err)
	}
	return nil
}

// PutServer writes a server record to the platform, bypassing faults.
func (st *Site) PutServer(ctx context.Context, settings server.Settings, leaving bool) error {
	return st.putJSON(ctx, view.PrefixServers+settings.Name, struct {
		server.Settings
		Leaving bool `json:"leaving"`
	}{settings, leaving})
}

// PutManifest writes a snapshot manifest to the platform, bypassing faults.
func (st *Site) PutManifest(ctx context.Context, mf *snapshot.Manifest) error {
	return st.putJSON(ctx, view.PrefixSnapshots+mf.Collection+"/"+mf.ID, mf)
}

// PutSetting writes a setting to the platform directly, without the operator
// API.
func (st *Site) PutSetting(ctx context.Context, now time.Time, path, body string) (*contract.Setting, error) {
	previous := ""
	if ob, err := st.Store.Store.Get(ctx, path); err == nil {
		current, err := contract.ParseSetting(path, ob.Version, ob.Value)
		if err != nil {
			return nil, err
		}
		previous = current.Hash
	}
	return peerplatform.PutSetting(ctx, st.Store.Store, contract.Revision{
		Path: path, Body: body, Previous: previous, ChangeID: uuid.NewString(),
		Author: "site", Reason: "set up", WrittenAt: now,
	})
}

func (st *Site) fillStore(ctx context.Context, now time.Time) error {
	for name, body := range st.Plan.Routes {
		if _, err := st.PutSetting(ctx, now, contract.RoutePath(st.Plan.Team, name), body); err != nil {
			return err
		}
	}
	token := view.Token{Author: "demo", Subtree: "teams/" + st.Plan.Team + "/"}
	if err := st.putJSON(ctx, view.TokenKey(Token), token); err != nil {
		return err
	}
	return st.PutManifest(ctx, st.Plan.Manifest(FirstSnapshot))
}

func (st *Site) startPlatform() (string, error) {
	address, err := st.Transport.Reserve(st.Plan.Zones[0])
	if err != nil {
		return "", fmt.Errorf("reserve platform address: %w", err)
	}
	ls, err := st.Transport.Listen(address)
	if err != nil {
		return "", fmt.Errorf("listen for the platform: %w", err)
	}
	routes, err := platform.Routes(st.Store)
	if err != nil {
		return "", err
	}
	hs := &http.Server{Handler: routes}
	go func() { _ = hs.Serve(ls) }()
	st.addCleanup(func() { _ = hs.Close() })
	return address, nil
}

func (st *Site) startEntryVMs(now time.Time) error {
	platformAddress, err := st.startPlatform()
	if err != nil {
		return err
	}
	var peers []string
	for at := range st.Plan.EntryVMs {
		cg, err := st.entryConfig(at, platformAddress)
		if err != nil {
			return err
		}
		st.Configs = append(st.Configs, cg)
		peers = append(peers, cg.EntryAddress)
	}
	for _, cg := range st.Configs {
		cg.Peers = peers
		if err := st.StartEntryVM(now, cg); err != nil {
			return err
		}
	}
	return nil
}

func (st *Site) entryConfig(at int, platformAddress string) (entryvm.Config, error) {
	cg := entryvm.Config{}.Defaults()
	cg.Zone = st.Plan.Zones[at%len(st.Plan.Zones)]
	cg.Name = fmt.Sprintf("entry-%02d", at)
	cg.PlatformAddresses = []string{platformAddress}
	cg.EntriesTTL = contract.Duration{Duration: st.Plan.EntriesTTL}
	cg.ZoneDelays = map[string]contract.Duration{}
	for _, zone := range st.Plan.Zones {
		if zone != cg.Zone {
			cg.ZoneDelays[zone] = contract.Duration{Duration: st.Plan.ZoneDelay}
		}
	}
	for _, address := range []*string{&cg.CallerAddress, &cg.OperatorAddress, &cg.EntryAddress} {
		reserved, err := st.Transport.Reserve(cg.Zone)
		if err != nil {
			return cg, fmt.Errorf("reserve address of entry VM %s: %w", cg.Name, err)
		}
		*address = reserved
	}
	return cg, nil
}

// StartEntryVM starts the process of one entry VM.
func (st *Site) StartEntryVM(now time.Time, cg entryvm.Config) error {
	network := entryvm.Network{Listen: st.Transport.Listen, Dial: st.Transport.Dialer(cg.Zone)}
	ps, end, err := entryvm.Start(now, cg, network, st.Log)
	if err != nil {
		return fmt.Errorf("start entry VM %s: %w", cg.Name, err)
	}
	st.lock.Lock()
	st.vms[cg.Name] = ps
	st.lock.Unlock()
	st.addCleanup(end)
	return nil
}

// StopEntryVM stops the process of an entry VM gracefully.
func (st *Site) StopEntryVM(at int) {
	st.EntryVM(at).Stop()
}

// EntryVM returns the process of an entry VM by its index in Configs.
func (st *Site) EntryVM(at int) *entryvm.Process {
	st.lock.Lock()
	defer st.lock.Unlock()
	return st.vms[st.Configs[at].Name]
}

// WaitReady waits until every entry VM has current settings and sees all entry
// VMs as ready.
func (st *Site) WaitReady(ctx context.Context) error {
	for {
		now := time.Now()
		ready := 0
		for at := range st.Configs {
			ps := st.EntryVM(at)
			if ps.Confirmation.IsConfirmed(now) && ps.Service.IsReady() && countReady(now, ps) == len(st.Configs) {
				ready++
			}
		}
		if ready == len(st.Configs) {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("wait for entry VMs: %w", ctx.Err())
		}
	}
}

func countReady(now time.Time, ps *entryvm.Process) int {
	count := 0
	for _, vm := range ps.Cluster.Members(now) {
		if vm.IsReady(now) {
			count++
		}
	}
	return count
}

// Caller returns a caller client seeded with the addresses of all entry VMs, and
// its HTTP client.
func (st *Site) Caller() (*caller.Client, *http.Client) {
	var seeds []string
	for _, cg := range st.Configs {
		seeds = append(seeds, cg.CallerAddress)
	}
	hc := &http.Client{Transport: &http.Transport{DialContext: st.Transport.Dialer(ClientZone), MaxIdleConnsPerHost: 64}}
	st.addCleanup(hc.CloseIdleConnections)
	return caller.NewClient(hc, st.Plan.Zones[0], seeds), hc
}
