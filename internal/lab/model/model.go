package model

import (
	"fmt"
	"time"
)

// Rand is the source of randomness of a model. *rand.Rand of math/rand/v2
// implements it.
type Rand interface {
	Float64() float64
}

// Outcome is how a server ended a request or an attempt to connect, or how
// discovery ended a call.
type Outcome int

const (
	Accepted          Outcome = iota // not ended: the request is under way, or the connection is established
	Served                           // status 200
	Failed                           // status 500; the request was executed
	Rejected                         // status 503 with X-Not-Run; the request was never executed
	ConnectionReset                  // the connection was reset; the request may have been executed
	ConnectionRefused                // the connection was not established; the request was never executed
	NoResponse                       // there will never be a response
)

var outcomeNames = [...]string{"accepted", "served", "failed", "rejected", "connection reset", "connection refused", "no response"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("Outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// Request describes one request that reaches a server.
type Request struct {
	ID     uint64        // chosen by the caller and repeated in the Reply; unique among requests under way at a server
	Work   time.Duration // processor time on a core of speed 1
	Key    string        // idempotency key, "" if none
	Scope  Scope         // the servers that share Key
	Window time.Duration // how long Key is remembered, from the start of the execution
}

// Reply is how a server ends a request that it had accepted.
type Reply struct {
	ID      uint64
	Outcome Outcome // never Accepted, ConnectionRefused or NoResponse
	At      time.Duration
	Repeat  bool // the key was known, so the request was not executed again
}
