package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/memory"
	"bankshift/internal/settings"
	"bankshift/internal/sockets"
)

// Default limits of a node, for those that its configuration does not state.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024 // file descriptors
)

// Division of a node's file descriptors.
const (
	minSockets      = 64  // with fewer, a node cannot serve
	reservedSockets = 48  // for discovery, the listener and the runtime
	clientShare     = 0.5 // share of the remaining ones for client connections; the rest is for those to endpoints
)

const (
	maxReadAttempts   = 20 // of a file, while the machine is short of resources such as descriptors or memory
	readRetryInterval = 50 * time.Millisecond
)

// ErrNoSettings reports a configuration without settings.
var ErrNoSettings = errors.New("settings are missing")

// ConfigError reports a key of the configuration with an invalid value.
type ConfigError struct {
	Key   string // such as "limits.sockets"
	Value string // the value found, empty if there is none
	Want  string // a description of the valid values
	Err   error  // the cause, nil if there is none
}

func (e *ConfigError) Error() string {
	message := fmt.Sprintf("%s is %q, want %s", e.Key, e.Value, e.Want)
	if e.Err != nil {
		message += ": " + e.Err.Error()
	}
	return message
}

func (e *ConfigError) Unwrap() error { return e.Err }

// Config is a node's configuration.
type Config struct {
	Name      string
	Listen    string // address for clients
	Discovery string // address of the endpoint list's source
	Seed      int64
	MemoryMB  int
	Sockets   int     // file descriptors
	Cores     float64 // processors that the node may use; 0: not stated
	Settings  balancer.Settings
	Known     discovery.List // the last known endpoint list, used until discovery sends one
}

// Connections returns the maximum numbers of connections from clients and to
// endpoints.
func (c Config) Connections() (clients, endpoints int) {
	available := c.Sockets - reservedSockets
	clients = int(clientShare * float64(available))
	return clients, available - clients
}

// processors returns how many processors the node can use.
func (c Config) processors() float64 {
	available := float64(runtime.GOMAXPROCS(0))
	if c.Cores <= 0 {
		return available
	}
	return min(c.Cores, available)
}

// MemoryPlan returns how the node divides its memory limit.
func (c Config) MemoryPlan() memory.Plan {
	clients, endpoints := c.Connections()
	return memory.NewPlan(c.MemoryMB, clients, endpoints, len(c.Known.Endpoints))
}

// longestDeadline returns the longest deadline of all request classes: no client waits
// longer for its response.
func (c Config) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// maxTimeout returns the longest time for which a client may let a request wait,
// whatever its timeout: no client of the classes waits for longer, and until then the
// request holds a connection and memory.
func (c Config) maxTimeout() time.Duration {
	for _, class := range c.Settings.Classes {
		if class.Deadline <= 0 {
			return maxClientTimeout
		}
	}
	return min(c.maxRequestAge(), maxClientTimeout)
}

// maxRequestAge returns how long a request may have waited on this machine; an older one
// is rejected.
func (c Config) maxRequestAge() time.Duration {
	return c.longestDeadline() + maxRequestAgeMargin
}

// LoadConfig reads the configuration file at path.
func LoadConfig(path string) (Config, error) {
	raw, err := readRetrying(func() ([]byte, error) { return os.ReadFile(path) })
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c, err := ParseConfig(raw)
	if err != nil {
		return Config{}, fmt.Errorf("config %s: %w", path, err)
	}
	return c, nil
}

// readRetrying calls read, at most maxReadAttempts times, until it returns no error
// or one that does not come from a temporary shortage on this machine.
func readRetrying(read func() ([]byte, error)) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		raw, err := read()
		if err == nil || attempt == maxReadAttempts || !sockets.LocalFailure(err) {
			return raw, err
		}
		time.Sleep(readRetryInterval)
	}
}

// configFile is the JSON form of a Config.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // hexadecimal
	Limits    struct {
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
		Cores    float64 `json:"cores"`
	} `json:"limits"`
	Known    discovery.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// ParseConfig parses a configuration. An invalid value is a *ConfigError or a
// *settings.Error.
func ParseConfig(raw []byte) (Config, error) {
	var file configFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return Config{}, err
	}
	nodeSettings, err := file.parseSettings()
	if err != nil {
		return Config{}, err
	}
	if err := checkAddress("listen", file.Listen); err != nil {
		return Config{}, err
	}
	if err := checkAddress("discovery", file.Discovery); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, &ConfigError{Key: "seed", Value: file.Seed, Want: "a hexadecimal number of 64 bits", Err: err}
	}
	c := Config{
		Name:      file.Name,
		Listen:    file.Listen,
		Discovery: file.Discovery,
		Seed:      int64(seed),
		MemoryMB:  positiveOr(file.Limits.MemoryMB, defaultMemoryMB),
		Sockets:   positiveOr(file.Limits.Sockets, defaultSockets),
		Cores:     max(file.Limits.Cores, 0),
		Settings:  nodeSettings,
		Known:     file.Known,
	}
	if c.Sockets < minSockets {
		return Config{}, &ConfigError{
			Key:   "limits.sockets",
			Value: strconv.Itoa(c.Sockets),
			Want:  fmt.Sprintf("%d or more", minSockets),
		}
	}
	return c, nil
}

func (f configFile) parseSettings() (balancer.Settings, error) {
	if f.Settings == nil {
		return balancer.Settings{}, ErrNoSettings
	}
	s, err := settings.Decode(f.Settings)
	if err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	// The protocol on sockets has neither health checks nor gossip. A request that
	// waits for a health check would never be sent, and would be rejected in the end.
	s.HealthChecksAllowed = false
	s.GossipAllowed = false
	return s, nil
}

func checkAddress(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &ConfigError{Key: key, Value: address, Want: "host:port", Err: err}
	}
	return nil
}

// positiveOr returns value if it is positive, else fallback.
func positiveOr(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
