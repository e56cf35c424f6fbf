package balancer

import (
	"math"
	"time"
)

// tokenBucket limits how often something is done: doing it takes one token. The owner decides when tokens come:
// deposit adds some for an event, refill adds those for the time that has passed, and refillExpiring does the same for
// tokens that cannot be saved up for long. Its zero value is an empty bucket.
type tokenBucket struct {
	tokens     float64 // negative if more were taken than there were
	refilledAt Time    // time of the last refill
}

// available reports whether there is a whole token.
func (t *tokenBucket) available() bool { return t.tokens >= 1 }

// take removes a token, even if there is none.
func (t *tokenBucket) take() { t.tokens-- }

// deposit adds tokens, up to a total of burst.
func (t *tokenBucket) deposit(tokens, burst float64) {
	t.tokens = math.Min(burst, t.tokens+tokens)
}

// refill adds rate tokens for each second since the last refill.
func (t *tokenBucket) refill(now Time, rate, burst float64) {
	t.deposit(rate*(now-t.refilledAt).Seconds(), burst)
	t.refilledAt = now
}

// refillExpiring is refill for tokens that expire. If a lifetime brings less than one token, a whole token expires one
// lifetime after it became whole, while the next token goes on filling.
func (t *tokenBucket) refillExpiring(now Time, rate, burst float64, lifetime time.Duration) {
	tokens := t.tokens + rate*(now-t.refilledAt).Seconds()
	t.refilledAt = now
	perLifetime := rate * lifetime.Seconds()
	if perLifetime >= 1 || tokens < 1 {
		t.tokens = math.Min(burst, tokens)
		return
	}
	next := math.Mod(tokens, 1) // fraction of the next token, which began to fill when the last one became whole
	if next > perLifetime {
		t.tokens = next
		return
	}
	t.tokens = 1 + next
}
