package balancer

import (
	"math"
	"testing"
	"time"
)

func TestTokenBucketRefill(t *testing.T) {
	const rate, burst = 2, 5
	for _, c := range []struct {
		name    string
		tokens  float64
		elapsed time.Duration
		want    float64
	}{
		{"no time", 1, 0, 1},
		{"half a second", 1, 500 * time.Millisecond, 2},
		{"up to the burst", 1, time.Minute, burst},
		{"below zero", -3, time.Second, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			bucket := tokenBucket{tokens: c.tokens, refilledAt: time.Hour}
			bucket.refill(time.Hour+c.elapsed, rate, burst)
			if bucket.tokens != c.want || bucket.refilledAt != time.Hour+c.elapsed {
				t.Errorf("%v tokens as of %v, want %v", bucket.tokens, bucket.refilledAt, c.want)
			}
		})
	}
}

func TestTokenBucketRefillExpiring(t *testing.T) {
	for _, c := range []struct {
		name    string
		tokens  float64
		rate    float64
		elapsed time.Duration
		want    float64
	}{
		{"below one token nothing expires", 0.25, 0.25, 2 * time.Second, 0.75},
		{"whole token is kept for a lifetime", 0.75, 0.25, 2 * time.Second, 1.25},
		{"and has expired after it", 0.75, 0.25, 4 * time.Second, 0.75},
		{"the next whole token replaces it", 0.75, 0.25, 5 * time.Second, 1},
		{"however many lifetimes have passed", 0.5, 0.25, 60 * time.Second, 0.5},
		{"a lifetime that brings a token: up to the burst", 0.5, 2, time.Minute, 1.5},
		{"below zero", -2, 0.25, 4 * time.Second, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			const burst, lifetime = 1.5, time.Second
			bucket := tokenBucket{tokens: c.tokens, refilledAt: time.Hour}
			bucket.refillExpiring(time.Hour+c.elapsed, c.rate, burst, lifetime)
			if math.Abs(bucket.tokens-c.want) > 1e-9 || bucket.refilledAt != time.Hour+c.elapsed {
				t.Errorf("%v tokens as of %v, want %v", bucket.tokens, bucket.refilledAt, c.want)
			}
		})
	}
}

func TestTokenBucketTakeAndDeposit(t *testing.T) {
	var bucket tokenBucket
	for _, c := range []struct {
		step      string
		do        func()
		tokens    float64
		available bool
	}{
		{"new", func() {}, 0, false},
		{"less than a token", func() { bucket.deposit(0.75, 2) }, 0.75, false},
		{"more than a token", func() { bucket.deposit(0.75, 2) }, 1.5, true},
		{"up to the burst", func() { bucket.deposit(0.75, 2) }, 2, true},
		{"exactly one is left", bucket.take, 1, true},
		{"none is left", bucket.take, 0, false},
		{"taken although none is left", bucket.take, -1, false},
	} {
		c.do()
		if bucket.tokens != c.tokens || bucket.available() != c.available {
			t.Errorf("%s: %v tokens, available %v; want %v, %v",
				c.step, bucket.tokens, bucket.available(), c.tokens, c.available)
		}
	}
}
