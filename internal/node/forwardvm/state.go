package forwardvm

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/query/forward"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// State is a dump of the process: its view of the site, with the age and version
// of that view.
type State struct {
	At        time.Time `json:"at"`
	Name      string    `json:"name"`
	Zone      string    `json:"zone"`
	StartedAt time.Time `json:"started_at"`
	Ready     bool      `json:"ready"`
	Leaving   bool      `json:"leaving"`
	// CarriesCallers is set while this VM is selected for callers.
	CarriesCallers bool `json:"carries"`
	// WatchesPlatform is set while this process watches the platform directly.
	WatchesPlatform     bool `json:"watches"`
	PlatformUnreachable bool `json:"platform_away"`
	// ConfirmationAge is the time since the platform last confirmed the view,
	// directly or through a peer.
	ConfirmationAge time.Duration `json:"word_age_ns"`
	// Version and Digest identify the local copy of the platform's objects.
	Version      int64                        `json:"version"`
	Digest       uint64                       `json:"digest"`
	TableVersion int64                        `json:"table_version"`
	Routes       []*contract.ForwardRoute     `json:"routes"`
	EntryVMs     []machine.EntryVM            `json:"entry_vms"`
	Servers      []ServerState                `json:"servers"`
	Quarantines  map[uint64]contract.Crashes  `json:"quarantines"`
	Links        map[string]backend.PoolState `json:"links"`
	// Costs are the expected server times of the routes' requests, if requests are placed by
	// their expected work.
	Costs map[string]forward.RouteCost `json:"costs,omitempty"`
	// Unreadable holds the platform's entries that can't be used.
	Unreadable []platform.UnreadableEntry `json:"unreadable"`
}

// ServerState describes one server as this process sees it.
type ServerState struct {
	*machine.Server
	InFlight int64 `json:"in_flight"`
	// ReportedLoad is the number of requests in the server's last report, ExpectedWait
	// how long one more part would wait for a slot.
	ReportedLoad int64         `json:"reported_load"`
	ExpectedWait time.Duration `json:"expected_wait_ns"`
	Latency      time.Duration `json:"latency_ns"`
	FailureShare int64         `json:"miss_share_per_mille"`
	Suspect      bool          `json:"suspect"`
	Leaves       bool          `json:"leaves"`
	// Departing is set if the server itself said that it is leaving.
	Departing bool `json:"departing"`
	// BackOffUntil is until when the server asked for no requests; zero if it never
	// did.
	BackOffUntil time.Time `json:"back_off_until,omitzero"`
	PartsSent    int64     `json:"runs"`
	// Slowness is how many times longer than usual the server takes, 1 if unknown.
	Slowness float64 `json:"slowness"`
}

// State returns a dump of the process. It takes no lock that requests wait for.
func (ps *Process) State(now time.Time) State {
	fl := ps.Fleets.Load()
	st := State{
		At: now, Name: ps.Config.Name, Zone: ps.Config.Zone, StartedAt: ps.startedAt,
		Ready: ps.IsReady(now), Leaving: ps.IsLeaving(), CarriesCallers: ps.carriesCallers.Load(),
		WatchesPlatform: ps.watcher.IsCurrent(), PlatformUnreachable: ps.isPlatformUnreachable(), ConfirmationAge: now.Sub(ps.Cluster.ConfirmedAt()),
		Version: fl.Version, Digest: fl.Digest, EntryVMs: ps.Cluster.Members(now),
		Quarantines: ps.Service.Quarantine.Crashes(), Links: ps.Backend.Pools(), Unreadable: ps.unreadable.Entries(),
	}
	if ps.Config.PlacesByWork {
		st.Costs = ps.Service.Costs()
	}
	if fl.Table != nil {
		st.TableVersion, st.Routes = fl.Table.Version, fl.Table.Routes
	}
	for _, servers := range fl.Services {
		for _, sv := range servers {
			st.Servers = append(st.Servers, ServerState{
				Server: sv, InFlight: sv.State.InFlight.Load(), ReportedLoad: sv.State.ReportedLoad.Load(), ExpectedWait: sv.ExpectedWait(now), Latency: time.Duration(sv.State.LatencyNanos.Load()),
				FailureShare: sv.State.FailureShare(now), Suspect: sv.State.IsSuspect(now), Leaves: sv.IsLeaving(now),
				Slowness: sv.State.Work.Slowness(now), PartsSent: sv.State.PartsSent.Load(), Departing: sv.State.Departing.Load(), BackOffUntil: backOffUntil(sv),
			})
		}
	}
	return st
}

func backOffUntil(sv *machine.Server) time.Time {
	if nanos := sv.State.BackOffUntil.Load(); nanos != 0 {
		return time.Unix(0, nanos)
	}
	return time.Time{}
}

// operatorRoutes returns the handler for the metrics and the dump.
func (ps *Process) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", ps.Metrics.Handler)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(ps.State(time.Now())); err != nil {
			events.LibraryMessage.Log(ps.Log, zap.String("message", "write state"), zap.Error(err))
		}
	})
	return mux
}

// publishGauges sets all gauges to their current values.
func (ps *Process) publishGauges(now time.Time) {
	fl := ps.Fleets.Load()
	version := int64(0)
	if fl.Table != nil {
		version = fl.Table.Version
	}
	open := int64(0)
	for _, pl := range ps.Backend.Pools() {
		open += pl.Open
	}
	ps.Metrics.SetGauges(map[string]float64{
		"forward_table_version":     float64(version),
		"forward_word_age_seconds":  now.Sub(ps.Cluster.ConfirmedAt()).Seconds(),
		"forward_servers":           float64(len(fl.Servers)),
		"forward_entry_vms":         float64(ps.countLiveEntryVMs(now)),
		"forward_links":             float64(open),
		"forward_load":              float64(ps.load.Load()),
		"forward_mismatched":        float64(ps.Backend.Mismatches.Load()),
		"forward_extra_refused":     float64(ps.Service.Budgets.DeniedCount()),
		"forward_server_departures": float64(ps.departures.Load()),
		"forward_server_back_offs":  float64(ps.backOffs.Load()),
		"forward_unreadable":        float64(ps.unreadable.Total.Load()),
		"forward_log_lines_dropped": float64(ps.droppedLines()),
	})
}

func (ps *Process) droppedLines() int64 {
	if ps.LogQueue == nil {
		return 0
	}
	return ps.LogQueue.Dropped.Load()
}
