package node

import (
	"bytes"
	"time"
)

// chunkMergeTime is how much later bytes may have arrived that are dated like
// those before them, so that bytes sent one by one need few dates.
const chunkMergeTime = 5 * time.Millisecond

// readAheadBuffer holds what has been read ahead, and when each part of it
// arrived. The zero value is empty.
type readAheadBuffer struct {
	chunks []readAheadChunk // oldest first, none of them empty
	size   int              // bytes in all chunks
}

// readAheadChunk is a part of what was read ahead.
type readAheadChunk struct {
	data       []byte
	receivedAt time.Time // of the first byte; the others arrived within chunkMergeTime
}

func (r *readAheadBuffer) empty() bool { return r.size == 0 }

// add appends a copy of data that arrived at receivedAt.
func (r *readAheadBuffer) add(data []byte, receivedAt time.Time) {
	r.size += len(data)
	if len(r.chunks) > 0 {
		last := &r.chunks[len(r.chunks)-1]
		if receivedAt.Sub(last.receivedAt) <= chunkMergeTime {
			last.data = append(last.data, data...)
			return
		}
	}
	r.chunks = append(r.chunks, readAheadChunk{data: bytes.Clone(data), receivedAt: receivedAt})
}

// take removes bytes from the front, copies them to b and returns their number
// and when they arrived. There must be some, and b must have room. They are of
// one chunk, so that a request that arrived earlier than the next is not dated
// like that one.
func (r *readAheadBuffer) take(b []byte) (n int, receivedAt time.Time) {
	first := &r.chunks[0]
	n = copy(b, first.data)
	receivedAt = first.receivedAt
	first.data = first.data[n:]
	r.size -= n
	if len(first.data) == 0 {
		r.chunks = r.chunks[1:]
	}
	if r.empty() {
		r.chunks = nil // hundreds of connections would keep their buffers
	}
	return n, receivedAt
}
