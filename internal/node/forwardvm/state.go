package forwardvm

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/bootclock"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/peer/callerhttp"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/query/forward"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
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
	// TableAge is how long ago the configuration in force was certainly the newest one;
	// nil if that was never known. KeysStale is set while keys are refused for its age.
	TableAge  *time.Duration `json:"table_age_ns"`
	KeysStale bool           `json:"keys_stale"`
	// StoreEra, Version (a revision of that era) and Digest identify the local copy of the
	// platform's objects.
	StoreEra     int64  `json:"store_era"`
	Version      int64  `json:"version"`
	Digest       uint64 `json:"digest"`
	TableVersion int64  `json:"table_version"`
	// TableRecord tells where the configuration in force came from, and StoreCalls what the
	// store answered to this VM.
	TableRecord TableState     `json:"table"`
	StoreCalls  StoreCallState `json:"store"`
	// Evacuated holds the zones whose servers get no work.
	Evacuated []string `json:"evacuated_zones"`
	// Customers holds the customers in force, without their keys.
	Customers   []*contract.Customer         `json:"customers"`
	Routes      []*contract.ForwardRoute     `json:"routes"`
	EntryVMs    []machine.EntryVM            `json:"entry_vms"`
	Servers     []ServerState                `json:"servers"`
	Quarantines map[uint64]contract.Crashes  `json:"quarantines"`
	Links       map[string]backend.PoolState `json:"links"`
	// Costs are the expected server times of the routes' requests, if requests are placed by
	// their expected work.
	Costs map[string]forward.RouteCost `json:"costs,omitempty"`
	// Unreadable holds the platform's entries that can't be used.
	Unreadable []platform.UnreadableEntry `json:"unreadable"`
	Rates      RatesState                 `json:"rates"`
}

// TableState describes where the configuration in force came from.
type TableState struct {
	// Era and Revision are those of its newest object in the store. StoredRevision is that of
	// the newest configuration that this VM knows of, and StoredVersion what the store has.
	Era            int64         `json:"era"`
	Revision       int64         `json:"revision"`
	StoredRevision int64         `json:"stored_revision"`
	StoredVersion  int64         `json:"stored_version"`
	Source         view.Source   `json:"source"`
	Peer           string        `json:"peer,omitempty"`
	InForceFor     time.Duration `json:"in_force_for_ns"`
}

// StoreCallState describes how the last calls to the store ended.
type StoreCallState struct {
	Answer string `json:"answer"`
	// AnswerAt is when the last call ended, OKAt when one was last answered.
	AnswerAt time.Time `json:"answer_at,omitzero"`
	OKAt     time.Time `json:"ok_at,omitzero"`
	// Active is set while this VM calls the store, whether or not it is answered.
	Active bool `json:"active"`
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
	// Slowdown is the factor by which work takes longer on the machine than on average.
	Slowdown     float64 `json:"slowdown"`
	FailureShare int64   `json:"miss_share_per_mille"`
	Suspect      bool    `json:"suspect"`
	Leaves       bool    `json:"leaves"`
	// Departing is set if the server itself said that it is leaving.
	Departing bool `json:"departing"`
	// BackOffUntil is until when the server asked for no requests; zero if it never
	// did.
	BackOffUntil time.Time `json:"back_off_until,omitzero"`
	// ColdUntil is until when the server is cold, by its record and its answers.
	ColdUntil time.Time `json:"cold_until,omitzero"`
	PartsSent int64     `json:"runs"`
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
		StoreEra: view.EraOf(fl.Version), Version: view.RevisionOf(fl.Version), Digest: fl.Digest, EntryVMs: ps.Cluster.Members(now),
		Quarantines: ps.Service.Quarantine.Crashes(), Links: ps.Backend.Pools(), Unreadable: ps.unreadable.Entries(),
		Evacuated: slices.Sorted(maps.Keys(fl.Evacuated)), Rates: ps.rates.state(),
	}
	if ps.Config.PlacesByWork {
		st.Costs = ps.Service.Costs()
	}
	if fl.Table != nil {
		st.TableVersion, st.Routes, st.Customers = fl.Table.Version, fl.Table.Routes, fl.Table.Customers
	}
	st.TableRecord, st.StoreCalls = tableState(now, fl), ps.storeCallState()
	if age := ps.Freshness.AsOf().Age(bootclock.Now()); age != view.NeverConfirmed {
		st.TableAge = &age
	}
	st.KeysStale = ps.keysAreStale()
	for _, servers := range fl.Services {
		for _, sv := range servers {
			st.Servers = append(st.Servers, ServerState{
				Server: sv, InFlight: sv.State.InFlight.Load(), ReportedLoad: sv.State.ReportedLoad.Load(), ExpectedWait: sv.ExpectedWait(now), Latency: time.Duration(sv.State.LatencyNanos.Load()),
				Slowdown:     sv.State.Slowdown(now),
				FailureShare: sv.State.FailureShare(now), Suspect: sv.State.IsSuspect(now), Leaves: sv.IsLeaving(now),
				PartsSent: sv.State.PartsSent.Load(), Departing: sv.State.Departing.Load(), BackOffUntil: timeOf(&sv.State.BackOffUntil),
				ColdUntil: sv.State.ColdEnd(), Slowness: sv.State.Work.Slowness(now),
			})
		}
	}
	return st
}

