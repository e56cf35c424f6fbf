package node

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bankshift/balancer"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"fc1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":100,"sockets":512},"peers":[],
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s"}]},
"settings":{"balancers":5,"slot_no":3,"caps":{"connect_timeout_ns":120000000,"max_attempts":4},
"classes":[{"name":"saldo","effect":"retryable","aim_ns":250000000}],"membership_mode":"pushed"}}`

// TestLoadConfig guards against values of a configuration file that are lost or put
// into the wrong field, and against a missing file that is not reported.
func TestLoadConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.1:5000" || c.Discovery != "127.0.0.1:8500" || c.Sockets != 512 || c.MemoryMB != 100 ||
		uint64(c.Seed) != 0xfc1f30d27a5be964 || c.Known.Version != 41 || len(c.Known.Endpoints) != 1 ||
		c.Settings.NodeIndex != 3 || c.Settings.ConnectTimeout != 120*time.Millisecond || c.Settings.Classes[0].Name != "saldo" {
		t.Errorf("wrong values in %+v", c)
	}
	if _, err := LoadConfig(path + "x"); err == nil {
		t.Error("no error for a missing file")
	}
}

// TestNoHealthChecksOnSockets guards against requests that wait for a health check
// and are rejected in the end: settings written for the simulator may allow health
// checks and gossip, which the protocol on sockets does not have.
func TestNoHealthChecksOnSockets(t *testing.T) {
	c, err := ParseConfig([]byte(strings.Replace(validConfig, `"caps":{`, `"report":{"how":"probe","fields":["active"]},"caps":{"probes":true,"peers":true,`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	address, _ := startRecordingBackend(t)
	n := startNodeWith(t, func(s *balancer.Settings) {
		s.LoadReportSource = c.Settings.LoadReportSource
		s.HealthChecksAllowed = c.Settings.HealthChecksAllowed
		s.GossipAllowed = c.Settings.GossipAllowed
	}, address)
	if a := sendRequest(t, n.request(t, "GET", "saldo", "q", "60", nil)); a.status != 200 || c.Settings.LoadReportSource != balancer.LoadReportsByHealthCheck {
		t.Errorf("status %d with reports by %v", a.status, c.Settings.LoadReportSource)
	}
}

// TestInvalidConfig guards against an invalid configuration that is accepted, or
// reported without naming what is wrong or in more than one line.
func TestInvalidConfig(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{validConfig, "", "unexpected end"},
		{validConfig, "[]", "cannot unmarshal"},
		{`"settings"`, `"other"`, "settings are missing"},
		{`"pushed"`, `"odd"`, "membership_mode"},
		{`"retryable"`, `"odd"`, "unknown effect"},
		{`"127.0.0.1:5000"`, `"127.0.0.1"`, "listen"},
		{`"127.0.0.1:8500"`, `""`, "discovery"},
		{`"fc1f30d27a5be964"`, `"seed"`, "seed"},
		{`512`, `8`, "sockets"},
	} {
		_, err := ParseConfig([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error %v, want one line with %q", c.new, c.old, err, c.want)
		}
	}
}

// TestConfigReadRetries guards against a node that fails to start because of a
// temporary shortage of descriptors, and against retries for a missing file, which
// has to be reported at once.
func TestConfigReadRetries(t *testing.T) {
	for _, c := range []struct {
		err   error
		calls int
	}{{syscall.ENFILE, 4}, {syscall.EMFILE, 4}, {syscall.ENOENT, 1}} {
		calls := 0
		raw, err := readRetrying(func() ([]byte, error) {
			calls++
			if calls <= 3 {
				return nil, &os.PathError{Op: "open", Path: "config.json", Err: c.err}
			}
			return []byte("{}"), nil
		})
		if calls != c.calls || (err == nil) != (c.calls == 4) || err == nil && string(raw) != "{}" {
			t.Errorf("%v: %q, %v after %d calls, want %d", c.err, raw, err, calls, c.calls)
		}
	}
}

// TestConfigErrorNamesKey guards against an error for an invalid value that lacks
// the key, the value or what is wanted.
func TestConfigErrorNamesKey(t *testing.T) {
	for _, c := range []struct{ old, new, key, value string }{
		{`"127.0.0.1:5000"`, `"127.0.0.1"`, "listen", "127.0.0.1"},
		{`"127.0.0.1:8500"`, `""`, "discovery", ""},
		{`"fc1f30d27a5be964"`, `"seed"`, "seed", "seed"},
		{`512`, `8`, "limits.sockets", "8"},
	} {
		_, err := ParseConfig([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
		var invalid *ConfigError
		if !errors.As(err, &invalid) || invalid.Key != c.key || invalid.Value != c.value || invalid.Want == "" {
			t.Errorf("%s: error %#v, want one on key %s with value %q", c.new, err, c.key, c.value)
		}
	}
	if _, err := ParseConfig([]byte("{}")); !errors.Is(err, ErrNoSettings) {
		t.Errorf("error %v, want %v", err, ErrNoSettings)
	}
}
