package simwire

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"bankshift/internal/settings"
)

type startJSON struct {
	Seed     *json.Number    `json:"seed"`
	Settings json.RawMessage `json:"profile_data"`
}

func decodeStart(raw json.RawMessage) (*Start, error) {
	var in startJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	number, err := required("seed", in.Seed)
	if err != nil {
		return nil, err
	}
	if in.Settings == nil {
		return nil, &MissingKeyError{Key: "profile_data"}
	}
	seed, err := decodeSeed(number)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	decoded, err := settings.Decode(in.Settings)
	if err != nil {
		return nil, err
	}
	return &Start{Settings: decoded, Seed: seed}, nil
}

// decodeSeed returns an unsigned 64-bit integer with its bits unchanged, and for
// any other number the bits of its float64.
func decodeSeed(number json.Number) (int64, error) {
	unsigned, err := strconv.ParseUint(number.String(), 10, 64)
	if err == nil {
		return int64(unsigned), nil
	}
	float, floatErr := number.Float64()
	if floatErr != nil {
		return 0, err
	}
	return int64(math.Float64bits(float)), nil
}
