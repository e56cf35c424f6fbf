package node

import "time"

// A client's first request arrives with its connection or right after it, so a
// new connection that stays silent is evicted first.
const (
	stallThreshold = 250 * time.Millisecond // how long a new connection may be silent, or a request incomplete
	evictionGrace  = 20 * time.Millisecond  // a new connection is not evicted within this time, nor one after its last response
)

// expireOldestStalled ends the reading of the request that has been incomplete
// for longest, if that is at least stallThreshold, so that clients that stop in
// the middle of a request do not keep their slots from others.
func (l *connectionLimiter) expireOldestStalled(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *clientConn
	var oldestSince time.Time
	for c := range l.connections {
		since := c.incompleteSince()
		stalled := !since.IsZero() && now.Sub(since) >= stallThreshold
		if stalled && (oldest == nil || since.Before(oldestSince)) {
			oldest = c
			oldestSince = since
		}
	}
	if oldest != nil {
		oldest.expireRequestDeadline()
	}
}

// drain closes all idle connections except new ones that have been silent for
// less than stallThreshold: their first request is on its way, and their client
// would not send it again. Callers repeat drain, because new and active
// connections become drainable later.
func (l *connectionLimiter) drain(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, state := range l.idle {
		if state.servedBefore || now.Sub(state.since) >= stallThreshold {
			c.drain()
		}
	}
}

// evict closes the connection that its client is least likely to need and
// releases its slot. It reports whether it has evicted one. If a request has
// just arrived on a candidate, the candidate is no longer idle, although
// net/http has not reported that yet; evict then tries the next one. A connection
// that uses more of the processor than its share ends before others are evicted,
// but only after its next response. The caller holds l.mu.
func (l *connectionLimiter) evict(now time.Time) bool {
	if l.evictLingering(now) {
		return true
	}
	for {
		candidate, rank := l.evictionCandidate(now)
		if rank != longSilent && (len(l.lingering) > 0 || l.endOneOverShare(now)) {
			return false // a slot becomes free soon
		}
		if candidate == nil {
			return false
		}
		if candidate.drain() {
			candidate.releaseSlot()
			return true
		}
		delete(l.idle, candidate)
	}
}

// noteLingering records that a connection has carried its last response and will be closed
// after a while, in which its client can read the response.
func (l *connectionLimiter) noteLingering(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.slotReleased {
		l.lingering[c] = time.Now()
		l.notifySlotFreed()
	}
}

// evictLingering closes a connection that has carried its last response and releases its slot. It
// reports whether there was one whose client has had evictionGrace for the response. Its
// client may connect again at once, so only one such connection ends every
// slotPollInterval. The caller holds l.mu.
func (l *connectionLimiter) evictLingering(now time.Time) bool {
	if now.Sub(l.lingeringEndedAt) < slotPollInterval {
		return false
	}
	for c, since := range l.lingering {
		if now.Sub(since) >= evictionGrace {
			c.Conn.Close()
			c.releaseSlot()
			l.lingeringEndedAt = now
			return true
		}
	}
	return false
}

// evictionRank orders connections for eviction, lowest first.
type evictionRank int

const (
	longSilent      evictionRank = iota // new, and silent for at least stallThreshold
	betweenRequests                     // has carried a request
	newlyAccepted                       // new, and past its evictionGrace
	notEvictable                        // new, and within its evictionGrace
)

// evictionRank returns the rank of a connection in this state.
func (s idleState) evictionRank(now time.Time) evictionRank {
	age := now.Sub(s.since)
	switch {
	case s.servedBefore:
		return betweenRequests
	case age >= stallThreshold:
		return longSilent
	case age >= evictionGrace:
		return newlyAccepted
	}
	return notEvictable
}

// evictionCandidate returns the connection to evict next and its rank, or nil and
// notEvictable if there is none. It is the connection of the lowest rank, and within
// that rank the one that has been idle longest. The caller holds l.mu.
func (l *connectionLimiter) evictionCandidate(now time.Time) (candidate *clientConn, candidateRank evictionRank) {
	candidateRank = notEvictable
	var candidateSince time.Time
	for c, state := range l.idle {
		rank := state.evictionRank(now)
		if rank == notEvictable {
			continue
		}
		preferred := rank < candidateRank || rank == candidateRank && state.since.Before(candidateSince)
		if candidate == nil || preferred {
			candidate = c
			candidateRank = rank
			candidateSince = state.since
		}
	}
	return candidate, candidateRank
}
