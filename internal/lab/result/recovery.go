package result

import (
	"time"

	"bankshift/internal/lab/scenario"
)

const (
	// A run has recovered when it serves recoveredFraction of the fraction that it
	// served before the first event.
	recoveredFraction = 0.9

	notRecovered = -1 // value of Run.Recovery
)

// FindRecovery sets Recovery from the windows: the time from the end of the last
// event to the first of two consecutive seconds that each serve at least nine
// tenths of the reference, which is the fraction of the weight that was served
// between the warm-up and the first event. Without events, Recovery is 0.
func (r *Run) FindRecovery(s *scenario.Scenario) {
	r.Recovery = notRecovered
	if len(s.Events) == 0 {
		r.Recovery = 0
		return
	}
	firstEvent := s.Length.Std()
	for _, e := range s.Events {
		firstEvent = min(firstEvent, e.At.Std())
	}
	from := int(s.Warmup.Std() / time.Second)
	to := int(firstEvent / time.Second)
	if from >= to {
		from = 0 // the first event is in the warm-up: the reference is all time before it
	}
	want := recoveredFraction * r.servedFraction(from, to)
	end := s.LastEventEnd()
	for i := int(end / time.Second); i+1 < len(r.Windows); i++ {
		if r.servedFraction(i, i+1) >= want && r.servedFraction(i+1, i+2) >= want {
			r.Recovery = max(0, (time.Duration(i)*time.Second - end).Seconds())
			return
		}
	}
}

// servedFraction returns the fraction of the weight that was served in the windows
// from from up to, but not including, to; 1 if they have no weight.
func (r *Run) servedFraction(from, to int) float64 {
	weight := 0.0
	served := 0.0
	for _, w := range r.Windows[max(0, from):min(to, len(r.Windows))] {
		weight += w.Weight
		served += w.ServedWeight
	}
	if weight == 0 {
		return 1
	}
	return served / weight
}
