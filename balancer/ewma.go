package balancer

import (
	"math"
	"time"
)

// ewma is an exponentially weighted moving average of samples. Until 1/gain samples have been added it is their plain
// mean. Its zero value is ready to use.
type ewma struct {
	mean    float64
	samples float64 // number of samples added
}

// add moves the mean towards the sample by the fraction gain, or by 1/n for the n-th sample where that is more.
func (e *ewma) add(sample, gain float64) {
	e.samples++
	e.mean = smooth(e.mean, sample, max(gain, 1/e.samples))
}

// smooth returns a moving average after one more sample, which has the weight gain.
func smooth(mean, sample, gain float64) float64 {
	return mean + gain*(sample-mean)
}

// decayingValue is a value that decays exponentially with time: towards zero when it is read with current, or towards
// the target of approach. All calls on one value must pass the same time constant tau, in seconds. Its zero value is
// ready to use.
type decayingValue struct {
	value float64 // at the time of the last update
	at    Time    // time of the last update
}

// current returns the value decayed until now.
func (d *decayingValue) current(now Time, tau float64) float64 {
	return d.value * decay(now-d.at, tau)
}

// set replaces the value.
func (d *decayingValue) set(value float64, now Time) {
	d.value = value
	d.at = now
}

// countEvent adds one event to a value that is a rate of events per second, averaged over tau.
func (d *decayingValue) countEvent(now Time, tau float64) {
	d.set(d.current(now, tau)+1/tau, now)
}

// approach moves the value towards target: their difference decays over the time since the last update.
func (d *decayingValue) approach(target float64, now Time, tau float64) {
	d.set(target+(d.value-target)*decay(now-d.at, tau), now)
}

// decay returns the fraction of a value with time constant tau, in seconds, that is left after the elapsed time.
func decay(elapsed time.Duration, tau float64) float64 { return math.Exp(-elapsed.Seconds() / tau) }
