package contract

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text, such as "250ms", in
// settings.
type Duration struct{ time.Duration }

// Milliseconds returns a duration of count milliseconds.
func Milliseconds(count int64) Duration {
	return Duration{time.Duration(count) * time.Millisecond}
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts the format of
// time.ParseDuration.
func (dr *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration such as \"250ms\": %w", err)
	}
	dr.Duration = parsed
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (dr Duration) MarshalText() ([]byte, error) {
	return []byte(dr.String()), nil
}
