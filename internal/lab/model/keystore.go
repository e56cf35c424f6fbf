package model

import (
	"fmt"
	"sync"
	"time"
)

// Scope says which servers share the idempotency keys they have seen.
type Scope int

const (
	ScopeAll  Scope = iota // all servers
	ScopeZone              // servers of one zone
	ScopeCell              // servers of one cell
)

// ParseScope parses a scope as scenarios, node settings and request headers
// contain it; "" is ScopeAll.
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

// minSweepSize is the number of keys below which a KeyStore deletes no expired
// keys.
const minSweepSize = 1024

// KeyStore remembers the idempotency keys seen by the servers of one scope. The
// zero value is ready for use, and it is safe for concurrent use.
type KeyStore struct {
	mu        sync.Mutex
	expiry    map[string]time.Duration
	sweepSize int // number of keys at which the next addition first deletes expired ones
}

// beginRun records that the execution of a request with the key begins, and
// remembers the key for window. It returns false if the key is known already, so
// that the request is a repeat.
func (k *KeyStore) beginRun(now time.Duration, key string, window time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if expiry, ok := k.expiry[key]; ok && now < expiry {
		return false
	}
	if k.expiry == nil {
		k.expiry = map[string]time.Duration{}
	}
	if len(k.expiry) >= max(k.sweepSize, minSweepSize) {
		k.deleteExpired(now)
	}
	k.expiry[key] = now + window
	return true
}

func (k *KeyStore) deleteExpired(now time.Duration) {
	for key, expiry := range k.expiry {
		if expiry <= now {
			delete(k.expiry, key)
		}
	}
	k.sweepSize = 2 * len(k.expiry) // doubling keeps the amortized cost of deletion per key constant
}

// forget removes a key whose execution had no effect.
func (k *KeyStore) forget(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.expiry, key)
}
