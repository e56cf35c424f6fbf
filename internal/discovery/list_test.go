package discovery

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

var discardLog = slog.New(slog.DiscardHandler)

func endpointJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":7}`, name, address, status)
}

// TestMalformedEntriesAreSkipped guards against a malformed entry that is accepted or
// that keeps the node from getting the valid ones. The entry of a removed endpoint is
// valid without an address.
func TestMalformedEntriesAreSkipped(t *testing.T) {
	entries := []string{
		endpointJSON("good", "127.0.0.1:1", "ready"),
		`5`,
		`null`,
		`{"name":5}`,
		endpointJSON("", "127.0.0.1:1", "ready"),
		endpointJSON("odd", "127.0.0.1:1", "odd"),
		endpointJSON("nowhere", "127.0.0.1", "ready"),
		endpointJSON("left", "", "gone"),
		`{"name":"late","address":"127.0.0.1:1","status":"ready","since_ms":-1}`,
		`{"name":"light","address":"127.0.0.1:1","status":"ready","weight":-1}`,
	}
	var list List
	err := json.Unmarshal([]byte(`{"index":4,"snapshot":true,"endpoints":[`+strings.Join(entries, ",")+`]}`), &list)
	if err != nil {
		t.Fatal(err)
	}
	got := list.decode(discardLog)
	want := Endpoint{Name: "good", Address: "127.0.0.1:1", Zone: "a", MachineType: "m2", Cell: 3, Status: "ready", Weight: 1.5, StartedAtMS: 7}
	if len(got) != 2 || got[0] != want || got[1].Name != "left" {
		t.Errorf("valid entries %+v, want good and left", got)
	}
}
