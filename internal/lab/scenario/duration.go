package scenario

import (
	"errors"
	"time"
)

const durationWanted = `want a duration of 0 or more in quotes and with a unit, as in "250ms"`

// Duration is a duration in a scenario file, written as in Go: "250ms", "30s".
// UnmarshalText rejects negative values.
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return errors.New(durationWanted)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats a duration as UnmarshalText parses it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String formats d like a time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Seconds returns d in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }
