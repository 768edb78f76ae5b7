package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/standin/site"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/snapshot"
	"daisystage.example/daisystage/internal/world/view"
)

const usageSetup = `Write the objects of a new site to a platform: the routes find and save of a
team, a token, and a snapshot whose shards are spread over the registered
servers.

Run again with another --snapshot to publish a newer one.

Example: standin setup --platform 127.0.0.1:8000 --team gaisma --shards 30 --token secret`

const setupTimeout = 20 * time.Second

// setup holds the flags of the setup command.
type setup struct {
	platform, team, token, snapshot string
	shards, replicas                int
}

func addSetup(app *kingpin.Application) {
	cmd := app.Command("setup", usageSetup)
	su := &setup{}
	cmd.Flag("platform", "Address of the platform.").Required().StringVar(&su.platform)
	cmd.Flag("team", "Team that owns the routes.").Default("gaisma").StringVar(&su.team)
	cmd.Flag("token", "Secret of the team's token.").Required().StringVar(&su.token)
	cmd.Flag("snapshot", "Id of the snapshot.").Default(site.FirstSnapshot).StringVar(&su.snapshot)
	cmd.Flag("shards", "Shards of the snapshot.").Default("30").IntVar(&su.shards)
	cmd.Flag("replicas", "Replicas of each shard.").Default("3").IntVar(&su.replicas)
	cmd.Action(func(*kingpin.ParseContext) error { return su.run() })
}

// connectPlatform returns a client of the platform with high rate limits.
func connectPlatform(address string) (*platform.Client, error) {
	return platform.New([]string{address}, &http.Client{}, platform.RateLimits{ReadsPerSecond: 1000, WritesPerSecond: 1000})
}

// putJSON creates an object or replaces its current version.
func putJSON(ctx context.Context, store platform.Store, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	ob, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = store.Put(ctx, key, string(text), ob.Version)
	return err
}

// run writes the snapshot, the token and the routes. Existing settings are kept.
func (su *setup) run() error {
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	store, err := connectPlatform(su.platform)
	if err != nil {
		return err
	}
	mf, err := su.manifest(ctx, store)
	if err != nil {
		return err
	}
	if err := putJSON(ctx, store, view.PrefixSnapshots+mf.Collection+"/"+mf.ID, mf); err != nil {
		return err
	}
	token := view.Token{Author: su.team + "-operator", Subtree: "teams/" + su.team + "/"}
	if err := putJSON(ctx, store, view.TokenKey(su.token), token); err != nil {
		return err
	}
	for name, body := range site.GaismaPlan().Routes {
		_, err := platform.PutSetting(ctx, store, contract.Revision{
			Path: contract.RoutePath(su.team, name), Body: body, ChangeID: uuid.NewString(),
			Author: "setup", Reason: "first settings", WrittenAt: time.Now(),
		})
		if err != nil && !errors.Is(err, platform.ErrChanged) {
			return err
		}
	}
	fmt.Printf("snapshot %s of collection %s has %d shards\n", mf.ID, mf.Collection, len(mf.Shards))
	return nil
}

// manifest returns a manifest that spreads the shards over the registered
// servers, with each shard's replicas in different zones where possible.
func (su *setup) manifest(ctx context.Context, store platform.Store) (*snapshot.Manifest, error) {
	objects, _, err := store.List(ctx, view.PrefixServers)
	if err != nil {
		return nil, err
	}
	var servers []machine.Server
	for _, ob := range objects {
		var sv machine.Server
		if err := json.Unmarshal([]byte(ob.Value), &sv); err != nil {
			return nil, fmt.Errorf("decode %s: %w", ob.Key, err)
		}
		servers = append(servers, sv)
	}
	if len(servers) == 0 {
		return nil, errors.New("no server has registered")
	}
	slices.SortStableFunc(servers, func(a, b machine.Server) int { return strings.Compare(a.Zone, b.Zone) })
	mf := &snapshot.Manifest{Collection: site.Collection, ID: su.snapshot}
	for at := range su.shards {
		sh := snapshot.Shard{Name: fmt.Sprintf("shard-%03d", at)}
		for replica := range min(su.replicas, len(servers)) {
			step := len(servers) / min(su.replicas, len(servers))
			sh.Replicas = append(sh.Replicas, servers[(at+replica*step)%len(servers)].Name)
		}
		mf.Shards = append(mf.Shards, sh)
	}
	return mf, nil
}
