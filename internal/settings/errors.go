package settings

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ErrNull reports a settings object that is JSON null.
var ErrNull = errors.New("settings object is null")

// Error reports a value that is not among those allowed for its key.
type Error struct {
	Element string // the list element that holds the key, such as "classes[1]"; empty if none does
	Key     string // such as "effect" or "report.how"
	Value   string // the value found
	Want    string // the allowed values
}

func (e *Error) Error() string {
	where := ""
	if e.Element != "" {
		where = " in " + e.Element
	}
	return fmt.Sprintf("unknown %s %q%s, want %s", e.Key, e.Value, where, e.Want)
}

// lookup returns what the value of a key stands for. For a value that is not allowed it returns an *Error without an
// Element.
func lookup[V any](allowed map[string]V, key, value string) (V, error) {
	translated, ok := allowed[value]
	if !ok {
		names := slices.Sorted(maps.Keys(allowed))
		return translated, &Error{Key: key, Value: value, Want: "one of " + strings.Join(names, ", ")}
	}
	return translated, nil
}

// lookupOptional is like lookup, but returns the zero value for a key that is absent or empty.
func lookupOptional[V any](allowed map[string]V, key, value string) (V, error) {
	if value == "" {
		var zero V
		return zero, nil
	}
	return lookup(allowed, key, value)
}
