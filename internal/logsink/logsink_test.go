package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// testTimeout limits each wait of a test; a passing test takes far less.
const testTimeout = 30 * time.Second

// gatedWriter blocks each Write until the test releases it.
type gatedWriter struct {
	begun   chan bool // receives a value as each Write begins
	release chan bool // each value lets one Write proceed
	got     bytes.Buffer
}

func newGatedWriter() *gatedWriter {
	return &gatedWriter{begun: make(chan bool, 1000), release: make(chan bool, 1000)}
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	w.begun <- true
	<-w.release
	return w.got.Write(p)
}

func receive(t *testing.T, c <-chan bool) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a Write to begin")
	}
}

// stalledWriter returns a Writer whose clock is *now. It counts the waits of Write
// in *waits. All waits time out at once, as if the line were not written in time.
func stalledWriter(out *gatedWriter, now *time.Time, waits *int) *Writer {
	w := newWriter(out)
	w.now = func() time.Time { return *now }
	w.after = func(limit time.Duration) <-chan time.Time {
		if limit == writeWait {
			*waits++
		}
		over := make(chan time.Time)
		close(over)
		return over
	}
	return w
}

// TestWrittenBeforeWriteReturns guards against the loss of a line by a crash right
// after it was logged.
func TestWrittenBeforeWriteReturns(t *testing.T) {
	var out bytes.Buffer
	w := newWriter(&out)
	w.after = func(time.Duration) <-chan time.Time { return nil }
	go w.run()
	for i := range 100 {
		line := fmt.Sprintln("line", i)
		w.Write([]byte(line))
		if !strings.HasSuffix(out.String(), line) {
			t.Fatalf("line %d is not written yet", i)
		}
	}
	if !w.Flush(testTimeout) {
		t.Error("Flush reports false though all lines are written")
	}
}

// TestStall guards against a program that blocks or uses more and more memory while
// its log is not read. Write waits for one line only, the pending lines are limited,
// and the number of dropped lines is reported once out accepts lines again.
func TestStall(t *testing.T) {
	const lines, lineSize = 10_000, 100
	const kept = maxPendingBytes / lineSize
	out := newGatedWriter()
	now, waits := time.Now(), 0
	w := stalledWriter(out, &now, &waits)
	for i := range lines {
		fmt.Fprintf(w, "%*d\n", lineSize-1, i)
	}
	if waits != 1 {
		t.Errorf("Write waited for %d lines, want 1", waits)
	}
	if w.pendingBytes > maxPendingBytes {
		t.Errorf("%d bytes are pending, want at most 64 KiB", w.pendingBytes)
	}
	if w.Flush(time.Second) {
		t.Error("Flush reports true though nothing is written")
	}
	go w.run()
	for range kept + 1 {
		receive(t, out.begun)
		out.release <- true
	}
	w.after = time.After
	fmt.Fprintln(w, "a later line") // is written after the report of dropped lines
	receive(t, out.begun)
	out.release <- true
	if !w.Flush(testTimeout) {
		t.Fatal("Flush reports false though out accepts lines again")
	}
	got := strings.Split(out.got.String(), "\n")
	want := fmt.Sprintf("msg=\"log lines lost\" lines=%d", lines-kept)
	if len(got) != kept+3 || !strings.HasSuffix(got[kept], want) {
		t.Errorf("%d lines are written, with %q after the kept ones; want %d and %q", len(got)-1, got[kept], kept+2, want)
	}
}

// TestShortStalls guards against a program that is slowed down by a log that stalls
// again and again for a short time. Write waits for at most one line per second.
func TestShortStalls(t *testing.T) {
	out := newGatedWriter()
	now, waits := time.Now(), 0
	w := stalledWriter(out, &now, &waits)
	go w.run()
	const stalls, stallTime = 100, 20 * time.Millisecond
	for range stalls {
		l, _ := w.enqueue([]byte("before\n"))
		receive(t, out.begun)
		fmt.Fprintln(w, "a line")
		now = now.Add(stallTime)
		out.release <- true
		receive(t, out.begun)
		out.release <- true
		<-l.written
		for !w.Flush(0) {
			time.Sleep(time.Millisecond)
		}
	}
	if limit := 1 + int(stalls*stallTime/asyncTime); waits > limit {
		t.Errorf("Write waited for %d lines, want at most %d", waits, limit)
	}
}
