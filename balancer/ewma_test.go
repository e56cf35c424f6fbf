package balancer

import (
	"math"
	"testing"
	"time"
)

func TestEWMA(t *testing.T) {
	for _, c := range []struct {
		name    string
		start   ewma
		gain    float64
		samples []float64
		want    float64
	}{
		{"plain mean of the first samples", ewma{}, 0.1, []float64{1, 2, 6}, 3},
		{"fixed gain from 1/gain samples on", ewma{mean: 10, samples: 100}, 0.1, []float64{20, 20}, 11.9},
		{"gain of one: the last sample", ewma{mean: 10, samples: 100}, 1, []float64{5, 7}, 7},
		{"no samples", ewma{mean: 10, samples: 100}, 0.1, nil, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			average := c.start
			for _, sample := range c.samples {
				average.add(sample, c.gain)
			}
			if math.Abs(average.mean-c.want) > 1e-9 {
				t.Errorf("mean %v, want %v", average.mean, c.want)
			}
			if want := c.start.samples + float64(len(c.samples)); average.samples != want {
				t.Errorf("%v samples, want %v", average.samples, want)
			}
		})
	}
}

func TestDecayingValue(t *testing.T) {
	const tau = 3.0 // s
	const start = time.Hour
	tauLater := start + 3*time.Second
	for _, c := range []struct {
		name   string
		update func(value *decayingValue)
		want   float64
	}{
		{"set", func(value *decayingValue) { value.set(5, tauLater) }, 5},
		{"not updated", func(*decayingValue) {}, 8 / math.E},
		{"event counted", func(value *decayingValue) { value.countEvent(tauLater, tau) }, 8/math.E + 1/tau},
		{"approaches zero", func(value *decayingValue) { value.approach(0, tauLater, tau) }, 8 / math.E},
		{"approaches a higher target", func(value *decayingValue) { value.approach(10, tauLater, tau) }, 10 - 2/math.E},
	} {
		t.Run(c.name, func(t *testing.T) {
			var value decayingValue
			value.set(8, start)
			c.update(&value)
			if got := value.current(tauLater, tau); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("%v after one time constant, want %v", got, c.want)
			}
		})
	}
}

// Guards against a biased rate: after some time constants, events at a steady rate must give about that rate.
func TestDecayingValueIsARate(t *testing.T) {
	const tau, rate = 3.0, 20
	var value decayingValue
	now := time.Hour
	for range 10 * 3 * rate {
		now += time.Second / rate
		value.countEvent(now, tau)
	}
	if got := value.current(now, tau); math.Abs(got-rate) > 0.5 {
		t.Errorf("%v events per second, want about %v", got, rate)
	}
}
