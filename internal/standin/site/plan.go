// Package site runs a stand-in platform, backend servers and entry VMs in one
// process, sized like the users' sites, for the demo, tests and measurements.
package site

import (
	"fmt"
	"time"

	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/world/snapshot"
)

// Plan describes the topology, sizes and delays of a site.
type Plan struct {
	// Team is the team that owns the routes.
	Team string
	// Zones are the failure domains.
	Zones []string
	// ZoneDelay is the one-way delay between two zones, ClientDelay the one
	// between callers and any zone.
	ZoneDelay, ClientDelay time.Duration
	// Services is the number of services, each with one server per zone. Shards
	// are assigned to them round-robin.
	Services        int
	Slots           int
	ConnectionLimit int
	ConnectDelay    time.Duration
	// MeanPartTime is the mean run time of one part.
	MeanPartTime time.Duration
	Shards       int
	// EntryVMs is the number of entry VMs, assigned to the zones round-robin.
	EntryVMs int
	// Routes maps the names of the team's routes to their settings text.
	Routes map[string]string
	// EntriesTTL is the keep_for setting of the entry VMs.
	EntriesTTL time.Duration
}

// Collection is the name of the only collection, in every plan.
const Collection = "lessons"

// FirstSnapshot is the id of the snapshot that a site starts with.
const FirstSnapshot = "2026-01-01"

// GaismaPlan returns the plan of the teacher app.
func GaismaPlan() Plan {
	return Plan{
		Team:  "gaisma",
		Zones: []string{"riga-1", "riga-2", "riga-3"}, ZoneDelay: 4 * time.Millisecond, ClientDelay: 3 * time.Millisecond,
		Services: 10, Slots: 2, ConnectionLimit: 25, ConnectDelay: 6 * time.Millisecond, MeanPartTime: 4 * time.Millisecond,
		Shards: 30, EntryVMs: 3, EntriesTTL: 10 * time.Second,
		Routes: map[string]string{
			"find": "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"400ms\"\n",
			"save": "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"2s\"\nshards = \"one\"\nshard_key = \"plan\"\nidempotent = false\n",
		},
	}
}

// KaracaPlan returns the plan of the booking portal.
func KaracaPlan() Plan {
	return Plan{
		Team:  "karaca",
		Zones: []string{"west-1", "west-2", "west-3"}, ZoneDelay: 3 * time.Millisecond, ClientDelay: time.Millisecond,
		Services: 10, Slots: 2, ConnectionLimit: 25, ConnectDelay: 6 * time.Millisecond, MeanPartTime: 4 * time.Millisecond,
		Shards: 30, EntryVMs: 3, EntriesTTL: 10 * time.Second,
		Routes: map[string]string{
			"find": "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"300ms\"\n",
			"save": "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"2s\"\nshards = \"one\"\nshard_key = \"slot\"\nidempotent = false\n",
		},
	}
}

// ServerNames returns the names of a service's servers, one per zone.
func (pl Plan) ServerNames(service int) []string {
	names := make([]string, len(pl.Zones))
	for i, zone := range pl.Zones {
		names[i] = fmt.Sprintf("svc%02d-%s", service, zone)
	}
	return names
}

// Manifest returns the manifest of a snapshot with all shards of the plan.
func (pl Plan) Manifest(id string) *snapshot.Manifest {
	mf := &snapshot.Manifest{Collection: Collection, ID: id}
	for at := range pl.Shards {
		mf.Shards = append(mf.Shards, snapshot.Shard{
			Name:     fmt.Sprintf("shard-%03d", at),
			Replicas: pl.ServerNames(at % pl.Services),
		})
	}
	return mf
}

func (pl Plan) serverSettings(service, zone int, address string) server.Settings {
	st := server.Settings{}.Defaults()
	st.Name = pl.ServerNames(service)[zone]
	st.Service = fmt.Sprintf("svc%02d", service)
	st.Zone = pl.Zones[zone]
	st.Address = address
	st.Slots, st.ConnectionLimit, st.ConnectDelay, st.MeanPartTime = pl.Slots, pl.ConnectionLimit, pl.ConnectDelay, pl.MeanPartTime
	return st
}
