package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

const (
	maxListSize = 4 << 20          // bytes; a list of 1000 endpoints takes a twentieth of this
	maxListTime = 10 * time.Second // limit for a list that keeps arriving, because a node must become ready

	// If a reused connection breaks sooner than this after the start of a request,
	// it counts as closed by discovery after the last response.
	staleConnectionTime = 20 * time.Millisecond
)

var (
	// errStalled means that a response, or the next part of it, did not come in time.
	errStalled = errors.New("response of discovery timed out")
	// errRejected means that discovery responded with a status other than 200.
	errRejected = errors.New("discovery rejected the poll")
	// errLongPollBroken means that the connection broke during a long poll.
	errLongPollBroken = errors.New("connection to discovery broke during a long poll")
	// errListTooLong means that a list has more than maxListSize bytes.
	errListTooLong = fmt.Errorf("endpoint list is longer than %d bytes", maxListSize)
)

// request sends one HTTP request of a poll. Its timeouts guard against a discovery
// service that accepts a request and then stalls. A long list that arrives slowly
// may take up to maxListTime, because a further request would only start the list
// again.
func (c *Client) request(ctx context.Context, poll Poll) (List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.schedule.OnDemand && poll.isLong() {
		ctx = c.withoutResend(ctx, cancel)
	}
	list, err := c.exchange(ctx, cancel, poll)
	if err == nil {
		return list, nil
	}
	cause := context.Cause(ctx)
	if cause == errStalled || cause == errLongPollBroken {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	return list, err
}

// withoutResend returns a context that is canceled when the request is sent again.
// The HTTP client resends a request by itself if a reused connection breaks. A
// resent long poll may hang through an outage until its timeout, with the failure
// unnoticed. Where updates are pushed, long polls are too short for this to matter.
func (c *Client) withoutResend(ctx context.Context, cancel context.CancelCauseFunc) context.Context {
	if c.closesConnections.Load() {
		c.http.CloseIdleConnections()
	}
	sends := 0
	started := time.Now()
	beforeSend := func(string) {
		sends++
		if sends == 1 {
			return
		}
		if time.Since(started) < staleConnectionTime {
			c.closesConnections.Store(true)
		}
		cancel(errLongPollBroken)
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: beforeSend})
}

// exchange sends a request and reads the response. It cancels the request with
// errStalled if either stalls.
func (c *Client) exchange(ctx context.Context, cancel context.CancelCauseFunc, poll Poll) (List, error) {
	stallTimer := time.AfterFunc(poll.Timeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+poll.Query(), nil)
	if err != nil {
		return List{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("%w: status %s", errRejected, resp.Status)
	}
	return readList(&progressReader{
		Reader:       resp.Body,
		stallTimer:   stallTimer,
		stallTimeout: poll.StallTimeout,
		deadline:     time.Now().Add(maxListTime),
	})
}

func readList(r io.Reader) (List, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxListSize+1))
	if err != nil {
		return List{}, fmt.Errorf("read endpoint list: %w", err)
	}
	if len(body) > maxListSize {
		return List{}, errListTooLong
	}
	var list List
	if err := json.Unmarshal(body, &list); err != nil {
		return List{}, fmt.Errorf("decode endpoint list: %w", err)
	}
	return list, nil
}

// progressReader restarts the stall timer at each read. The timer fires at the
// deadline at the latest.
type progressReader struct {
	io.Reader
	stallTimer   *time.Timer // fires when a read takes longer than stallTimeout
	stallTimeout time.Duration
	deadline     time.Time // by which the whole list must have been read
}

func (r *progressReader) Read(p []byte) (int, error) {
	r.stallTimer.Reset(min(r.stallTimeout, time.Until(r.deadline)))
	return r.Reader.Read(p)
}
