// Package entryvm assembles the process of an entry VM: it reads the
// configuration, builds and connects the components, and starts and stops them.
package entryvm

import (
	"fmt"
	"net"
	"os"

	"daisystage.example/daisystage/internal/world/contract"
)

// Config is the configuration of a process, read from a TOML file at the start.
type Config struct {
	// Name is unique among the entry VMs.
	Name string `toml:"name"`
	// Zone is the failure domain of the VM.
	Zone string `toml:"zone"`
	// All addresses are host:port. The first three must differ.
	CallerAddress     string   `toml:"caller_address"`
	OperatorAddress   string   `toml:"operator_address"`
	EntryAddress      string   `toml:"entry_address"`
	PlatformAddresses []string `toml:"platform_addresses"`
	// Peers are the entry addresses contacted first; further entry VMs are
	// discovered from their heartbeats.
	Peers []string `toml:"peers"`
	// ZoneDelays holds the one-way network delay to each other zone.
	ZoneDelays map[string]contract.Duration `toml:"zone_delays"`
	// EntriesTTL is how long callers may cache the list of entries.
	EntriesTTL contract.Duration `toml:"keep_for"`
	// StopMargin is added to EntriesTTL before a stopping process begins to drain.
	StopMargin contract.Duration `toml:"stop_margin"`
	// DrainFor is the time before the listeners close in which each connection
	// is closed after its next answer.
	DrainFor contract.Duration `toml:"drain_for"`
	// PlatformReadsPerSecond and PlatformWritesPerSecond limit the calls to the
	// platform.
	PlatformReadsPerSecond  float64 `toml:"platform_reads_per_second"`
	PlatformWritesPerSecond float64 `toml:"platform_writes_per_second"`
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeaderBytes is the largest accepted head of a request.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MemoryMB is the memory of this VM in megabytes.
	MemoryMB int `toml:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that this process may open.
	MaxDescriptors int `toml:"max_descriptors"`
	// ReceiptsKept is the number of recent receipts kept in memory.
	ReceiptsKept int    `toml:"receipts_kept"`
	LogLevel     string `toml:"log_level"`
	LogFormat    string `toml:"log_format"`
}

// Defaults returns a config in which every field that has a default is set.
func (Config) Defaults() Config {
	return Config{
		EntriesTTL:              contract.Milliseconds(10000),
		StopMargin:              contract.Milliseconds(2000),
		DrainFor:                contract.Milliseconds(2000),
		PlatformReadsPerSecond:  50,
		PlatformWritesPerSecond: 40,
		MaxBodyBytes:            1 << 20,
		MaxHeaderBytes:          64 << 10,
		MemoryMB:                256,
		MaxDescriptors:          4096,
		ReceiptsKept:            10000,
		LogLevel:                "info",
		LogFormat:               "json",
	}
}

// requestMemoryDivisor is the part of the VM's memory that requests may occupy.
const requestMemoryDivisor = 4

// RequestMemory returns the number of bytes that the heads and bodies of requests may
// occupy, with what is made of them until the requests are answered.
func (cg Config) RequestMemory() int64 {
	return int64(cg.MemoryMB) * 1e6 / requestMemoryDivisor
}

// Validate returns a *contract.FieldError for the first field that is out of
// its range.
func (cg Config) Validate() error {
	checks := []struct {
		ok       bool
		key      string
		accepted string
	}{
		{cg.Name != "", "name", "a name that no other entry VM has"},
		{cg.Zone != "", "zone", "the name of a failure domain"},
		{isAddress(cg.CallerAddress), "caller_address", "host:port"},
		{isAddress(cg.OperatorAddress), "operator_address", "host:port"},
		{isAddress(cg.EntryAddress), "entry_address", "host:port"},
		{cg.OperatorAddress != cg.CallerAddress, "operator_address", "an address other than caller_address"},
		{
			cg.EntryAddress != cg.CallerAddress && cg.EntryAddress != cg.OperatorAddress,
			"entry_address", "an address other than caller_address and operator_address",
		},
		{len(cg.PlatformAddresses) > 0 && areAddresses(cg.PlatformAddresses), "platform_addresses", "a list of host:port, at least one"},
		{areAddresses(cg.Peers), "peers", "a list of host:port"},
		{cg.EntriesTTL.Duration > 0 && cg.EntriesTTL.Minutes() <= 10, "keep_for", "more than 0s and at most 10m"},
		{cg.StopMargin.Duration >= 0, "stop_margin", "at least 0s"},
		{cg.DrainFor.Duration >= 0, "drain_for", "at least 0s"},
		{cg.PlatformReadsPerSecond >= 5, "platform_reads_per_second", "5 or more"},
		{cg.PlatformWritesPerSecond >= 1, "platform_writes_per_second", "1 or more"},
		{cg.MaxBodyBytes >= 1 && cg.MaxBodyBytes <= 64<<20, "max_body_bytes", "1 to 67108864"},
		{cg.MaxHeaderBytes >= 1024 && cg.MaxHeaderBytes <= 1<<20, "max_header_bytes", "1024 to 1048576"},
		{cg.MemoryMB >= 64, "memory_mb", "64 or more"},
		{cg.MaxDescriptors >= 400, "max_descriptors", "400 or more"},
		{cg.ReceiptsKept >= 1 && cg.ReceiptsKept <= 1000000, "receipts_kept", "1 to 1000000"},
		{isLevel(cg.LogLevel), "log_level", `"debug", "info", "warn" or "error"`},
		{cg.LogFormat == "json" || cg.LogFormat == "console", "log_format", `"json" or "console"`},
	}
	for _, ch := range checks {
		if !ch.ok {
			return &contract.FieldError{Key: ch.key, Accepted: ch.accepted}
		}
	}
	for name, delay := range cg.ZoneDelays {
		if delay.Duration < 0 {
			return &contract.FieldError{Key: name, Accepted: "at least 0s"}
		}
	}
	return nil
}

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && host != "" && port != ""
}

func areAddresses(addresses []string) bool {
	for _, address := range addresses {
		if !isAddress(address) {
			return false
		}
	}
	return true
}

func isLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}

// ParseConfig parses and validates the text of a config file. name is the file
// name used in errors.
func ParseConfig(name, body string) (Config, error) {
	cg := Config{}.Defaults()
	if err := contract.DecodeTOML(name, body, &cg); err != nil {
		return cg, err
	}
	return cg, contract.WithPosition(name, body, cg.Validate())
}

// ReadConfig reads, parses and validates a config file.
func ReadConfig(path string) (Config, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read config: %w", err)
	}
	return ParseConfig(path, string(body))
}
