// Package logsink prevents a log that is not read from blocking the program that
// writes it. A write to a pipe blocks while the pipe's reader does not read. Lines
// that are logged meanwhile are buffered up to a limit; those beyond it are dropped
// and counted.
package logsink

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	maxPendingBytes = 64 << 10              // limit for lines that are not written yet
	writeWait       = 10 * time.Millisecond // how long Write waits at most for its line to be written
	asyncTime       = time.Second           // how long Write does not wait at all after a stall
)

// Writer passes lines on to another writer, out, from a goroutine of its own. As
// long as out accepts them in time, Write returns once its line is written, so that
// a crash loses no line. After a line has taken longer than 10 ms, Write returns
// without waiting; it waits again once all pending lines are written and another
// second has passed.
type Writer struct {
	out   io.Writer
	wake  chan struct{} // has a value when there may be pending lines
	now   func() time.Time
	after func(time.Duration) <-chan time.Time

	mu           sync.Mutex // guards the fields below
	pending      []line     // oldest first; the first may be being written
	pendingBytes int
	dropped      int       // number of dropped lines that are not reported yet
	stalled      bool      // a line was not written in time, and lines are pending since
	asyncUntil   time.Time // Write does not wait before this time
}

// line holds the text of one call of Write.
type line struct {
	text    []byte
	written chan struct{} // closed when out.Write has returned
}

// New returns a Writer that passes lines on to out. Its goroutine never ends.
func New(out io.Writer) *Writer {
	w := newWriter(out)
	go w.run()
	return w
}

// newWriter returns a Writer whose goroutine is not started.
func newWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1), now: time.Now, after: time.After}
}

// Write queues one line, or drops it if too much is pending. It does not retain p,
// blocks for 10 ms at most and always returns a nil error.
func (w *Writer) Write(p []byte) (int, error) {
	l, wait := w.enqueue(p)
	if wait && !w.awaitWritten(l, writeWait) {
		w.noteStall()
	}
	return len(p), nil
}

// enqueue adds a line to the pending ones, or drops it if they would exceed
// maxPendingBytes. It reports whether the caller should wait until the line is
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

// awaitWritten waits for a line to be written, up to a time limit. It reports
// whether the line is written.
func (w *Writer) awaitWritten(l line, limit time.Duration) bool {
	select {
	case <-l.written:
		return true
	case <-w.after(limit):
		return false
	}
}

// noteStall records that a line was not written in time, unless all lines are
// written by now.
func (w *Writer) noteStall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalled = len(w.pending) > 0
}

// Flush waits until all lines that Write has queued so far are written, up to a time
// limit. It reports whether they are.
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

// run writes pending lines and reports dropped ones.
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

	w.out.Write(first.text) // an error is ignored: the log has no reader, so there is nowhere to report it

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

// reportDropped logs the number of dropped lines, if there are any.
func (w *Writer) reportDropped() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		slog.New(slog.NewTextHandler(w.out, nil)).Warn("log lines lost", "lines", dropped)
	}
}
