package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// agent is a stand-in for the agent of discovery: it answers a call for the whole list at
// once, and a watch when its wait is over. The list does not change.
type agent struct {
	listener net.Listener
	list     string
}

func startAgent(backends []*backend) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &agent{listener: listener, list: listOf(backends)}
	go http.Serve(listener, http.HandlerFunc(d.serveCall))
	return d, nil
}

// listOf returns the whole list, in discovery's form. Two backends share a cell.
func listOf(backends []*backend) string {
	zones := []string{"karlin", "vysocany", "liben"}
	var entries []string
	for i, b := range backends {
		cell := i / 2
		entries = append(entries, fmt.Sprintf(
			`{"name":%q,"address":%q,"zone":%q,"type":"new-2c","group":%d,"status":"ready","weight":1.0,"since_ms":0}`,
			b.name, b.address(), zones[cell%len(zones)], cell))
	}
	return `{"index":41,"snapshot":true,"endpoints":[` + strings.Join(entries, ",") + `]}`
}

func (d *agent) serveCall(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("from") != "41" {
		fmt.Fprint(w, d.list)
		return
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	select {
	case <-time.After(time.Duration(hold) * time.Millisecond):
	case <-r.Context().Done():
	}
	fmt.Fprint(w, `{"index":41,"snapshot":false,"endpoints":[]}`)
}
