package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxRecorded is the longest duration that a Histogram records.
const maxRecorded = time.Hour

// Histogram counts durations from a microsecond to an hour, with three significant
// digits. It is not safe for concurrent use.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, maxRecorded.Microseconds(), 3)}
}

// Add counts a duration; one below 0 counts as 0, and one over an hour as an hour.
func (h Histogram) Add(d time.Duration) {
	h.h.RecordValue(min(max(d, 0), maxRecorded).Microseconds()) // RecordValue fails only for values out of range
}

// Merge adds the counts of another histogram.
func (h Histogram) Merge(from Histogram) { h.h.Merge(from.h) }

// Latency summarizes a Histogram. Its durations are in seconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

// Latency returns a summary of the histogram.
func (h Histogram) Latency() Latency {
	const microsecondsPerSecond = 1e6
	quantile := func(p float64) float64 { return float64(h.h.ValueAtQuantile(p)) / microsecondsPerSecond }
	l := Latency{
		Count: h.h.TotalCount(),
		P50:   quantile(50),
		P90:   quantile(90),
		P99:   quantile(99),
		P999:  quantile(99.9),
		Max:   float64(h.h.Max()) / microsecondsPerSecond,
	}
	if l.Count > 0 {
		l.Mean = h.h.Mean() / microsecondsPerSecond
	}
	return l
}
