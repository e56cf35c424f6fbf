package node

import (
	"hash/maphash"
	"time"

	"bankshift/balancer"
)

// maxRecentIDs is how many IDs a recentIDs remembers before it begins to forget those
// that are younger than its retention. It bounds the memory to some MB.
const maxRecentIDs = 1 << 17

// recentIDs remembers the IDs of requests that have ended, so that a copy of such a
// request is recognized. It remembers an ID for at least its retention, and for less
// only if more than maxRecentIDs/2 IDs are added in that time.
//
// It stores hashes in place of the IDs, whose length clients choose. The seed is
// random, so that clients cannot choose IDs with equal hashes.
type recentIDs struct {
	retention time.Duration
	seed      maphash.Seed

	// The IDs are kept in two generations. All of the older one are forgotten at once.
	newer, older map[uint64]struct{}
	newerSince   time.Time // when the newer generation began
}

func newRecentIDs(retention time.Duration) *recentIDs {
	return &recentIDs{
		retention: retention,
		seed:      maphash.MakeSeed(),
		newer:     map[uint64]struct{}{},
	}
}

// add remembers an ID.
func (r *recentIDs) add(id balancer.RequestID, now time.Time) {
	if now.Sub(r.newerSince) >= r.retention || len(r.newer) >= maxRecentIDs/2 {
		r.older = r.newer
		r.newer = map[uint64]struct{}{}
		r.newerSince = now
	}
	r.newer[r.hash(id)] = struct{}{}
}

// contains reports whether an ID is remembered.
func (r *recentIDs) contains(id balancer.RequestID) bool {
	hash := r.hash(id)
	if _, ok := r.newer[hash]; ok {
		return true
	}
	_, ok := r.older[hash]
	return ok
}

func (r *recentIDs) hash(id balancer.RequestID) uint64 {
	return maphash.String(r.seed, string(id))
}
