package node

import (
	"testing"
	"time"
)

// TestBalancerTimeIsWallTime guards against a balancer's time that does not start
// at the wall-clock time: it is compared with the times in the endpoint list.
func TestBalancerTimeIsWallTime(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), discardLog)
	before := time.Now().UnixMilli()
	if now := n.now(); now < time.Duration(before)*time.Millisecond || now > time.Duration(before)*time.Millisecond+testTimeout {
		t.Errorf("the balancer's time is %v at Unix time %d ms", now, before)
	}
}