// tableState returns where the configuration in force in a fleet came from.
func tableState(now time.Time, fl *view.Fleet) TableState {
	record, origin := fl.TableRecord, fl.TableOrigin()
	ts := TableState{
		Era: view.EraOf(record.Version), Revision: view.RevisionOf(record.Version), StoredRevision: view.RevisionOf(fl.TableRevision),
		StoredVersion: fl.StoredTable, Source: origin.Source, Peer: origin.Peer,
	}
	if fl.Table != nil {
		ts.InForceFor = now.Sub(record.Since)
	}
	return ts
}

// storeCallState returns how the last calls to the store ended.
func (ps *Process) storeCallState() StoreCallState {
	history := ps.watcher.Answers.Load()
	return StoreCallState{Answer: history.Last.String(), AnswerAt: history.Last.At, OKAt: history.OKAt, Active: ps.watcher.IsActive()}
}

// storeAnswerAge returns the time since the store last answered a call of this VM, or since
// the start if it never did.
func (ps *Process) storeAnswerAge(now time.Time) time.Duration {
	okAt := ps.watcher.Answers.Load().OKAt
	if okAt.IsZero() {
		okAt = ps.startedAt
	}
	return max(now.Sub(okAt), 0)
}

// timeOf returns a time in Unix nanoseconds, the zero time for 0.
func timeOf(value *atomic.Int64) time.Time {
	if nanos := value.Load(); nanos != 0 {
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
	cold, withheld := ps.countCold(now)
	if cold != ps.coldServers {
		ps.coldServers = cold
		events.ServersCold.Log(ps.Log, zap.Int64("count", cold), zap.Int64("withheld", withheld))
	}
	open := int64(0)
	for _, pl := range ps.Backend.Pools() {
		open += pl.Open
	}
	ps.rates.publishGauges(ps.Metrics)
	ps.Metrics.SetGauges(map[string]float64{
		"forward_table_version":            float64(version),
		"forward_table_revision":           float64(view.RevisionOf(fl.TableRecord.Version)),
		"forward_table_in_force_seconds":   tableState(now, fl).InForceFor.Seconds(),
		"forward_store_answer_age_seconds": ps.storeAnswerAge(now).Seconds(),
		"forward_word_age_seconds":         now.Sub(ps.Cluster.ConfirmedAt()).Seconds(),
		"forward_table_age_seconds":        ps.Freshness.AsOf().Age(bootclock.Now()).Seconds(),
		"forward_keys_stale":               boolGauge(ps.keysAreStale()),
		"forward_servers":                  float64(len(fl.Servers)),
		"forward_cold_servers":             float64(cold),
		"forward_cold_withheld":            float64(withheld),
		"forward_evacuated_zones":          float64(len(fl.Evacuated)),
		"forward_entry_vms":                float64(ps.countLiveEntryVMs(now)),
		"forward_links":                    float64(open),
		"forward_load":                     float64(ps.load.Load()),
		"forward_mismatched":               float64(ps.Backend.Mismatches.Load()),
		"forward_extra_refused":            float64(ps.Service.Budgets.DeniedCount()),
		"forward_server_departures":        float64(ps.departures.Load()),
		"forward_server_back_offs":         float64(ps.backOffs.Load()),
		"forward_unreadable":               float64(ps.unreadable.Total.Load()),
		"forward_store_era":                float64(view.EraOf(fl.Version)),
		"forward_store_restores":           float64(ps.storeRestores.Load()),
		"forward_log_lines_dropped":        float64(ps.droppedLines()),

		"forward_callers_leased_bytes":                 float64(ps.guard.Leased()),
		"forward_callers_connections":                  float64(ps.guard.Connections()),
		"forward_callers_refused_head_too_large":       float64(ps.guard.Refused(callerhttp.HeadTooLarge)),
		"forward_callers_refused_no_memory":            float64(ps.guard.Refused(callerhttp.NoMemory)),
		"forward_callers_refused_unfinished_dropped":   float64(ps.guard.Refused(callerhttp.UnfinishedDropped)),
		"forward_callers_refused_connection_displaced": float64(ps.guard.Refused(callerhttp.ConnectionDisplaced)),
		"forward_callers_refused_connection_refused":   float64(ps.guard.Refused(callerhttp.ConnectionRefused)),
	})
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// countCold returns the number of servers that are limited because they are cold, and
// that of the sends for which they had no token.
func (ps *Process) countCold(now time.Time) (servers, withheld int64) {
	if ps.cold == nil {
		return 0, 0
	}
	for _, sv := range ps.Fleets.Load().Servers {
		if ps.cold.Limits(now, sv) {
			servers++
		}
	}
	return servers, ps.cold.Withheld.Load()
}

func (ps *Process) droppedLines() int64 {
	if ps.LogQueue == nil {
		return 0
	}
	return ps.LogQueue.Dropped.Load()
}
