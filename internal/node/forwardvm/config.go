// Package forwardvm assembles the process of an entry VM that forwards requests
// unchanged to servers: it connects the fleet of servers, the configuration, the
// peers and the front end.
package forwardvm

import (
	"net"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

// Config is the configuration of a process.
type Config struct {
	// Name is unique among the entry VMs.
	Name string
	Zone string
	// The addresses are host:port on this VM. Requests arrive at CallerAddress,
	// health checks at ReadyAddress, callers' lookups of entry VMs at
	// DirectoryAddress and heartbeats of peers at EntryAddress.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	EntryAddress     string
	// MetricsAddress serves the metrics and the dump; if it is empty, neither is
	// served.
	MetricsAddress string
	// Peers are the entry addresses of other entry VMs, not necessarily all.
	Peers []string
	// PlatformAddress is the host:port of the platform.
	PlatformAddress string
	// Cores is the CPU capacity of this VM in cores; it may be a fraction.
	Cores float64
	// LinkMbps is the speed of this VM's network link in megabits per second; 0
	// if unknown.
	LinkMbps float64
	// MemoryMB is the memory of this VM in megabytes; 0 if unknown.
	MemoryMB int
	// FirstStart is set if all entry VMs start for the first time, so that there
	// are no callers yet.
	FirstStart bool
	// DrainFor is how long a leaving server continues to serve.
	DrainFor time.Duration
	// ReportEvery is the interval at which servers report to the platform.
	ReportEvery time.Duration
	// ApplyWithin is the time within which a change of the configuration must
	// take effect.
	ApplyWithin time.Duration
	// StopWithin is the time between the stop signal and the end of the process.
	StopWithin time.Duration
	// DirectoryTTL is how long callers may cache an answer of the directory; it is
	// limited to MaxDirectoryTTL.
	DirectoryTTL    time.Duration
	MaxDirectoryTTL time.Duration
	// Retries bounds the hedges and retries of all entry VMs together.
	Retries contract.RetryBudget
	// MaxDescriptors is the number of file descriptors that this process may open; 0
	// if unknown.
	MaxDescriptors int
	// RevokeWithin is the time after which no request with a withdrawn key may run
	// anywhere; 0 if only ApplyWithin holds.
	RevokeWithin time.Duration
	// UsesCustomers is set if the deployment has customers: keys are checked and kept from
	// servers also if the configuration lists none.
	UsesCustomers bool
	// Quota is the tolerance of customers' limits.
	Quota contract.QuotaBounds
	// UsesWarmUp is set if the limits of cold servers and the evacuation of zones are
	// in force, WarmUp is the tolerance of the limits, and EvacuateWithin the time within
	// which an evacuated zone must get no more requests.
	UsesWarmUp     bool
	WarmUp         contract.WarmUpBounds
	EvacuateWithin time.Duration
	// PlacesByWork is set if requests are placed by their expected work.
	PlacesByWork bool
	// LogLevel is the name of a zap level.
	LogLevel string
}

const (
	// defaultDirectoryTTL balances the number of lookups against the time for
	// which callers still use a VM that is gone.
	defaultDirectoryTTL = 5 * time.Second
	// The other defaults replace bounds that the settings do not give. They are
	// those of the smallest site.
	defaultDrainFor        = 3 * time.Second
	defaultReportEvery     = 1200 * time.Millisecond
	defaultApplyWithin     = 3 * time.Second
	defaultStopWithin      = 6 * time.Second
	defaultMaxDirectoryTTL = 5 * time.Second
	defaultRetryWindow     = 10 * time.Second
	defaultMemoryMB        = 256
	defaultQuotaWindow     = 5 * time.Second
	defaultEvacuateWithin  = 5 * time.Second
)

// messageMemoryDivisor is the part of the VM's memory that the bodies of requests
// and answers in flight may occupy: each is held up to twice while it grows, and
// garbage is collected when the heap has doubled.
const messageMemoryDivisor = 8

// headMemoryDivisor is the part of the VM's memory that the heads of requests may occupy.
const headMemoryDivisor = 8

// HeadMemory returns the number of bytes that the heads of requests may occupy, with what
// is made of them until the requests are answered.
func (cg Config) HeadMemory() int64 {
	return cg.memory() / headMemoryDivisor
}

// memory returns the memory of this VM in bytes.
func (cg Config) memory() int64 {
	if cg.MemoryMB == 0 {
		return defaultMemoryMB * 1e6
	}
	return int64(cg.MemoryMB) * 1e6
}

// MessageMemory returns the number of bytes that the bodies of requests and
// answers in flight may occupy.
func (cg Config) MessageMemory() int64 {
	return cg.memory() / messageMemoryDivisor
}

// Defaults returns a config in which every field that has a default is set.
func (Config) Defaults() Config {
	return Config{
		DrainFor: defaultDrainFor, ReportEvery: defaultReportEvery, ApplyWithin: defaultApplyWithin, StopWithin: defaultStopWithin, DirectoryTTL: defaultDirectoryTTL, MaxDirectoryTTL: defaultMaxDirectoryTTL,
		Retries: contract.RetryBudget{Window: defaultRetryWindow}, Quota: contract.QuotaBounds{Window: defaultQuotaWindow},
		EvacuateWithin: defaultEvacuateWithin,
		LogLevel:       "info",
	}
}

// Validate returns a *contract.FieldError for the first field that is out of
// its range.
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
	case cg.Quota.Overage < 0 || cg.Quota.Slack < 0:
		return &contract.FieldError{Key: "quota", Accepted: "an overage and a slack that are not negative"}
	case cg.WarmUp.Overage < 0 || cg.WarmUp.Slack < 0:
		return &contract.FieldError{Key: "warm_up", Accepted: "an overage and a slack that are not negative"}
	case cg.MaxDescriptors < 0:
		return &contract.FieldError{Key: "max_descriptors", Accepted: "a number that is not negative"}
	case cg.MemoryMB < 0:
		return &contract.FieldError{Key: "memory_mb", Accepted: "a number that is not negative"}
	case cg.StopWithin < time.Second:
		return &contract.FieldError{Key: "stop_within", Accepted: "1s or more"}
	case cg.DrainFor < time.Second:
		return &contract.FieldError{Key: "drain_for", Accepted: "1s or more"}
	}
	return nil
}
