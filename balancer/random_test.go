package balancer

import (
	"testing"
	"time"
)

func TestRandomIsReproducible(t *testing.T) {
	first, again, other := newRandom(7), newRandom(7), newRandom(8)
	differ := false
	for range 1000 {
		number := first.float64()
		if number < 0 || number >= 1 {
			t.Fatalf("%v is outside [0, 1)", number)
		}
		if number != again.float64() {
			t.Fatal("the same seed gave other numbers")
		}
		differ = differ || number != other.float64()
	}
	if !differ {
		t.Error("another seed gave the same numbers")
	}
}

func TestJitter(t *testing.T) {
	rng := newRandom(7)
	least, most, sum := time.Hour, time.Duration(0), time.Duration(0)
	const draws = 10000
	for range draws {
		d := rng.jitter(time.Second)
		least, most, sum = min(least, d), max(most, d), sum+d
	}
	if least < 500*time.Millisecond || most >= 1500*time.Millisecond {
		t.Errorf("between %v and %v, want from 0.5 s to 1.5 s", least, most)
	}
	if mean := sum / draws; mean < 980*time.Millisecond || mean > 1020*time.Millisecond {
		t.Errorf("mean %v, want about 1 s", mean)
	}
}
