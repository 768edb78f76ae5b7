package main

import "daisystage.example/daisystage/platform/wire"

// newEntry returns the entry that a server writes about itself.
func newEntry(sv *server, state string) wire.ServerEntry {
	slots, born := serverSlots, int(sv.born)
	return wire.ServerEntry{
		Backend: &sv.service, Address: &sv.address, Zone: &sv.zone, Version: "v1", Slots: &slots, State: &state, Seq: 1, Born: &born,
	}
}

// newRoute returns a route to one service.
func newRoute(name, host, prefix, service string, timeout float64) wire.Route {
	return wire.Route{
		Name: name, Host: host, PathPrefix: prefix, Type: nm.Words.Idempotent, TimeoutMs: timeout, LatencyGoalMs: 300,
		Priority: 2, MaxAttempts: 2, Backend: service,
	}
}

// newService returns a service of the configuration.
func newService(name string, maxConns int) wire.Service {
	return wire.Service{Name: name, HealthPath: nm.Paths.Health, MaxConns: maxConns}
}
