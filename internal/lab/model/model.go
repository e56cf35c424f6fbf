package model

import (
	"fmt"
	"time"
)

// Rand is the source of randomness of a model; *rand.Rand of math/rand/v2 is
// one.
type Rand interface {
	Float64() float64
}

// Outcome is how a server ends a request or a connection, or discovery a call.
type Outcome int

const (
	Accepted          Outcome = iota // not ended: it is under way, or the connection is up
	Served                           // 200
	Failed                           // 500; it was executed
	Rejected                         // 503 with X-Not-Run: never executed
	ConnectionReset                  // the connection breaks; it may have been executed
	ConnectionRefused                // the connection is not established: never executed
	NoResponse                       // no response ever
)

var outcomeNames = [...]string{"accepted", "served", "failed", "rejected", "connection reset", "connection refused", "no response"}

// String returns the outcome in words.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("Outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// Work is one request as it reaches a server.
type Work struct {
	ID     uint64        // chosen by the caller and repeated in the Reply; unique among those under way at a server
	Cost   time.Duration // processor time on a core of speed 1
	Key    string        // idempotency key, "" if none
	Scope  Scope         // of Key
	Window time.Duration // for which Key is remembered from the start of its execution
}

// Reply is how a server ends a request that it had accepted.
type Reply struct {
	ID      uint64
	Outcome Outcome // never Accepted, ConnectionRefused or NoResponse
	At      time.Duration
	Repeat  bool // its key was known: it was not executed again
}
