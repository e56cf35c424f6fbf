// Package logsink keeps a log that is not read from stopping the program that
// writes it. A write to a pipe whose reader has stopped reading blocks for as long
// as that lasts; what is logged then is kept up to a limit, and dropped and counted
// beyond it.
package logsink

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	maxPendingBytes = 64 << 10              // of lines that are not written yet
	writeWait       = 10 * time.Millisecond // how long Write waits for its line to be written
	asyncTime       = time.Second           // after a stall, in which Write does not wait at all
)

// Writer passes lines on to another writer in a goroutine of its own. As long as
// that writer takes them, Write returns once its line is written, so that a crash
// loses none. When it has once taken longer than 10 ms, Write waits no more until
// all pending lines are written and a second has passed.
type Writer struct {
	out   io.Writer
	wake  chan struct{} // has a value when there may be pending lines
	now   func() time.Time
	after func(time.Duration) <-chan time.Time

	mu           sync.Mutex // guards what follows
	pending      []line     // oldest first; the first may be being written
	pendingBytes int
	dropped      int       // lines that were lost and are not reported yet
	stalled      bool      // a line was not written in time, and lines are pending since
	asyncUntil   time.Time // Write does not wait before
}

// line is one call of Write.
type line struct {
	text    []byte
	written chan struct{} // closed when out has returned
}

// New returns a Writer that passes lines on to out for ever.
func New(out io.Writer) *Writer {
	w := newWriter(out)
	go w.run()
	return w
}

// newWriter returns a Writer that does not write yet.
func newWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1), now: time.Now, after: time.After}
}

// Write takes one line, or drops it if too much is pending. It keeps no part of p,
// blocks for 10 ms at most, and its error is always nil.
func (w *Writer) Write(p []byte) (int, error) {
	l, wait := w.enqueue(p)
	if wait && !w.awaitWritten(l, writeWait) {
		w.noteStall()
	}
	return len(p), nil
}

// enqueue adds a line. It reports whether the caller should wait until it is
// written.
func (w *Writer) enqueue(p []byte) (l line, wait bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pendingBytes+len(p) > maxPendingBytes {
		w.dropped++
		return line{}, false
	}
	l = line{text: bytes.Clone(p), written: make(chan struct{})}
	w.pending = append(w.pending, l)
	w.pendingBytes += len(p)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return l, !w.stalled && !w.now().Before(w.asyncUntil)
}

// awaitWritten waits until the line is written, for a limited time. It reports
// whether it is.
func (w *Writer) awaitWritten(l line, limit time.Duration) bool {
	select {
	case <-l.written:
		return true
	case <-w.after(limit):
		return false
	}
}

// noteStall records that a line has not been written in time.
func (w *Writer) noteStall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalled = len(w.pending) > 0
}

// Flush waits until all lines are written that Write has taken, for a limited time.
// It reports whether they are.
func (w *Writer) Flush(limit time.Duration) bool {
	w.mu.Lock()
	if len(w.pending) == 0 {
		w.mu.Unlock()
		return true
	}
	last := w.pending[len(w.pending)-1]
	w.mu.Unlock()
	return w.awaitWritten(last, limit)
}

// run writes pending lines.
func (w *Writer) run() {
	for range w.wake {
		for w.writeFirst() {
		}
		w.reportDropped()
	}
}

// writeFirst writes the oldest pending line. It reports false if there is none.
func (w *Writer) writeFirst() bool {
	w.mu.Lock()
	if len(w.pending) == 0 {
		w.mu.Unlock()
		return false
	}
	first := w.pending[0]
	w.mu.Unlock()

	w.out.Write(first.text) // with an error nobody reads it, and nobody can be told

	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = w.pending[1:]
	w.pendingBytes -= len(first.text)
	close(first.written)
	if len(w.pending) == 0 {
		w.pending = nil
		if w.stalled {
			w.stalled = false
			w.asyncUntil = w.now().Add(asyncTime)
		}
	}
	return true
}

// reportDropped logs how many lines were lost, if any were.
func (w *Writer) reportDropped() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		slog.New(slog.NewTextHandler(w.out, nil)).Warn("log lines lost", "lines", dropped)
	}
}
