package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/world/view"
)

const usageServer = `Run a backend server that holds every shard of every snapshot.

Control address: PUT /faults {"straggle":20}, PUT /freeze, GET /runs,
GET /connections. The faults are listed in internal/standin/server.

With --platform the server writes its record, servers/<name>, when it starts.

Example: standin server --name s1 --zone riga-1 --address 127.0.0.1:8100 --control 127.0.0.1:8101 \
  --platform 127.0.0.1:8000`

func addServer(app *kingpin.Application) {
	cmd := app.Command("server", usageServer)
	settings := server.Settings{}.Defaults()
	cmd.Flag("name", "Name of the server.").Required().StringVar(&settings.Name)
	cmd.Flag("zone", "Failure domain of the server.").StringVar(&settings.Zone)
	cmd.Flag("service", "Service of the server.").Default("lessons").StringVar(&settings.Service)
	platformAddress := cmd.Flag("platform", "Platform to register with.").String()
	cmd.Flag("address", "Address of the server.").Required().StringVar(&settings.Address)
	cmd.Flag("slots", "Number of parts that run concurrently.").Default("2").IntVar(&settings.Slots)
	cmd.Flag("connections", "Maximum number of connections.").Default("25").IntVar(&settings.ConnectionLimit)
	cmd.Flag("connect-cost", "Time to accept a new connection.").Default("6ms").DurationVar(&settings.ConnectDelay)
	cmd.Flag("work", "Typical run time of a part.").Default("4ms").DurationVar(&settings.MeanPartTime)
	cmd.Flag("cold", "Time after the start in which parts are slow.").Default("0s").DurationVar(&settings.WarmUp)
	control := cmd.Flag("control", "Address for switching faults.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		sr := server.New(time.Now(), settings)
		sr.Crash = func() { os.Exit(1) }
		routes, err := sr.Routes()
		if err != nil {
			return err
		}
		raw, err := net.Listen("tcp", settings.Address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		ls := server.NewListener(raw, settings)
		if *platformAddress != "" {
			if err := register(*platformAddress, settings); err != nil {
				return err
			}
		}
		return serve(ls, routes, *control, server.Control(sr, ls))
	})
}

// register writes the record of a server to the platform.
func register(address string, settings server.Settings) error {
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	store, err := connectPlatform(address)
	if err != nil {
		return err
	}
	return putJSON(ctx, store, view.PrefixServers+settings.Name, settings)
}
