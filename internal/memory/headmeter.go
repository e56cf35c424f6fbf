package memory

// Estimated memory of a parsed head.
const (
	headLineBytes = 256     // for each line, besides its bytes: the entry of a map and its strings
	headAllowance = 8 << 10 // part of what a connection costs in any case
)

// firstStatusDigit is the index of the status code in the first line of a response.
const firstStatusDigit = len("HTTP/1.1 ")

// HeadMeter finds the end of the head of an HTTP/1.1 message and estimates the memory
// that its parsed form takes, which can be many times its size. The zero value is ready
// for the head of a request.
type HeadMeter struct {
	bytes, lines int
	start        int  // index of the head's first byte; above 0 after Restart
	interim      bool // the head is that of an interim (1xx) response
	lineLength   int  // of the current line so far, without a carriage return at its start
	ended        bool
}

// Add adds bytes that have been received. It returns how many of them belong to the
// head: all of them, or those up to its empty line.
func (m *HeadMeter) Add(data []byte) int {
	for i, b := range data {
		if m.ended {
			return i
		}
		m.addByte(b)
	}
	return len(data)
}

func (m *HeadMeter) addByte(b byte) {
	if m.bytes-m.start == firstStatusDigit {
		m.interim = b == '1'
	}
	m.bytes++
	switch {
	case b == '\n':
		m.endLine()
	case b == '\r' && m.lineLength == 0:
	default:
		m.lineLength++
	}
}

// endLine counts a line. The first empty line ends the head.
func (m *HeadMeter) endLine() {
	if m.lineLength == 0 {
		m.ended = true
		return
	}
	m.lines++
	m.lineLength = 0
}

// Ended reports whether the end of the head has been added.
func (m *HeadMeter) Ended() bool { return m.ended }

// Interim reports whether the head of a response was that of an interim response.
func (m *HeadMeter) Interim() bool { return m.interim }

// Restart makes the meter ready for a further head of the same exchange, whose size is
// added.
func (m *HeadMeter) Restart() {
	m.start = m.bytes
	m.interim = false
	m.ended = false
}

// Size returns the number of bytes that have been added and belong to the head.
func (m *HeadMeter) Size() int { return m.bytes }

// Excess returns by how much the estimated memory exceeds what a connection costs in
// any case.
func (m *HeadMeter) Excess() int64 {
	return max(int64(m.bytes+m.lines*headLineBytes-headAllowance), 0)
}
