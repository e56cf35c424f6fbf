package balancer

import (
	"math"
	"testing"
)

func TestShedSplit(t *testing.T) {
	for _, c := range []struct{ q, n1, n2, q1, q2 float64 }{
		{0.3, 50, 50, 0, 0.6},  // dropping those without priority suffices
		{0.5, 50, 50, 0, 1},    // all without priority and none with it
		{0.75, 50, 50, 0.5, 1}, // also half of those with priority
		{1, 50, 50, 1, 1},
		{0.4, 50, 0, 0.4, 0}, // none without priority: q1 = q
		{0.4, 0, 50, 0, 0.4}, // none with priority: q1 = 0
		{1, 0, 50, 0, 1},
		{0, 10, 10, 0, 0},
	} {
		q1, q2 := shedSplit(c.q, c.n1, c.n2)
		if math.Abs(q1-c.q1) > 1e-9 || math.Abs(q2-c.q2) > 1e-9 {
			t.Errorf("q=%v N1=%v N2=%v: q1=%v q2=%v, want %v %v", c.q, c.n1, c.n2, q1, q2, c.q1, c.q2)
		}
	}
}

func TestPriorityShareIsGraded(t *testing.T) {
	if priorityShare(12, 12) != 1 || priorityShare(1, 12) != 0 || priorityShare(0, 0) != 0 {
		t.Error("priorityShare: want 1 at the top weight, 0 at a twelfth of it and 0 if all weights are 0")
	}
	if share := priorityShare(5, 10); share < 0.4 || share > 0.5 {
		t.Errorf("half the top weight has share %v, want 0.4 to 0.5", share)
	}
}
