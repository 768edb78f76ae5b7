package entryvm

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/query/admit"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
	"daisystage.example/daisystage/internal/world/machine"
)

const (
	// These limits bound the size of a dump.
	maxDumpedServers  = 2000
	maxDumpedRoutes   = 2000
	maxDumpedReceipts = 100
)

// State is a dump of the process for operators.
type State struct {
	At        time.Time `json:"at"`
	Name      string    `json:"name"`
	Zone      string    `json:"zone"`
	Phase     string    `json:"phase"`
	StartedAt time.Time `json:"started_at"`
	View      ViewState `json:"view"`
	// EntryVMs includes this VM.
	EntryVMs    []machine.EntryVM           `json:"entry_vms"`
	Servers     []ServerState               `json:"servers"`
	Routes      []RouteState                `json:"routes"`
	Gates       map[string]admit.State      `json:"gates"`
	Quarantines map[string]contract.Crashes `json:"quarantines"`
	Receipts    ReceiptsState               `json:"receipts"`
	Platform    PlatformState               `json:"platform"`
	// Mismatches counts server answers that did not match the part they were
	// sent for.
	Mismatches int64 `json:"answers_mismatched"`
}

// ViewState describes the platform objects and settings in force.
type ViewState struct {
	Version   int64     `json:"version"`
	Digest    string    `json:"digest"`
	Confirmed bool      `json:"confirmed"`
	AsOf      time.Time `json:"as_of"`
	Objects   int       `json:"objects"`
	Settings  int       `json:"settings"`
	Servers   int       `json:"servers"`
	// Snapshots holds the snapshot ids of each collection, newest first.
	Snapshots map[string][]string `json:"snapshots"`
}

// ServerState describes one server as this process sees it.
type ServerState struct {
	machine.Server
	InFlight  int64              `json:"in_flight"`
	Limit     int64              `json:"limit"`
	Leaves    bool               `json:"leaves"`
	Suspect   bool               `json:"suspect"`
	PartsSent int64              `json:"runs"`
	Links     *backend.PoolState `json:"links,omitempty"`
}

// RouteState describes one route as this process sees it.
type RouteState struct {
	Path        string         `json:"path"`
	Version     int64          `json:"version"`
	Hash        string         `json:"hash"`
	HedgeTokens float64        `json:"hedge_tokens"`
	RetryTokens float64        `json:"retry_tokens"`
	Latency     link.Quantiles `json:"latency"`
}

// ReceiptsState counts the receipts that wait to be written, were written or were
// dropped, and holds the most recent ones.
type ReceiptsState struct {
	Waiting int                 `json:"waiting"`
	Written int64               `json:"written"`
	Dropped int64               `json:"dropped"`
	Recent  []*contract.Receipt `json:"recent"`
}

// PlatformState counts this process's calls to the platform.
type PlatformState struct {
	Down     bool  `json:"down"`
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Failures int64 `json:"failures"`
}

// State returns a dump of the process. It takes no lock that requests wait for.
func (ps *Process) State(now time.Time) State {
	vw := ps.Views.Load()
	st := State{
		At: now, Name: ps.Config.Name, Zone: ps.Config.Zone, Phase: ps.phase.Load().(string), StartedAt: ps.startedAt,
		View: ViewState{
			Version: vw.Version, Digest: strconv.FormatUint(vw.Digest, 16),
			Confirmed: ps.Confirmation.IsConfirmed(now), AsOf: ps.Confirmation.AsOf(),
			Objects: vw.Objects.Len(), Settings: vw.Settings.Len(), Servers: vw.Servers.Len(),
			Snapshots: map[string][]string{},
		},
		EntryVMs:    ps.Cluster.Members(now),
		Gates:       ps.Service.Gates(),
		Quarantines: map[string]contract.Crashes{},
		Receipts: ReceiptsState{
			Waiting: ps.Receipts.QueueLength(), Written: ps.Receipts.Written.Load(), Dropped: ps.Receipts.Dropped.Load(),
			Recent: ps.recentReceipts.Recent(maxDumpedReceipts),
		},
		Platform: PlatformState{
			Down: ps.Platform.IsDown(), Reads: ps.Platform.Reads.Load(),
			Writes: ps.Platform.Writes.Load(), Failures: ps.Platform.Failures.Load(),
		},
		Mismatches: ps.Backend.Mismatches.Load(),
	}
	for fingerprint, cs := range ps.Quarantine.Crashes() {
		st.Quarantines[strconv.FormatUint(fingerprint, 16)] = cs
	}
	for name, cl := range vw.Collections.All() {
		for _, mf := range cl.Manifests {
			st.View.Snapshots[name] = append(st.View.Snapshots[name], mf.ID)
		}
	}
	st.Servers = ps.serverStates(now)
	st.Routes = ps.routeStates()
	return st
}

func (ps *Process) serverStates(now time.Time) []ServerState {
	pools := ps.Backend.Pools()
	byName := maps.Collect(ps.Views.Load().Servers.All())
	states := []ServerState{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if len(states) == maxDumpedServers {
			break
		}
		sv := byName[name]
		row := ServerState{
			Server: *sv, InFlight: sv.State.InFlight.Load(), Limit: sv.State.CurrentLimit(),
			Leaves: sv.IsLeaving(now), Suspect: sv.State.IsSuspect(now), PartsSent: sv.State.PartsSent.Load(),
		}
		if pl, ok := pools[sv.Address]; ok {
			row.Links = &pl
		}
		states = append(states, row)
	}
	return states
}

func (ps *Process) routeStates() []RouteState {
	byPath := maps.Collect(ps.Views.Load().Settings.All())
	states := []RouteState{}
	for _, path := range slices.Sorted(maps.Keys(byPath)) {
		st := byPath[path]
		if st.Route == nil {
			continue
		}
		if len(states) == maxDumpedRoutes {
			break
		}
		states = append(states, RouteState{
			Path: path, Version: st.Version, Hash: st.Hash,
			HedgeTokens: st.State.Hedges.Tokens(), RetryTokens: st.State.Retries.Tokens(), Latency: st.State.Latency.Recent(),
		})
	}
	return states
}
