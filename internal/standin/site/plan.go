// Package site puts a platform, servers and entry VMs together in one process,
// at the sizes of the users, for the demo, tests and measurements.
package site

import (
	"fmt"
	"time"

	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/world/snapshot"
)

// Plan is the size of a site.
type Plan struct {
	// Team is the team that owns the routes.
	Team string
	// Zones are the failure domains.
	Zones []string
	// ZoneDelay is one way between two zones, ClientDelay from the callers.
	ZoneDelay, ClientDelay time.Duration
	// Services, each with a server in each zone, hold the shards in turn.
	Services        int
	Slots           int
	ConnectionLimit int
	ConnectCost     time.Duration
	// Work is the usual time of one part.
	Work   time.Duration
	Shards int
	// EntryVMs are spread over the zones.
	EntryVMs int
	// Routes holds the text of the team's routes by name.
	Routes map[string]string
	// KeepFor is the entry VMs' keep_for.
	KeepFor time.Duration
}

// Collection is the name of the collection of every plan.
const Collection = "lessons"

// FirstSnapshot is the snapshot that a site starts with.
const FirstSnapshot = "2026-01-01"

// Gaisma returns the size of the teacher app.
func Gaisma() Plan {
	return Plan{
		Team:  "gaisma",
		Zones: []string{"riga-1", "riga-2", "riga-3"}, ZoneDelay: 4 * time.Millisecond, ClientDelay: 3 * time.Millisecond,
		Services: 10, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, Work: 4 * time.Millisecond,
		Shards: 30, EntryVMs: 3, KeepFor: 10 * time.Second,
		Routes: map[string]string{
			"find": "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"400ms\"\n",
			"save": "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"2s\"\nshards = \"one\"\nshard_key = \"plan\"\nidempotent = false\n",
		},
	}
}

// Karaca returns the size of the booking portal.
func Karaca() Plan {
	return Plan{
		Team:  "karaca",
		Zones: []string{"west-1", "west-2", "west-3"}, ZoneDelay: 3 * time.Millisecond, ClientDelay: time.Millisecond,
		Services: 10, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, Work: 4 * time.Millisecond,
		Shards: 30, EntryVMs: 3, KeepFor: 10 * time.Second,
		Routes: map[string]string{
			"find": "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"300ms\"\n",
			"save": "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"2s\"\nshards = \"one\"\nshard_key = \"slot\"\nidempotent = false\n",
		},
	}
}

// ServerNames returns the names of a service's servers, one for each zone.
func (pl Plan) ServerNames(service int) []string {
	names := make([]string, len(pl.Zones))
	for i, zone := range pl.Zones {
		names[i] = fmt.Sprintf("svc%02d-%s", service, zone)
	}
	return names
}

// Manifest returns a snapshot of the plan's shards.
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
	st.Slots, st.ConnectionLimit, st.ConnectCost, st.Work = pl.Slots, pl.ConnectionLimit, pl.ConnectCost, pl.Work
	return st
}
