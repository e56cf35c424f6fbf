package upstream

import (
	"context"
	"errors"
	"fmt"
	"os"

	"bankshift/balancer"
	"bankshift/internal/sockets"
)

// Reasons why an attempt failed, wrapped by an AttemptError.
var (
	ErrNotListed           = errors.New("endpoint is not in the endpoint list")
	ErrTooManyConnections  = errors.New("connection limit of the pool reached")
	ErrNoEndpointReachable = errors.New("no endpoint can be reached from this machine")
	ErrNoLongerSendable    = errors.New("request must no longer be sent") // by the checks of conn.mayStart
	ErrBadResponse         = errors.New("bad response")                   // malformed or too long

	errNoDeadline = errors.New("context of the attempt has no deadline")
	errHeadMemory = errors.New("no memory is left for the head of the response")
)

// Step is the part of an attempt that failed.
type Step string

// The steps of an attempt, in order.
const (
	StepPrepare Step = "prepare" // encoding of the request, and the last checks before its first byte is written
	StepDial    Step = "dial"    // getting a connection: an idle one, or waiting for a dial
	StepWrite   Step = "write"
	StepRead    Step = "read"
)

// AttemptError states why an attempt got no valid response.
type AttemptError struct {
	Endpoint   balancer.EndpointID
	Step       Step
	MayHaveRun bool // the last byte of the request may have reached the endpoint
	Err        error
}

func (e *AttemptError) Error() string {
	return fmt.Sprintf("endpoint %d: %s: %v", e.Endpoint, e.Step, e.Err)
}

func (e *AttemptError) Unwrap() error { return e.Err }

// notSent returns the result of an attempt that this node has not begun to send.
func notSent(id balancer.EndpointID, err error) Result {
	return Result{
		Outcome: balancer.NotSent,
		Err:     &AttemptError{Endpoint: id, Step: StepPrepare, Err: err},
	}
}

// failedUnsent returns the result of an attempt whose last byte was not written, so
// that the request has never run. ctx is the context of the step that failed.
func failedUnsent(ctx context.Context, id balancer.EndpointID, step Step, err error) Result {
	return Result{
		Outcome: unsentOutcome(ctx, err),
		Err:     &AttemptError{Endpoint: id, Step: step, Err: err},
	}
}

// failedSent returns the result of an attempt that got no valid response after its
// last byte was written, so that the request may have run.
func failedSent(ctx context.Context, id balancer.EndpointID, step Step, err error) Result {
	return Result{
		Outcome: sentOutcome(ctx, err),
		Err:     &AttemptError{Endpoint: id, Step: step, MayHaveRun: true, Err: err},
	}
}

// unsentOutcome returns the outcome of an attempt whose last byte was not written.
// That counts against the endpoint (ConnectFailed), unless the attempt ended first,
// the endpoint is not listed, or the cause is on this machine (NotSent).
func unsentOutcome(ctx context.Context, err error) balancer.Outcome {
	switch {
	case ctx.Err() != nil:
		return balancer.NotSent
	case errors.Is(err, ErrNotListed), errors.Is(err, ErrTooManyConnections), errors.Is(err, ErrNoEndpointReachable):
		return balancer.NotSent
	case sockets.LocalFailure(err):
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// sentOutcome returns the outcome of an attempt whose last byte was written but
// which got no valid response.
func sentOutcome(ctx context.Context, err error) balancer.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Canceled
	case ctx.Err() != nil:
		return balancer.TimedOut
	case errors.Is(err, ErrBadResponse):
		return balancer.ServerError
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	}
	return balancer.Reset
}
