package node

// Headers of a client's request, by the operators' protocol.
const (
	headerRequestID      = "X-Request-Id"    // the request's ID, a new one for each try
	headerClass          = "X-Class"         // the request's class
	headerTenant         = "X-Tenant"        // the client's tenant
	headerTimeout        = "X-Deadline"      // how long the client waits, in seconds
	headerRetry          = "X-Retry"         // isRetry marks a client's retry
	headerWorkHint       = "X-Cost-Hint"     // the expected work, in µs
	headerIdempotencyKey = "Idempotency-Key" // by which endpoints drop repeats

	retryValue = "1"
)

// Headers of an endpoint's response that concern the node only.
const (
	headerLoadReport = "X-Load"
	headerNotRun     = "X-Not-Run"
)

const headerRetryAfter = "Retry-After" // of a rejection: when the client may come back, in seconds
