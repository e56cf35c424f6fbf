package memory

import (
	"strings"
	"testing"
)

// TestHeadMeterFindsEnd guards against a meter that ends a head elsewhere than net/http
// does, which would leave bytes of the next head uncounted: at the first empty line,
// whatever its line end, and however the head is cut into pieces.
func TestHeadMeterFindsEnd(t *testing.T) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\n",
		"GET / HTTP/1.1\r\nHost: a\r\n b\r\n \r\nX: \r\n\n",
		"GET / HTTP/1.1\r\nHost: a\n\r\n",
	} {
		for cut := range len(head) {
			var m HeadMeter
			if n := m.Add([]byte(head[:cut])); n != cut || m.Ended() {
				t.Fatalf("%q: ends after %d of the first %d bytes", head, n, cut)
			}
			if n := m.Add([]byte(head[cut:] + "body\n\n")); n != len(head)-cut || !m.Ended() {
				t.Errorf("%q, cut at %d: ended %v after %d more bytes, want %d", head, cut, m.Ended(), n, len(head)-cut)
			}
			if m.Size() != len(head) {
				t.Errorf("%q: size %d, want %d", head, m.Size(), len(head))
			}
		}
	}
}

// TestHeadMeterExcess guards against heads of many short lines, whose parsed form takes
// many times their size, and against counting usual heads.
func TestHeadMeterExcess(t *testing.T) {
	usual := "POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\n" + strings.Repeat("X-Request-Id: 9b1f03aa5c7e2d41\r\n", 10) + "\r\n"
	var m HeadMeter
	m.Add([]byte(usual))
	if excess := m.Excess(); excess != 0 {
		t.Errorf("a usual head of %d bytes has an excess of %d bytes, want 0", len(usual), excess)
	}
	m = HeadMeter{}
	m.Add([]byte(strings.Repeat("a:\r\n", 1000)))
	if excess := m.Excess(); excess < 100*1000 {
		t.Errorf("a head of 1000 lines has an excess of %d bytes, want 100 a line at least", excess)
	}
}

// TestHeadMeterInterim guards against heads of interim responses that are not counted.
func TestHeadMeterInterim(t *testing.T) {
	var m HeadMeter
	interim := "HTTP/1.1 100 Continue\r\n\r\n"
	m.Add([]byte(interim))
	if !m.Ended() || !m.Interim() {
		t.Fatalf("ended %v, interim %v; want both", m.Ended(), m.Interim())
	}
	m.Restart()
	final := "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	if n := m.Add([]byte(final + "1")); n != len(final) || m.Interim() {
		t.Errorf("the final head has %d bytes, interim %v; want %d, false", n, m.Interim(), len(final))
	}
	if m.Size() != len(interim+final) {
		t.Errorf("size %d, want %d", m.Size(), len(interim+final))
	}
}
