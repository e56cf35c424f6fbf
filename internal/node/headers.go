package node

// Headers of a client's request, as the operators' protocol defines them.
const (
	headerRequestID      = "X-Request-Id"    // the request's ID; each try of the client has a new one
	headerClass          = "X-Class"         // the request's class
	headerTenant         = "X-Tenant"        // the client's tenant
	headerDeadline       = "X-Deadline"      // how long the client waits, in seconds
	headerRetry          = "X-Retry"         // retryValue marks a client's retry
	headerWorkHint       = "X-Cost-Hint"     // the expected work, in µs
	headerIdempotencyKey = "Idempotency-Key" // lets endpoints recognize and drop repeated requests

	retryValue = "1"
)

// Headers of an endpoint's response that are meant for the node and not passed on
// to the client.
const (
	headerLoadReport = "X-Load"
	headerNotRun     = "X-Not-Run"
)

const headerRetryAfter = "Retry-After" // in a rejection: how long the client should wait before it retries, in seconds
