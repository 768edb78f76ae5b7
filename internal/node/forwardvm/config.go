// Package forwardvm runs the process of an entry VM that forwards whole
// requests: it connects the registry of servers, the configuration, the peers
// and the front end.
package forwardvm

import (
	"net"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// Config is what a process is started with.
type Config struct {
	// Name is unique among the entry VMs.
	Name string
	Zone string
	// The addresses are of this VM, with ports: callers connect to
	// CallerAddress, health checks to ReadyAddress, callers that ask where to
	// connect to DirectoryAddress and peers to EntryAddress.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	EntryAddress     string
	// MetricsAddress serves metrics and the dump; empty serves none.
	MetricsAddress string
	// Peers are the entry addresses of some other entry VMs.
	Peers []string
	// PlatformAddress is a host and a port.
	PlatformAddress string
	// Cores is the processor time of this VM in cores.
	Cores float64
	// LinkMbps is the speed of this VM's link in megabits a second; 0 if it is
	// not known.
	LinkMbps float64
	// DrainFor is how long a server that leaves goes on serving.
	DrainFor time.Duration
	// ApplyWithin is the time in which a change of the configuration is in force.
	ApplyWithin time.Duration
	// StopWithin is the time between the signal to stop and the end.
	StopWithin time.Duration
	// KeepFor is how long callers may keep an answer of the directory; at most
	// LongestKeep.
	KeepFor     time.Duration
	LongestKeep time.Duration
	// Retries bounds the extra sends of all entry VMs together.
	Retries contract.Allowance
	// LogLevel is a level of zap.
	LogLevel string
}

const (
	// keepFor is a compromise between asking often and using a VM that is gone.
	keepFor = 5 * time.Second
	// The defaults stand in for bounds that the settings do not give; they are
	// those of the smallest site.
	drainFor    = 3 * time.Second
	applyWithin = 3 * time.Second
	stopWithin  = 6 * time.Second
	longestKeep = 5 * time.Second
	retryWindow = 10 * time.Second
)

// Defaults returns a config with every field that has a default.
func (Config) Defaults() Config {
	return Config{
		DrainFor: drainFor, ApplyWithin: applyWithin, StopWithin: stopWithin, KeepFor: keepFor, LongestKeep: longestKeep,
		Retries:  contract.Allowance{Window: retryWindow},
		LogLevel: "info",
	}
}

// Validate returns the first field that is out of its range, as a
// *contract.FieldError.
func (cg Config) Validate() error {
	if cg.Name == "" {
		return &contract.FieldError{Key: "name", Accepted: "a name"}
	}
	if cg.Zone == "" {
		return &contract.FieldError{Key: "zone", Accepted: "a zone"}
	}
	addresses := []struct{ key, value string }{
		{"caller_address", cg.CallerAddress},
		{"ready_address", cg.ReadyAddress},
		{"directory_address", cg.DirectoryAddress},
		{"entry_address", cg.EntryAddress},
		{"platform_address", cg.PlatformAddress},
	}
	for _, ad := range addresses {
		if _, port, err := net.SplitHostPort(ad.value); err != nil || port == "" {
			return &contract.FieldError{Key: ad.key, Accepted: "a host and a port"}
		}
	}
	switch {
	case cg.Retries.Ratio < 0 || cg.Retries.Slack < 0:
		return &contract.FieldError{Key: "retries", Accepted: "a ratio and a slack that are not negative"}
	case cg.StopWithin < time.Second:
		return &contract.FieldError{Key: "stop_within", Accepted: "1s or more"}
	case cg.DrainFor < time.Second:
		return &contract.FieldError{Key: "drain_for", Accepted: "1s or more"}
	}
	return nil
}
