package main

import (
	"fmt"
	"net"

	"github.com/alecthomas/kingpin/v2"

	"daisystage.example/daisystage/internal/standin/platform"
)

const usagePlatform = `Run an in-memory platform with the object API, watches and the VM list.

Control address: PUT /faults {"down":true,"slow_ms":0,"lose_answers":0,"stale_list":false},
PUT /vms [{"Name":"a","Leaving":true}], GET /calls.

Example: standin platform --address 127.0.0.1:8000 --control 127.0.0.1:8001`

func addPlatform(app *kingpin.Application) {
	cmd := app.Command("platform", usagePlatform)
	address := cmd.Flag("address", "Address of the object API.").Required().String()
	control := cmd.Flag("control", "Address for switching faults.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		store := platform.NewFaultyStore(platform.NewStore())
		routes, err := platform.Routes(store)
		if err != nil {
			return err
		}
		ls, err := net.Listen("tcp", *address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return serve(ls, routes, *control, store.Control())
	})
}
