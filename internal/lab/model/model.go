// Package model holds the stand-ins for what a node talks to: servers and
// discovery. They are pure: no I/O, clock, goroutine or global randomness, so
// that one code serves hollow runs on a virtual clock and real ones, where
// package emulator puts HTTP in front of them.
//
// A model is a state machine in time. Its caller tells it what happens with
// the time of it, never going back, and takes what comes of it from Advance
// at the time that Next gives:
//
//	for {
//		at, ok := s.Next()
//		if !ok || at > now {
//			break
//		}
//		for _, reply := range s.Advance(at) { ... }
//	}
//
// Every other call may change Next; on a clock of events the caller reads it
// again after each call. Advance may also come late: it then gives all that
// happened meanwhile, in order and with the times at which it happened. The
// same calls with the same source of chance give the same results.
//
// All times are since the start of the run. Nothing but Keys is safe for
// concurrent use.
//
// Source of the rules: the pages on the wire and on the protocol, and the
// page of the standing test for the count of pushed cold servers.
package model

import (
	"fmt"
	"sync"
	"time"
)

// Rand is the source of chance of a model; *rand.Rand of math/rand/v2 is one.
type Rand interface {
	Float64() float64
}

// Ending says how a server ends a request or a connection, or discovery a call.
type Outcome int

const (
	Accepted          Outcome = iota // not ended: it is under way, or the connection is up
	Served                           // 200
	Failed                           // 500; it has run
	Rejected                         // 503 with X-Not-Run: never ran
	ConnectionReset                  // the connection breaks; it may have run
	ConnectionRefused                // the connection does not come up: never ran
	NoResponse                       // no answer ever
)

var outcomeNames = [...]string{"accepted", "served", "failed", "full", "broken", "refused", "nothing"}

// String names the ending.
func (e Outcome) String() string {
	if e < 0 || int(e) >= len(outcomeNames) {
		return fmt.Sprintf("Ending(%d)", int(e))
	}
	return outcomeNames[e]
}

// Work is one request as it reaches a server.
type Work struct {
	ID     uint64        // the caller's name for it, told by its Reply; no two under way at a server share one
	Cost   time.Duration // on a core of speed 1
	Key    string        // idempotency key, "" if none
	Scope  Scope         // of Key
	Window time.Duration // for which Key is known from the start of its run
}

// Reply is how a server ends a request that it had accepted.
type Reply struct {
	ID      uint64
	Outcome Outcome // never Accepted, Refused or Nothing
	At      time.Duration
	Repeat  bool // its key was known: it did not run again
}

// Scope is the set of servers that share which keys they have seen.
type Scope int

const (
	ScopeAll  Scope = iota // all servers
	ScopeZone              // those of one zone
	ScopeCell              // those of one cell
)

// ParseScope reads a scope as scenarios and settings write it; "" is ScopeAll.
func ParseScope(s string) (Scope, error) {
	switch s {
	case "", "all":
		return ScopeAll, nil
	case "zone":
		return ScopeZone, nil
	case "cell":
		return ScopeCell, nil
	}
	return 0, fmt.Errorf("model: unknown scope of keys %q", s)
}

// Keys is the memory of idempotency keys that the servers of one scope share.
// The zero value is ready for use, and it is safe for concurrent use.
type KeyStore struct {
	mu        sync.Mutex
	expiry    map[string]time.Duration // when it is forgotten
	sweepSize int                      // size at which what is forgotten is thrown out
}

const minSweepSize = 1024 // keys; below, throwing out is not worth its time

// begin notes that a request with the key begins to run. It returns false if
// the key is known, and the request is a repeat.
func (k *KeyStore) beginRun(now time.Duration, key string, window time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if until, ok := k.expiry[key]; ok && now < until {
		return false
	}
	if k.expiry == nil {
		k.expiry = map[string]time.Duration{}
	}
	if len(k.expiry) >= max(k.sweepSize, minSweepSize) {
		for key, until := range k.expiry {
			if until <= now {
				delete(k.expiry, key)
			}
		}
		k.sweepSize = 2 * len(k.expiry) // so that a sweep costs each key a constant
	}
	k.expiry[key] = now + window
	return true
}

// forget takes a key back whose run had no effect.
func (k *KeyStore) forget(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.expiry, key)
}
