package scenario

import (
	"errors"
	"time"
)

const durationWanted = `want a time of 0 or more in quotes and with its unit, as in "250ms"`

// Duration is a time in a scenario file, written as in Go: "250ms", "30s". It
// is never negative.
type Duration time.Duration

// UnmarshalText reads a time with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return errors.New(durationWanted)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a time as UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String formats d like a time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// Std is d for package time.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Seconds is d as a number of seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }
