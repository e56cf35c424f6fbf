package node

import (
	"bytes"
	"time"
)

// chunkMergeTime is how long after a chunk's first byte further bytes are added
// to the chunk and share its timestamp, so that bytes sent one by one need few
// chunks.
const chunkMergeTime = 5 * time.Millisecond

// chunkOverhead is the memory of a chunk besides its data, in bytes.
const chunkOverhead = 64

// readAheadBuffer holds the bytes read ahead and when each part of them
// arrived. The zero value is empty.
type readAheadBuffer struct {
	chunks []readAheadChunk // oldest first, none of them empty
	size   int              // bytes in all chunks
	memory int              // bytes that the chunks occupy, including those that have been taken
}

// readAheadChunk is a part of the bytes read ahead.
type readAheadChunk struct {
	data       []byte
	receivedAt time.Time // of the first byte; the others arrived within chunkMergeTime
}

func (r *readAheadBuffer) empty() bool { return r.size == 0 }

// oldest returns when the first of the bytes arrived. The buffer must not be empty.
func (r *readAheadBuffer) oldest() time.Time { return r.chunks[0].receivedAt }

// add appends a copy of data that arrived at receivedAt.
func (r *readAheadBuffer) add(data []byte, receivedAt time.Time) {
	r.size += len(data)
	if len(r.chunks) > 0 {
		last := &r.chunks[len(r.chunks)-1]
		if receivedAt.Sub(last.receivedAt) <= chunkMergeTime {
			r.memory -= cap(last.data)
			last.data = append(last.data, data...)
			r.memory += cap(last.data)
			return
		}
	}
	chunk := readAheadChunk{data: bytes.Clone(data), receivedAt: receivedAt}
	r.chunks = append(r.chunks, chunk)
	r.memory += cap(chunk.data) + chunkOverhead
}

// take removes bytes from the front, copies them to b and returns their number
// and when they arrived. Neither the buffer nor b may be empty. All bytes come
// from one chunk, so that a request does not get the timestamp of a later one.
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
		r.chunks = nil // releases the memory, which hundreds of connections would otherwise keep
		r.memory = 0
	}
	return n, receivedAt
}
