// Package entryvm puts the process of an entry VM together: its settings, its
// parts, its start and its stop.
package entryvm

import (
	"fmt"
	"net"
	"os"

	"daisystage.example/daisystage/internal/world/contract"
)

// Config is the file that a process is started with.
type Config struct {
	// Name is unique among the entry VMs.
	Name string `toml:"name"`
	// Zone is the failure domain of the VM.
	Zone string `toml:"zone"`
	// The addresses are host:port. All differ.
	CallerAddress     string   `toml:"caller_address"`
	OperatorAddress   string   `toml:"operator_address"`
	EntryAddress      string   `toml:"entry_address"`
	PlatformAddresses []string `toml:"platform_addresses"`
	// Peers are entry addresses to begin with; the others are learned.
	Peers []string `toml:"peers"`
	// ZoneDelays holds the one-way delay to other zones.
	ZoneDelays map[string]contract.Duration `toml:"zone_delays"`
	// KeepFor is how long callers keep the list of entries.
	KeepFor contract.Duration `toml:"keep_for"`
	// StopMargin is added to KeepFor before a stopping process drains.
	StopMargin contract.Duration `toml:"stop_margin"`
	// DrainFor is how long connections are closed after their next answer
	// before the listeners are closed.
	DrainFor contract.Duration `toml:"drain_for"`
	// PlatformReads and PlatformWrites are calls per second.
	PlatformReads  float64 `toml:"platform_reads_per_second"`
	PlatformWrites float64 `toml:"platform_writes_per_second"`
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// ReceiptsKept is the number of receipts kept in memory.
	ReceiptsKept int    `toml:"receipts_kept"`
	LogLevel     string `toml:"log_level"`
	LogFormat    string `toml:"log_format"`
}

// Defaults returns a config with every field that has a default.
func (Config) Defaults() Config {
	return Config{
		KeepFor:        contract.Milliseconds(10000),
		StopMargin:     contract.Milliseconds(2000),
		DrainFor:       contract.Milliseconds(2000),
		PlatformReads:  50,
		PlatformWrites: 40,
		MaxBodyBytes:   1 << 20,
		ReceiptsKept:   10000,
		LogLevel:       "info",
		LogFormat:      "json",
	}
}

// Validate returns the first field that is out of its range, as a
// *contract.FieldError.
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
		{cg.KeepFor.Duration > 0 && cg.KeepFor.Minutes() <= 10, "keep_for", "more than 0s and at most 10m"},
		{cg.StopMargin.Duration >= 0, "stop_margin", "at least 0s"},
		{cg.DrainFor.Duration >= 0, "drain_for", "at least 0s"},
		{cg.PlatformReads >= 5, "platform_reads_per_second", "5 or more"},
		{cg.PlatformWrites >= 1, "platform_writes_per_second", "1 or more"},
		{cg.MaxBodyBytes >= 1 && cg.MaxBodyBytes <= 64<<20, "max_body_bytes", "1 to 67108864"},
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

// ParseConfig reads and checks the text of a config. name stands in errors.
func ParseConfig(name, body string) (Config, error) {
	cg := Config{}.Defaults()
	if err := contract.DecodeTOML(name, body, &cg); err != nil {
		return cg, err
	}
	return cg, contract.Located(name, body, cg.Validate())
}

// ReadConfig reads and checks a file.
func ReadConfig(path string) (Config, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read config: %w", err)
	}
	return ParseConfig(path, string(body))
}
