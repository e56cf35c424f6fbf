package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bankshift/balancer"
)

const (
	maxKillDelay         = 3 * time.Second         // SIGKILL waits for the longest deadline, for a longer one only so long,
	killSlack            = 700 * time.Millisecond  // and so long more, both from SIGTERM
	lastAnswerMargin     = 300 * time.Millisecond  // before SIGKILL all answers are given: a busy node writes for a while
	exitMargin           = 150 * time.Millisecond  // before SIGKILL the node ends by itself
	arrivalTime          = 450 * time.Millisecond  // after SIGTERM new connections still come for 0.2 to 0.4 s
	minAcceptTime        = 600 * time.Millisecond  // and a node that is held up for 0.15 s just then still takes them
	lastRequestsTime     = time.Second             // the last requests get so long, where there is time
	idlePollInterval     = 50 * time.Millisecond   // between looks at whether all clients have gone
	drainInterval        = 10 * time.Millisecond   // the same when they are no longer waited for
	firstByteTimeout     = 2 * time.Second         // for a new connection to begin with a request
	requestReadTimeout   = 2500 * time.Millisecond // for a whole request, from its first byte
	firstRequestTimeout  = 2800 * time.Millisecond // for the first request, from the connection's accept
	responseWriteTimeout = 5 * time.Second         // for an answer
	rejectionTimeout     = 200 * time.Millisecond  // for what is left of a request that is turned away
	idleTimeout          = 2800 * time.Millisecond // for a connection between requests, as a part of the next may be in net/http's buffer
	maxIDLength          = 128
	maxClientTimeout     = time.Hour
)

// frontend takes clients' requests and writes their answers.
type frontend struct {
	node           *Node
	maxConnections int                             // connections
	idempotency    map[string]balancer.Idempotency // of the classes
	connections    *connectionLimiter
	phases         shutdownPhases
	keepServing    func(open func() int) // goes on serving for a while after the order to stop
	ready          atomic.Bool
	stopping       atomic.Bool // to stop
	closing        atomic.Bool // clients are asked to close
}

// stages tells when what happens after the order to stop, counted from it.
type shutdownPhases struct {
	closeAsked time.Duration // clients are asked to close
	accepted   time.Duration // new connections are taken for so long at least
	answered   time.Duration // all that was taken has its answer
	closed     time.Duration // what connections are left are closed
}

// stagesOf fits the end into the time that is left before the node is killed.
// Clients send on every connection that they have up to then, so all of them
// have to be closed before, however long their deadlines are.
func newShutdownPhases(longest time.Duration) shutdownPhases {
	kill := min(longest, maxKillDelay) + killSlack
	e := shutdownPhases{answered: kill - lastAnswerMargin, closed: kill - exitMargin}
	e.closeAsked = min(max(arrivalTime, e.answered-lastRequestsTime), e.answered)
	e.accepted = min(minAcceptTime, e.closed)
	return e
}

func newFrontend(n *Node, most int) *frontend {
	f := &frontend{node: n, maxConnections: most, idempotency: map[string]balancer.Idempotency{}}
	longest := time.Duration(0)
	for _, c := range n.cfg.Settings.Classes {
		f.idempotency[c.Name] = c.Idempotency
		longest = max(longest, c.Deadline)
	}
	f.phases = newShutdownPhases(longest)
	f.keepServing = func(open func() int) {
		began := time.Now()
		for waited := time.Duration(0); waited < min(arrivalTime, f.phases.closeAsked) || open() > 0 && waited < f.phases.closeAsked; {
			time.Sleep(idlePollInterval)
			waited = time.Since(began)
		}
	}
	return f
}

// serve takes requests until ctx ends. Then it says that it is not ready and
// goes on for as long as it can still finish what it takes: the front sends
// new connections until it has noticed, and clients that keep theirs may have
// no other node just now. Then it asks each client to close and finishes what
// is open.
func (f *frontend) serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: f, ReadHeaderTimeout: firstByteTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(f.node.log.Handler(), slog.LevelDebug)}
	f.connections = newConnectionLimiter(ln, f.maxConnections, f.node.log)
	srv.ConnState = f.connections.trackState
	srv.ConnContext = f.connections.connContext
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(f.connections) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	began := time.Now()
	f.stopping.Store(true)
	f.node.post(func() { f.node.answerBy(began.Add(f.phases.answered)) })
	f.keepServing(f.connections.openConnections)
	f.closing.Store(true)
	retire := func(until time.Duration, goOn func() bool) {
		for time.Since(began) < until && goOn() {
			f.connections.drain(time.Now())
			time.Sleep(drainInterval)
		}
	}
	some := func() bool { return f.connections.openConnections() > 0 }
	retire(f.phases.accepted, func() bool { return true })
	ln.Close()
	retire(f.phases.closed, some)
	f.connections.stopWaiting() // the last to have been accepted may wait for its place up to here
	<-failed                    // until Serve has let go of the listener, Close would close it again and fail
	retire(f.phases.closed, some)
	// All requests have been answered: what is left are connections on which
	// none has come whole.
	return srv.Close()
}

// ServeHTTP answers the health checks and passes requests to the loop.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/health/ready":
		if !f.ready.Load() || f.stopping.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fallthrough
	case "/health/live":
		io.WriteString(w, "ok\n")
		return
	}
	req, event, status, err := f.parseRequest(w, r)
	if err != nil {
		f.reject(w, r, err, status)
		return
	}
	if a, ok := f.awaitResponse(r.Context(), req, event); ok {
		writeResponse(w, a)
		return
	}
	// A client that only ended its sending can still read. Without a word
	// from here the server would tell it 200, which no backend said.
	w.Header().Set("Connection", "close")
	writeResponse(w, response{status: http.StatusBadGateway})
}

