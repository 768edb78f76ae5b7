package contract

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that settings write as text, such as "250ms".
type Duration struct{ time.Duration }

// Milliseconds returns a duration of that many milliseconds.
func Milliseconds(count int64) Duration {
	return Duration{time.Duration(count) * time.Millisecond}
}

// UnmarshalText reads the form of time.ParseDuration.
func (dr *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration such as \"250ms\": %w", err)
	}
	dr.Duration = parsed
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (dr Duration) MarshalText() ([]byte, error) {
	return []byte(dr.String()), nil
}
