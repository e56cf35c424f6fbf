package result

import (
	"time"

	"bankshift/internal/lab/scenario"
)

const (
	// recoveredFraction of the fraction served before the first event counts as
	// recovered.
	recoveredFraction = 0.9

	notRecovered = -1 // Run.Recovery
)

// FindRecovery sets Recovery from the windows: the time from the end of the
// last event to the first second that serves, together with the second after
// it, nine tenths of the fraction of the weight that was served between the
// warm-up and the first event.
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
		from = 0 // an event in the warm-up leaves only what is before it
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

// servedFraction is the fraction of the weight that was served in some windows,
// 1 if there was none.
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