// answer has a request handled. It gives no answer if the client has left.
func (f *frontend) awaitResponse(ctx context.Context, req *request, event balancer.RequestArrived) (response, bool) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		c.setRequestOpen(true)
		defer c.setRequestOpen(false) // before the client can have its answer
		if c.clientLeft(ctx) {
			return response{}, false
		}
		req.out.left = c.clientLeftNow
	}
	req.open, req.end = context.WithCancel(ctx)
	defer req.end()
	f.node.post(func() { f.node.open(req, event) })
	select {
	case a := <-req.answer:
		return a, true
	case <-ctx.Done():
		f.node.post(func() { f.node.abandon(req) })
	case <-f.node.ended:
	}
	return response{}, false
}

// turnAway answers a request that can't be read and ends its connection. What
// follows on it may belong to the body of this request as the client sees it,
// so none of it is taken for a request; and the answer waits for no body.
func (f *frontend) reject(w http.ResponseWriter, r *http.Request, err error, status int) {
	w.Header().Set("Connection", "close")
	if c, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok {
		if c.wasTightened() {
			closeAfterResponse(w)
			return
		}
		c.setRequestDeadline(time.Now().Add(rejectionTimeout))
	}
	http.Error(w, err.Error(), status)
}

// dismiss refuses a request that has not come whole and ends its connection,
// whose place others need at once: net/http would hold it for a while yet.
func closeAfterResponse(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // it has ended
	}
	defer c.Close()
	c.SetWriteDeadline(time.Now().Add(rejectionTimeout))
	io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// framing refuses requests whose ends two readers could see in two places: one
// could hide another in its body, which the next reader would run. Clients use
// Content-Length alone. net/http drops it where a transfer coding is there
// too, and drops the coding in HTTP/1.0, so neither can be told from a sound one.
func checkFraming(r *http.Request) (int, error) {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return http.StatusHTTPVersionNotSupported, errors.New("want HTTP/1.1")
	case len(r.TransferEncoding) > 0:
		return http.StatusLengthRequired, errors.New("want Content-Length and no transfer coding")
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return http.StatusBadRequest, errors.New("a GET with a body")
	}
	return 0, nil
}

// read checks a request. The status goes with the error.
func (f *frontend) parseRequest(w http.ResponseWriter, r *http.Request) (*request, balancer.RequestArrived, int, error) {
	// The body may take a while, or the request has waited behind another one:
	// the client's clock runs.
	arrived := time.Now()
	if c, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok {
		arrived = c.lastReceivedAt()
	}
	e := balancer.RequestArrived{Class: r.Header.Get("X-Class"), Tenant: r.Header.Get("X-Tenant"),
		IsRetry: r.Header.Get("X-Retry") == "1"}
	bad := func(status int, format string, args ...any) (*request, balancer.RequestArrived, int, error) {
		return nil, e, status, fmt.Errorf(format, args...)
	}
	if status, err := checkFraming(r); err != nil {
		return bad(status, "%w", err)
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxIDLength || len(r.Header.Values("X-Request-Id")) > 1 {
		return bad(http.StatusBadRequest, "want one X-Request-Id of at most %d bytes", maxIDLength)
	}
	e.ID = balancer.RequestID(id)
	effect, known := f.idempotency[e.Class]
	if !known {
		return bad(http.StatusBadRequest, "unknown X-Class %q", e.Class)
	}
	// The method tells the server what a repeat would do, so it must agree
	// with what the module believes.
	want := http.MethodPost
	if effect == balancer.Idempotent {
		want = http.MethodGet
	}
	if r.Method != want {
		return bad(http.StatusMethodNotAllowed, "class %s wants %s", e.Class, want)
	}
	switch keys := r.Header.Values("Idempotency-Key"); {
	case effect == balancer.IdempotentByKey && (len(keys) != 1 || keys[0] == ""), effect == balancer.NotIdempotent && len(keys) > 0:
		return bad(http.StatusBadRequest, "class %s and Idempotency-Key do not agree", e.Class)
	}
	patience, err := parseTimeout(r.Header.Get("X-Deadline"))
	if err != nil {
		return bad(http.StatusBadRequest, "X-Deadline: %w", err)
	}
	if hint, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64); err == nil && hint >= 0 && hint < 1e12 {
		e.WorkHint, e.HasWorkHint = time.Duration(hint*float64(time.Microsecond)), true
	}
	e.Key = r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return bad(http.StatusRequestEntityTooLarge, "the body is over %d bytes", maxBody)
	case err != nil:
		return bad(http.StatusBadRequest, "reading the body: %w", err)
	}
	u := url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	return &request{id: e.ID, deadline: arrived.Add(patience - AnswerMargin), answer: make(chan response, 1),
		out: &outbound{method: r.Method, url: &u, host: r.Host, header: endToEndHeaders(r.Header), body: body}}, e, 0, nil
}

func parseTimeout(s string) (time.Duration, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	if !(v > 0) || math.IsInf(v, 0) { // NaN is not over 0 either
		return 0, fmt.Errorf("%v is no time to wait", v)
	}
	return time.Duration(math.Min(v, maxClientTimeout.Seconds()) * float64(time.Second)), nil
}

// perHop lists the headers that concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "X-Load", "X-Not-Run"}

// endToEnd copies the headers that are passed on.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(protectedHeaders, name) {
				out.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// vital headers stay, whatever a client's Connection header says: without
// them a server could not tell a repeat.
var protectedHeaders = []string{"X-Request-Id", "Idempotency-Key"}

func writeResponse(w http.ResponseWriter, a response) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	h := w.Header()
	for name, values := range endToEndHeaders(a.header) {
		h[name] = values
	}
	if a.status != http.StatusOK {
		a.body = []byte(http.StatusText(a.status) + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body) // if it fails, the client has gone
}
