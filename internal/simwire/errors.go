package simwire

import (
	"errors"
	"fmt"
)

// ErrUnknownEvent reports an event whose name this package does not know.
var ErrUnknownEvent = errors.New("unknown event")

// MissingKeyError reports a required key that is absent.
type MissingKeyError struct{ Key string }

func (e *MissingKeyError) Error() string { return e.Key + " is missing" }

// UnknownValueError reports a value that is not among those defined for its key.
type UnknownValueError struct {
	Key   string
	Value string // as JSON
}

func (e *UnknownValueError) Error() string { return fmt.Sprintf("unknown %s %s", e.Key, e.Value) }

// required returns the value of a key, or a *MissingKeyError if the key is absent or null.
func required[V any](key string, value *V) (V, error) {
	if value == nil {
		var zero V
		return zero, &MissingKeyError{Key: key}
	}
	return *value, nil
}
