package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bankshift/internal/lab/model"
)

// Request headers in which the load generator tells a server how to emulate the
// request. A node passes them on like any other end-to-end header.
const (
	WorkHeader   = "X-Lab-Work"   // processor time on a core of speed 1, in whole microseconds
	ScopeHeader  = "X-Lab-Scope"  // servers that share the idempotency key: all, zone or cell
	WindowHeader = "X-Lab-Window" // how long the key is remembered, in whole milliseconds
)

// ServiceTimeHeader is the response header in which a server reports the seconds
// from the arrival of the request's first byte to its response. The load
// generator subtracts them from the latency to find what a node adds.
const ServiceTimeHeader = "X-Lab-Held"

// serve handles one request: it records the request in the execution log and
// responds with the outcome that the model gives it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	started := c.requestStarted()
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		panic(http.ErrAbortHandler) // the body is incomplete or too long
	}
	id := r.Header.Get("X-Request-Id")
	modelRequest, err := s.parseModelRequest(r)
	if id == "" {
		http.Error(w, "no request id", http.StatusNotFound)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.cfg.ExecutionLog.received(id, r, started.Sub(s.cfg.Epoch))
	defer s.cfg.ExecutionLog.finished(id)
	if !s.awaitHandshake(r, c) {
		s.respond(w, r, c, model.ConnectionReset, "")
		return
	}
	if c.emulated.outcome == model.Rejected {
		w.Header().Set("Connection", "close")
	}
	s.respond(w, r, c, s.execute(r, c, id, modelRequest), id)
}

// execute passes the request to the model and waits for its outcome, which is
// never Accepted. A request on a connection that the model did not accept has
// the connection's outcome.
func (s *Server) execute(r *http.Request, c *conn, id string, modelRequest model.Request) model.Outcome {
	outcome := c.emulated.outcome
	if outcome != model.Accepted {
		return outcome
	}
	accepted := &pendingRequest{id: id, reply: make(chan model.Reply, 1)}
	s.withModel(func(now time.Duration) {
		s.lastID++
		modelRequest.ID = s.lastID
		s.waiting[modelRequest.ID] = accepted
		outcome = s.model.Arrive(now, c.emulated.model, modelRequest)
		if outcome != model.Accepted {
			delete(s.waiting, modelRequest.ID)
		}
	})
	if outcome != model.Accepted {
		return outcome
	}
	select {
	case reply := <-accepted.reply:
		return reply.Outcome
	case <-r.Context().Done(): // the client has closed the connection
		s.withModel(func(now time.Duration) {
			s.model.CloseConn(now, c.emulated.model)
			delete(s.waiting, modelRequest.ID)
		})
		return model.ConnectionReset
	case <-s.done:
		return model.ConnectionReset
	}
}

// respond ends the request with what its client sees of the outcome: a response,
// no response, or a connection reset.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, c *conn, outcome model.Outcome, id string) {
	switch outcome {
	case model.Served:
		body := s.responseBody(id)
		serviceTime := time.Since(c.requestStarted()).Seconds()
		w.Header().Set(ServiceTimeHeader, strconv.FormatFloat(serviceTime, 'f', 6, 64))
		w.Write(body)
	case model.Failed:
		http.Error(w, "failed", http.StatusInternalServerError)
	case model.Rejected:
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
	case model.NoResponse:
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
		panic(http.ErrAbortHandler)
	default:
		if !c.owner.isBlackholed() {
			c.reset()
		}
		panic(http.ErrAbortHandler)
	}
}

// responseBody returns the request's id, padded to the configured size.
func (s *Server) responseBody(id string) []byte {
	body := make([]byte, max(s.cfg.ResponseBytes, len(id)))
	for i := range body {
		body[i] = '.'
	}
	copy(body, id)
	return body
}

// awaitHandshake waits until the connection's handshake is done. It returns
// false if the client or the server closes first.
func (s *Server) awaitHandshake(r *http.Request, c *conn) bool {
	wait := time.Until(c.emulated.readyAt)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
	case <-s.done:
	}
	return false
}

// parseModelRequest returns the model's form of a request, from the headers that
// describe it and the configured defaults.
func (s *Server) parseModelRequest(r *http.Request) (model.Request, error) {
	modelRequest := model.Request{Work: s.cfg.DefaultWork, Window: s.cfg.DefaultWindow, Key: r.Header.Get("Idempotency-Key")}
	if err := parseDuration(r.Header, WorkHeader, time.Microsecond, &modelRequest.Work); err != nil {
		return modelRequest, err
	}
	if err := parseDuration(r.Header, WindowHeader, time.Millisecond, &modelRequest.Window); err != nil {
		return modelRequest, err
	}
	var err error
	modelRequest.Scope, err = model.ParseScope(r.Header.Get(ScopeHeader))
	return modelRequest, err
}

// parseDuration parses a header that is a whole number of units into d. If the
// header is missing, it leaves d unchanged.
func parseDuration(header http.Header, name string, unit time.Duration, d *time.Duration) error {
	text := header.Get(name)
	if text == "" {
		return nil
	}
	count, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	*d = time.Duration(count) * unit
	return nil
}
